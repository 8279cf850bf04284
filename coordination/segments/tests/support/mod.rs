//! Helpers that the tests of this package share.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod model;

use millrudder_checkpoint_store::SimulatedFolder;
use millrudder_segments::{Position, SegmentConfig, SegmentError, SegmentLog};

/// Segments of 1 KiB, 16 KiB in all: capacity for 14 segments of ordinary records.
pub const SMALL: SegmentConfig = SegmentConfig {
    segment_bytes: 1 << 10,
    oversized_record_bytes: 0,
    total_bytes: 16 << 10,
    reserve_bytes: 2 << 10,
    compact_below_percent: 50,
    salt: 0x5a17,
};

/// A record that was recovered.
pub type Found = (Position, Vec<u8>);

pub fn try_open(folder: &SimulatedFolder) -> Result<(SegmentLog<SimulatedFolder>, Vec<Found>), SegmentError> {
    let mut found = Vec::new();
    let log = SegmentLog::open(folder.clone(), SMALL, |position, record| {
        found.push((position, record.to_vec()));
    })?;
    Ok((log, found))
}

pub fn open(folder: &SimulatedFolder) -> (SegmentLog<SimulatedFolder>, Vec<Found>) {
    try_open(folder).unwrap()
}

pub fn records(found: &[Found]) -> Vec<&[u8]> {
    found.iter().map(|(_, record)| record.as_slice()).collect()
}

/// A record of which two fill a segment of [`SMALL`].
pub const HALF: [u8; 440] = [7; 440];

pub fn append_synced(log: &mut SegmentLog<SimulatedFolder>, record: &[u8]) -> Position {
    let position = log.append(record).unwrap();
    log.sync().unwrap();
    position
}

/// A log with `segments` sealed segments of two records each, and an empty newest one.
pub fn sealed_log(folder: &SimulatedFolder, segments: usize) -> (SegmentLog<SimulatedFolder>, Vec<Position>) {
    let (mut log, _) = open(folder);
    let mut positions = Vec::new();
    for _ in 0..segments {
        positions.push(append_synced(&mut log, &HALF));
        positions.push(append_synced(&mut log, &HALF));
        log.roll().unwrap();
    }
    (log, positions)
}
