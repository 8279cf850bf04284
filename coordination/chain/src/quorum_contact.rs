//! Contact with a majority, proven by round trips: how old what this node knows can be at most.
//!
//! Each heartbeat carries the sender's time, and names the newest such time that the sender has from each peer. A
//! heartbeat that comes back with an own time `t` was therefore made after `t`, and what it says held at some moment
//! after `t`. Once a majority of the voters has said so that it had accepted no later view, no later view was decided
//! before the oldest of these times. Once the tail has said so how far the order is committed, a node that has
//! applied that much lacks no command committed before. Messages that are late or pass in one direction only prove
//! nothing, and a process that stood still finds its proofs expired.

use std::collections::{BTreeMap, VecDeque};

use millrudder_view::{Epoch, NodeId, View};
use speedy::{Readable, Writable};

use crate::{Heartbeat, Sequence};

/// Reports of the tail that this node has not reached yet are kept up to this number.
const REPORTS_KEPT: usize = 16;

/// A moment on the clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ProcessTimestamp {
    /// Drawn at random by each process, so that the stamps of an earlier one are told apart.
    pub process: u64,
    /// Microseconds of the process's steady clock.
    pub micros: u64,
}

/// A peer that the sender of a heartbeat hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TimestampEcho {
    /// The peer.
    pub peer: NodeId,
    /// The newest stamp that came from it.
    pub stamp: ProcessTimestamp,
}

/// What a tail said of its commit point, as of an own time.
#[derive(Clone, Copy, Debug)]
struct Report {
    asked_at: u64,
    committed: Sequence,
}

/// What a node knows of itself at the moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Own {
    pub(crate) id: NodeId,
    /// It votes in the present view and has accepted no later one.
    pub(crate) vouches: bool,
    /// It is the tail of the present view and knows every commit.
    pub(crate) commits: bool,
    /// The last command that it has applied.
    pub(crate) committed: Sequence,
}

/// Proofs of contact. Times are microseconds of the node's steady clock.
#[derive(Clone, Debug)]
pub(crate) struct QuorumContact {
    process: u64,
    /// The newest stamp of each peer.
    stamps: BTreeMap<NodeId, ProcessTimestamp>,
    epoch: Epoch,
    /// The newest own time to which each peer has answered within the epoch, while it vouched for that.
    vouched: BTreeMap<NodeId, u64>,
    reports: VecDeque<Report>,
    /// Answers to what this node sent before prove nothing.
    not_before: u64,
    view_as_of: Option<u64>,
    /// As proven by the tail of the present epoch ...
    state_as_of: Option<u64>,
    /// ... and in earlier epochs.
    earlier_state_as_of: Option<u64>,
}

impl QuorumContact {
    pub(crate) fn new(process: u64) -> QuorumContact {
        QuorumContact {
            process,
            stamps: BTreeMap::new(),
            epoch: Epoch::NONE,
            vouched: BTreeMap::new(),
            reports: VecDeque::new(),
            not_before: 0,
            view_as_of: None,
            state_as_of: None,
            earlier_state_as_of: None,
        }
    }

    /// The stamp for a heartbeat that is made now.
    pub(crate) fn stamp(&self, now: u64) -> ProcessTimestamp {
        ProcessTimestamp { process: self.process, micros: now }
    }

    /// Names peers with their newest stamps.
    pub(crate) fn echo(&self, peers: Vec<NodeId>) -> Vec<TimestampEcho> {
        let stamp = |peer: &NodeId| self.stamps.get(peer).copied().unwrap_or_default();
        peers.into_iter().map(|peer| TimestampEcho { peer, stamp: stamp(&peer) }).collect()
    }

    /// Forgets a peer that is gone.
    pub(crate) fn forget(&mut self, is_gone: impl Fn(NodeId) -> bool) {
        self.stamps.retain(|id, _| !is_gone(*id));
    }

    /// A view has come into force. What was proven of earlier views holds on until it is too old.
    pub(crate) fn view_changed(&mut self, epoch: Epoch) {
        self.earlier_state_as_of = self.state_as_of();
        self.state_as_of = None;
        self.epoch = epoch;
        self.vouched.clear();
        self.reports.clear();
    }

    /// The clock has stood still: nothing that was proven is known to be recent.
    pub(crate) fn stood_still(&mut self, now: u64) {
        self.not_before = now;
        self.view_as_of = None;
        self.state_as_of = None;
        self.earlier_state_as_of = None;
        self.vouched.clear();
        self.reports.clear();
    }

    /// Takes what a heartbeat proves.
    pub(crate) fn heartbeat(&mut self, me: NodeId, view: &View, from: NodeId, heartbeat: &Heartbeat) {
        self.stamps.insert(from, heartbeat.stamp);
        let answered = heartbeat.heard.iter().find(|heard| heard.peer == me);
        let Some(asked) = answered.filter(|heard| heard.stamp.process == self.process) else {
            return;
        };
        if heartbeat.epoch != self.epoch || self.epoch == Epoch::NONE {
            return;
        }
        let asked_at = asked.stamp.micros;
        if asked_at < self.not_before {
            return;
        }
        if heartbeat.vouches {
            let newest = self.vouched.entry(from).or_insert(asked_at);
            *newest = asked_at.max(*newest);
        }
        if heartbeat.synced && view.tail() == Some(from) {
            self.reports.push_back(Report { asked_at, committed: heartbeat.committed });
            if self.reports.len() > REPORTS_KEPT {
                self.reports.pop_front();
            }
        }
    }

    /// Draws the conclusions that have become possible.
    pub(crate) fn conclude(&mut self, now: u64, view: &View, own: Own) {
        self.view_as_of = self.view_as_of.max(self.view_proven(now, view, own));
        let reached = self.reports.iter().filter(|report| report.committed <= own.committed);
        let reached = reached.map(|report| report.asked_at).max();
        self.reports.retain(|report| report.committed > own.committed);
        let state = if own.commits { Some(now) } else { reached };
        self.state_as_of = self.state_as_of.max(state);
    }

    /// The time before which no later view was decided.
    fn view_proven(&self, now: u64, view: &View, own: Own) -> Option<u64> {
        let asked = |id: NodeId| match id == own.id {
            true => own.vouches.then_some(now),
            false => self.vouched.get(&id).copied(),
        };
        let mut times: Vec<u64> = view.voter_ids().filter_map(asked).collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(view.majority().checked_sub(1)?).copied()
    }

    /// The last moment of which it is known that no later view had been decided.
    pub(crate) fn view_as_of(&self) -> Option<u64> {
        self.view_as_of
    }

    /// The last moment of which it is known that every command committed by then is applied here.
    pub(crate) fn state_as_of(&self) -> Option<u64> {
        // Whoever reports as the tail of a view that is over may lack what was committed in later ones.
        self.earlier_state_as_of.max(self.state_as_of.min(self.view_as_of))
    }
}
