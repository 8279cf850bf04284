//! Input that no caller should send, on every port: it ends in a clear error or a close, and service goes on.

use crate::cluster::{Cluster, ClusterProcess, ClusterSize, BOUND};
use millrudder_protocol::frame::{self, Content};
use millrudder_protocol::store::{FromDispatcher, ToDispatcher, ToStore};
use millrudder_protocol::{DispatcherId, Epoch, StoreId};
use millrudder_system_standins::{
    attack, ConfigurationBuilder, HostileInput, HostileOutcome, Limits, Machine, Message, RawConnection,
    Role, Route, Service, WorkerPlan,
};
use std::net::SocketAddr;

const HOST: &str = "boye61.example";
/// Bodies that attacks send are longer.
const MAX_BODY_BYTES: u64 = 100_000;
/// One machine of each class.
const SMALL: ClusterSize = ClusterSize { core: 1, storage: 1, edge: 1, tolerated_losses: 0 };
/// Internal ports by role, counted from the first free one of the machine.
const STORAGE_PORT: u16 = 1;
const CORE_PORT: u16 = 2;

fn configuration() -> ConfigurationBuilder {
    let limits = Limits { header_timeout_ms: 1_000, max_body_bytes: MAX_BODY_BYTES, ..Limits::default() };
    ConfigurationBuilder::new(1).limits(limits).service(Service::listed("records")).route(Route::plain(
        "records",
        HOST,
        "/records/",
        "records",
    ))
}

fn internal(cluster: &Cluster, process: ClusterProcess) -> Option<SocketAddr> {
    let offset = match process.role {
        Role::Edge => return None,
        Role::Storage => STORAGE_PORT,
        Role::Core => CORE_PORT,
    };
    let settings = &cluster.machines[process.machine].settings;
    Some(SocketAddr::new(settings.ip, settings.ephemeral_ports.first + offset))
}

#[tokio::test]
async fn hostile_input_ends_in_an_error_or_a_close() {
    let mut cluster = Cluster::configured(SMALL, &configuration()).await;
    let _worker = cluster.worker(WorkerPlan::new("records", "i-records")).await;
    let front = cluster.fronts()[0];
    let readiness = cluster.machines.iter().find_map(Machine::readiness).unwrap();
    let control = cluster.control_planes()[0];
    tokio::join!(
        attack_with_all(front, "/records/"),
        attack_with_all(front, "/message/hostile"),
        attack_with_all(readiness, "/readiness"),
        attack_with_all(control, "/Config.Put"),
        attack_internal_ports(&cluster),
    );
    for process in cluster.all_processes() {
        assert!(cluster.is_running(process), "{} has ended", cluster.name_of(process));
    }
    let sent = cluster.accept(front, &Message::new(HOST, "/records/", "after-all")).await;
    cluster.completed(&sent).await;
    cluster.core_agrees(&configuration().build().unwrap()).await;
    let arrivals = cluster.arrival_log.arrivals();
    let smuggled: Vec<_> = arrivals.iter().filter(|arrival| arrival.request_id.is_none()).collect();
    assert!(smuggled.is_empty(), "{smuggled:?}");
}

/// Two framings, of which a server might heed one and its neighbour the other, and a request within the body.
#[tokio::test]
async fn a_smuggled_request_is_never_executed() {
    let cluster = Cluster::configured(SMALL, &configuration()).await;
    let _worker = cluster.worker(WorkerPlan::new("records", "i-records")).await;
    let front = cluster.fronts()[0];
    let length = "Content-Length: 4\r\n";
    let chunked = "Transfer-Encoding: chunked\r\n";
    for (number, framings) in [[length, chunked], [chunked, length]].into_iter().enumerate() {
        let smuggled = format!("smuggled-{number}");
        let inner = format!("POST /records/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {smuggled}\r\n\r\n");
        let outer = format!(
            "POST /records/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: outer-{number}\r\n{}\r\n0\r\n\r\n{inner}",
            framings.concat()
        );
        let mut connection = RawConnection::open(front).await.unwrap();
        connection.write(outer.as_bytes()).await.unwrap();
        connection.finish_writing().await.unwrap();
        // Closing with unread bytes may reset the connection.
        let answers = connection.read_to_end(BOUND).await.unwrap_or_default();
        let answers = String::from_utf8_lossy(&answers).into_owned();
        assert!(answers.matches("HTTP/1.1").count() <= 1, "{framings:?}: {answers}");
        // Whatever came before this message has been taken by then.
        let sent = cluster.accept(front, &Message::new(HOST, "/records/", format!("next-{number}"))).await;
        cluster.completed(&sent).await;
        assert_eq!(cluster.arrival_log.arrivals_of(&smuggled.as_str().into()).len(), 0, "{framings:?}");
    }
}

