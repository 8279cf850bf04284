//! Start of a core machine: finds the others, and makes its state machine.

use crate::clock;
use crate::core::controller;
use crate::core::event::Event;
use crate::error::RoleError;
use crate::seeds;
use crate::task::TaskGuard;
use arc_swap::ArcSwap;
use millrudder_chain::{CoreConfig, CoreNode, DurableState, LeaseConfig};
use millrudder_clock::Instant;
use millrudder_control_state::ControlState;
use millrudder_settings::Settings;
use millrudder_system_http::client::Client;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

/// Backoff between two rounds of queries to seeds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// The same after it has doubled a few times.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Internal addresses of all core machines that the settings name, once all of them have answered: this machine has never
/// been a member of a core, and is about to bootstrap one with them.
pub async fn find_founders(client: &Client, all_seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut found = BTreeSet::new();
    loop {
        let mut answers = seeds::query_all(client, all_seeds);
        while let Some(answer) = answers.join_next().await {
            found.extend(answer.ok().flatten());
        }
        if found.len() >= all_seeds.len() {
            return found.into_iter().collect();
        }
        sleep(INITIAL_BACKOFF).await;
    }
}

/// Queries the seeds at once and ever less often until the guard is dropped, and reports each that answers. A machine that
/// has been a member of a core knows the others from its disk, and does not wait for these answers.
pub fn spawn_seed_watch(
    client: Client,
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    events: UnboundedSender<Event>,
) -> TaskGuard {
    TaskGuard::spawn_local(async move {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let mut answers = seeds::query_all(&client, &seeds.load());
            while let Some(answer) = answers.join_next().await {
                if let Ok(Some(address)) = answer {
                    drop(events.send(Event::SeedFound { address }));
                }
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    })
}

/// The state machine of a core machine, with the state that its disk held.
///
/// # Errors
/// The state or the configuration is not one that the state machine can start with.
pub fn make_node(
    settings: &Settings,
    internal: SocketAddr,
    state: Option<DurableState>,
    founders: &[SocketAddr],
) -> Result<CoreNode<ControlState>, RoleError> {
    let mut config = CoreConfig::new(internal.to_string());
    let view = state.as_ref().and_then(|state| state.view());
    let bootstrap_members = Some(founders.len()).filter(|_| !founders.is_empty());
    config.minimum_members =
        settings.min_core_members(view.map(|view| view.members.len()).or(bootstrap_members));
    config.voters = voters(settings);
    config.roles = vec![controller::role()];
    config.lease = LeaseConfig::default();
    if settings.bootstrap && state.is_none() && founders.contains(&internal) {
        config.bootstrap_addresses = founders.iter().map(SocketAddr::to_string).collect();
    }
    Ok(CoreNode::new(config, state, clock::random_seed(), Instant::ORIGIN)?)
}

/// Core machines that vote, as far as there are so many: those that are left after the losses that are to be tolerated
/// are a majority.
fn voters(settings: &Settings) -> usize {
    2 * settings.fault_tolerance.machines as usize + 1
}
