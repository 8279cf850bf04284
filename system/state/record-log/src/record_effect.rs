//! Key and effect of a record, as far as they decide which records are live.

use millrudder_protocol::store::Record;
use millrudder_protocol::{Epoch, LeaseToken, MessageId, ShardId};
use millrudder_queue::DiskRecord;

/// What a record belongs to: records of one key supersede one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RecordKey {
    Message(MessageId),
    Promise(ShardId),
}

impl RecordKey {
    pub fn of(record: &DiskRecord) -> Self {
        match record {
            DiskRecord::Promised { shard, .. } => Self::Promise(*shard),
            DiskRecord::Message { record } => Self::Message(record.id()),
        }
    }
}

/// What a record asserts about its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordEffect {
    /// The complete state of a message, with or without its end.
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
        term: Epoch,
    },
}

impl RecordEffect {
    pub fn of(record: &DiskRecord) -> Self {
        match record {
            DiskRecord::Promised { term, .. } => Self::Promised { term: *term },
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

    /// Whether it is a message's complete state, without which its other records have no effect.
    pub const fn is_state(self) -> bool {
        matches!(self, Self::State { .. })
    }

    /// Whether it asserts that its message has ended.
    pub const fn ends_message(self) -> bool {
        matches!(self, Self::State { ended: true } | Self::Ended)
    }

    /// Whether it would, recovered alone, resurrect its message as one that has not ended.
    pub const fn resurrects_message(self) -> bool {
        matches!(self, Self::State { ended: false })
    }

    /// Whether `other`, an effect on the same key, adds nothing to this one.
    pub fn supersedes(self, other: Self) -> bool {
        match (self, other) {
            (Self::Granted { token }, Self::Granted { token: other }) => token >= other,
            (
                Self::Failed { token, failed_attempts },
                Self::Failed { token: other_token, failed_attempts: other_attempts },
            ) => token >= other_token && failed_attempts >= other_attempts,
            (Self::CallbackDone, Self::CallbackDone) | (Self::Forgotten, Self::Forgotten) => true,
            (Self::Promised { term }, Self::Promised { term: other }) => term >= other,
            _ => false,
        }
    }
}
