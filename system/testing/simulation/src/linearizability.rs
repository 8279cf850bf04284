//! Checks a history of operators against a versioned register with repeats.
//!
//! A history is accepted if every answered operation can be given one moment between its call and its answer, and some
//! of the unanswered ones a moment after their call, so that the register, worked in that order, answers the same.

use crate::history::{Configuration, ContentId, Operation, Request, Response};
use std::collections::{BTreeSet, HashSet};

/// The specification: one configuration in force, and all that were ever accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    current: Option<Configuration>,
    accepted: BTreeSet<ContentId>,
}

impl Register {
    fn version(&self) -> u64 {
        self.current.map_or(0, |current| current.version)
    }

    /// What an order is answered now.
    fn response(&self, request: Request) -> Response {
        let Request::Put { expected, configuration } = request else {
            return Response::Current(self.current);
        };
        if self.accepted.contains(&configuration.body) {
            return Response::Accepted;
        }
        if expected != self.version() {
            return Response::Conflict;
        }
        if configuration.version <= self.version() {
            return Response::NotHigher;
        }
        Response::Accepted
    }

    /// The configuration that an order puts into force now, if it does.
    fn effect(&self, request: Request) -> Option<Configuration> {
        let Request::Put { configuration, .. } = request else { return None };
        let fresh = !self.accepted.contains(&configuration.body);
        (fresh && self.response(request) == Response::Accepted).then_some(configuration)
    }

    /// Works an order; gives what it answers.
    pub fn apply(&mut self, request: Request) -> Response {
        let response = self.response(request);
        if let Some(configuration) = self.effect(request) {
            self.accepted.insert(configuration.body);
            self.current = Some(configuration);
        }
        response
    }

    /// Whether the answer is one that the order may get here: where two refusals apply, either is right.
    fn allows(&self, request: Request, response: Response) -> bool {
        let worked = self.response(request);
        let Request::Put { configuration, .. } = request else { return worked == response };
        let not_higher = configuration.version <= self.version();
        let either = worked == Response::Conflict && response == Response::NotHigher && not_higher;
        worked == response || either
    }

    /// Whether the operation may be next. One without an answer that would change nothing need not be.
    fn admits(&self, operation: &Operation) -> bool {
        match operation.responded {
            Some((_, response)) => self.allows(operation.request, response),
            None => self.effect(operation.request).is_some(),
        }
    }
}

/// Which operations have been given their moment, one bit each.
#[derive(Clone, PartialEq, Eq, Hash)]
struct LinearizedSet(Vec<u64>);

/// Operations of one word of [`Done`].
const WORD: usize = u64::BITS as usize;

impl LinearizedSet {
    fn none_of(count: usize) -> LinearizedSet {
        LinearizedSet(vec![0; count.div_ceil(WORD)])
    }

    fn has(&self, index: usize) -> bool {
        self.0[index / WORD] >> (index % WORD) & 1 == 1
    }

    fn and(&self, index: usize) -> LinearizedSet {
        let mut more = self.clone();
        more.0[index / WORD] |= 1 << (index % WORD);
        more
    }
}

/// Bits are kept of answered operations alone: one without an answer is worked only where it changes the register,
/// which then shows that it was.
struct Search<'a> {
    operations: &'a [Operation],
    visited: HashSet<(LinearizedSet, Register)>,
}

impl Search<'_> {
    /// The first answer among the operations that are left: whatever is next must have been called before it.
    fn horizon(&self, linearized: &LinearizedSet) -> Option<u64> {
        let left = self.operations.iter().enumerate().filter(|(index, _)| !linearized.has(*index));
        left.filter_map(|(_, operation)| operation.responded.map(|(at, _)| at)).min()
    }

    fn explore(&mut self, linearized: &LinearizedSet, register: &Register) -> bool {
        let Some(horizon) = self.horizon(linearized) else { return true };
        if !self.visited.insert((linearized.clone(), register.clone())) {
            return false;
        }
        let operations = self.operations;
        for (index, operation) in operations.iter().enumerate() {
            if operation.invoked > horizon {
                break;
            }
            if linearized.has(index) || !register.admits(operation) {
                continue;
            }
            let mut after = register.clone();
            after.apply(operation.request);
            let next = if operation.responded.is_some() { linearized.and(index) } else { linearized.clone() };
            if self.explore(&next, &after) {
                return true;
            }
        }
        false
    }
}

/// Whether the history can have come from one register. Operations are in the order of their calls.
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let mut search = Search { operations, visited: HashSet::new() };
    search.explore(&LinearizedSet::none_of(operations.len()), &Register::default())
}

/// A short part of a history that is still not linearizable.
pub fn shrink(operations: &[Operation]) -> Vec<Operation> {
    let mut kept = shortest_prefix(operations);
    let mut index = kept.len();
    while index > 0 {
        index -= 1;
        if let Some(without) = weakened(&kept, index).filter(|less| !is_linearizable(less)) {
            kept = without;
        }
    }
    kept
}

/// The history up to the first answer that cannot be.
fn shortest_prefix(operations: &[Operation]) -> Vec<Operation> {
    let mut answers: Vec<u64> =
        operations.iter().filter_map(|operation| operation.responded.map(|(at, _)| at)).collect();
    answers.sort_unstable();
    let prefix = |until: u64| -> Vec<Operation> {
        let begun = operations.iter().filter(|operation| operation.invoked <= until);
        begun.map(|operation| truncate(operation, until)).collect()
    };
    let first = answers.partition_point(|until| is_linearizable(&prefix(*until)));
    answers.get(first).map_or_else(|| operations.to_vec(), |until| prefix(*until))
}

fn truncate(operation: &Operation, until: u64) -> Operation {
    let responded = operation.responded.filter(|(at, _)| *at <= until);
    Operation { responded, ..*operation }
}

/// The history with less said by one operation: one that changes nothing is left out, others lose their answer; one
/// without an answer is left out where nobody speaks of its bytes.
fn weakened(operations: &[Operation], index: usize) -> Option<Vec<Operation>> {
    let operation = operations[index];
    let mut less = operations.to_vec();
    match (operation.request, operation.responded) {
        (Request::Get, _) | (_, Some((_, Response::Conflict | Response::NotHigher))) => {
            less.remove(index);
        }
        (Request::Put { .. }, Some(_)) => less[index].responded = None,
        (Request::Put { configuration, .. }, None) => {
            let speaks = |other: &Operation| {
                matches!(other.request, Request::Put { configuration: named, .. } if named.body == configuration.body)
                    || matches!(other.responded, Some((_, Response::Current(Some(named)))) if named == configuration)
            };
            let others = operations.iter().enumerate().filter(|(other, _)| *other != index);
            if others.map(|(_, other)| other).any(speaks) {
                return None;
            }
            less.remove(index);
        }
    }
    Some(less)
}
