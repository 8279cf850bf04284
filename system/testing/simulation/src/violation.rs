//! Promises that were broken.

use crate::history::{Body, Operation, Order};
use crate::place::Place;
use millrudder_chain::View;
use millrudder_protocol::MessageId;
use std::collections::BTreeSet;
use thiserror::Error;

/// A broken promise; times are microseconds of true time.
#[derive(Clone, Debug, Error)]
pub enum Violation {
    #[error("operators were answered as no versioned register answers:\n{}", lines(.history))]
    NotLinearizable { history: Vec<Operation> },
    #[error(
        "{machine:?} told configuration {told} at {at}, {acknowledged} had been acknowledged {age} us before"
    )]
    StaleTold { machine: Place, told: u64, acknowledged: u64, at: u64, age: u64 },
    #[error(
        "{dispatcher:?} holds configuration {held} at {at}, {acknowledged} was acknowledged and could be had"
    )]
    NotLearnt { dispatcher: Place, held: u64, acknowledged: u64, at: u64 },
    #[error("{dispatcher:?} went back from {before} to {now}")]
    WentBack { dispatcher: Place, before: String, now: String },
    #[error("two views of one epoch: {first:?} and {second:?}")]
    TwoViews { first: View, second: View },
    #[error("two commands at place {sequence} of the order")]
    TwoCommands { sequence: u64 },
    #[error("one configuration came into force twice: {text}")]
    SecondEffect { text: String },
    #[error("{first:?} and {second:?} hold the lease at {at}")]
    TwoHolders { first: Place, second: Place, at: u64 },
    #[error("the lease was granted as number {number} after {before}")]
    FencingNotHigher { before: u64, number: u64 },
    #[error("{machine:?} acted at {at} under lease {number} after another had acted under {later}")]
    ActedAfterSuccessor { machine: Place, number: u64, later: u64, at: u64 },
    #[error("message {id} was accepted and its primary {primary:?} does not know it at {at}")]
    MessageLost { id: MessageId, primary: Place, at: u64 },
    #[error("message {id} ran again after its success was kept")]
    RanAgain { id: MessageId },
    #[error("not served at {at}: {what}")]
    Stuck { what: &'static str, at: u64 },
}

/// Most operations that are printed: those that were answered or share their bytes with one that was, the last first.
const PRINTED: usize = 40;

fn lines(history: &[Operation]) -> String {
    let body = |operation: &Operation| match operation.order {
        Order::Put { configuration, .. } => Some(configuration.body),
        Order::Get => None,
    };
    let named: BTreeSet<Body> =
        history.iter().filter(|one| one.answered.is_some()).filter_map(body).collect();
    let tells =
        |one: &&Operation| one.answered.is_some() || body(one).is_some_and(|body| named.contains(&body));
    let telling: Vec<&Operation> = history.iter().filter(tells).collect();
    let last = &telling[telling.len().saturating_sub(PRINTED)..];
    let left_out = history.len() - last.len();
    let lines: String = last.iter().map(|operation| format!("  {operation}\n")).collect();
    format!("{lines}  and {left_out} more without a clear answer, or before")
}
