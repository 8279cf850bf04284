//! Unit tests of `talk`.

use super::*;

#[test]
fn a_call_cut_at_any_byte_is_the_same_call() {
    let line = b"DISABLE s-0badcafe\r\n";
    for cut in 0..line.len() {
        let mut talk = Talk::new(0.0);
        assert_eq!(talk.hear(&line[..cut], 1.0), None);
        let call = Some(Ok(Call::Disable("s-0badcafe".to_owned())));
        assert_eq!(talk.hear(&line[cut..], 2.0), call, "cut at {cut}");
        assert_eq!(talk.hear(b"DRAIN\n", 3.0), None, "one call to a connection");
    }
}

#[test]
fn two_lines_a_close_in_mid_line_and_endless_ones_fail() {
    assert_eq!(Talk::new(0.0).hear(b"READY\nDRAIN\n", 0.0), Some(Err(BadCall::SecondLine)));
    let mut cut = Talk::new(0.0);
    assert_eq!(cut.hear(b"DISABLE s-12", 0.0), None);
    assert_eq!(cut.end(0.0), Some(Err(BadCall::CutShort)), "s-12 may be half of s-123");
    assert_eq!(cut.end(0.0), None, "once");
    let mut endless = Talk::new(0.0);
    let refused = (0..LINE_LIMIT + 9).find_map(|_| endless.hear(b"x", 0.0));
    assert_eq!(refused, Some(Err(BadCall::TooLong)));
    assert_eq!(Talk::new(0.0).expire(LINE_MS), Some(Err(BadCall::TooSlow)));
}

#[test]
fn silent_callers_leave_first_those_that_have_an_answer_and_none_that_waits_for_one() {
    let (silent, mut asked, mut told) = (Talk::new(0.0), Talk::new(0.0), Talk::new(0.0));
    asked.hear(b"READY\n", 0.0);
    told.hear(b"READY\n", 0.0);
    told.answered(0.0);
    assert!(told.rank() < silent.rank());
    assert_eq!(asked.rank(), None);
    const { assert!(LINE_MS < 3_000.0 && ORDER_MS < 1_000.0) };
}
