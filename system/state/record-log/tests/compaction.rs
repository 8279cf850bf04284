//! What compaction leaves of messages, live and released.

mod support;

use millrudder_checkpoint_store::SimulatedFolder;
use millrudder_protocol::message::End;
use support::{
    callback_done, ended, failed, give_all_back, granted, id, node, open, promised, state, write, Log,
    NOW_MS, SEGMENT_BYTES,
};

/// Body of a message that fills most of a segment (bytes).
const LARGE: usize = 600;

/// Fills a segment with messages that stay, so that it is not worth compacting.
fn fill_segment(log: &mut Log, first: u64) {
    write(log, [state(id(first), LARGE, None)]);
    log.prove().unwrap();
}

fn is_ended(log_of: &SimulatedFolder, unique: u64) -> Option<bool> {
    let records = open(log_of).records;
    node(&records).state_of(id(unique)).map(|state| state.end.is_some())
}

#[test]
fn a_message_written_again_after_what_became_of_it_stays_ended() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), 0, None), state(id(2), LARGE, None)]);
    log.prove().unwrap();
    // The segment of the message is nearly empty now; the message goes to the end of the log.
    write(&mut log, [failed(id(1), 3, 2), ended(id(1)), state(id(3), LARGE, None)]);
    log.release(id(2));
    log.prove().unwrap();
    give_all_back(&mut log);
    drop(log);

    let records = open(&folder).records;
    let known = node(&records).state_of(id(1)).unwrap();
    assert_eq!(known.end, Some(End::DeadLetter));
    assert_eq!(known.failed_attempts, 2);
}

#[test]
fn the_end_of_a_released_message_outlives_it_whatever_was_written_last() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), 0, None), state(id(2), LARGE, None)]);
    log.prove().unwrap();
    write(&mut log, [ended(id(1)), state(id(3), LARGE, None)]);
    log.prove().unwrap();
    write(&mut log, [callback_done(id(1))]);
    log.release(id(1));
    log.release(id(3));
    log.prove().unwrap();
    give_all_back(&mut log);
    drop(log);

    assert_eq!(is_ended(&folder, 1), Some(true), "the first segment still holds the message");
}

#[test]
fn an_end_goes_once_no_segment_holds_its_message() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), LARGE, None)]);
    log.prove().unwrap();
    write(&mut log, [ended(id(1))]);
    log.release(id(1));
    log.prove().unwrap();
    give_all_back(&mut log);

    assert_eq!(log.usage().live_bytes, 0);
    drop(log);
    assert_eq!(is_ended(&folder, 1), None);
}

#[test]
fn ends_are_not_kept_for_the_sake_of_older_segments_that_stay() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    fill_segment(&mut log, 0);
    let kept = log.usage().live_bytes;
    for unique in 1..2_000 {
        let of_one = [state(id(unique), 100, None), granted(id(unique), 1), ended(id(unique))];
        write(&mut log, of_one);
        log.release(id(unique));
        log.give_back().unwrap();
    }
    log.prove().unwrap();
    give_all_back(&mut log);

    assert_eq!(log.usage().live_bytes, kept);
    assert!(log.usage().file_bytes <= 3 * SEGMENT_BYTES, "{:?}", log.usage());
}

#[test]
fn what_a_restart_finds_of_forgotten_messages_is_given_back() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), LARGE, None)]);
    log.prove().unwrap();
    // This segment stays for the sake of a message in it, and the end of the other one with it.
    write(&mut log, [state(id(2), LARGE, None), granted(id(1), 1), ended(id(1))]);
    log.release(id(1));
    log.prove().unwrap();
    give_all_back(&mut log);
    drop(log);

    let opened = open(&folder);
    let mut log = opened.log;
    assert_eq!(opened.records.len(), 1, "changes of a message that is not there say nothing");
    log.release(id(2));
    give_all_back(&mut log);
    assert_eq!(log.usage().live_bytes, 0);
}

#[test]
fn a_change_that_comes_after_its_message_was_forgotten_takes_no_room() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), 0, None), ended(id(1))]);
    log.release(id(1));
    write(&mut log, [callback_done(id(1)), granted(id(7), 1)]);
    log.prove().unwrap();
    give_all_back(&mut log);
    assert_eq!(log.usage().live_bytes, 0);
}

#[test]
fn a_message_that_is_tried_for_days_keeps_only_its_latest_grant_and_failure() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), 0, None)]);
    for token in 1..3_000 {
        log.append(NOW_MS, &granted(id(1), token)).unwrap();
        log.append(NOW_MS, &failed(id(1), token, token as u32)).unwrap();
        log.sync().unwrap();
        log.give_back().unwrap();
    }
    assert!(log.usage().file_bytes <= 4 * SEGMENT_BYTES, "{:?}", log.usage());
    drop(log);
    let known = node(&open(&folder).records).state_of(id(1)).unwrap();
    assert_eq!(known.failed_attempts, 2_999);
}

#[test]
fn the_highest_promise_stays() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    for since in 1..500 {
        write(&mut log, [promised(0, since), promised(1, 500 - since)]);
        log.give_back().unwrap();
    }
    assert!(log.usage().file_bytes <= 4 * SEGMENT_BYTES, "{:?}", log.usage());
    drop(log);
    let promises = node(&open(&folder).records).promises();
    assert_eq!(promises, [promised(0, 499), promised(1, 499)]);
}
