//! Unit tests of `connection_table`.

use super::*;

const IDLE: f64 = 600_000.0;

#[test]
fn eviction_takes_unidentified_peers_first_and_never_one_with_a_job() {
    let state = |is_client, jobs, idle_since| State { is_client, jobs, idle_since, ..State::new(0.0) };
    let pick = |states: &[State]| eviction_candidate(states.iter().copied());
    let busy = state(false, 1, 0.0);
    assert_eq!(pick(&[busy, state(true, 0, 1.0), state(false, 0, 9.0), state(false, 0, 8.0)]), Some(3));
    assert_eq!(pick(&[busy, state(true, 0, 2.0), state(true, 0, 1.0)]), Some(2));
    let watching = State { other_calls: 1, ..state(false, 0, 0.0) };
    assert_eq!(pick(&[watching, state(false, 0, 9.0)]), Some(1));
    assert_eq!(pick(&[busy, State { closing_now: true, ..state(false, 0, 0.0) }]), None);
}

#[test]
fn every_connection_without_jobs_is_closed_in_time() {
    let unidentified = State::new(0.0);
    assert_eq!(unidentified.due_close(IDLE, false, UNIDENTIFIED_IDLE_MS - 1.0), None);
    assert_eq!(unidentified.due_close(IDLE, false, UNIDENTIFIED_IDLE_MS), Some(CloseMode::Immediate));
    let client = State { is_client: true, ..unidentified };
    assert_eq!(client.due_close(IDLE, false, IDLE - 1.0), None);
    assert_eq!(client.due_close(IDLE, false, IDLE), Some(CloseMode::Graceful));
    let busy = State { jobs: 1, ..client };
    assert_eq!(busy.due_close(IDLE, false, 1e9), None);
    // A stop sends GOAWAY on all connections; jobs in progress are answered before the connection is closed.
    assert_eq!(busy.due_close(IDLE, true, 5.0), Some(CloseMode::Graceful));
    let leaving = State { goaway_sent_at: Some(5.0), ..busy };
    assert_eq!(leaving.due_close(IDLE, true, 1e9), None);
    assert_eq!(
        State { jobs: 0, ..leaving }.due_close(IDLE, true, 5.0 + GOAWAY_GRACE_MS),
        Some(CloseMode::Immediate)
    );
}
