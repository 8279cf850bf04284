//! Identifiers that travel between processes.

use speedy::{Readable, Writable};
use std::fmt;
use std::str::FromStr;

/// Incarnation of a dispatcher process: drawn at random at its start, never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct DispatcherId(pub u64);

/// Identity of a store: drawn at random when its disk is first used, so that a machine with a replaced disk is another
/// store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct StoreId(pub u64);

/// Number of a committed placement; a higher one replaces every lower one. A primary's term is the epoch in which it
/// became the primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Epoch(pub u64);

/// Number of a shard: a partition of all messages that has one primary at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ShardId(pub u16);

/// Position of a message in its shard, given by the primary that accepted it: the primary's term in the high 32 bits, a
/// count below.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Sequence(pub u64);

impl Sequence {
    /// Position number `count` of those that a primary gives in `term`.
    pub fn new(term: Epoch, count: u32) -> Self {
        Sequence((term.0 << COUNT_BITS) | u64::from(count))
    }
}

/// Bits below the term in a sequence or token.
const COUNT_BITS: u32 = 32;

/// Fencing token of one lease of one message; a later lease of the same message has a higher one. The primary's term
/// stands in the high 32 bits, a count below.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct LeaseToken(pub u64);

impl LeaseToken {
    /// Token number `count` of those that a primary gives in `term`.
    pub fn new(term: Epoch, count: u32) -> Self {
        LeaseToken((term.0 << COUNT_BITS) | u64::from(count))
    }

    /// Term of the primary that granted the lease. A dispatcher does not start a delivery of a term below the one that
    /// its placement has for the shard.
    pub fn term(self) -> Epoch {
        Epoch(self.0 >> COUNT_BITS)
    }
}

/// Number that ties an answer to its request on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct RequestNumber(pub u64);

/// Identifier of a message. It carries the shard, so that every dispatcher can tell from it where to ask.
///
/// Its text, as clients see it, is the shard in four hexadecimal digits and the unique part in sixteen, lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct MessageId {
    /// The message's shard.
    pub shard: ShardId,
    /// Drawn at random by the dispatcher that received the message; unique within the shard.
    pub unique: u64,
}

/// Hexadecimal digits of a shard and of the unique part in the text of a [`MessageId`].
const SHARD_DIGITS: usize = 4;
const UNIQUE_DIGITS: usize = 16;

impl fmt::Display for MessageId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:0SHARD_DIGITS$x}{:0UNIQUE_DIGITS$x}", self.shard.0, self.unique)
    }
}

/// The text is not a [`MessageId`] as this system writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the name of a message of this system")]
pub struct ParseMessageIdError;

impl FromStr for MessageId {
    type Err = ParseMessageIdError;

    fn from_str(text: &str) -> Result<Self, ParseMessageIdError> {
        let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != SHARD_DIGITS + UNIQUE_DIGITS || !text.bytes().all(lower_hex) {
            return Err(ParseMessageIdError);
        }
        let (shard, unique) = text.split_at(SHARD_DIGITS);
        let shard = u16::from_str_radix(shard, 16).map_err(|_| ParseMessageIdError)?;
        let unique = u64::from_str_radix(unique, 16).map_err(|_| ParseMessageIdError)?;
        Ok(MessageId { shard: ShardId(shard), unique })
    }
}
