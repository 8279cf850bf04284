//! Unit tests of `session`.

use super::*;

#[test]
fn a_command_split_at_any_byte_is_the_same_command() {
    let line = b"DISABLE s-0badcafe\r\n";
    for cut in 0..line.len() {
        let mut session = Session::new(0.0);
        assert_eq!(session.receive(&line[..cut], 1.0), None);
        let command = Some(Ok(Command::Disable("s-0badcafe".to_owned())));
        assert_eq!(session.receive(&line[cut..], 2.0), command, "cut at {cut}");
        assert_eq!(session.receive(b"DRAIN\n", 3.0), None, "one command to a connection");
    }
}

#[test]
fn second_lines_cut_lines_and_endless_lines_fail() {
    assert_eq!(Session::new(0.0).receive(b"READY\nDRAIN\n", 0.0), Some(Err(CommandError::SecondLine)));
    let mut cut = Session::new(0.0);
    assert_eq!(cut.receive(b"DISABLE s-12", 0.0), None);
    assert_eq!(
        cut.end_of_input(0.0),
        Some(Err(CommandError::CutShort)),
        "s-12 may be the beginning of s-123"
    );
    assert_eq!(cut.end_of_input(0.0), None, "an error is reported only once");
    let mut endless = Session::new(0.0);
    let refused = (0..LINE_LIMIT + 9).find_map(|_| endless.receive(b"x", 0.0));
    assert_eq!(refused, Some(Err(CommandError::TooLong)));
    assert_eq!(Session::new(0.0).expire(LINE_TIMEOUT_MS), Some(Err(CommandError::TooSlow)));
}

#[test]
fn eviction_takes_answered_sessions_then_silent_ones_and_never_executing_ones() {
    let (silent, mut executing, mut answered) = (Session::new(0.0), Session::new(0.0), Session::new(0.0));
    executing.receive(b"READY\n", 0.0);
    answered.receive(b"READY\n", 0.0);
    answered.answered(0.0);
    assert!(answered.eviction_rank() < silent.eviction_rank());
    assert_eq!(executing.eviction_rank(), None);
    const { assert!(LINE_TIMEOUT_MS < 3_000.0 && ORDER_TIMEOUT_MS < 1_000.0) };
}
