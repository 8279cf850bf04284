//! Quorum contact, proven by round trips: an upper bound on the age of the view and state that this node knows.
//!
//! Each heartbeat carries the sender's timestamp, and echoes the newest timestamp that the sender has received from
//! each peer. A heartbeat that echoes this node's timestamp `t` was therefore created after `t`, and its contents were
//! true at some moment after `t`. Once a majority of the voters has confirmed that it had accepted no later view, no
//! later view was decided before the oldest of the echoed timestamps. Once the tail has reported its commit point, a
//! node that has applied the commands up to it lacks no command committed before the echoed timestamp. Late messages
//! renew nothing, since they echo old timestamps, and nor do messages that pass in one direction only. After a pause of
//! the process, all evidence has expired.

use std::collections::{BTreeMap, VecDeque};

use millrudder_clock::Instant;
use millrudder_view::{Epoch, NodeId, View};
use speedy::{Readable, Writable};

use crate::{Heartbeat, Sequence};

/// Maximum number of stored commit points of the tail that this node has not applied yet; the oldest is dropped first.
const MAX_PENDING_REPORTS: usize = 16;

/// A reading of the clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ProcessTimestamp {
    /// Random number of the process, to distinguish its readings from those of an earlier process.
    pub process: u64,
    /// Reading of the process's steady clock in microseconds.
    pub micros: u64,
}

/// The newest timestamp that the sender of a heartbeat has from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TimestampEcho {
    /// The peer.
    pub peer: NodeId,
    /// The newest timestamp received from the peer.
    pub timestamp: ProcessTimestamp,
}

/// The tail's commit point at some moment after this node sent a heartbeat at `heartbeat_sent_at`.
#[derive(Clone, Copy, Debug)]
struct CommitReport {
    heartbeat_sent_at: Instant,
    committed: Sequence,
}

/// Status of this node itself that counts as evidence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalStatus {
    pub(crate) id: NodeId,
    /// Whether this node votes in the current view and has accepted no later one.
    pub(crate) confirms_epoch: bool,
    /// Whether this node is the tail of the current view and has caught up, so that it knows every commit.
    pub(crate) is_caught_up_tail: bool,
    /// The last command that this node has applied.
    pub(crate) committed: Sequence,
}

/// Evidence of quorum contact, collected from the echoes in heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct QuorumContact {
    process: u64,
    /// The newest timestamp of each peer.
    peer_timestamps: BTreeMap<NodeId, ProcessTimestamp>,
    epoch: Epoch,
    /// For each peer, the newest timestamp of this node that it echoed while it confirmed the epoch.
    confirmed_at: BTreeMap<NodeId, Instant>,
    reports: VecDeque<CommitReport>,
    /// Echoes of this node's timestamps before this time are ignored.
    not_before: Instant,
    view_as_of: Option<Instant>,
    /// Last moment up to which the state is known to be current, as proven by the tail of the current epoch.
    state_as_of: Option<Instant>,
    /// The same, as proven in earlier epochs.
    earlier_state_as_of: Option<Instant>,
}

impl QuorumContact {
    /// Starts without contact. `process` is a random number that identifies this process.
    pub(crate) fn new(process: u64) -> QuorumContact {
        QuorumContact {
            process,
            peer_timestamps: BTreeMap::new(),
            epoch: Epoch::NONE,
            confirmed_at: BTreeMap::new(),
            reports: VecDeque::new(),
            not_before: Instant::ORIGIN,
            view_as_of: None,
            state_as_of: None,
            earlier_state_as_of: None,
        }
    }

    /// The timestamp for a heartbeat created now.
    pub(crate) fn timestamp(&self, now: Instant) -> ProcessTimestamp {
        ProcessTimestamp { process: self.process, micros: now.as_micros() }
    }

    /// The newest timestamps of `peers`.
    pub(crate) fn echoes(&self, peers: Vec<NodeId>) -> Vec<TimestampEcho> {
        let timestamp = |peer: &NodeId| self.peer_timestamps.get(peer).copied().unwrap_or_default();
        peers.into_iter().map(|peer| TimestampEcho { peer, timestamp: timestamp(&peer) }).collect()
    }

