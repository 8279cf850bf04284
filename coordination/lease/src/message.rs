//! Messages between holders and voters, and the voter's durable record.
//!
//! The encoding follows the order of fields and variants, so reordering them changes the format on the wire and on disk.

use speedy::{Readable, Writable};

/// Name of a role that at most one node holds at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Role(pub String);

/// Identity of a candidate or holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct HolderId(pub u64);

/// Identity of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct VoterId(pub u64);

/// Number of a lease that increases with each lease of the same role, so that a resource can reject requests of an
/// earlier holder (Kleppmann, "How to do distributed locking", 2016).
///
/// The upper 32 bits are the generation of the voters (their epoch), the lower 32 bits count the leases within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct FencingToken(pub u64);

/// Number of low bits of a [`FencingToken`] that count leases; the bits above them are the generation of the voters.
const COUNTER_BITS: u32 = 32;

impl FencingToken {
    /// Returns the lower bound of the tokens of a generation of voters; the first lease gets the token after it.
    pub fn floor(generation: u64) -> FencingToken {
        FencingToken(generation << COUNTER_BITS)
    }

    /// Returns the token that follows this one.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0.saturating_add(1))
    }
}

/// Request to a voter to grant or renew a lease.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRequest {
    /// Role the lease is for.
    pub role: Role,
    /// Number of the sender's attempt; it ignores answers to earlier attempts.
    pub attempt: u64,
    /// Token of the lease that is requested or renewed.
    pub fencing_token: FencingToken,
    /// Whether the sender held the lease when it sent this request.
    pub is_renewal: bool,
}

/// Releases a lease before it expires because the holder shuts down.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRelease {
    /// Role of the released lease.
    pub role: Role,
    /// Token of the released lease.
    pub fencing_token: FencingToken,
}

/// Reason why a voter refuses to grant a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Refusal {
    /// A grant to another candidate has not expired yet.
    HeldByOther,
    /// The voter started, or the set of voters changed, less than one lease duration ago. Leases that this voter does not
    /// know of may still be valid.
    GracePeriod,
    /// The fencing token is not higher than the highest token granted so far.
    StaleToken,
}

/// A voter's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum LeaseAnswer {
    /// The voter granted the lease to the sender of the request.
    Granted {
        /// Role named by the request.
        role: Role,
        /// [`LeaseRequest::attempt`] of the request.
        attempt: u64,
        /// Remaining duration of the grant, in microseconds from the receipt of the request: a full lease, or the
        /// remainder of a grant to an earlier attempt of the same candidate.
        bound_micros: u64,
    },
    /// The voter refused the request.
    Refused {
        /// Role named by the request.
        role: Role,
        /// [`LeaseRequest::attempt`] of the request.
        attempt: u64,
        /// Reason of the refusal.
        refusal: Refusal,
        /// Highest token that the voter has granted for the role.
        highest_token: FencingToken,
        /// Time in microseconds after which the voter may grant a request.
        retry_after_micros: u64,
    },
}

impl LeaseAnswer {
    /// Returns the role of the request that this answers.
    pub fn role(&self) -> &Role {
        match self {
            LeaseAnswer::Granted { role, .. } | LeaseAnswer::Refused { role, .. } => role,
        }
    }
}

/// Durable record of a granted fencing token; it must be durable before the grant is sent.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRecord {
    /// Role the token was granted for.
    pub role: Role,
    /// Highest token granted for the role.
    pub fencing_token: FencingToken,
}
