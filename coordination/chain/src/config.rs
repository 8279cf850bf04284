//! Configuration of a core node.

use std::time::Duration;

use millrudder_lease::{LeaseConfig, LeaseConfigError, Role};
use millrudder_view::{DetectorConfig, DetectorConfigError};
use thiserror::Error;

/// Configuration of a core node. Times, `minimum_members` and `voters` must be the same at all nodes.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Address of this node, as others find it.
    pub address: String,
    /// Addresses of the founders, this node's included; empty where the node must not propose a foundation.
    pub founders: Vec<String>,
    /// No view is ever smaller: the number of machines that may be lost, plus one.
    pub minimum_members: usize,
    /// How many nodes vote, as far as there are so many: twice the number of machines that may be lost, plus one.
    pub voters: usize,
    /// Failure detection.
    pub detector: DetectorConfig,
    /// Leases.
    pub lease: LeaseConfig,
    /// Roles for which this node campaigns.
    pub roles: Vec<Role>,
    /// Contact with a majority that is proven no later than this long ago counts. Not longer than the silence after
    /// which a peer is suspected, so that a node that is cut off knows that before others replace it.
    pub contact_within: Duration,
    /// The same for the proof that the state is not older. It bridges the replacement of the tail.
    pub state_within: Duration,
    /// Pause before an unanswered message is sent again.
    pub retry_after: Duration,
    /// A checkpoint is asked for after records of this many bytes.
    pub checkpoint_bytes: usize,
    /// Committed commands that are kept in memory to bring up peers without a snapshot.
    pub kept_entries: usize,
    /// The same in bytes of commands.
    pub kept_bytes: usize,
    /// Bytes of entries or of a snapshot in one message; a single larger entry is sent alone.
    pub batch_bytes: usize,
}

impl CoreConfig {
    /// The defaults for a core of three that bears the loss of one.
    pub fn new(address: impl Into<String>) -> CoreConfig {
        CoreConfig {
            address: address.into(),
            founders: Vec::new(),
            minimum_members: 2,
            voters: 3,
            detector: DetectorConfig::default(),
            lease: LeaseConfig::default(),
            roles: Vec::new(),
            contact_within: DetectorConfig::default().suspect_after,
            state_within: Duration::from_millis(1500),
            retry_after: Duration::from_millis(200),
            checkpoint_bytes: 1 << 20,
            kept_entries: 1024,
            kept_bytes: 1 << 20,
            batch_bytes: 64 << 10,
        }
    }

    /// Checks that the values fit together.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.detector.check()?;
        self.lease.check()?;
        if self.address.is_empty() {
            return Err(ConfigError::NoAddress);
        }
        if self.minimum_members == 0 || self.minimum_members > self.voters {
            let (minimum, voters) = (self.minimum_members, self.voters);
            return Err(ConfigError::SizesOfView { minimum, voters });
        }
        if self.contact_within > self.detector.suspect_after {
            let (contact, suspect) = (self.contact_within, self.detector.suspect_after);
            return Err(ConfigError::ContactTooLong { contact, suspect });
        }
        let founders = self.founders.len();
        if founders > 0 && founders < self.minimum_members {
            return Err(ConfigError::TooFewFounders { founders, minimum: self.minimum_members });
        }
        Ok(())
    }
}

/// Why a [`CoreConfig`] cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// Others could not find the node.
    #[error("the node has no address")]
    NoAddress,
    /// The bounds on the size of a view contradict each other.
    #[error("a view cannot have at least {minimum} members of {voters} voters")]
    SizesOfView { minimum: usize, voters: usize },
    /// The founding view would be smaller than allowed.
    #[error("{founders} founders are fewer than the {minimum} members of the smallest view")]
    TooFewFounders { founders: usize, minimum: usize },
    /// A node that is cut off would take itself for connected while it is being replaced.
    #[error("contact would count for {contact:?}, longer than the silence of {suspect:?} after which a peer is suspected")]
    ContactTooLong { contact: Duration, suspect: Duration },
    /// The times of the failure detector do not fit together.
    #[error(transparent)]
    Detector(#[from] DetectorConfigError),
    /// The times of the leases do not fit together.
    #[error(transparent)]
    Lease(#[from] LeaseConfigError),
}