    /// Drops the timestamps of peers for which `is_known` returns false.
    pub(crate) fn retain_peers(&mut self, is_known: impl Fn(NodeId) -> bool) {
        self.peer_timestamps.retain(|id, _| is_known(*id));
    }

    /// Starts collecting evidence for a new view. The age of the state proven in earlier views stays valid until it is
    /// too old.
    pub(crate) fn enter_epoch(&mut self, epoch: Epoch) {
        self.earlier_state_as_of = self.state_as_of();
        self.state_as_of = None;
        self.epoch = epoch;
        self.confirmed_at.clear();
        self.reports.clear();
    }

    /// Discards all evidence after a clock stall, as its true age is unknown.
    pub(crate) fn handle_clock_stall(&mut self, now: Instant) {
        self.not_before = now;
        self.view_as_of = None;
        self.state_as_of = None;
        self.earlier_state_as_of = None;
        self.confirmed_at.clear();
        self.reports.clear();
    }

    /// Collects the evidence in a heartbeat.
    pub(crate) fn handle_heartbeat(
        &mut self,
        local_id: NodeId,
        view: &View,
        from: NodeId,
        heartbeat: &Heartbeat,
    ) {
        self.peer_timestamps.insert(from, heartbeat.timestamp);
        let own_echo = heartbeat.timestamp_echoes.iter().find(|echo| echo.peer == local_id);
        let Some(echo) = own_echo.filter(|echo| echo.timestamp.process == self.process) else {
            return;
        };
        if heartbeat.epoch != self.epoch || self.epoch == Epoch::NONE {
            return;
        }
        let heartbeat_sent_at = Instant::from_micros(echo.timestamp.micros);
        if heartbeat_sent_at < self.not_before {
            return;
        }
        if heartbeat.confirms_epoch {
            let newest = self.confirmed_at.entry(from).or_insert(heartbeat_sent_at);
            *newest = heartbeat_sent_at.max(*newest);
        }
        if heartbeat.is_caught_up && view.tail() == Some(from) {
            self.reports.push_back(CommitReport { heartbeat_sent_at, committed: heartbeat.committed });
            if self.reports.len() > MAX_PENDING_REPORTS {
                self.reports.pop_front();
            }
        }
    }

    /// Re-evaluates the evidence with the current state of this node.
    pub(crate) fn update(&mut self, now: Instant, view: &View, local: LocalStatus) {
        self.view_as_of = self.view_as_of.max(self.view_proven_at(now, view, local));
        let applied = self.reports.iter().filter(|report| report.committed <= local.committed);
        let newest_applied = applied.map(|report| report.heartbeat_sent_at).max();
        self.reports.retain(|report| report.committed > local.committed);
        let state = if local.is_caught_up_tail { Some(now) } else { newest_applied };
        self.state_as_of = self.state_as_of.max(state);
    }

    /// The latest time before which a majority of voters proves that no later view was decided.
    fn view_proven_at(&self, now: Instant, view: &View, local: LocalStatus) -> Option<Instant> {
        let confirmed_at = |id: NodeId| match id == local.id {
            true => local.confirms_epoch.then_some(now),
            false => self.confirmed_at.get(&id).copied(),
        };
        let mut times: Vec<Instant> = view.voter_ids().filter_map(confirmed_at).collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(view.majority().checked_sub(1)?).copied()
    }

    /// The last moment at which no later view is known to have been decided.
    pub(crate) fn view_as_of(&self) -> Option<Instant> {
        self.view_as_of
    }

    /// The last moment for which every command committed by then is known to be applied at this node.
    pub(crate) fn state_as_of(&self) -> Option<Instant> {
        // The tail of an outdated view may lack commands committed in later views.
        self.earlier_state_as_of.max(self.state_as_of.min(self.view_as_of))
    }
}
