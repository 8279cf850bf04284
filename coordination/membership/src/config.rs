//! Settings of a membership and their checks.

use std::time::Duration;

use thiserror::Error;

use crate::identity::GroupId;
use crate::member::MAX_METADATA_BYTES;

/// Smallest datagram in bytes that holds the largest record beside the largest message.
pub const MIN_DATAGRAM_BYTES: usize = 900;

/// Largest datagram in bytes that is sent unfragmented over Ethernet.
pub const MAX_DATAGRAM_BYTES: usize = 1_472;

/// Settings of a [`Membership`](crate::Membership). All members of a group should have the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Group that this process belongs to.
    pub group: GroupId,
    /// Time between two probes; one member is probed in each.
    pub probe_period: Duration,
    /// Time-out of a direct answer before others are asked to probe, while no round trip has been measured.
    pub probe_timeout: Duration,
    /// Lower bound of that time-out once round trips have been measured.
    pub min_probe_timeout: Duration,
    /// Members asked to probe one that does not answer.
    pub indirect_probes: usize,
    /// Time to refute suspicion in groups of up to ten; it grows with the logarithm of the group's size.
    pub suspicion_timeout: Duration,
    /// Interval of gossip while there are updates to disseminate.
    pub gossip_interval: Duration,
    /// Receivers of each gossip.
    pub gossip_fanout: usize,
    /// A record is sent this number times the logarithm (base 2) of the group's size.
    pub retransmit_multiplier: u32,
    /// Least time between two exchanges of differing lists that this process begins.
    pub sync_interval: Duration,
    /// Datagrams of records that answer one request for differing records.
    pub sync_datagrams: usize,
    /// Time between two attempts to reach the seeds while no other member is known; it doubles up to eight times.
    pub join_interval: Duration,
    /// Time between two messages to a dead member or an absent seed, by which healed partitions are found.
    pub reconnect_interval: Duration,
    /// Time after which dead and left members are removed from the table.
    pub dead_retention: Duration,
    /// An input that comes so long after [`next_deadline`](crate::Membership::next_deadline) shows that this process was
    /// paused; missing answers are then not held against others.
    pub late_tolerance: Duration,
    /// Size in bytes that no datagram passes.
    pub max_datagram_bytes: usize,
    /// Limit of the table, dead members included.
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

/// A setting, or part of the local member, that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A time or a number must be more than zero.
    #[error("{setting} must be more than zero")]
    Zero {
        /// Name of the field.
        setting: &'static str,
    },
    /// A time must be shorter than another.
    #[error("{shorter} must be less than {longer}")]
    NotLess {
        /// Name of the field that is too long.
        shorter: &'static str,
        /// Name of the field that bounds it.
        longer: &'static str,
    },
    /// The size of datagrams is out of bounds.
    #[error("max_datagram_bytes is {bytes}, outside of {MIN_DATAGRAM_BYTES} to {MAX_DATAGRAM_BYTES}")]
    DatagramSize {
        /// The refused size.
        bytes: usize,
    },
    /// The local member's metadata is too long.
    #[error("the metadata has {length} bytes, more than {MAX_METADATA_BYTES}")]
    MetadataTooLong {
        /// Length of the refused metadata in bytes.
        length: usize,
    },
    /// The local member's start is beyond the largest incarnation.
    #[error("the process start {start} is beyond the largest incarnation")]
    StartTooLarge {
        /// The refused number.
        start: u64,
    },
}

impl Config {
    /// Checks the settings against each other.
    ///
    /// # Errors
    /// [`ConfigError`] names the first setting that cannot be used.
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
