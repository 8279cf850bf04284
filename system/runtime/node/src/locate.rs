//! Finds core machines: the settings name their operator's addresses, each of which tells the internal one.

use millrudder_system_http::client::{Client, Target};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Path at the operator's address that tells the internal address.
pub const PATH: &str = "/internal-address";
/// How long one seed is waited for.
const PATIENCE: Duration = Duration::from_millis(700);
/// Longest answer.
const MOST_BYTES: usize = 4096;

/// Answer at [`PATH`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InternalAddress {
    pub internal: SocketAddr,
}

/// Asks a seed for its internal address; `None` where it does not answer.
pub async fn internal_address(client: &Client, seed: SocketAddr) -> Option<SocketAddr> {
    let target = Target { address: seed, max_connections: 1 };
    let path = http::uri::PathAndQuery::from_static(PATH);
    let fetched = client.fetch(target, path, MOST_BYTES, PATIENCE).await.ok()?;
    let answer: InternalAddress = serde_json::from_slice(&fetched.body).ok()?;
    Some(answer.internal)
}
