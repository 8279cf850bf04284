//! Violations of the invariants that the checks verify.

use crate::history::{ContentId, Operation, Request};
use crate::machine_id::MachineId;
use millrudder_chain::View;
use millrudder_clock::Instant;
use millrudder_protocol::MessageId;
use std::collections::BTreeSet;
use std::time::Duration;
use thiserror::Error;

/// A violation of an invariant; times are true times.
#[derive(Clone, Debug, Error)]
pub enum Violation {
    /// The responses to operators are not linearizable.
    #[error("the responses to operators are not linearizable:\n{}", lines(.history))]
    NotLinearizable {
        /// A short part of the history that is not linearizable.
        history: Vec<Operation>,
    },
    /// A core machine published a configuration older than the staleness bound allows.
    #[error(
        "{machine:?} published configuration {published} at {at:?}, {acknowledged} had been acknowledged {age:?} before"
    )]
    StalePublished {
        /// The core machine.
        machine: MachineId,
        /// The published version.
        published: u64,
        /// The version that had been acknowledged.
        acknowledged: u64,
        /// When it was detected.
        at: Instant,
        /// How long before the later version had been acknowledged.
        age: Duration,
    },
    /// A dispatcher did not get an acknowledged configuration in time, although it could reach one that has it.
    #[error(
        "{dispatcher:?} has configuration {held} at {at:?}, although it could reach {acknowledged}, which was acknowledged"
    )]
    NotPropagated {
        /// The dispatcher.
        dispatcher: MachineId,
        /// The version that the dispatcher has.
        held: u64,
        /// The version that had been acknowledged.
        acknowledged: u64,
        /// When it was detected.
        at: Instant,
    },
    /// A dispatcher adopted older state.
    #[error("{dispatcher:?} regressed from {before} to {now}")]
    Regressed {
        /// The dispatcher.
        dispatcher: MachineId,
        /// The state before.
        before: String,
        /// The state now.
        now: String,
    },
    /// Two different views have the same epoch.
    #[error("two views of one epoch: {first:?} and {second:?}")]
    ConflictingViews {
        /// The first of the two.
        first: View,
        /// The second of the two.
        second: View,
    },
    /// Two different commands were committed at the same position.
    #[error("two commands at position {sequence} of the log")]
    ConflictingCommands {
        /// The position in the log.
        sequence: u64,
    },
    /// A configuration took effect twice.
    #[error("a configuration took effect twice: {text}")]
    DuplicateEffect {
        /// The configuration.
        text: String,
    },
    /// A lease was granted with a fencing token that is not higher than the previous one.
    #[error("the lease was granted with fencing token {number} after {before}")]
    FencingNotIncreased {
        /// The state before.
        before: u64,
        /// The fencing token.
        number: u64,
    },
    /// A lease holder acted after a later one.
    #[error("{machine:?} acted at {at:?} under lease {number} after another had acted under {later}")]
    ActedAfterSuccessor {
        /// The core machine.
        machine: MachineId,
        /// The fencing token.
        number: u64,
        /// The later fencing token.
        later: u64,
        /// When it was detected.
        at: Instant,
    },
    /// The primary of an accepted message does not know it.
    #[error("message {id} was accepted and its primary {primary:?} does not know it at {at:?}")]
    MessageLost {
        /// The message.
        id: MessageId,
        /// The primary.
        primary: MachineId,
        /// When it was detected.
        at: Instant,
    },
    /// A message was executed again after its success was acknowledged.
    #[error("message {id} was executed again after its success was acknowledged")]
    ExecutedAgain {
        /// The message.
        id: MessageId,
    },
    /// The system did not recover in time.
    #[error("not recovered at {at:?}: {what}")]
    NotRecovered {
        /// The condition that does not hold.
        what: &'static str,
        /// When it was detected.
        at: Instant,
    },
}

/// Greatest number of operations that are printed: the last ones with a response, or with the content of one with a
/// response.
const MAX_PRINTED: usize = 40;

fn lines(history: &[Operation]) -> String {
    let body = |operation: &Operation| match operation.request {
        Request::Put { configuration, .. } => Some(configuration.body),
        Request::Get => None,
    };
    let responded_contents: BTreeSet<ContentId> =
        history.iter().filter(|one| one.responded.is_some()).filter_map(body).collect();
    let is_relevant = |one: &&Operation| {
        one.responded.is_some() || body(one).is_some_and(|body| responded_contents.contains(&body))
    };
    let relevant: Vec<&Operation> = history.iter().filter(is_relevant).collect();
    let last = &relevant[relevant.len().saturating_sub(MAX_PRINTED)..];
    let omitted = history.len() - last.len();
    let lines: String = last.iter().map(|operation| format!("  {operation}\n")).collect();
    format!("{lines}  and {omitted} more without a definite response, or before")
}
