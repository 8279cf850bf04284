//! Discovery with list and watch, as one dispatcher sees it.

use crate::fleet::{respond, Body, Inner};
use hyper::{Request, Response};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One line of the list.
#[derive(Clone, Debug)]
pub struct Line {
    pub name: String,
    pub kind: &'static str,
    pub cell: i64,
    pub lifecycle: &'static str,
    /// Unix time in ms; 0: long ago.
    pub started_at: f64,
    /// The list's version that brought this line.
    pub generation: u64,
}

impl Line {
    fn to_json(&self, address: Option<SocketAddr>) -> Value {
        json!({"instanceId": self.name, "hostPort": address.map(|a| a.to_string()), "zone": "z",
               "machineType": self.kind, "cell": self.cell, "lifecycle": self.lifecycle, "weight": 1.0,
               "startedAtMs": self.started_at})
    }
}

fn query(uri: &hyper::Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(n, _)| *n == name)?.1.parse().ok()
}

/// `view`: which dispatcher asks.
pub async fn answer<B>(inner: Arc<Inner>, view: usize, request: Request<B>) -> Response<Body> {
    let from = query(request.uri(), "from");
    let hold = Duration::from_millis(query(request.uri(), "hold_ms").unwrap_or(0).min(60_000));
    if let Some(from) = from {
        let mut changes = inner.generation.subscribe();
        let newer = async {
            while *changes.borrow_and_update() <= from {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(hold, newer).await;
    }
    let generation = *inner.generation.borrow();
    let lines = inner.lines(|line| match from {
        Some(from) => line.generation > from,
        None => line.lifecycle != "left",
    });
    let instances: Vec<Value> =
        lines.iter().map(|(line, addresses)| line.to_json(addresses.get(view).copied())).collect();
    inner.told(lines.iter().map(|(line, _)| line));
    let text = json!({"generation": generation, "reset": from.is_none(), "instances": instances}).to_string();
    respond(200, &[], text)
}
