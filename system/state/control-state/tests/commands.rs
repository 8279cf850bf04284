//! Which configurations and placements are accepted, rejected and acknowledged again.

use millrudder_chain::{Machine, Sequence};
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_protocol::control::ConfigurationText;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::Epoch;

fn put(state: &mut ControlState, expected_version: u64, version: u64, json: &str) -> Reply {
    let configuration = ConfigurationText { version, json: json.as_bytes().to_vec() };
    state.apply(Sequence(1), &Command::PutConfiguration { expected_version, configuration })
}

#[test]
fn versions_build_on_each_other() {
    let mut state = ControlState::default();
    assert_eq!(put(&mut state, 0, 5, "a"), Reply::ConfigurationAccepted);
    assert_eq!(put(&mut state, 5, 7, "b"), Reply::ConfigurationAccepted);
    assert_eq!(state.configuration().version, 7);
}

#[test]
fn of_two_configurations_on_one_version_one_is_accepted() {
    let mut state = ControlState::default();
    put(&mut state, 0, 5, "a");
    assert_eq!(put(&mut state, 5, 7, "b"), Reply::ConfigurationAccepted);
    assert_eq!(put(&mut state, 5, 7, "c"), Reply::ConfigurationConflict { current: 7 });
    assert_eq!(state.configuration().json, b"b");
}

#[test]
fn a_retry_is_acknowledged_many_versions_later_and_changes_nothing() {
    let mut state = ControlState::default();
    put(&mut state, 0, 1, "first");
    for version in 1..300 {
        assert_eq!(put(&mut state, version, version + 1, &version.to_string()), Reply::ConfigurationAccepted);
    }
    assert_eq!(put(&mut state, 0, 1, "first"), Reply::ConfigurationAlreadyAccepted);
    assert_eq!(state.configuration().version, 300);
}

#[test]
fn a_rejected_configuration_may_be_sent_again_on_the_right_version() {
    let mut state = ControlState::default();
    put(&mut state, 0, 5, "a");
    assert_eq!(put(&mut state, 4, 9, "b"), Reply::ConfigurationConflict { current: 5 });
    assert_eq!(put(&mut state, 5, 9, "b"), Reply::ConfigurationAccepted);
}

#[test]
fn a_version_that_is_not_higher_is_rejected() {
    let mut state = ControlState::default();
    put(&mut state, 0, 5, "a");
    assert_eq!(put(&mut state, 5, 5, "b"), Reply::VersionNotHigher { current: 5 });
}

#[test]
fn only_the_placement_of_the_next_epoch_is_set() {
    let mut state = ControlState::default();
    let next = |epoch| Command::SetPlacement {
        placement: Placement { epoch: Epoch(epoch), ..Placement::default() },
    };
    assert_eq!(state.apply(Sequence(1), &next(1)), Reply::PlacementSet);
    assert_eq!(state.apply(Sequence(2), &next(1)), Reply::PlacementConflict { current: Epoch(1) });
    assert_eq!(state.apply(Sequence(3), &next(3)), Reply::PlacementConflict { current: Epoch(1) });
    assert_eq!(state.apply(Sequence(4), &next(2)), Reply::PlacementSet);
}

#[test]
fn a_snapshot_restores_the_complete_state() {
    let mut state = ControlState::default();
    put(&mut state, 0, 5, "a");
    let restored = ControlState::restore(&state.snapshot()).unwrap();
    assert_eq!(restored, state);
    assert!(restored.has_accepted(b"a"));
    assert!(ControlState::restore(&[1, 2, 3]).is_err());
}
