//! A full log rejects records with a typed error and remains usable.

mod support;

use millrudder_checkpoint_store::SimulatedFolder;
use millrudder_queue::{DiskRecord, Ticket};
use millrudder_record_log::{LogWriter, RecordLogError};
use support::{ended, failed, granted, id, node, open, reclaim_all, state, Log, NOW_MS, SEGMENT_BYTES};

/// Body of a message of which two fill most of a segment (bytes).
const BODY_BYTES: usize = 300;

/// Appends messages until they do not fit; returns how many there are.
fn fill(log: &mut Log) -> u64 {
    for unique in 0.. {
        match log.append(NOW_MS, &state(id(unique), BODY_BYTES, None)) {
            Ok(()) => log.sync().unwrap(),
            Err(RecordLogError::Full { needed, available }) => {
                assert!(needed > available);
                return unique;
            }
            Err(error) => panic!("{error}"),
        }
    }
    unreachable!()
}

#[test]
fn a_full_log_still_accepts_the_ends_of_all_its_messages() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    assert!(!log.is_nearly_full());
    let messages = fill(&mut log);
    assert!(log.is_nearly_full());
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
fn releases_free_capacity_in_a_full_log() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    let messages = fill(&mut log);
    for unique in 0..messages / 2 {
        log.release(id(unique));
    }
    log.reclaim().unwrap();
    assert!(!log.is_nearly_full());
    assert!(fill_from(&mut log, messages) >= messages / 3);
}

/// Appends messages from number `first` on until they do not fit; returns how many fitted.
fn fill_from(log: &mut Log, first: u64) -> u64 {
    let fits = |unique: &u64| log.append(NOW_MS, &state(id(*unique), BODY_BYTES, None)).is_ok();
    (first..).take_while(fits).count() as u64
}

#[test]
fn a_log_filled_up_to_its_compaction_reserve_can_be_compacted() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    let messages = fill(&mut log);
    let mut changes = 0;
    // Ends of all messages over and over, none of which supersedes another.
    while log.append(NOW_MS, &ended(id(changes % messages))).is_ok() {
        changes += 1;
    }
    assert!(log.usage().reserved_capacity >= SEGMENT_BYTES - 200);
    for unique in 0..messages {
        log.release(id(unique));
    }
    log.verify_writable().unwrap();
    reclaim_all(&mut log);
    assert_eq!(log.usage().live_bytes, 0);
    assert!(!log.is_nearly_full());
}

/// Segments that are half live are too costly to compact as long as there is capacity.
#[test]
fn a_nearly_full_log_compacts_more_eagerly() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    let messages = fill(&mut log);
    for unique in (0..messages).filter(|unique| unique % 2 == 0) {
        log.release(id(unique));
    }
    log.reclaim().unwrap();
    assert!(!log.is_nearly_full());
}

struct Tickets(u64);

impl Tickets {
    fn append(&mut self, writer: &mut LogWriter<SimulatedFolder>, record: DiskRecord) -> Ticket {
        self.0 += 1;
        writer.append(NOW_MS, Ticket(self.0), record).unwrap();
        Ticket(self.0)
    }
}

/// A writer with a full log, and the number of its first deferred message.
fn full_writer(folder: &SimulatedFolder, tickets: &mut Tickets) -> (LogWriter<SimulatedFolder>, u64) {
    let mut writer = LogWriter::new(open(folder).log);
    let mut unique = 0;
    while writer.deferred() == 0 {
        tickets.append(&mut writer, state(id(unique), BODY_BYTES, None));
        unique += 1;
    }
    (writer, unique - 1)
}

#[test]
fn a_deferred_record_delays_its_ticket_until_it_is_written() {
    let folder = SimulatedFolder::new(1);
    let mut tickets = Tickets(0);
    let (mut writer, deferred) = full_writer(&folder, &mut tickets);
    let deferred_ticket = Ticket(tickets.0);
    assert_eq!(writer.sync().unwrap(), Some(Ticket(deferred_ticket.0 - 1)));
    assert!(writer.is_nearly_full());

    let of_other = tickets.append(&mut writer, ended(id(0)));
    let of_deferred = tickets.append(&mut writer, failed(id(deferred), 1, 1));
    assert_eq!(writer.deferred(), 2, "a change of a deferred message is deferred behind it");
    assert_eq!(writer.sync().unwrap(), None);
    assert!(of_other > deferred_ticket);

    for unique in 0..deferred / 2 {
        writer.release(id(unique));
    }
    writer.reclaim().unwrap();
    assert_eq!(writer.deferred(), 0);
    assert_eq!(writer.sync().unwrap(), Some(of_deferred));
    assert!(!writer.is_nearly_full());
    drop(writer);

    let known = node(&open(&folder).records).state_of(id(deferred)).unwrap();
    assert_eq!(known.failed_attempts, 1);
}

#[test]
fn a_message_released_while_it_is_deferred_is_never_written() {
    let folder = SimulatedFolder::new(1);
    let mut tickets = Tickets(0);
    let (mut writer, deferred) = full_writer(&folder, &mut tickets);
    tickets.append(&mut writer, ended(id(deferred)));
    let last = tickets.append(&mut writer, granted(id(0), 1));
    writer.release(id(deferred));
    assert_eq!(writer.sync().unwrap(), Some(last));

    for unique in 0..deferred {
        writer.release(id(unique));
    }
    writer.reclaim().unwrap();
    writer.sync().unwrap();
    drop(writer);
    assert!(node(&open(&folder).records).state_of(id(deferred)).is_none());
}

#[test]
fn a_failed_disk_is_distinguished_from_a_full_log() {
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    folder.set_capacity(Some(200));
    log.append(NOW_MS, &state(id(1), BODY_BYTES, None)).unwrap();
    let error = log.sync().unwrap_err();
    assert!(!error.is_full(), "{error}");
    let error = log.append(NOW_MS, &state(id(2), 0, None)).unwrap_err();
    assert!(!error.is_full(), "{error}");
}
