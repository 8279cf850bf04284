//! Identifiers that travel between processes.

use speedy::{Readable, Writable};
use std::fmt;
use std::str::FromStr;

/// One life of a dispatcher process; drawn at its start, never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct DispatcherId(pub u64);

/// One disk of a store machine; drawn when the disk is first used, so that an emptied disk is another store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct StoreId(pub u64);

/// Number of an agreed placement; a higher one replaces every lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Epoch(pub u64);

/// A part of all messages that has one primary at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ShardId(pub u16);

/// Position of a message in its shard, given by the primary that accepted it: epoch in the high 32 bits, count below.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Sequence(pub u64);

impl Sequence {
    /// Position number `count` of those that a primary gives in `epoch`.
    pub fn new(epoch: Epoch, count: u32) -> Self {
        Sequence((epoch.0 << COUNT_BITS) | u64::from(count))
    }
}

/// Bits below the epoch in a sequence or token.
const COUNT_BITS: u32 = 32;

/// FencingToken number of one delivery of one message; a later grant of the same message has a higher one. The epoch since
/// which its primary is one stands in the high 32 bits, a count below.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct LeaseToken(pub u64);

impl LeaseToken {
    /// Token number `count` of those that a primary gives in `epoch`.
    pub fn new(epoch: Epoch, count: u32) -> Self {
        LeaseToken((epoch.0 << COUNT_BITS) | u64::from(count))
    }

    /// Epoch since which the primary that gave it is one: a dispatcher does not start a delivery whose epoch is below
    /// the `since` that its placement has for the shard.
    pub fn epoch(self) -> Epoch {
        Epoch(self.0 >> COUNT_BITS)
    }
}

/// Number that ties an answer to its question on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct RequestNumber(pub u64);

/// Name of a message. It carries its shard, so that every dispatcher can tell from the name where to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct MessageId {
    pub shard: ShardId,
    pub unique: u64,
}

/// Hexadecimal digits of a shard and of the unique part in a message's name.
const SHARD_DIGITS: usize = 4;
const UNIQUE_DIGITS: usize = 16;

impl fmt::Display for MessageId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:0w$x}{:0u$x}", self.shard.0, self.unique, w = SHARD_DIGITS, u = UNIQUE_DIGITS)
    }
}

/// The text is no name that this system gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the name of a message of this system")]
pub struct NotAMessageId;

impl FromStr for MessageId {
    type Err = NotAMessageId;

    fn from_str(text: &str) -> Result<Self, NotAMessageId> {
        let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != SHARD_DIGITS + UNIQUE_DIGITS || !text.bytes().all(lower_hex) {
            return Err(NotAMessageId);
        }
        let (shard, unique) = text.split_at(SHARD_DIGITS);
        let shard = u16::from_str_radix(shard, 16).map_err(|_| NotAMessageId)?;
        let unique = u64::from_str_radix(unique, 16).map_err(|_| NotAMessageId)?;
        Ok(MessageId { shard: ShardId(shard), unique })
    }
}
