//! Promises that were broken.

use crate::history::{ContentId, Operation, Request};
use crate::machine_id::MachineId;
use millrudder_chain::View;
use millrudder_protocol::MessageId;
use std::collections::BTreeSet;
use thiserror::Error;

/// A broken promise; times are microseconds of true time.
#[derive(Clone, Debug, Error)]
pub enum Violation {
    #[error("operators were responded as no versioned register answers:\n{}", lines(.history))]
    NotLinearizable { history: Vec<Operation> },
    #[error(
        "{machine:?} published configuration {published} at {at}, {acknowledged} had been acknowledged {age} us before"
    )]
    StalePublished { machine: MachineId, published: u64, acknowledged: u64, at: u64, age: u64 },
    #[error(
        "{dispatcher:?} holds configuration {held} at {at}, {acknowledged} was acknowledged and could be had"
    )]
    NotPropagated { dispatcher: MachineId, held: u64, acknowledged: u64, at: u64 },
    #[error("{dispatcher:?} went back from {before} to {now}")]
    Regressed { dispatcher: MachineId, before: String, now: String },
    #[error("two views of one epoch: {first:?} and {second:?}")]
    ConflictingViews { first: View, second: View },
    #[error("two commands at machine_id {sequence} of the request")]
    ConflictingCommands { sequence: u64 },
    #[error("one configuration came into force twice: {text}")]
    DuplicateEffect { text: String },
    #[error("{first:?} and {second:?} hold the lease at {at}")]
    TwoHolders { first: MachineId, second: MachineId, at: u64 },
    #[error("the lease was granted as number {number} after {before}")]
    FencingNotIncreased { before: u64, number: u64 },
    #[error("{machine:?} acted at {at} under lease {number} after another had acted under {later}")]
    ActedAfterSuccessor { machine: MachineId, number: u64, later: u64, at: u64 },
    #[error("message {id} was accepted and its primary {primary:?} does not add_core_address it at {at}")]
    MessageLost { id: MessageId, primary: MachineId, at: u64 },
    #[error("message {id} ran again after its success was kept")]
    ExecutedAgain { id: MessageId },
    #[error("not served at {at}: {what}")]
    NotRecovered { what: &'static str, at: u64 },
}

/// Most operations that are printed: those that were answered or share their bytes with one that was, the last first.
const PRINTED: usize = 40;

fn lines(history: &[Operation]) -> String {
    let body = |operation: &Operation| match operation.request {
        Request::Put { configuration, .. } => Some(configuration.body),
        Request::Get => None,
    };
    let named: BTreeSet<ContentId> =
        history.iter().filter(|one| one.responded.is_some()).filter_map(body).collect();
    let tells =
        |one: &&Operation| one.responded.is_some() || body(one).is_some_and(|body| named.contains(&body));
    let telling: Vec<&Operation> = history.iter().filter(tells).collect();
    let last = &telling[telling.len().saturating_sub(PRINTED)..];
    let left_out = history.len() - last.len();
    let lines: String = last.iter().map(|operation| format!("  {operation}\n")).collect();
    format!("{lines}  and {left_out} more without a clear response, or before")
}
