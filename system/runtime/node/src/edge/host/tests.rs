use super::EdgeHost;
use crate::edge::active_configuration::SharedConfiguration;
use crate::edge::event::Event;
use crate::edge::front::submission::ClientMessage;
use millrudder_intake::TargetShard;
use millrudder_protocol::control::FromCore;
use millrudder_protocol::message::Message;
use millrudder_protocol::placement::{Placement, ShardEntry, StoreEntry};
use millrudder_protocol::store::ToDispatcher;
use millrudder_protocol::{Address, Epoch, RequestNumber, StoreId};
use millrudder_settings::Settings;
use millrudder_transport::LinkEvent;
use std::path::Path;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

const SETTINGS: &str = r#"
nodeName: edge-1
serves: [edge]
ip: 127.0.0.1
zone: zone-1
region: region
bindAddrs: { front: "127.0.0.1:1", readiness: "127.0.0.1:2" }
ephemeralPorts: [1, 2]
"#;
const STORES: [StoreId; 3] = [StoreId(1), StoreId(2), StoreId(3)];

/// Three stores, each the primary of one shard.
fn placement() -> Placement {
    let store = |id: StoreId| StoreEntry {
        id,
        name: format!("storage-{}", id.0),
        zone: format!("zone-{}", id.0),
        address: Address(([127, 0, 0, 1], 1).into()),
        alive: true,
    };
    let shard = |primary| ShardEntry { primary, replicas: STORES.to_vec(), change: None, term: Epoch(1) };
    Placement {
        epoch: Epoch(1),
        tolerated_losses: 1,
        stores: STORES.map(store).to_vec(),
        shards: STORES.map(shard).to_vec(),
    }
}

fn message() -> ClientMessage {
    let message = Message {
        request_id: "r-1".into(),
        method: "POST".into(),
        path: "/a".into(),
        host: "shop.example".into(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        order_key: None,
        callback_url: None,
        service: "orders".into(),
        priority: 0,
        delay_ms: 12_000,
        target_start_ms: 800,
        max_attempts: 3,
        retention_ms: 90_000,
    };
    ClientMessage { message, shard: TargetShard::Any, answer_within: Duration::from_secs(5) }
}

fn connected_host() -> EdgeHost {
    let (events, _queue) = unbounded_channel();
    let settings = Settings::parse(SETTINGS, Path::new("local.yaml")).unwrap();
    let mut host = EdgeHost::new(&settings, SharedConfiguration::empty(), events);
    host.handle_event(Event::Core(FromCore::Placement { placement: placement() }));
    for store in STORES {
        host.handle_event(Event::Store { store, event: LinkEvent::Opened });
    }
    host
}

/// Lets time pass until the host has work, as its loop does.
async fn pass(host: &mut EdgeHost) {
    tokio::time::sleep_until(host.next_deadline()).await;
    host.tick();
}

// Guards against a dispatcher that stops without the withdrawals that only it knows of: a message that was sent to a second
// store, since the first one was slow or lost, ran from both (review/4).
#[tokio::test(start_paused = true)]
async fn a_dispatcher_with_an_unconfirmed_withdrawal_is_not_idle() {
    let steps = async {
        let mut host = connected_host();
        assert!(host.is_idle());
        let (reply, mut answer) = oneshot::channel();
        host.handle_event(Event::Submit { message: Box::new(message()), reply });
        assert!(!host.is_idle(), "its client waits");
        while host.intake.in_doubt(|_| true).len() < 2 {
            pass(&mut host).await;
        }
        let ids = host.intake.in_doubt(|_| true);
        for (store, request) in STORES.into_iter().flat_map(|store| [1, 2].map(|request| (store, request))) {
            let accepted = ToDispatcher::Accepted { request: RequestNumber(request), token: None };
            host.handle_event(Event::Store { store, event: LinkEvent::Message(accepted) });
        }
        assert!(answer.try_recv().is_ok());
        let withdrawn = host.intake.in_doubt(|_| true);
        assert!(withdrawn.len() == 1 && ids.contains(&withdrawn[0]));
        assert!(!host.is_idle(), "a store may have the other copy");

        let confirmed = ToDispatcher::Withdrawn { id: withdrawn[0] };
        host.handle_event(Event::Store { store: STORES[0], event: LinkEvent::Message(confirmed) });
        assert!(host.is_idle());
    };
    LocalSet::new().run_until(steps).await;
}
