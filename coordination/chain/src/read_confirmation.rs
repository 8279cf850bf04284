//! Linearizable reads: the tail confirms with a majority that its epoch is current.

use std::collections::BTreeSet;

use millrudder_view::NodeId;

use crate::{RequestId, Sequence};

/// A read that waits at the tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reader {
    pub(crate) origin: NodeId,
    pub(crate) request_id: RequestId,
}

/// A confirmed round: its readers must look up to `sequence`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConfirmedReads {
    pub(crate) readers: Vec<Reader>,
    pub(crate) sequence: Sequence,
}

#[derive(Clone, Debug)]
struct Round {
    readers: Vec<Reader>,
    sequence: Sequence,
    confirmed_by: BTreeSet<NodeId>,
}

/// Rounds of confirmation at the tail, one at a time; reads that come meanwhile share the next one.
#[derive(Clone, Debug)]
pub(crate) struct Confirmations {
    number: u64,
    round: Option<Round>,
    waiting: Vec<Reader>,
}

impl Confirmations {
    /// `first_round` is drawn at random, so that late confirmations of an earlier process never count.
    pub(crate) fn new(first_round: u64) -> Confirmations {
        Confirmations { number: first_round, round: None, waiting: Vec::new() }
    }

    /// Forgets everything: the view has changed, and the readers ask again.
    pub(crate) fn reset(&mut self) {
        self.round = None;
        self.waiting.clear();
    }

    /// Takes a read.
    pub(crate) fn add(&mut self, reader: Reader) {
        if !self.waiting.contains(&reader) {
            self.waiting.push(reader);
        }
    }

    /// Number of the round that is under way.
    pub(crate) fn under_way(&self) -> Option<u64> {
        self.round.as_ref().map(|_| self.number)
    }

    /// Starts a round for the waiting reads, if none is under way. Returns its number.
    pub(crate) fn start(&mut self, committed: Sequence) -> Option<u64> {
        if self.round.is_some() || self.waiting.is_empty() {
            return None;
        }
        self.number = self.number.wrapping_add(1);
        let readers = std::mem::take(&mut self.waiting);
        self.round = Some(Round { readers, sequence: committed, confirmed_by: BTreeSet::new() });
        Some(self.number)
    }

    /// Counts a confirmation. Returns the reads once `majority` members have confirmed.
    pub(crate) fn confirm(&mut self, from: NodeId, number: u64, majority: usize) -> Option<ConfirmedReads> {
        if number != self.number {
            return None;
        }
        let round = self.round.as_mut()?;
        round.confirmed_by.insert(from);
        if round.confirmed_by.len() < majority {
            return None;
        }
        let round = self.round.take()?;
        Some(ConfirmedReads { readers: round.readers, sequence: round.sequence })
    }
}
