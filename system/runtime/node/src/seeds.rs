//! Queries to seeds: the settings name operators' addresses of core machines, each of which answers with the address
//! where it listens for other processes.

use millrudder_system_http::client::{Client, Target};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// Path at the operator's address that answers with the internal address.
pub const INTERNAL_ADDRESS_PATH: &str = "/internal-address";
/// A seed that does not answer within this is taken for lost; it is asked again.
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4096;

/// Answer at [`INTERNAL_ADDRESS_PATH`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InternalAddress {
    /// Where the core machine listens for other processes of the system.
    pub internal: SocketAddr,
}

/// Queries all seeds at once, so that an unresponsive one does not hold the others up. The results come in the order of
/// the answers, `None` for a seed that does not answer; dropped, the set ends the queries under way.
pub fn query_all(client: &Client, seeds: &[SocketAddr]) -> JoinSet<Option<SocketAddr>> {
    let mut queries = JoinSet::new();
    for seed in seeds {
        let (client, seed) = (client.clone(), *seed);
        queries.spawn_local(async move { query(&client, seed).await });
    }
    queries
}

/// Queries a seed for its internal address; `None` where it does not answer.
async fn query(client: &Client, seed: SocketAddr) -> Option<SocketAddr> {
    let target = Target { address: seed, max_connections: 1 };
    let path = http::uri::PathAndQuery::from_static(INTERNAL_ADDRESS_PATH);
    let fetched = client.fetch(target, path, MAX_ANSWER_BYTES, QUERY_TIMEOUT).await.ok()?;
    let answer: InternalAddress = serde_json::from_slice(&fetched.body).ok()?;
    Some(answer.internal)
}
