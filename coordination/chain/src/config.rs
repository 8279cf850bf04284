//! Configuration of a core node.

use std::time::Duration;

use millrudder_lease::{LeaseConfig, LeaseConfigError, Role};
use millrudder_view::{DetectorConfig, DetectorConfigError};
use thiserror::Error;

/// Configuration of a core node. Durations (in whole microseconds), `minimum_members` and `voters` must be the same at
/// all nodes.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Address of this node, as others reach it.
    pub address: String,
    /// Addresses of all nodes that form the first view, this one included; empty where this node must not propose one.
    pub bootstrap_addresses: Vec<String>,
    /// No view has fewer members: the number of machines whose loss is tolerated, plus one.
    pub minimum_members: usize,
    /// How many nodes vote, as far as there are so many: twice the number of machines whose loss is tolerated, plus one.
    pub voters: usize,
    /// Failure detection.
    pub detector: DetectorConfig,
    /// Leases.
    pub lease: LeaseConfig,
    /// Roles for which this node campaigns.
    pub roles: Vec<Role>,
    /// For how long a proof of contact with a quorum counts. Not longer than [`DetectorConfig::suspect_after`], so that a
    /// partitioned node knows of it before others replace it.
    pub quorum_contact_timeout: Duration,
    /// For how long a proof counts that the state is current. It bridges the replacement of the tail.
    pub max_state_age: Duration,
    /// An unanswered message is sent again after so long.
    pub retry_after: Duration,
    /// A checkpoint is due after records of so many bytes.
    pub checkpoint_bytes: usize,
    /// Committed commands that are retained in memory to bring up peers without a snapshot.
    pub retained_entries: usize,
    /// The same in bytes of commands.
    pub retained_bytes: usize,
    /// Bytes of entries or of a snapshot in one message; a single larger entry is sent alone.
    pub batch_bytes: usize,
    /// The head appends no further command while so many bytes of commands are not committed; one always fits. It bounds what
    /// waits in memory for disks that take nothing. Lower values refuse bursts that a healthy core would soon commit.
    pub uncommitted_bytes: usize,
}

impl CoreConfig {
    /// The defaults for a core of three that tolerates the loss of one.
    pub fn new(address: impl Into<String>) -> CoreConfig {
        CoreConfig {
            address: address.into(),
            bootstrap_addresses: Vec::new(),
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

    /// Checks that the values fit together.
    ///
    /// # Errors
    ///
    /// Says which rule the values break.
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
        let addresses = self.bootstrap_addresses.len();
        if addresses > 0 && addresses < self.minimum_members {
            return Err(ConfigError::TooFewBootstrapAddresses { addresses, minimum: self.minimum_members });
        }
        Ok(())
    }
}

/// Why a [`CoreConfig`] is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// Others could not reach the node.
    #[error("the node has no address")]
    NoAddress,
    /// The bounds on the size of a view contradict each other.
    #[error("a view cannot have at least {minimum} members of {voters} voters")]
    InconsistentViewSize {
        /// [`CoreConfig::minimum_members`].
        minimum: usize,
        /// [`CoreConfig::voters`].
        voters: usize,
    },
    /// The first view would be smaller than allowed.
    #[error("{addresses} bootstrap addresses are fewer than the {minimum} members of the smallest view")]
    TooFewBootstrapAddresses {
        /// Number of [`CoreConfig::bootstrap_addresses`].
        addresses: usize,
        /// [`CoreConfig::minimum_members`].
        minimum: usize,
    },
    /// A partitioned node would claim contact while it is being replaced.
    #[error("contact with a quorum would count for {contact:?}, longer than the {suspect:?} after which a peer is suspected")]
    QuorumContactTimeoutTooLong {
        /// [`CoreConfig::quorum_contact_timeout`].
        contact: Duration,
        /// [`DetectorConfig::suspect_after`].
        suspect: Duration,
    },
    /// The durations of the failure detector do not fit together.
    #[error(transparent)]
    Detector(#[from] DetectorConfigError),
    /// The durations of the leases do not fit together.
    #[error(transparent)]
    Lease(#[from] LeaseConfigError),
}