/// What could be read in two ways is refused, not read in one of them.
#[tokio::test]
async fn two_framings_are_refused() {
    let cluster = Cluster::configured(SMALL, &configuration()).await;
    refuses(cluster.fronts()[0], "/records/", HostileInput::TwoFramings).await;
}

async fn attack_with_all(address: SocketAddr, path: &str) {
    for input in HostileInput::ALL {
        refuses(address, path, input).await;
    }
}

async fn refuses(address: SocketAddr, path: &str, input: HostileInput) {
    let outcome = attack(address, HOST, path, input, BOUND).await.unwrap();
    let is_refusal = match outcome {
        HostileOutcome::Answered { status } => (400..500).contains(&status) || status == 501,
        HostileOutcome::Closed => true,
        HostileOutcome::StillOpen => false,
    };
    assert!(is_refusal, "{input:?} at {path} of {address}: {outcome:?}");
}

async fn attack_internal_ports(cluster: &Cluster) {
    for address in cluster.all_processes().into_iter().filter_map(|process| internal(cluster, process)) {
        for (what, bytes) in garbage() {
            let mut connection = RawConnection::open(address).await.unwrap();
            // The other end may have closed before all was written.
            let _ = connection.write(&bytes).await;
            let ended = connection.read_to_end(BOUND).await;
            let timed_out = |error: &std::io::Error| error.kind() == std::io::ErrorKind::TimedOut;
            assert!(!ended.as_ref().is_err_and(timed_out), "{what} at {address}: the connection stays open");
        }
    }
}

/// Bytes that are no frames of the internal protocol, and frames whose content is no message.
fn garbage() -> Vec<(&'static str, Vec<u8>)> {
    let noise = |seed: u64| {
        let step = |state: &u64| Some(state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1));
        std::iter::successors(Some(seed), step).map(|state| (state >> 56) as u8)
    };
    let mut wrong_checksum = 64_u32.to_le_bytes().to_vec();
    wrong_checksum.extend(noise(3).take(68));
    let mut cut_short = 1_000_u32.to_le_bytes().to_vec();
    cut_short.extend(noise(4).take(20));
    vec![
        ("nothing", Vec::new()),
        ("noise", noise(1).take(10_000).collect()),
        ("HTTP", b"GET /readiness HTTP/1.1\r\nHost: internal\r\n\r\n".to_vec()),
        ("a frame too long", u32::MAX.to_le_bytes().repeat(4)),
        ("a frame with a wrong checksum", wrong_checksum),
        ("a frame that is cut short", cut_short),
    ]
}

/// A machine whose disk was lost is another store at the same address: it must not answer for the one before.
#[tokio::test]
async fn a_store_answers_only_messages_addressed_to_it() {
    let cluster = Cluster::configured(SMALL, &configuration()).await;
    let store = cluster.processes_of(Role::Storage)[0];
    let address = internal(&cluster, store).unwrap();
    let id = cluster.store_id(store);
    let hello = ToStore::Dispatcher {
        message: FromDispatcher::Hello {
            dispatcher: DispatcherId(1),
            name: "edge".to_owned(),
            zone: "zone-1".to_owned(),
            epoch: Epoch::default(),
            active_leases: Vec::new(),
            in_doubt: Vec::new(),
        },
    };
    let meant = |store| ToStore::Addressed { store };
    for (messages, is_welcome) in [
        (vec![meant(id), hello.clone()], true),
        (vec![meant(StoreId(id.0 ^ 2)), hello.clone()], false),
        (vec![hello], false),
    ] {
        let mut connection = RawConnection::open(address).await.unwrap();
        connection.write(&frames(&messages)).await.unwrap();
        let answers = connection.read_to_end(BOUND).await.unwrap_or_default();
        let welcomed =
            answers_in(&answers).iter().any(|answer| matches!(answer, ToDispatcher::Welcome { .. }));
        assert_eq!(welcomed, is_welcome, "{messages:?}");
    }
}

fn frames(messages: &[ToStore]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for message in messages {
        frame::encode(message, &mut bytes).unwrap();
    }
    bytes
}

fn answers_in(mut bytes: &[u8]) -> Vec<ToDispatcher> {
    let mut answers = Vec::new();
    while let Some(decoded) = frame::decode::<ToDispatcher>(bytes).unwrap() {
        bytes = &bytes[decoded.consumed..];
        if let Content::Message(answer) = decoded.content {
            answers.push(answer);
        }
    }
    answers
}
