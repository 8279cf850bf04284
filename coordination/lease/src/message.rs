//! Messages between holders and voters, and the voter's durable record. The order of fields and variants is their form
//! on the wire and on disk.

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

/// Number of a lease: a later lease of the same role has a higher one, so that a resource can reject the work of
/// an earlier holder (Kleppmann, "How to do distributed locking", 2016).
///
/// The upper half is the generation of the voters (their epoch), the lower half counts within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct FencingToken(pub u64);

/// Bits of a [`FencingToken`] below the generation of the voters.
const COUNTER_BITS: u32 = 32;

impl FencingToken {
    /// The token before the first one of a generation of voters.
    pub fn floor(generation: u64) -> FencingToken {
        FencingToken(generation << COUNTER_BITS)
    }

    /// The token that follows.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0.saturating_add(1))
    }
}

/// Asks a voter to grant or renew a lease.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRequest {
    /// The role.
    pub role: Role,
    /// Number of the holder's attempt; answers to its earlier attempts do not count.
    pub attempt: u64,
    /// Token of the lease that is asked for or renewed.
    pub fencing_token: FencingToken,
    /// Whether the sender holds the lease as it sends this.
    pub is_renewal: bool,
}

/// Gives a lease back before it expires, since the holder shuts down.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRelease {
    /// The role.
    pub role: Role,
    /// Token of the lease.
    pub fencing_token: FencingToken,
}

/// Why a voter does not grant a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Refusal {
    /// The voter is bound to another holder.
    HeldByOther,
    /// The voter has started, or the voters have changed, less than a lease ago: leases that it does not know of may
    /// still be valid.
    GracePeriod,
    /// The fencing token is not higher than one that was granted already.
    StaleToken,
}

/// A voter's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum LeaseAnswer {
    /// The voter has bound itself to the sender of the request.
    Granted {
        /// The role.
        role: Role,
        /// [`LeaseRequest::attempt`] of the request.
        attempt: u64,
        /// For how long the voter is bound, in microseconds from the receipt of the request: a whole lease, or what is
        /// left of a grant to an earlier attempt of the same candidate.
        bound_micros: u64,
    },
    /// The voter has not bound itself.
    Refused {
        /// The role.
        role: Role,
        /// [`LeaseRequest::attempt`] of the request.
        attempt: u64,
        /// The reason.
        refusal: Refusal,
        /// The highest token that the voter has granted for the role.
        highest_token: FencingToken,
        /// No request is granted before so many microseconds have passed.
        retry_after_micros: u64,
    },
}

impl LeaseAnswer {
    /// The role that this answer is about.
    pub fn role(&self) -> &Role {
        match self {
            LeaseAnswer::Granted { role, .. } | LeaseAnswer::Refused { role, .. } => role,
        }
    }
}

/// The highest fencing token that a voter has granted for a role; durable before the grant leaves.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRecord {
    /// The role.
    pub role: Role,
    /// The token.
    pub fencing_token: FencingToken,
}
