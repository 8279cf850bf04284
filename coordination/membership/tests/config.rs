//! Validation of settings, names and the local member.

mod support;

use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_membership::{
    Config, ConfigError, MemberName, Membership, Metadata, NameError, Zone, MAX_METADATA_BYTES,
    MAX_NAME_BYTES,
};
use support::{address, local_member, millis, secs};

/// Changes one setting to an invalid value.
type Invalidate = fn(&mut Config);

#[test]
fn the_default_is_valid() {
    assert_eq!(Config::default().validate(), Ok(()));
}

#[test]
fn zero_durations_and_numbers_are_rejected_by_name() {
    let invalid_settings: [(&str, Invalidate); 12] = [
        ("probe_period", |config| config.probe_period = Duration::ZERO),
        ("probe_timeout", |config| config.probe_timeout = Duration::ZERO),
        ("min_probe_timeout", |config| config.min_probe_timeout = Duration::ZERO),
        ("suspicion_timeout", |config| config.suspicion_timeout = Duration::ZERO),
        ("gossip_interval", |config| config.gossip_interval = Duration::ZERO),
        ("sync_interval", |config| config.sync_interval = Duration::ZERO),
        ("join_interval", |config| config.join_interval = Duration::ZERO),
        ("reconnect_interval", |config| config.reconnect_interval = Duration::ZERO),
        ("late_tolerance", |config| config.late_tolerance = Duration::ZERO),
        ("gossip_fanout", |config| config.gossip_fanout = 0),
        ("retransmit_multiplier", |config| config.retransmit_multiplier = 0),
        ("max_members", |config| config.max_members = 0),
    ];
    for (setting, invalidate) in invalid_settings {
        let mut config = Config::default();
        invalidate(&mut config);
        assert_eq!(config.validate(), Err(ConfigError::Zero { setting }));
    }
}

#[test]
fn inconsistent_durations_are_rejected() {
    let config = Config { probe_timeout: millis(500), ..Config::default() };
    let expected = ConfigError::NotLess { shorter: "probe_timeout", longer: "probe_period" };
    assert_eq!(config.validate(), Err(expected));
    let config = Config { dead_retention: secs(1), ..Config::default() };
    let expected = ConfigError::NotLess { shorter: "suspicion_timeout", longer: "dead_retention" };
    assert_eq!(config.validate(), Err(expected));
}

#[test]
fn datagrams_must_hold_the_largest_record_and_fit_into_a_frame() {
    for bytes in [0, 899, 1_473] {
        let config = Config { max_datagram_bytes: bytes, ..Config::default() };
        assert_eq!(config.validate(), Err(ConfigError::DatagramSize { bytes }));
    }
}

#[test]
fn the_local_member_is_checked() {
    let mut oversized = local_member(0, 1, address(0));
    oversized.metadata = vec![0; MAX_METADATA_BYTES + 1];
    let error = Membership::new(Config::default(), oversized, 1, Instant::ORIGIN).err();
    assert_eq!(error, Some(ConfigError::MetadataTooLong { length: MAX_METADATA_BYTES + 1 }));
    let too_late_start = local_member(0, u64::MAX, address(0));
    let error = Membership::new(Config::default(), too_late_start, 1, Instant::ORIGIN).err();
    assert_eq!(error, Some(ConfigError::StartTooLarge { start: u64::MAX }));
    let error = Metadata::new(vec![0; MAX_METADATA_BYTES + 1]).err();
    assert_eq!(error, Some(ConfigError::MetadataTooLong { length: MAX_METADATA_BYTES + 1 }));
}

#[test]
fn names_are_checked() {
    assert_eq!(MemberName::new("").err(), Some(NameError::Empty));
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    assert_eq!(Zone::new(long).err(), Some(NameError::TooLong { length: MAX_NAME_BYTES + 1 }));
    assert!(MemberName::new("x".repeat(MAX_NAME_BYTES)).is_ok());
}

#[test]
fn the_largest_record_fits_beside_the_largest_message() {
    let mut simulation = support::Simulation::new(
        support::Network::default(),
        Config { max_datagram_bytes: 900, ..Config::default() },
        1,
    );
    for index in 0..3 {
        simulation.start(index, 1, address(index));
        let long = MemberName::new(format!("{index}").repeat(MAX_NAME_BYTES)).expect("a permitted length");
        let mut largest = local_member(index, 1, address(index));
        largest.id.name = long;
        largest.zone = Zone::new("z".repeat(MAX_NAME_BYTES)).expect("a permitted length");
        largest.metadata = vec![7; MAX_METADATA_BYTES];
        let config = simulation.config.clone();
        simulation.nodes[index].membership =
            Membership::new(config, largest, index as u64, simulation.now).expect("valid settings");
        simulation.join(index);
    }
    simulation.run_for(secs(5));
    let digest = simulation.nodes[0].membership.digest();
    for node in &simulation.nodes {
        assert_eq!(node.membership.live_members().count(), 3);
        assert_eq!(node.membership.digest(), digest);
        assert!(node.largest_datagram_bytes <= 900, "{} bytes", node.largest_datagram_bytes);
    }
}
