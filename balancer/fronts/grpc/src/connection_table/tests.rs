//! Unit tests of `door`.

use super::*;

const IDLE: f64 = 600_000.0;

#[test]
fn strangers_leave_before_clients_and_none_with_a_job() {
    let state = |known, jobs, idle_since| State { known, jobs, idle_since, ..State::new(0.0) };
    let pick = |states: &[State]| first_to_leave(states.iter().copied());
    let busy = state(false, 1, 0.0);
    assert_eq!(pick(&[busy, state(true, 0, 1.0), state(false, 0, 9.0), state(false, 0, 8.0)]), Some(3));
    assert_eq!(pick(&[busy, state(true, 0, 2.0), state(true, 0, 1.0)]), Some(2));
    let watching = State { others: 1, ..state(false, 0, 0.0) };
    assert_eq!(pick(&[watching, state(false, 0, 9.0)]), Some(1));
    assert_eq!(pick(&[busy, State { ending: true, ..state(false, 0, 0.0) }]), None);
}

#[test]
fn every_connection_has_its_end() {
    let stranger = State::new(0.0);
    assert_eq!(stranger.due(IDLE, false, STRANGER_IDLE_MS - 1.0), None);
    assert_eq!(stranger.due(IDLE, false, STRANGER_IDLE_MS), Some(End::Now));
    let client = State { known: true, ..stranger };
    assert_eq!(client.due(IDLE, false, IDLE - 1.0), None);
    assert_eq!(client.due(IDLE, false, IDLE), Some(End::Gracefully));
    let busy = State { jobs: 1, ..client };
    assert_eq!(busy.due(IDLE, false, 1e9), None);
    // At a stop all are told; what is under way is answered first.
    assert_eq!(busy.due(IDLE, true, 5.0), Some(End::Gracefully));
    let told = State { leaving: Some(5.0), ..busy };
    assert_eq!(told.due(IDLE, true, 1e9), None);
    assert_eq!(State { jobs: 0, ..told }.due(IDLE, true, 5.0 + LEAVING_MS), Some(End::Now));
}
