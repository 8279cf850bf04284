//! Configuration of a core node.

use std::time::Duration;

use millrudder_lease::{LeaseConfig, LeaseConfigError, Role};
use millrudder_view::{DetectorConfig, DetectorConfigError};
use thiserror::Error;

/// Configuration of a core node. Durations (in whole microseconds), `minimum_members` and `voters` must be the same at
/// all nodes.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Address at which other nodes reach this node.
    pub address: String,
    /// Addresses of the founders, the nodes that decide the first view, as far as they are known and including this node;
    /// empty if this node is no founder.
    pub bootstrap_addresses: Vec<String>,
    /// Number of founders, of which a majority decides; must be the same at all of them. With less than the number of
    /// [`CoreConfig::bootstrap_addresses`], there are as many as there are addresses.
    pub founder_count: usize,
    /// Minimum number of members of a view: the number of machine failures to tolerate, plus one.
    pub minimum_members: usize,
    /// Intended number of voters: twice the number of machine failures to tolerate, plus one. There are fewer while not
    /// enough nodes are known.
    pub voters: usize,
    /// Failure detection.
    pub detector: DetectorConfig,
    /// Leases.
    pub lease: LeaseConfig,
    /// Roles whose leases this node requests.
    pub roles: Vec<Role>,
    /// How long evidence of quorum contact stays valid. Must not exceed [`DetectorConfig::suspect_after`], so that a
    /// partitioned node notices the partition before others replace it.
    pub quorum_contact_timeout: Duration,
    /// How long evidence that the local state is current stays valid. Long enough to span the replacement of a failed
    /// tail.
    pub max_state_age: Duration,
    /// Time after which an unanswered message is resent.
    pub retry_after: Duration,
    /// Bytes of records after which a checkpoint is due.
    pub checkpoint_bytes: usize,
    /// Number of committed commands retained in memory, so that peers can catch up without a snapshot.
    pub retained_entries: usize,
    /// Bytes of committed commands retained in memory for the same purpose.
    pub retained_bytes: usize,
    /// Bytes of entries or of a snapshot in one message; a single larger entry is sent alone.
    pub batch_bytes: usize,
    /// Bytes of uncommitted commands from which the head appends no further command; a single command is always
    /// allowed. Bounds the memory used while disks are stalled. Lower values would refuse bursts that a healthy core
    /// would soon commit.
    pub uncommitted_bytes: usize,
}

impl CoreConfig {
    /// Defaults for a core of three nodes that tolerates the failure of one.
    pub fn new(address: impl Into<String>) -> CoreConfig {
        CoreConfig {
            address: address.into(),
            bootstrap_addresses: Vec::new(),
            founder_count: 0,
            minimum_members: 2,
            voters: 3,
            detector: DetectorConfig::default(),
            lease: LeaseConfig::default(),
            roles: Vec::new(),
            quorum_contact_timeout: DetectorConfig::default().suspect_after,
            max_state_age: Duration::from_millis(1500),
            retry_after: Duration::from_millis(200),
            checkpoint_bytes: 1 << 20,
            retained_entries: 1024,
            retained_bytes: 1 << 20,
            batch_bytes: 64 << 10,
            uncommitted_bytes: 8 << 20,
        }
    }

    /// Checks that the values are consistent.
    ///
    /// # Errors
    ///
    /// The first rule that the values violate.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.detector.check()?;
        self.lease.check()?;
        if self.address.is_empty() {
            return Err(ConfigError::NoAddress);
        }
        if self.minimum_members == 0 || self.minimum_members > self.voters {
            let (minimum, voters) = (self.minimum_members, self.voters);
            return Err(ConfigError::InconsistentViewSize { minimum, voters });
        }
        if self.quorum_contact_timeout > self.detector.suspect_after {
            let (contact, suspect) = (self.quorum_contact_timeout, self.detector.suspect_after);
            return Err(ConfigError::QuorumContactTimeoutTooLong { contact, suspect });
        }
        let (known, minimum) = (self.bootstrap_addresses.len(), self.minimum_members);
        let addresses = self.founder_count.max(known);
        if known > 0 && addresses < minimum {
            return Err(ConfigError::TooFewBootstrapAddresses { addresses, minimum });
        }
        Ok(())
    }
}

/// Why a [`CoreConfig`] is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// [`CoreConfig::address`] is empty, so that other nodes could not reach this one.
    #[error("the node has no address")]
    NoAddress,
    /// The bounds on the size of a view contradict each other.
    #[error(
        "the minimum number of members must be between 1 and the number of voters ({voters}), not {minimum}"
    )]
    InconsistentViewSize {
        /// [`CoreConfig::minimum_members`].
        minimum: usize,
        /// [`CoreConfig::voters`].
        voters: usize,
    },
    /// The first view would be smaller than allowed.
    #[error(
        "there are {addresses} bootstrap addresses, fewer than the minimum of {minimum} members of a view"
    )]
    TooFewBootstrapAddresses {
        /// Number of founders, whose addresses are known or not.
        addresses: usize,
        /// [`CoreConfig::minimum_members`].
        minimum: usize,
    },
    /// A partitioned node would report quorum contact while others already replace it.
    #[error(
        "the quorum contact time-out of {contact:?} exceeds the {suspect:?} after which a peer is suspected"
    )]
    QuorumContactTimeoutTooLong {
        /// [`CoreConfig::quorum_contact_timeout`].
        contact: Duration,
        /// [`DetectorConfig::suspect_after`].
        suspect: Duration,
    },
    /// The durations of the failure detector are inconsistent.
    #[error(transparent)]
    Detector(#[from] DetectorConfigError),
    /// The durations of the leases are inconsistent.
    #[error(transparent)]
    Lease(#[from] LeaseConfigError),
}
