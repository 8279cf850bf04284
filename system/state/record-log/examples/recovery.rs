//! Measures a store's records on a real disk: writes messages with what became of them, opens the log again, and
//! prints the times.
//!
//! `cargo run --profile system -p millrudder-record-log --example recovery -- FOLDER RECORDS [BODY_BYTES]`; the folder
//! must be empty or absent.

use millrudder_checkpoint_store::{RealFolder, StorageError};
use millrudder_protocol::message::{End, Grant, Message, MessageState};
use millrudder_protocol::store::Record;
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId, Sequence, ShardId, StoreId};
use millrudder_queue::{Config, DiskRecord, StoreNode};
use millrudder_record_log::{RecordLog, RecordLogError};
use millrudder_segments::SegmentConfig;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Records of each message: itself, a grant, its end, its call-back.
const RECORDS_OF_A_MESSAGE: u64 = 4;
/// Messages that are synced together.
const GROUP: u64 = 50;
/// Body of a message where none is asked for (bytes).
const BODY_BYTES: usize = 300;
/// Time of day of all records (ms).
const NOW_MS: u64 = 1_000_000;
/// Time in which messages end (ms).
const RETENTION_MS: u64 = 600_000;
/// Room for millions of records.
const CONFIG: SegmentConfig = SegmentConfig {
    segment_bytes: 4 << 20,
    oversized_record_bytes: 0,
    total_bytes: 24 << 30,
    reserve_bytes: 12 << 20,
    compact_below_percent: 50,
    salt: 0x6d69_6c6c,
};

fn main() -> Result<(), RecordLogError> {
    let mut arguments = std::env::args().skip(1);
    let (Some(path), Some(Ok(records))) = (arguments.next(), arguments.next().map(|text| text.parse()))
    else {
        eprintln!("usage: recovery FOLDER RECORDS [BODY_BYTES]");
        std::process::exit(2);
    };
    let body_bytes = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(BODY_BYTES);
    let path = PathBuf::from(path);
    fill(&path, records, body_bytes)?;
    recover(&path)
}

fn folder(path: &Path) -> Result<RealFolder, RecordLogError> {
    RealFolder::open(path).map_err(|error: StorageError| RecordLogError::Segments(error.into()))
}

fn fill(path: &Path, records: u64, body_bytes: usize) -> Result<(), RecordLogError> {
    let mut log = RecordLog::open(folder(path)?, CONFIG, NOW_MS)?.log;
    let start = Instant::now();
    for number in 0..records / RECORDS_OF_A_MESSAGE {
        for record in records_of(number, body_bytes) {
            log.append(NOW_MS, &DiskRecord::Message { record })?;
        }
        if number % GROUP == 0 {
            log.sync()?;
        }
    }
    log.sync()?;
    println!("{records} records written, {GROUP} messages a sync: {:?}", start.elapsed());
    Ok(())
}

fn records_of(number: u64, body_bytes: usize) -> [Record; RECORDS_OF_A_MESSAGE as usize] {
    let id = MessageId { shard: ShardId((number % 8) as u16), unique: number };
    let grant = Grant { dispatcher: DispatcherId(1), token: LeaseToken(number + 1) };
    let end = End::Completed { signature: String::from("signature") };
    [
        Record::State { state: Box::new(state(id, body_bytes)) },
        Record::Granted { id, grant },
        Record::Ended { id, end },
        Record::CallbackDone { id },
    ]
}

fn state(id: MessageId, body_bytes: usize) -> MessageState {
    MessageState {
        id,
        sequence: Sequence(id.unique),
        age_ms: 0,
        message: Some(message(body_bytes)),
        failed_attempts: 0,
        grant: None,
        resolved_through: LeaseToken(0),
        end: None,
        ended_age_ms: 0,
        callback_done: false,
    }
}

fn message(body_bytes: usize) -> Message {
    Message {
        request_id: String::from("request"),
        method: String::from("POST"),
        path: String::from("/orders"),
        host: String::from("host.example"),
        headers: Vec::new(),
        body: vec![0x5a; body_bytes],
        order_key: None,
        callback_url: Some(String::from("http://receiver.example/done")),
        service: String::from("service"),
        priority: 0,
        delay_ms: 0,
        target_start_ms: 0,
        max_attempts: 3,
        retention_ms: RETENTION_MS,
    }
}

fn recover(path: &Path) -> Result<(), RecordLogError> {
    let start = Instant::now();
    let opened = RecordLog::open(folder(path)?, CONFIG, NOW_MS)?;
    let read = start.elapsed();
    let (count, usage) = (opened.records.len(), opened.log.usage());
    let start = Instant::now();
    let zone = String::from("zone");
    let node = StoreNode::new(
        Config::default(),
        StoreId(1),
        zone,
        millrudder_clock::Instant::ORIGIN,
        opened.records.into_iter(),
    );
    let joined = start.elapsed();
    println!("{count} records in {} segments, {} bytes, read: {read:?}", usage.segments, usage.file_bytes);
    println!(
        "joined by the store: {joined:?}, {} bytes of messages",
        node.health(millrudder_clock::Instant::ORIGIN).disk_bytes
    );
    Ok(())
}
