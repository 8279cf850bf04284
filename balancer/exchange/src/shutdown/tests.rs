//! Unit tests of `shutdown`.

use super::*;

#[test]
fn the_grace_starts_at_the_first_signal_only() {
    let stopping = Stopping::new(500.0);
    assert!(!stopping.grace_is_over(1e9));
    assert!(stopping.begin(100.0));
    assert!(!stopping.begin(600.0), "a second signal must not extend the grace period");
    assert!(!stopping.grace_is_over(899.0) && stopping.grace_is_over(900.0));
    // SIGKILL may come 1.2 s after SIGTERM.
    assert!(stopping.last_moment() < 100.0 + 1_200.0);
}

#[test]
fn jobs_are_accepted_while_they_can_still_be_done_and_clients_are_connected() {
    // Clients may have no other dispatcher. With a fixed grace period of 0.8 s, all their requests between its
    // end and the restart failed.
    let stopping = Stopping::new(5_000.0);
    stopping.begin(0.0);
    assert!(!stopping.grace_is_over(2_500.0));
    assert!(stopping.grace_is_over(stopping.last_moment() - LAST_JOB_MARGIN_MS));
    assert!(stopping.last_moment() < 3_700.0);
    stopping.note_no_clients(799.0);
    assert!(!stopping.grace_is_over(800.0), "new connections may still arrive");
    stopping.client_connected();
    stopping.note_no_clients(800.0);
    assert!(!stopping.grace_is_over(800.0), "a client is still connected to another front");
    stopping.client_disconnected();
    stopping.note_no_clients(800.0);
    assert!(stopping.grace_is_over(800.0));
}

#[test]
fn no_job_is_accepted_past_the_last_moment_however_short_deadlines_are() {
    // With a longest deadline of 300 ms, jobs were accepted for 50 ms after the time by which all must be
    // answered, and SIGKILL could interrupt them.
    for longest in [1.0, 100.0, 300.0, 349.0, 400.0, 3_000.0, 60_000.0] {
        let stopping = Stopping::new(longest);
        stopping.begin(0.0);
        assert!(stopping.grace_is_over(stopping.last_moment()), "{longest}");
        assert!(stopping.last_moment() < longest.min(3_000.0) + 700.0, "{longest}");
    }
}

#[test]
fn a_stop_uses_the_deadlines_in_force_when_it_begins() {
    // The longest deadline was read only at the start, here 3 s. After a reload that lowered it to 1 s, SIGKILL
    // came 1.3 s before the last moment.
    let stopping = Stopping::new(5_000.0);
    stopping.set_longest_deadline(1_000.0);
    stopping.begin(0.0);
    assert_eq!(stopping.last_moment(), 1_450.0);
    // A SIGHUP right after SIGTERM must not move the last moment: its timer is already set.
    stopping.set_longest_deadline(5_000.0);
    assert_eq!(stopping.last_moment(), 1_450.0);
    assert!(stopping.grace_is_over(1_450.0));
}

#[test]
fn with_a_successor_the_grace_period_ends_with_the_last_client_connection() {
    let stopping = Stopping::new(5_000.0);
    stopping.set_succeeded(true);
    stopping.begin(0.0);
    assert!(!stopping.grace_is_over(1.0), "client connections are still open");
    stopping.note_no_clients(2.0);
    assert!(stopping.grace_is_over(2.0));
}
