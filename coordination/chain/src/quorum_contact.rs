//! Contact with a quorum, proven by round trips: how old what this node knows can be at most.
//!
//! Each heartbeat carries the sender's time, and echoes the newest such time that the sender has from each peer. A
//! heartbeat that echoes an own time `t` was therefore made after `t`, and what it says was true at some moment after
//! `t`. Once a majority of the voters has confirmed that it had accepted no later view, no later view was decided before
//! the oldest of these times. Once the tail has said how far the order is committed, a node that has applied that much
//! lacks no command committed before. Messages that are late, or that pass in one direction only, prove nothing, and a
//! process that was paused finds its proofs expired.

use std::collections::{BTreeMap, VecDeque};

use millrudder_clock::Instant;
use millrudder_view::{Epoch, NodeId, View};
use speedy::{Readable, Writable};

use crate::{Heartbeat, Sequence};

/// So many commit points of the tail that this node has not applied yet are remembered; the oldest goes first.
const MAX_PENDING_REPORTS: usize = 16;

/// A reading of the clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ProcessTimestamp {
    /// Drawn at random by each process, to tell its readings from those of an earlier one.
    pub process: u64,
    /// Microseconds of the process's steady clock.
    pub micros: u64,
}

/// The newest timestamp that the sender of a heartbeat has from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TimestampEcho {
    /// The peer.
    pub peer: NodeId,
    /// The newest timestamp that came from it.
    pub timestamp: ProcessTimestamp,
}

/// The tail's commit point at some moment after `heartbeat_sent_at`.
#[derive(Clone, Copy, Debug)]
struct CommitReport {
    heartbeat_sent_at: Instant,
    committed: Sequence,
}

/// The state of this node itself, as far as it is evidence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalStatus {
    pub(crate) id: NodeId,
    /// It votes in the present view and has accepted no later one.
    pub(crate) confirms_epoch: bool,
    /// It is the tail of the present view and knows every commit.
    pub(crate) is_caught_up_tail: bool,
    /// The last command that it has applied.
    pub(crate) committed: Sequence,
}

/// Proofs of contact, from the echoes in heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct QuorumContact {
    process: u64,
    /// The newest timestamp of each peer.
    peer_timestamps: BTreeMap<NodeId, ProcessTimestamp>,
    epoch: Epoch,
    /// The newest own time that each peer has echoed while it confirmed the epoch.
    confirmed_at: BTreeMap<NodeId, Instant>,
    reports: VecDeque<CommitReport>,
    /// Echoes of earlier own times prove nothing.
    not_before: Instant,
    view_as_of: Option<Instant>,
    /// As proven by the tail of the present epoch.
    state_as_of: Option<Instant>,
    /// As proven in earlier epochs.
    earlier_state_as_of: Option<Instant>,
}

impl QuorumContact {
    /// No contact yet. `process` is drawn at random by each process.
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

    /// The timestamp for a heartbeat that is made now.
    pub(crate) fn timestamp(&self, now: Instant) -> ProcessTimestamp {
        ProcessTimestamp { process: self.process, micros: now.as_micros() }
    }

    /// The newest timestamps of `peers`.
    pub(crate) fn echoes(&self, peers: Vec<NodeId>) -> Vec<TimestampEcho> {
        let timestamp = |peer: &NodeId| self.peer_timestamps.get(peer).copied().unwrap_or_default();
        peers.into_iter().map(|peer| TimestampEcho { peer, timestamp: timestamp(&peer) }).collect()
    }

    /// Drops the timestamps of peers that are gone.
    pub(crate) fn retain_peers(&mut self, is_known: impl Fn(NodeId) -> bool) {
        self.peer_timestamps.retain(|id, _| is_known(*id));
    }

    /// A view has come into force. What was proven in earlier views stays valid until it is too old.
    pub(crate) fn enter_epoch(&mut self, epoch: Epoch) {
        self.earlier_state_as_of = self.state_as_of();
        self.state_as_of = None;
        self.epoch = epoch;
        self.confirmed_at.clear();
        self.reports.clear();
    }

    /// The clock has stalled: nothing that was proven is known to be recent.
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

    /// Draws the conclusions that have become possible.
    pub(crate) fn update(&mut self, now: Instant, view: &View, local: LocalStatus) {
        self.view_as_of = self.view_as_of.max(self.view_proven_at(now, view, local));
        let applied = self.reports.iter().filter(|report| report.committed <= local.committed);
        let newest_applied = applied.map(|report| report.heartbeat_sent_at).max();
        self.reports.retain(|report| report.committed > local.committed);
        let state = if local.is_caught_up_tail { Some(now) } else { newest_applied };
        self.state_as_of = self.state_as_of.max(state);
    }

    /// The time before which no later view was decided.
    fn view_proven_at(&self, now: Instant, view: &View, local: LocalStatus) -> Option<Instant> {
        let confirmed_at = |id: NodeId| match id == local.id {
            true => local.confirms_epoch.then_some(now),
            false => self.confirmed_at.get(&id).copied(),
        };
        let mut times: Vec<Instant> = view.voter_ids().filter_map(confirmed_at).collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(view.majority().checked_sub(1)?).copied()
    }

    /// The last moment of which it is known that no later view had been decided.
    pub(crate) fn view_as_of(&self) -> Option<Instant> {
        self.view_as_of
    }

    /// The last moment of which it is known that every command committed by then is applied here.
    pub(crate) fn state_as_of(&self) -> Option<Instant> {
        // The tail of a view that is over may lack what was committed in later views.
        self.earlier_state_as_of.max(self.state_as_of.min(self.view_as_of))
    }
}
