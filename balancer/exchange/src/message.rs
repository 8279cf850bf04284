//! Messages to the dispatch coroutine.

use crate::attempt::{AttemptEnd, AttemptId, JobNews, LoadReport};
use crate::job::{Job, Reply, Ticket};
use crate::operator_order::PendingOrder;
use crate::peer_process::PeerRequest;
use crate::transport_map::{HopId, MapNews};
use std::sync::Arc;

/// All that reaches the dispatch coroutine.
pub enum Message {
    Submitted {
        ticket: Ticket,
        job: Arc<Job>,
        reply: Reply,
    },
    Withdrawn {
        ticket: Ticket,
    },
    News(JobNews),
    Accepted {
        attempt: AttemptId,
    },
    Ended {
        attempt: AttemptId,
        end: AttemptEnd,
        load: Option<LoadReport>,
    },
    CalledOff {
        attempt: AttemptId,
    },
    /// `end`: none if the probe passed.
    Probed {
        hop: HopId,
        end: Option<AttemptEnd>,
        latency: f64,
        load: Option<LoadReport>,
    },
    Map(MapNews),
    MapUnavailable,
    /// New settings wait for the core.
    Retuned,
    /// From now on discovery is here.
    Discovery(std::net::SocketAddr),
    Stop,
    /// An operator's order: it comes before all else that waits.
    Ordered(PendingOrder),
    /// The other process of an upgrade asks.
    PeerRequest(PeerRequest),
    /// Something more urgent has come; `Inbox` never gives this out.
    Nudge,
}
