//! Checks that a history of operators is linearizable with respect to a versioned register (Herlihy, Wing, 1990), by the
//! search of Wing and Gong with memoization of visited states (Lowe, 2017).
//!
//! A history is accepted if there is a point between the invocation and the response of every operation with a
//! response, and after the invocation of some of the others, such that the register responds the same when it applies
//! the requests in that order.

use crate::history::{Configuration, ContentId, Operation, Request, Response};
use std::collections::{BTreeSet, HashSet};

/// The specification: the current configuration, and all that were ever accepted, of which a repeat is accepted again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    current: Option<Configuration>,
    accepted: BTreeSet<ContentId>,
}

impl Register {
    fn version(&self) -> u64 {
        self.current.map_or(0, |current| current.version)
    }

    /// The response to a request now.
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

    /// The configuration that a request would make current now, if any.
    fn effect(&self, request: Request) -> Option<Configuration> {
        let Request::Put { configuration, .. } = request else { return None };
        let is_new = !self.accepted.contains(&configuration.body);
        (is_new && self.response(request) == Response::Accepted).then_some(configuration)
    }

    /// Applies a request and returns the response.
    pub fn apply(&mut self, request: Request) -> Response {
        let response = self.response(request);
        if let Some(configuration) = self.effect(request) {
            self.accepted.insert(configuration.body);
            self.current = Some(configuration);
        }
        response
    }

    /// Whether a request may get this response now: where two rejections apply, either is allowed.
    fn allows(&self, request: Request, response: Response) -> bool {
        let expected = self.response(request);
        let Request::Put { configuration, .. } = request else { return expected == response };
        let not_higher = configuration.version <= self.version();
        let either = expected == Response::Conflict && response == Response::NotHigher && not_higher;
        expected == response || either
    }

    /// Whether the operation may be next. One without a response that would change nothing need not be applied.
    fn admits(&self, operation: &Operation) -> bool {
        match operation.responded {
            Some((_, response)) => self.allows(operation.request, response),
            None => self.effect(operation.request).is_some(),
        }
    }
}

/// The set of operations that are linearized already, one bit each.
#[derive(Clone, PartialEq, Eq, Hash)]
struct LinearizedSet(Vec<u64>);

/// Operations of one word of [`LinearizedSet`].
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

/// The search for a linearization. The set contains operations with a response only: one without is applied only where
/// it changes the register, which then shows that it was.
struct Search<'a> {
    operations: &'a [Operation],
    visited: HashSet<(LinearizedSet, Register)>,
}

impl Search<'_> {
    /// The first response of the remaining operations: the next one must have been invoked before it.
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

/// Whether the history is linearizable. Operations are in the order of their invocations.
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let mut search = Search { operations, visited: HashSet::new() };
    search.explore(&LinearizedSet::none_of(operations.len()), &Register::default())
}

/// A short part of a history that is not linearizable, which is not linearizable either.
pub fn shrink(operations: &[Operation]) -> Vec<Operation> {
    let mut history = shortest_prefix(operations);
    let mut index = history.len();
    while index > 0 {
        index -= 1;
        if let Some(without) = weakened(&history, index).filter(|less| !is_linearizable(less)) {
            history = without;
        }
    }
    history
}

/// The history up to the first response that makes it not linearizable.
fn shortest_prefix(operations: &[Operation]) -> Vec<Operation> {
    let mut responses: Vec<u64> =
        operations.iter().filter_map(|operation| operation.responded.map(|(at, _)| at)).collect();
    responses.sort_unstable();
    let prefix = |until: u64| -> Vec<Operation> {
        let begun = operations.iter().filter(|operation| operation.invoked <= until);
        begun.map(|operation| truncate(operation, until)).collect()
    };
    let first = responses.partition_point(|until| is_linearizable(&prefix(*until)));
    responses.get(first).map_or_else(|| operations.to_vec(), |until| prefix(*until))
}

fn truncate(operation: &Operation, until: u64) -> Operation {
    let responded = operation.responded.filter(|(at, _)| *at <= until);
    Operation { responded, ..*operation }
}

/// The history with one operation weakened: one that changes nothing is dropped, others lose their response; one without
/// a response is dropped if no other operation mentions its content.
fn weakened(operations: &[Operation], index: usize) -> Option<Vec<Operation>> {
    let operation = operations[index];
    let mut less = operations.to_vec();
    match (operation.request, operation.responded) {
        (Request::Get, _) | (_, Some((_, Response::Conflict | Response::NotHigher))) => {
            less.remove(index);
        }
        (Request::Put { .. }, Some(_)) => less[index].responded = None,
        (Request::Put { configuration, .. }, None) => {
            let mentions = |other: &Operation| {
                matches!(other.request, Request::Put { configuration: named, .. } if named.body == configuration.body)
                    || matches!(other.responded, Some((_, Response::Current(Some(named)))) if named == configuration)
            };
            let others = operations.iter().enumerate().filter(|(other, _)| *other != index);
            if others.map(|(_, other)| other).any(mentions) {
                return None;
            }
            less.remove(index);
        }
    }
    Some(less)
}
