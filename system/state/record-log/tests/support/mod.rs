//! Records and logs that the tests of this package share.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod model;

use millrudder_checkpoint_store::SimulatedFolder;
use millrudder_clock::Instant;
use millrudder_protocol::message::{End, Grant, Message, MessageState};
use millrudder_protocol::store::Record;
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId, Sequence, ShardId, StoreId};
use millrudder_queue::{Config, DiskRecord, Recovered, StoreNode};
use millrudder_record_log::{Opened, RecordLog, RecordLogError};
use millrudder_segments::SegmentConfig;

pub type Log = RecordLog<SimulatedFolder>;

/// The smallest valid segments, so that compaction is frequent.
pub const SEGMENT_BYTES: u64 = 1 << 10;
pub const TOTAL_BYTES: u64 = 24 * SEGMENT_BYTES;
pub const CONFIG: SegmentConfig = SegmentConfig {
    segment_bytes: SEGMENT_BYTES,
    oversized_record_bytes: 0,
    total_bytes: TOTAL_BYTES,
    reserve_bytes: 4 * SEGMENT_BYTES,
    compact_below_percent: 50,
    salt: 0x5eed,
};
/// So little capacity that the log is full most of the time.
pub const SMALL_CAPACITY: SegmentConfig =
    SegmentConfig { total_bytes: 6 * SEGMENT_BYTES, reserve_bytes: 2 * SEGMENT_BYTES, ..CONFIG };
/// Time of day of all operations, in milliseconds since 1970.
pub const NOW_MS: u64 = 1_000_000;
/// Long enough that no message expires (ms).
const RETENTION_MS: u64 = 1 << 30;
pub const SHARD: ShardId = ShardId(0);

pub fn id(unique: u64) -> MessageId {
    MessageId { shard: SHARD, unique }
}

pub fn try_open(
    folder: &SimulatedFolder,
    config: SegmentConfig,
) -> Result<Opened<SimulatedFolder>, RecordLogError> {
    RecordLog::open(folder.clone(), config, NOW_MS)
}

pub fn open(folder: &SimulatedFolder) -> Opened<SimulatedFolder> {
    try_open(folder, CONFIG).unwrap()
}

/// A store that starts with these records.
pub fn node(records: &[Recovered]) -> StoreNode {
    let zone = String::from("zone");
    StoreNode::new(Config::default(), StoreId(1), zone, Instant::from_millis(NOW_MS), records.iter().cloned())
}

fn message(body_bytes: usize) -> Message {
    Message {
        request_id: String::from("request"),
        method: String::from("POST"),
        path: String::from("/"),
        host: String::from("host"),
        headers: Vec::new(),
        body: vec![0x5a; body_bytes],
        order_key: None,
        callback_url: None,
        service: String::from("service"),
        priority: 0,
        delay_ms: 0,
        target_start_ms: 0,
        max_attempts: 3,
        retention_ms: RETENTION_MS,
    }
}

fn of_message(record: Record) -> DiskRecord {
    DiskRecord::Message { record }
}

pub fn state(id: MessageId, body_bytes: usize, end: Option<End>) -> DiskRecord {
    let state = MessageState {
        id,
        sequence: Sequence(id.unique),
        age_ms: 0,
        message: Some(message(body_bytes)),
        failed_attempts: 0,
        grant: None,
        resolved_through: LeaseToken(0),
        end,
        ended_age_ms: 0,
        callback_done: false,
    };
    of_message(Record::State { state: Box::new(state) })
}

pub fn granted(id: MessageId, token: u64) -> DiskRecord {
    let grant = Grant { dispatcher: DispatcherId(7), token: LeaseToken(token) };
    of_message(Record::Granted { id, grant })
}

pub fn failed(id: MessageId, token: u64, failed_attempts: u32) -> DiskRecord {
    of_message(Record::Failed { id, token: LeaseToken(token), failed_attempts })
}

pub fn ended(id: MessageId) -> DiskRecord {
    of_message(Record::Ended { id, end: End::DeadLetter })
}

pub fn callback_done(id: MessageId) -> DiskRecord {
    of_message(Record::CallbackDone { id })
}

pub fn promised(shard: u16, term: u64) -> DiskRecord {
    DiskRecord::Promised { shard: ShardId(shard), term: Epoch(term) }
}

/// Appends and syncs.
pub fn write(log: &mut Log, records: impl IntoIterator<Item = DiskRecord>) {
    for record in records {
        log.append(NOW_MS, &record).unwrap();
    }
    log.sync().unwrap();
}

/// Reclaims until nothing more is freed.
pub fn reclaim_all(log: &mut Log) {
    loop {
        let before = log.usage();
        log.reclaim().unwrap();
        if log.usage() == before {
            return;
        }
    }
}
