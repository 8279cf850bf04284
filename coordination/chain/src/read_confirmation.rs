//! Linearizable reads at the tail: a read index is valid once a majority of the voters has confirmed that the epoch is
//! current (read index: Ongaro, Ousterhout, 2014).

use std::collections::BTreeSet;

use millrudder_view::NodeId;

use crate::{RequestId, Sequence};

/// A request for a read index, pending at the tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadIndexRequest {
    pub(crate) origin: NodeId,
    pub(crate) request_id: RequestId,
}

/// Reads whose epoch was confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConfirmedReads {
    pub(crate) requests: Vec<ReadIndexRequest>,
    /// Their read index.
    pub(crate) sequence: Sequence,
}

#[derive(Clone, Debug)]
struct Attempt {
    requests: Vec<ReadIndexRequest>,
    sequence: Sequence,
    confirmed_by: BTreeSet<NodeId>,
}

/// Epoch confirmations at the tail, one attempt at a time; reads that arrive during an attempt share the next one.
#[derive(Clone, Debug)]
pub(crate) struct ReadConfirmations {
    number: u64,
    attempt: Option<Attempt>,
    waiting: Vec<ReadIndexRequest>,
}

impl ReadConfirmations {
    /// `first_number` must be random, so that late confirmations meant for an earlier process are ignored.
    pub(crate) fn new(first_number: u64) -> ReadConfirmations {
        ReadConfirmations { number: first_number, attempt: None, waiting: Vec::new() }
    }

    /// Drops everything: the view has changed, and the nodes that asked retry their reads.
    pub(crate) fn reset(&mut self) {
        self.attempt = None;
        self.waiting.clear();
    }

    /// Adds a read to the next attempt.
    pub(crate) fn add(&mut self, request: ReadIndexRequest) {
        if !self.waiting.contains(&request) {
            self.waiting.push(request);
        }
    }

    /// Number of the attempt in flight.
    pub(crate) fn in_flight(&self) -> Option<u64> {
        self.attempt.as_ref().map(|_| self.number)
    }

    /// Starts an attempt for the waiting reads, if none is in flight. Returns its number.
    pub(crate) fn start(&mut self, committed: Sequence) -> Option<u64> {
        if self.attempt.is_some() || self.waiting.is_empty() {
            return None;
        }
        self.number = self.number.wrapping_add(1);
        let requests = std::mem::take(&mut self.waiting);
        self.attempt = Some(Attempt { requests, sequence: committed, confirmed_by: BTreeSet::new() });
        Some(self.number)
    }

    /// Counts a confirmation. Returns the reads of the attempt once `majority` voters have confirmed it.
    pub(crate) fn handle_confirmation(
        &mut self,
        from: NodeId,
        number: u64,
        majority: usize,
    ) -> Option<ConfirmedReads> {
        if number != self.number {
            return None;
        }
        let attempt = self.attempt.as_mut()?;
        attempt.confirmed_by.insert(from);
        if attempt.confirmed_by.len() < majority {
            return None;
        }
        let attempt = self.attempt.take()?;
        Some(ConfirmedReads { requests: attempt.requests, sequence: attempt.sequence })
    }
}
