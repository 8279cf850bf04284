//! Compaction retains the live records of messages, and the ends of released ones as long as needed.

mod support;

use millrudder_checkpoint_store::SimulatedFolder;
use millrudder_protocol::message::End;
use support::{
    callback_done, ended, failed, granted, id, node, open, promised, reclaim_all, state, write, Log, NOW_MS,
    SEGMENT_BYTES,
};

/// Body of a message that fills most of a segment (bytes).
const LARGE: usize = 600;

/// Fills a segment with a live message, so that it is not sparse enough for compaction.
fn fill_segment(log: &mut Log, first: u64) {
    write(log, [state(id(first), LARGE, None)]);
    log.verify_writable().unwrap();
}

fn is_ended(folder: &SimulatedFolder, unique: u64) -> Option<bool> {
    let records = open(folder).records;
    node(&records).state_of(id(unique)).map(|state| state.end.is_some())
}

#[test]
fn a_message_moved_behind_its_end_is_recovered_as_ended() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), 0, None), state(id(2), LARGE, None)]);
    log.verify_writable().unwrap();
    // The segment of the message becomes sparse, so that the message is moved to the end of the log.
    write(&mut log, [failed(id(1), 3, 2), ended(id(1)), state(id(3), LARGE, None)]);
    log.release(id(2));
    log.verify_writable().unwrap();
    reclaim_all(&mut log);
    drop(log);

    let records = open(&folder).records;
    let known = node(&records).state_of(id(1)).unwrap();
    assert_eq!(known.end, Some(End::DeadLetter));
    assert_eq!(known.failed_attempts, 2);
}

#[test]
fn the_end_of_a_released_message_is_retained_while_a_segment_contains_the_message() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), 0, None), state(id(2), LARGE, None)]);
    log.verify_writable().unwrap();
    write(&mut log, [ended(id(1)), state(id(3), LARGE, None)]);
    log.verify_writable().unwrap();
    write(&mut log, [callback_done(id(1))]);
    log.release(id(1));
    log.release(id(3));
    log.verify_writable().unwrap();
    reclaim_all(&mut log);
    drop(log);

    assert_eq!(is_ended(&folder, 1), Some(true), "the first segment still contains the message");
}

#[test]
fn an_end_is_dead_once_no_segment_contains_its_message() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), LARGE, None)]);
    log.verify_writable().unwrap();
    write(&mut log, [ended(id(1))]);
    log.release(id(1));
    log.verify_writable().unwrap();
    reclaim_all(&mut log);

    assert_eq!(log.usage().live_bytes, 0);
    drop(log);
    assert_eq!(is_ended(&folder, 1), None);
}

#[test]
fn ends_are_not_retained_for_older_segments_without_their_message() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    fill_segment(&mut log, 0);
    let live_bytes = log.usage().live_bytes;
    for unique in 1..2_000 {
        let records = [state(id(unique), 100, None), granted(id(unique), 1), ended(id(unique))];
        write(&mut log, records);
        log.release(id(unique));
        log.reclaim().unwrap();
    }
    log.verify_writable().unwrap();
    reclaim_all(&mut log);

    assert_eq!(log.usage().live_bytes, live_bytes);
    assert!(log.usage().file_bytes <= 3 * SEGMENT_BYTES, "{:?}", log.usage());
}

#[test]
fn orphaned_records_that_a_restart_recovers_are_reclaimed() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), LARGE, None)]);
    log.verify_writable().unwrap();
    // This segment is retained for its live message, and the end of the other one with it.
    write(&mut log, [state(id(2), LARGE, None), granted(id(1), 1), ended(id(1))]);
    log.release(id(1));
    log.verify_writable().unwrap();
    reclaim_all(&mut log);
    drop(log);

    let opened = open(&folder);
    let mut log = opened.log;
    assert_eq!(opened.records.len(), 1, "changes of a message without its state have no effect");
    log.release(id(2));
    reclaim_all(&mut log);
    assert_eq!(log.usage().live_bytes, 0);
}

#[test]
fn a_change_that_follows_the_release_of_its_message_is_dead() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), 0, None), ended(id(1))]);
    log.release(id(1));
    write(&mut log, [callback_done(id(1)), granted(id(7), 1)]);
    log.verify_writable().unwrap();
    reclaim_all(&mut log);
    assert_eq!(log.usage().live_bytes, 0);
}

#[test]
fn a_message_with_many_attempts_retains_only_its_latest_grant_and_failure() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, [state(id(1), 0, None)]);
    for token in 1..3_000 {
        log.append(NOW_MS, &granted(id(1), token)).unwrap();
        log.append(NOW_MS, &failed(id(1), token, token as u32)).unwrap();
        log.sync().unwrap();
        log.reclaim().unwrap();
    }
    assert!(log.usage().file_bytes <= 4 * SEGMENT_BYTES, "{:?}", log.usage());
    drop(log);
    let known = node(&open(&folder).records).state_of(id(1)).unwrap();
    assert_eq!(known.failed_attempts, 2_999);
}

#[test]
fn the_highest_promise_is_retained() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    for since in 1..500 {
        write(&mut log, [promised(0, since), promised(1, 500 - since)]);
        log.reclaim().unwrap();
    }
    assert!(log.usage().file_bytes <= 4 * SEGMENT_BYTES, "{:?}", log.usage());
    drop(log);
    let promises = node(&open(&folder).records).promised_terms();
    assert_eq!(promises, [promised(0, 499), promised(1, 499)]);
}
