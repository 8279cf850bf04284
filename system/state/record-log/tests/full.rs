//! A log that is full refuses, says so, and goes on.

mod support;

use millrudder_checkpoint_store::SimulatedFolder;
use millrudder_queue::{DiskRecord, Ticket};
use millrudder_record_log::{LogWriter, RecordLogError};
use support::{ended, failed, give_all_back, granted, id, node, open, state, Log, NOW_MS, SEGMENT_BYTES};

/// Body of a message of which two fill most of a segment (bytes).
const BODY_BYTES: usize = 300;

/// Appends messages until they do not fit; returns how many there are.
fn fill(log: &mut Log) -> u64 {
    for unique in 0.. {
        match log.append(NOW_MS, &state(id(unique), BODY_BYTES, None)) {
            Ok(()) => log.sync().unwrap(),
            Err(RecordLogError::Full { needed, room }) => {
                assert!(needed > room);
                return unique;
            }
            Err(error) => panic!("{error}"),
        }
    }
    unreachable!()
}

#[test]
fn a_full_log_still_takes_the_ends_of_all_its_messages() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    assert!(!log.is_short());
    let messages = fill(&mut log);
    assert!(log.is_short());
    for unique in 0..messages {
        log.append(NOW_MS, &ended(id(unique))).unwrap();
    }
    log.sync().unwrap();
    drop(log);

    let node = node(&open(&folder).records);
    for unique in 0..messages {
        assert!(node.state_of(id(unique)).unwrap().end.is_some());
    }
}

#[test]
fn releases_make_room_in_a_full_log() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    let messages = fill(&mut log);
    for unique in 0..messages / 2 {
        log.release(id(unique));
    }
    log.give_back().unwrap();
    assert!(!log.is_short());
    assert!(fill_from(&mut log, messages) >= messages / 3);
}

/// Appends messages from number `first` on until they do not fit; returns how many fitted.
fn fill_from(log: &mut Log, first: u64) -> u64 {
    let fits = |unique: &u64| log.append(NOW_MS, &state(id(*unique), BODY_BYTES, None)).is_ok();
    (first..).take_while(fits).count() as u64
}

#[test]
fn a_log_filled_to_the_last_change_can_be_compacted() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    let messages = fill(&mut log);
    let mut changes = 0;
    // Changes of many messages, none of which says more than another.
    while log.append(NOW_MS, &ended(id(changes % messages))).is_ok() {
        changes += 1;
    }
    assert!(log.usage().reserved_capacity >= SEGMENT_BYTES - 200);
    for unique in 0..messages {
        log.release(id(unique));
    }
    log.prove().unwrap();
    give_all_back(&mut log);
    assert_eq!(log.usage().live_bytes, 0);
    assert!(!log.is_short());
}

/// Segments half of which is needed are too costly to compact as long as there is room.
#[test]
fn a_short_log_compacts_more_eagerly() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    let messages = fill(&mut log);
    for unique in (0..messages).filter(|unique| unique % 2 == 0) {
        log.release(id(unique));
    }
    log.give_back().unwrap();
    assert!(!log.is_short());
}

struct Tickets(u64);

impl Tickets {
    fn append(&mut self, writer: &mut LogWriter<SimulatedFolder>, record: DiskRecord) -> Ticket {
        self.0 += 1;
        writer.append(NOW_MS, Ticket(self.0), record).unwrap();
        Ticket(self.0)
    }
}

/// A writer whose log is full, the first of whose messages that wait has this number.
fn full_writer(folder: &SimulatedFolder, tickets: &mut Tickets) -> (LogWriter<SimulatedFolder>, u64) {
    let mut writer = LogWriter::new(open(folder).log);
    let mut unique = 0;
    while writer.waiting() == 0 {
        tickets.append(&mut writer, state(id(unique), BODY_BYTES, None));
        unique += 1;
    }
    (writer, unique - 1)
}

#[test]
fn what_does_not_fit_holds_up_its_ticket_until_it_does() {
    let folder = SimulatedFolder::new(1);
    let mut tickets = Tickets(0);
    let (mut writer, waiting) = full_writer(&folder, &mut tickets);
    let held = Ticket(tickets.0);
    assert_eq!(writer.sync().unwrap(), Some(Ticket(held.0 - 1)));
    assert!(writer.is_short());

    let of_other = tickets.append(&mut writer, ended(id(0)));
    let of_held = tickets.append(&mut writer, failed(id(waiting), 1, 1));
    assert_eq!(writer.waiting(), 2, "a change of a message that waits, waits behind it");
    assert_eq!(writer.sync().unwrap(), None);
    assert!(of_other > held);

    for unique in 0..waiting / 2 {
        writer.release(id(unique));
    }
    writer.give_back().unwrap();
    assert_eq!(writer.waiting(), 0);
    assert_eq!(writer.sync().unwrap(), Some(of_held));
    assert!(!writer.is_short());
    drop(writer);

    let known = node(&open(&folder).records).state_of(id(waiting)).unwrap();
    assert_eq!(known.failed_attempts, 1);
}

#[test]
fn a_message_released_while_it_waits_is_never_written() {
    let folder = SimulatedFolder::new(1);
    let mut tickets = Tickets(0);
    let (mut writer, waiting) = full_writer(&folder, &mut tickets);
    tickets.append(&mut writer, ended(id(waiting)));
    let last = tickets.append(&mut writer, granted(id(0), 1));
    writer.release(id(waiting));
    assert_eq!(writer.sync().unwrap(), Some(last));

    for unique in 0..waiting {
        writer.release(id(unique));
    }
    writer.give_back().unwrap();
    writer.sync().unwrap();
    drop(writer);
    assert!(node(&open(&folder).records).state_of(id(waiting)).is_none());
}

#[test]
fn a_failed_disk_is_told_apart_from_a_full_log() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    folder.set_capacity(Some(200));
    log.append(NOW_MS, &state(id(1), BODY_BYTES, None)).unwrap();
    let error = log.sync().unwrap_err();
    assert!(!error.is_full(), "{error}");
    let error = log.append(NOW_MS, &state(id(2), 0, None)).unwrap_err();
    assert!(!error.is_full(), "{error}");
}
