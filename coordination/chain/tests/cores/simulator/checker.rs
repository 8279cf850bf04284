//! Checks the invariants of the core against the outputs of the nodes.

use std::collections::BTreeMap;

use millrudder_chain::{Epoch, FencingToken, RequestId, Sequence, View};

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    TwoViewsInOneEpoch {
        first: View,
        second: View,
    },
    TwoCommandsAtOneSequence {
        sequence: u64,
        first: u64,
        second: u64,
    },
    AppliedTwice {
        value: u64,
        first: u64,
        second: u64,
    },
    AnsweredDifferently {
        value: u64,
        first: u64,
        second: u64,
    },
    StaleRead {
        expected: u64,
        seen: u64,
    },
    AcknowledgedWriteLost {
        value: u64,
    },
    TwoHolders {
        first: usize,
        second: usize,
    },
    FencingTokenNotHigher {
        before: FencingToken,
        now: FencingToken,
    },
    ViewTooSmall {
        view: View,
    },
    /// A node with quorum contact lacks a command acknowledged earlier than its reported state age allows.
    OlderThanClaimed {
        machine: usize,
        expected: u64,
        seen: u64,
    },
    NotRecovered {
        reason: &'static str,
    },
}

#[derive(Clone, Copy, Debug)]
struct ReadOperation {
    /// The highest sequence acknowledged or read before this read began, which it must observe.
    floor: u64,
}

/// Everything that nodes have committed, acknowledged and reported so far.
#[derive(Default)]
pub struct Checker {
    views: BTreeMap<Epoch, View>,
    committed: BTreeMap<u64, u64>,
    sequences: BTreeMap<u64, u64>,
    acknowledged: BTreeMap<u64, u64>,
    /// The highest acknowledged sequence, by the time at which it was reached.
    acknowledged_at: BTreeMap<u64, u64>,
    reads: BTreeMap<RequestId, ReadOperation>,
    observed: u64,
    highest_fencing_token: FencingToken,
    pub finished_reads: usize,
    pub granted_leases: usize,
    pub state_age_checks: usize,
}

impl Checker {
    /// Checks a machine's claim that its state, which ends at sequence `seen`, contains everything acknowledged before
    /// `as_of`.
    pub fn check_state_age(&mut self, machine: usize, as_of: u64, seen: u64) -> Result<(), Violation> {
        self.state_age_checks += 1;
        let expected = self.acknowledged_at.range(..as_of).next_back().map_or(0, |(_, highest)| *highest);
        if seen < expected {
            return Err(Violation::OlderThanClaimed { machine, expected, seen });
        }
        Ok(())
    }

    pub fn view(&mut self, view: &View, minimum: usize) -> Result<(), Violation> {
        if view.members.len() < minimum {
            return Err(Violation::ViewTooSmall { view: view.clone() });
        }
        let first = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        if first != view {
            return Err(Violation::TwoViewsInOneEpoch { first: first.clone(), second: view.clone() });
        }
        Ok(())
    }

    pub fn views(&self) -> usize {
        self.views.len()
    }

    pub fn committed(&mut self, sequence: Sequence, value: u64, reply: u64) -> Result<(), Violation> {
        let sequence = sequence.0;
        let first = *self.committed.entry(sequence).or_insert(value);
        if first != value {
            return Err(Violation::TwoCommandsAtOneSequence { sequence, first, second: value });
        }
        let first = *self.sequences.entry(value).or_insert(reply);
        if first != reply {
            return Err(Violation::AppliedTwice { value, first, second: reply });
        }
        Ok(())
    }

    pub fn acknowledged(&mut self, now: u64, value: u64, reply: u64) -> Result<(), Violation> {
        let highest = self.acknowledged_at.last_key_value().map_or(0, |(_, highest)| *highest);
        self.acknowledged_at.insert(now, reply.max(highest));
        let first = *self.acknowledged.entry(value).or_insert(reply);
        if first != reply {
            return Err(Violation::AnsweredDifferently { value, first, second: reply });
        }
        self.observed = self.observed.max(reply);
        Ok(())
    }

    pub fn read_began(&mut self, request_id: RequestId) {
        self.reads.insert(request_id, ReadOperation { floor: self.observed });
    }

    pub fn read_ended(&mut self, request_id: RequestId, seen: u64) -> Result<(), Violation> {
        let Some(read) = self.reads.remove(&request_id) else {
            return Ok(());
        };
        if seen < read.floor {
            return Err(Violation::StaleRead { expected: read.floor, seen });
        }
        self.observed = self.observed.max(seen);
        self.finished_reads += 1;
        Ok(())
    }

    pub fn lease_granted(&mut self, fencing_token: FencingToken) -> Result<(), Violation> {
        if fencing_token <= self.highest_fencing_token {
            return Err(Violation::FencingTokenNotHigher {
                before: self.highest_fencing_token,
                now: fencing_token,
            });
        }
        self.highest_fencing_token = fencing_token;
        self.granted_leases += 1;
        Ok(())
    }

    pub fn acknowledged_values(&self) -> impl Iterator<Item = u64> + '_ {
        self.acknowledged.keys().copied()
    }

    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }
}
