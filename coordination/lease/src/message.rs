//! Messages between holders and voters, and the voter's record on disk.

use speedy::{Readable, Writable};

/// Name of a singleton role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Role(pub String);

/// Identity of a candidate or holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct HolderId(pub u64);

/// Identity of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct VoterId(pub u64);

/// Number of a lease: a later lease of the same role has a higher one, so that a resource can refuse the work of
/// an earlier holder.
///
/// The upper half is the generation of the voters (their epoch), the lower half counts within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct FencingToken(pub u64);

/// Bits of a [`FencingToken`] number below the generation of the voters.
const COUNTER_BITS: u32 = 32;

impl FencingToken {
    /// The number before the first one of a generation of voters.
    pub fn floor(generation: u64) -> FencingToken {
        FencingToken(generation << COUNTER_BITS)
    }

    /// The next number.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0.saturating_add(1))
    }
}

/// Asks a voter for a role.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRequest {
    /// The role.
    pub role: Role,
    /// Number of this attempt; answers to earlier ones do not count.
    pub round: u64,
    /// FencingToken number of the lease that is asked for or renewed.
    pub fencing: FencingToken,
    /// Whether the sender holds the lease as it sends this.
    pub held: bool,
}

/// Gives a lease back before its time, since the holder is about to end.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRelease {
    /// The role.
    pub role: Role,
    /// Number of the lease.
    pub fencing: FencingToken,
}

/// Why a voter does not grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Refusal {
    /// Another holds the role as far as this voter knows.
    Taken,
    /// The voter has started, or the voters have changed, less than a lease ago.
    Withheld,
    /// The fencing number is not higher than one that was granted already.
    Outdated,
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum LeaseAnswer {
    /// The voter has bound itself for so long, counted from now: for a whole lease, or for what is left of the time by
    /// which an earlier round of this candidate, which did not win, has bound it.
    Granted { role: Role, round: u64, bound_micros: u64 },
    /// It has not, and will not before `retry_after_micros` have passed.
    Refused { role: Role, round: u64, refusal: Refusal, highest: FencingToken, retry_after_micros: u64 },
}

impl LeaseAnswer {
    /// The role that this answer is about.
    pub fn role(&self) -> &Role {
        match self {
            LeaseAnswer::Granted { role, .. } | LeaseAnswer::Refused { role, .. } => role,
        }
    }
}

/// The highest fencing number that a voter has granted for a role; durable before the grant leaves.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRecord {
    /// The role.
    pub role: Role,
    /// The number.
    pub fencing: FencingToken,
}
