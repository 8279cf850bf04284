//! Finds core machines by querying the seeds that the settings name.

use super::connections::CoreConnections;
use crate::seeds;
use millrudder_system_http::client::{Client, ClientLimits};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Backoff between two rounds of queries while too few core machines are known or none confirms the state ...
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// ... doubled after each round that finds no new one, up to this.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Queries seeds while core machines are needed, ever less often while no new one is found.
pub(super) async fn run(connections: CoreConnections) {
    let client = Client::new(ClientLimits::default());
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let needed = connections.needed_seeds();
        let is_needed = needed.is_some();
        if let Some(seeds) = needed {
            if find_core_machine(&connections, &client, &seeds).await {
                connections.replan();
                backoff = INITIAL_BACKOFF;
                continue;
            }
        }
        sleep(backoff).await;
        backoff = if is_needed { (backoff * 2).min(MAX_BACKOFF) } else { INITIAL_BACKOFF };
    }
}

/// Queries all seeds at once, and returns at the first that answers with an address that was not known. True if one did.
async fn find_core_machine(connections: &CoreConnections, client: &Client, seeds: &[SocketAddr]) -> bool {
    let mut queries = seeds::query_all(client, seeds);
    while let Some(answer) = queries.join_next().await {
        let Ok(Some(address)) = answer else { continue };
        if connections.add_core_machine(address) {
            return true;
        }
    }
    false
}
