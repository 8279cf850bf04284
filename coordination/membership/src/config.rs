//! Configuration of a membership, and its validation.

use std::time::Duration;

use thiserror::Error;

use crate::identity::GroupId;
use crate::member::MAX_METADATA_BYTES;

/// Smallest permitted datagram size, in bytes: it holds the largest record together with the largest message.
pub const MIN_DATAGRAM_BYTES: usize = 900;

/// Largest permitted datagram size, in bytes: the largest UDP payload that Ethernet carries without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_472;

/// Configuration of a [`Membership`](crate::Membership). It should be the same for all members of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Group that this process belongs to.
    pub group: GroupId,
    /// Interval between regular probes; one member is probed in each period.
    pub probe_period: Duration,
    /// Time-out of a direct probe, after which indirect probes are sent, while no round trip to the target has been measured.
    pub probe_timeout: Duration,
    /// Lower bound of the time-out of a direct probe once round trips have been measured.
    pub min_probe_timeout: Duration,
    /// Number of members that are asked to probe a member that does not answer (indirect probes).
    pub indirect_probes: usize,
    /// Time that a suspect has to refute the suspicion, in groups of up to ten members. In larger groups it grows with the
    /// logarithm of the group size.
    pub suspicion_timeout: Duration,
    /// Interval between gossip messages while updates are pending.
    pub gossip_interval: Duration,
    /// Number of random members that receive each round of gossip.
    pub gossip_fanout: usize,
    /// A record is transmitted this many times the logarithm (base 2) of the group size.
    pub retransmit_multiplier: u32,
    /// Minimum time between two exchanges of differing lists that this process starts.
    pub sync_interval: Duration,
    /// Maximum number of datagrams with records that are sent in answer to one sync request.
    pub sync_datagrams: usize,
    /// Initial backoff between attempts to contact the seeds while no other member is known. It doubles after each attempt,
    /// up to eight times this value.
    pub join_interval: Duration,
    /// Interval between messages to a dead member or to a seed at which no live member is known. They detect that a partition
    /// has healed.
    pub reconnect_interval: Duration,
    /// Time for which dead and left members are kept in the table.
    pub dead_retention: Duration,
    /// If an input comes more than this time after [`next_deadline`](crate::Membership::next_deadline), this process is taken
    /// to have been paused. Other members are then not suspected for probes that went unanswered.
    pub late_tolerance: Duration,
    /// Maximum size of a datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Maximum number of members in the table, including dead ones.
    pub max_members: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            group: GroupId::default(),
            probe_period: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(150),
            min_probe_timeout: Duration::from_millis(100),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_millis(1_100),
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 3,
            retransmit_multiplier: 3,
            sync_interval: Duration::from_secs(1),
            sync_datagrams: 16,
            join_interval: Duration::from_millis(250),
            reconnect_interval: Duration::from_secs(1),
            dead_retention: Duration::from_secs(120),
            late_tolerance: Duration::from_millis(100),
            max_datagram_bytes: 1_200,
            max_members: 4_096,
        }
    }
}

/// Why a configuration or the local member is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A duration or a number is zero.
    #[error("{setting} must be more than zero")]
    Zero {
        /// Name of the field.
        setting: &'static str,
    },
    /// A duration is not shorter than the one that bounds it.
    #[error("{shorter} must be less than {longer}")]
    NotLess {
        /// Name of the field whose duration is too long.
        shorter: &'static str,
        /// Name of the field that must be longer.
        longer: &'static str,
    },
    /// The maximum size of datagrams is out of bounds.
    #[error("max_datagram_bytes is {bytes}, outside of {MIN_DATAGRAM_BYTES} to {MAX_DATAGRAM_BYTES}")]
    DatagramSize {
        /// Configured size in bytes.
        bytes: usize,
    },
    /// The local member's metadata is too long.
    #[error("the metadata has {length} bytes, more than {MAX_METADATA_BYTES}")]
    MetadataTooLong {
        /// Length of the metadata in bytes.
        length: usize,
    },
    /// The local member's process start exceeds the largest incarnation.
    #[error("the process start {start} is beyond the largest incarnation")]
    StartTooLarge {
        /// Number of the process start.
        start: u64,
    },
}

impl Config {
    /// Checks that the settings are valid and consistent with each other.
    ///
    /// # Errors
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.check_times()?;
        self.check_numbers()?;
        check_less("min_probe_timeout", self.min_probe_timeout, "probe_period", self.probe_period)?;
        check_less("probe_timeout", self.probe_timeout, "probe_period", self.probe_period)?;
        check_less("suspicion_timeout", self.suspicion_timeout, "dead_retention", self.dead_retention)?;
        if !(MIN_DATAGRAM_BYTES..=MAX_DATAGRAM_BYTES).contains(&self.max_datagram_bytes) {
            return Err(ConfigError::DatagramSize { bytes: self.max_datagram_bytes });
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), ConfigError> {
        let times = [
            ("probe_period", self.probe_period),
            ("probe_timeout", self.probe_timeout),
            ("min_probe_timeout", self.min_probe_timeout),
            ("suspicion_timeout", self.suspicion_timeout),
            ("gossip_interval", self.gossip_interval),
            ("sync_interval", self.sync_interval),
            ("join_interval", self.join_interval),
            ("reconnect_interval", self.reconnect_interval),
            ("late_tolerance", self.late_tolerance),
        ];
        times.into_iter().try_for_each(|(setting, time)| check_positive(setting, time.is_zero()))
    }

    fn check_numbers(&self) -> Result<(), ConfigError> {
        check_positive("gossip_fanout", self.gossip_fanout == 0)?;
        check_positive("retransmit_multiplier", self.retransmit_multiplier == 0)?;
        check_positive("sync_datagrams", self.sync_datagrams == 0)?;
        check_positive("max_members", self.max_members == 0)
    }
}

fn check_positive(setting: &'static str, is_zero: bool) -> Result<(), ConfigError> {
    if is_zero {
        return Err(ConfigError::Zero { setting });
    }
    Ok(())
}

fn check_less(
    shorter: &'static str,
    short: Duration,
    longer: &'static str,
    long: Duration,
) -> Result<(), ConfigError> {
    if short >= long {
        return Err(ConfigError::NotLess { shorter, longer });
    }
    Ok(())
}
