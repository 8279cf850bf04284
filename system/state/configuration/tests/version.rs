//! Versions and what leaves the process.

use millrudder_configuration::{
    check_successor, ConfigurationDigest, ConfigurationVersion, RouteName, ServiceName, VersionError,
};
use speedy::{Readable, Writable};

#[test]
fn only_a_higher_version_may_follow() {
    let version = ConfigurationVersion;
    assert_eq!(check_successor(ConfigurationVersion::NONE, version(1)), Ok(()));
    assert_eq!(check_successor(version(5), version(9)), Ok(()));
    for (current, new) in [(0, 0), (5, 5), (5, 4), (u64::MAX, 0)] {
        let (current, new) = (version(current), version(new));
        assert_eq!(check_successor(current, new), Err(VersionError { current, new }));
    }
}

#[test]
fn a_version_parses_from_a_header() {
    assert_eq!("17".parse(), Ok(ConfigurationVersion(17)));
    for text in ["", "x", "-1", "1.0", "18446744073709551616"] {
        assert!(text.parse::<ConfigurationVersion>().is_err(), "{text}");
    }
}

#[test]
fn identifiers_decode_to_the_same() {
    let version = ConfigurationVersion(u64::MAX);
    assert_eq!(ConfigurationVersion::read_from_buffer(&version.write_to_vec().unwrap()).unwrap(), version);
    let digest = ConfigurationDigest::of(b"body");
    assert_eq!(ConfigurationDigest::read_from_buffer(&digest.write_to_vec().unwrap()).unwrap(), digest);
    let route = RouteName::from("r-post");
    assert_eq!(RouteName::read_from_buffer(&route.write_to_vec().unwrap()).unwrap(), route);
    let service = ServiceName::from("hives");
    assert_eq!(ServiceName::read_from_buffer(&service.write_to_vec().unwrap()).unwrap(), service);
}

#[test]
fn the_digest_is_stable_across_releases() {
    assert_eq!(ConfigurationDigest::of(b"").to_string(), "99aa06d3014798d86001c324468d497f");
}
