//! Checks a history of operators against a versioned register with repeats.
//!
//! A history is accepted if every answered operation can be given one moment between its call and its answer, and some
//! of the unanswered ones a moment after their call, so that the register, worked in that order, answers the same.

use crate::history::{Answer, Body, Configuration, Operation, Order};
use std::collections::{BTreeSet, HashSet};

/// The specification: one configuration in force, and all that were ever accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    current: Option<Configuration>,
    accepted: BTreeSet<Body>,
}

impl Register {
    fn version(&self) -> u64 {
        self.current.map_or(0, |current| current.version)
    }

    /// What an order is answered now.
    fn answer(&self, order: Order) -> Answer {
        let Order::Put { expected, configuration } = order else {
            return Answer::Current(self.current);
        };
        if self.accepted.contains(&configuration.body) {
            return Answer::Accepted;
        }
        if expected != self.version() {
            return Answer::Conflict;
        }
        if configuration.version <= self.version() {
            return Answer::NotHigher;
        }
        Answer::Accepted
    }

    /// The configuration that an order puts into force now, if it does.
    fn effect(&self, order: Order) -> Option<Configuration> {
        let Order::Put { configuration, .. } = order else { return None };
        let fresh = !self.accepted.contains(&configuration.body);
        (fresh && self.answer(order) == Answer::Accepted).then_some(configuration)
    }

    /// Works an order; gives what it answers.
    pub fn work(&mut self, order: Order) -> Answer {
        let answer = self.answer(order);
        if let Some(configuration) = self.effect(order) {
            self.accepted.insert(configuration.body);
            self.current = Some(configuration);
        }
        answer
    }

    /// Whether the answer is one that the order may get here: where two refusals apply, either is right.
    fn allows(&self, order: Order, answer: Answer) -> bool {
        let worked = self.answer(order);
        let Order::Put { configuration, .. } = order else { return worked == answer };
        let not_higher = configuration.version <= self.version();
        let either = worked == Answer::Conflict && answer == Answer::NotHigher && not_higher;
        worked == answer || either
    }

    /// Whether the operation may be next. One without an answer that would change nothing need not be.
    fn takes(&self, operation: &Operation) -> bool {
        match operation.answered {
            Some((_, answer)) => self.allows(operation.order, answer),
            None => self.effect(operation.order).is_some(),
        }
    }
}

/// Which operations have been given their moment, one bit each.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Done(Vec<u64>);

/// Operations of one word of [`Done`].
const WORD: usize = u64::BITS as usize;

impl Done {
    fn none_of(count: usize) -> Done {
        Done(vec![0; count.div_ceil(WORD)])
    }

    fn has(&self, index: usize) -> bool {
        self.0[index / WORD] >> (index % WORD) & 1 == 1
    }

    fn and(&self, index: usize) -> Done {
        let mut more = self.clone();
        more.0[index / WORD] |= 1 << (index % WORD);
        more
    }
}

/// Bits are kept of answered operations alone: one without an answer is worked only where it changes the register,
/// which then shows that it was.
struct Search<'a> {
    operations: &'a [Operation],
    visited: HashSet<(Done, Register)>,
}

impl Search<'_> {
    /// The first answer among the operations that are left: whatever is next must have been called before it.
    fn horizon(&self, done: &Done) -> Option<u64> {
        let left = self.operations.iter().enumerate().filter(|(index, _)| !done.has(*index));
        left.filter_map(|(_, operation)| operation.answered.map(|(at, _)| at)).min()
    }

    fn explore(&mut self, done: &Done, register: &Register) -> bool {
        let Some(horizon) = self.horizon(done) else { return true };
        if !self.visited.insert((done.clone(), register.clone())) {
            return false;
        }
        let operations = self.operations;
        for (index, operation) in operations.iter().enumerate() {
            if operation.called > horizon {
                break;
            }
            if done.has(index) || !register.takes(operation) {
                continue;
            }
            let mut after = register.clone();
            after.work(operation.order);
            let next = if operation.answered.is_some() { done.and(index) } else { done.clone() };
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
    search.explore(&Done::none_of(operations.len()), &Register::default())
}

/// A short part of a history that is still not linearizable.
pub fn shrunk(operations: &[Operation]) -> Vec<Operation> {
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
        operations.iter().filter_map(|operation| operation.answered.map(|(at, _)| at)).collect();
    answers.sort_unstable();
    let prefix = |until: u64| -> Vec<Operation> {
        let begun = operations.iter().filter(|operation| operation.called <= until);
        begun.map(|operation| cut_off(operation, until)).collect()
    };
    let first = answers.partition_point(|until| is_linearizable(&prefix(*until)));
    answers.get(first).map_or_else(|| operations.to_vec(), |until| prefix(*until))
}

fn cut_off(operation: &Operation, until: u64) -> Operation {
    let answered = operation.answered.filter(|(at, _)| *at <= until);
    Operation { answered, ..*operation }
}

/// The history with less said by one operation: one that changes nothing is left out, others lose their answer; one
/// without an answer is left out where nobody speaks of its bytes.
fn weakened(operations: &[Operation], index: usize) -> Option<Vec<Operation>> {
    let operation = operations[index];
    let mut less = operations.to_vec();
    match (operation.order, operation.answered) {
        (Order::Get, _) | (_, Some((_, Answer::Conflict | Answer::NotHigher))) => {
            less.remove(index);
        }
        (Order::Put { .. }, Some(_)) => less[index].answered = None,
        (Order::Put { configuration, .. }, None) => {
            let speaks = |other: &Operation| {
                matches!(other.order, Order::Put { configuration: named, .. } if named.body == configuration.body)
                    || matches!(other.answered, Some((_, Answer::Current(Some(named)))) if named == configuration)
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
