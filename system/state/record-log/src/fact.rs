//! What a record says, as far as it decides which records are needed.

use millrudder_protocol::store::Record;
use millrudder_protocol::{Epoch, LeaseToken, MessageId, ShardId};
use millrudder_queue::DiskRecord;

/// Whom a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Message(MessageId),
    Promise(ShardId),
}

impl Subject {
    pub fn of(record: &DiskRecord) -> Self {
        match record {
            DiskRecord::Promised { shard, .. } => Self::Promise(*shard),
            DiskRecord::Message { record } => Self::Message(record.id()),
        }
    }
}

/// What a record says of its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fact {
    /// The message itself, whether or not with its end.
    State {
        ended: bool,
    },
    Granted {
        token: LeaseToken,
    },
    Failed {
        token: LeaseToken,
        failed_attempts: u32,
    },
    Ended,
    CallbackDone,
    Forgotten,
    Promised {
        since: Epoch,
    },
}

impl Fact {
    pub fn of(record: &DiskRecord) -> Self {
        match record {
            DiskRecord::Promised { term: since, .. } => Self::Promised { since: *since },
            DiskRecord::Message { record } => Self::of_message(record),
        }
    }

    const fn of_message(record: &Record) -> Self {
        match record {
            Record::State { state } => Self::State { ended: state.end.is_some() },
            Record::Granted { grant, .. } => Self::Granted { token: grant.token },
            Record::Failed { token, failed_attempts, .. } => {
                Self::Failed { token: *token, failed_attempts: *failed_attempts }
            }
            Record::Ended { .. } => Self::Ended,
            Record::CallbackDone { .. } => Self::CallbackDone,
            Record::Forgotten { .. } => Self::Forgotten,
        }
    }

    /// It is the message itself: without one, changes of a message say nothing.
    pub const fn is_state(self) -> bool {
        matches!(self, Self::State { .. })
    }

    /// It says that its message has ended.
    pub const fn ends(self) -> bool {
        matches!(self, Self::State { ended: true } | Self::Ended)
    }

    /// Alone on the disk, it would bring its message back as one that has not ended.
    pub const fn revives(self) -> bool {
        matches!(self, Self::State { ended: false })
    }

    /// Whoever knows this fact learns nothing from `other` about the same subject.
    pub fn includes(self, other: Self) -> bool {
        match (self, other) {
            (Self::Granted { token }, Self::Granted { token: other }) => token >= other,
            (
                Self::Failed { token, failed_attempts },
                Self::Failed { token: other_token, failed_attempts: other_attempts },
            ) => token >= other_token && failed_attempts >= other_attempts,
            (Self::CallbackDone, Self::CallbackDone) | (Self::Forgotten, Self::Forgotten) => true,
            (Self::Promised { since }, Self::Promised { since: other }) => since >= other,
            _ => false,
        }
    }
}
