//! Unit tests of the failure detector.

use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{Detector, DetectorConfig, DetectorConfigError, NodeId};

const PEER: NodeId = NodeId(7);

/// Returns the clock reading `millis` milliseconds after the origin.
fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn detector() -> Detector {
    let mut detector = Detector::new(&DetectorConfig::default(), Instant::ORIGIN);
    detector.watch(Instant::ORIGIN, PEER);
    detector
}

/// Polls every 100 ms from `from` to `until`. If `lists_local_node` is given, a heartbeat arrives each time.
fn poll_until(detector: &mut Detector, from: u64, until: u64, lists_local_node: Option<bool>) {
    for now in (from..=until).step_by(100) {
        detector.poll(at(now));
        if let Some(lists_local_node) = lists_local_node {
            detector.handle_heartbeat(at(now), PEER, lists_local_node);
        }
    }
}

#[test]
fn a_peer_without_heartbeats_is_suspected_after_the_configured_time() {
    let mut detector = detector();
    poll_until(&mut detector, 0, 500, None);
    assert!(!detector.is_suspect(at(599), PEER));
    assert!(detector.is_suspect(at(600), PEER));
    assert_eq!(detector.heard_peers(at(600)), vec![]);
}

#[test]
fn a_peer_that_receives_no_heartbeats_is_suspected_though_its_own_arrive() {
    let mut detector = detector();
    poll_until(&mut detector, 0, 600, Some(false));
    assert!(detector.is_suspect(at(600), PEER));
    assert_eq!(detector.heard_peers(at(600)), vec![PEER]);
}

#[test]
fn a_peer_is_stable_only_after_uninterrupted_contact() {
    let mut detector = detector();
    poll_until(&mut detector, 0, 700, None);
    poll_until(&mut detector, 800, 1_700, Some(true));
    assert!(!detector.is_stable(at(1_799), PEER));
    assert!(detector.is_stable(at(1_800), PEER));
}

#[test]
fn a_node_that_was_paused_suspects_nobody() {
    let mut detector = detector();
    poll_until(&mut detector, 0, 200, Some(true));
    detector.poll(at(5_000));
    assert!(!detector.is_suspect(at(5_000), PEER));
    assert!(!detector.is_stable(at(5_000), PEER));
}

#[test]
fn a_leaving_peer_is_suspected_until_its_next_heartbeat() {
    let mut detector = detector();
    poll_until(&mut detector, 0, 1_200, Some(true));
    detector.mark_leaving(PEER);
    assert!(detector.is_suspect(at(1_200), PEER));
    detector.handle_heartbeat(at(1_300), PEER, true);
    assert!(!detector.is_suspect(at(1_300), PEER));
    assert!(!detector.is_stable(at(1_300), PEER));
}

#[test]
fn inconsistent_durations_are_rejected() {
    let heartbeat_interval = Duration::from_millis(100);
    let suspect_after = Duration::from_millis(150);
    let config = DetectorConfig { heartbeat_interval, suspect_after, ..DetectorConfig::default() };
    assert_eq!(
        config.check(),
        Err(DetectorConfigError::SuspectsTooEarly { heartbeat_interval, suspect_after })
    );
    let config = DetectorConfig { heartbeat_interval: Duration::ZERO, ..DetectorConfig::default() };
    assert_eq!(config.check(), Err(DetectorConfigError::NoHeartbeatInterval));
}
