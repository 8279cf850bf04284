//! Measures a log on a real disk: appends records in groups, opens the log again, and prints the times.
//!
//! `cargo run --release -p millrudder-segments --example recovery -- FOLDER RECORDS`; the folder must be empty or absent.

use millrudder_checkpoint_store::RealFolder;
use millrudder_segments::{inspect, SegmentConfig, SegmentError, SegmentLog};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Length of a record in bytes: a message of the usual size.
const RECORD_BYTES: usize = 2_000;
/// Records that are synced together.
const GROUP_RECORDS: usize = 50;
/// Capacity for 10 million records.
const CONFIG: SegmentConfig = SegmentConfig {
    segment_bytes: 4 << 20,
    oversized_record_bytes: 0,
    total_bytes: 24 << 30,
    reserve_bytes: 8 << 20,
    compact_below_percent: 50,
    salt: 0x6d69_6c6c,
};

fn main() -> Result<(), SegmentError> {
    let mut arguments = std::env::args().skip(1);
    let (Some(path), Some(Ok(records))) = (arguments.next(), arguments.next().map(|text| text.parse()))
    else {
        eprintln!("usage: recovery FOLDER RECORDS");
        std::process::exit(2);
    };
    let path = PathBuf::from(path);
    fill(&path, records)?;
    recover(&path)?;
    println!("{}", inspect(&RealFolder::existing(&path)?)?.to_string().lines().last().unwrap_or_default());
    Ok(())
}

fn fill(path: &Path, records: usize) -> Result<(), SegmentError> {
    let mut log = SegmentLog::open(RealFolder::open(path)?, CONFIG, |_, _| {})?;
    let record = vec![0x5a; RECORD_BYTES];
    let start = Instant::now();
    for number in 1..=records {
        log.append(&record)?;
        if number % GROUP_RECORDS == 0 {
            log.sync()?;
        }
    }
    log.sync()?;
    println!(
        "{records} records of {RECORD_BYTES} bytes appended, synced by {GROUP_RECORDS}: {:?}",
        start.elapsed()
    );
    Ok(())
}

fn recover(path: &Path) -> Result<(), SegmentError> {
    let start = Instant::now();
    let mut found = 0;
    let log = SegmentLog::open(RealFolder::open(path)?, CONFIG, |_, _| found += 1)?;
    println!("{found} records in {} segments recovered: {:?}", log.usage().segments, start.elapsed());
    Ok(())
}
