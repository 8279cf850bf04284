//! Start of a core machine: finds the others, and makes its state machine.

use crate::clock;
use crate::core::controller;
use crate::core::event::Event;
use crate::error::RoleError;
use crate::seeds;
use crate::task::TaskGuard;
use arc_swap::ArcSwap;
use millrudder_chain::{CoreConfig, CoreNode, DurableState, LeaseConfig};
use millrudder_control_state::ControlState;
use millrudder_settings::Settings;
use millrudder_system_http::client::Client;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

/// Backoff between two rounds of queries to seeds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// The same after it has doubled a few times.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// How long a founder waits for the others to answer before it goes on with a majority of them. All machines start within
/// 0.3 s of each other in the first start.
const FOUNDERS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Core machines that the settings of the first start name; they form the core.
#[derive(Default)]
pub struct Founders {
    /// Internal addresses of those that have answered.
    pub found: BTreeSet<SocketAddr>,
    /// Number of all founders; 0 at a machine that is none.
    pub count: usize,
}

impl Founders {
    fn are_all_found(&self) -> bool {
        self.found.len() >= self.count
    }

    fn are_majority_found(&self) -> bool {
        self.found.len() > self.count / 2
    }
}

/// Queries the founders until all have answered or, after [`FOUNDERS_TIMEOUT`], a majority: some may be lost for good. This
/// machine has never seen a view of a core, and is about to form one with them, or to join it.
pub async fn find_founders(client: &Client, all_seeds: &[SocketAddr]) -> Founders {
    let mut founders = Founders { count: all_seeds.len(), ..Founders::default() };
    let started = Instant::now();
    loop {
        let mut answers = seeds::query_all(client, all_seeds);
        while let Some(answer) = answers.join_next().await {
            founders.found.extend(answer.ok().flatten());
        }
        let is_late = started.elapsed() >= FOUNDERS_TIMEOUT;
        if founders.are_all_found() || is_late && founders.are_majority_found() {
            return founders;
        }
        sleep(INITIAL_BACKOFF).await;
    }
}

/// Queries the founders until the guard is dropped or all have answered, and reports each that had not been found.
pub fn spawn_founder_watch(
    client: Client,
    all_seeds: Vec<SocketAddr>,
    mut founders: Founders,
    events: UnboundedSender<Event>,
) -> TaskGuard {
    TaskGuard::spawn_local(async move {
        while !founders.are_all_found() {
            sleep(INITIAL_BACKOFF).await;
            let mut answers = seeds::query_all(&client, &all_seeds);
            while let Some(answer) = answers.join_next().await {
                let found = answer.ok().flatten();
                if let Some(address) = found.filter(|address| founders.found.insert(*address)) {
                    drop(events.send(Event::FounderFound { address }));
                }
            }
        }
    })
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
    founders: &Founders,
) -> Result<CoreNode<ControlState>, RoleError> {
    let mut config = CoreConfig::new(internal.to_string());
    let view = state.as_ref().and_then(|state| state.view());
    let founder_count = Some(founders.count).filter(|count| *count > 0);
    config.minimum_members = settings.min_core_members(view.map(|view| view.members.len()).or(founder_count));
    config.voters = voters(settings);
    config.roles = vec![controller::role()];
    config.lease = LeaseConfig::default();
    if founders.found.contains(&internal) {
        config.bootstrap_addresses = founders.found.iter().map(SocketAddr::to_string).collect();
        config.founder_count = founders.count;
    }
    Ok(CoreNode::new(config, state, clock::random_seed(), millrudder_clock::Instant::ORIGIN)?)
}

/// Core machines that vote, as far as there are so many: those that are left after the losses that are to be tolerated
/// are a majority.
fn voters(settings: &Settings) -> usize {
    2 * settings.fault_tolerance.machines as usize + 1
}
