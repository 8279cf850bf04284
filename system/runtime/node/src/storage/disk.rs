//! The store's disk: a record log with the messages and what became of them, and the store's identity.
//!
//! Records that do not fit wait in the disk's thread until space has been reclaimed.

use crate::clock::time_of_day_ms;
use crate::disk_thread::{DiskThread, DiskWriter, ReportSender};
use crate::error::RoleError;
use millrudder_checkpoint_store::{CheckpointStore, RealFolder};
use millrudder_protocol::frame::MAX_CONTENT_BYTES;
use millrudder_protocol::{MessageId, StoreId};
use millrudder_queue::{DiskRecord, Recovered, Ticket};
use millrudder_record_log::{LogWriter, RecordLog, RecordLogError};
use millrudder_segments::SegmentConfig;
use speedy::{Readable, Writable};
use std::path::Path;
use tokio::sync::mpsc::UnboundedSender;

/// Fraction of the disk that segments may take; the rest is for the identity and the file system.
const SEGMENTS_FRACTION: f64 = 0.9;
/// Size of a segment file, in bytes.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Longest record, in bytes: that of a message which fills a frame between processes, with its state and time.
const MAX_RECORD_BYTES: u64 = MAX_CONTENT_BYTES as u64;
/// Segments that new messages leave free for the records of what becomes of them; one of these for compaction alone.
const RESERVED_SEGMENTS: u64 = 3;

/// A report of the disk's thread.
#[derive(Debug)]
pub enum DiskReport {
    /// Everything up to this ticket is durable.
    Synced {
        /// Ticket of the last record that was synced.
        ticket: Ticket,
    },
    /// Free space is short, or no longer so: new messages are to be refused meanwhile.
    Space {
        /// It is short.
        is_short: bool,
    },
    /// The disk failed; nothing more is written.
    Failed {
        /// Why it did.
        error: RecordLogError,
    },
}

enum Command {
    Append { ticket: Ticket, record: DiskRecord },
    Release { id: MessageId },
}

/// The queue of the disk's thread.
pub struct Disk {
    thread: DiskThread<Command>,
}

/// A disk that was opened, and what it held.
pub struct OpenedDisk {
    /// The store's identity.
    pub id: StoreId,
    /// The records of messages that are not released.
    pub records: Vec<Recovered>,
    log: RecordLog<RealFolder>,
}

impl OpenedDisk {
    /// Opens the folder, or makes it a new store's with the identity `new_id`. Records may take a fixed fraction of
    /// `disk_bytes`.
    ///
    /// # Errors
    /// The folder cannot be used, or holds something else.
    pub fn open(folder: &Path, disk_bytes: u64, new_id: StoreId) -> Result<Self, RoleError> {
        std::fs::create_dir_all(folder).map_err(RoleError::Folder)?;
        let id = read_identity(folder, new_id)?;
        let total_bytes = (disk_bytes as f64 * SEGMENTS_FRACTION) as u64;
        let config = SegmentConfig {
            segment_bytes: SEGMENT_BYTES,
            oversized_record_bytes: MAX_RECORD_BYTES,
            total_bytes,
            reserve_bytes: RESERVED_SEGMENTS * SEGMENT_BYTES,
            salt: new_id.0,
            ..SegmentConfig::default()
        };
        let opened = RecordLog::open(RealFolder::open(folder)?, config, time_of_day_ms())?;
        Ok(OpenedDisk { id, records: opened.records, log: opened.log })
    }

    /// Verifies that the disk takes writes, by a new segment.
    ///
    /// # Errors
    /// The disk does not take writes.
    pub fn verify_writable(mut self) -> Result<Self, RoleError> {
        self.log.verify_writable()?;
        Ok(self)
    }

    /// Starts the disk's thread; `reports` tells what has become durable.
    pub fn start(self, reports: UnboundedSender<DiskReport>) -> Disk {
        let writer = RecordWriter { log: LogWriter::new(self.log), was_short: false };
        Disk { thread: DiskThread::start(writer, reports) }
    }
}

/// The identity of this disk, which is `new_id` from its first use on.
fn read_identity(folder: &Path, new_id: StoreId) -> Result<StoreId, RoleError> {
    let (mut checkpoints, recovered) = CheckpointStore::open(RealFolder::open(folder)?)?;
    if let Some(bytes) = recovered.checkpoint {
        return StoreId::read_from_buffer(&bytes).map_err(RoleError::Unreadable);
    }
    let bytes = new_id.write_to_vec().map_err(RoleError::Unreadable)?;
    checkpoints.checkpoint(&bytes)?;
    Ok(new_id)
}

impl Disk {
    /// Appends a record.
    pub fn append(&self, ticket: Ticket, record: DiskRecord) {
        self.thread.send(Command::Append { ticket, record });
    }

    /// Gives up the records of a message.
    pub fn release(&self, id: MessageId) {
        self.thread.send(Command::Release { id });
    }
}

struct RecordWriter {
    log: LogWriter<RealFolder>,
    /// Free space was short when that was last reported.
    was_short: bool,
}

impl RecordWriter {
    fn sync(&mut self, reports: &ReportSender<DiskReport>) -> Result<(), RecordLogError> {
        if let Some(ticket) = self.log.sync()? {
            reports.send(DiskReport::Synced { ticket });
        }
        Ok(())
    }

    fn report_space(&mut self, reports: &ReportSender<DiskReport>) {
        let is_short = self.log.is_nearly_full();
        if is_short != self.was_short {
            self.was_short = is_short;
            reports.send(DiskReport::Space { is_short });
        }
    }
}

impl DiskWriter for RecordWriter {
    type Command = Command;
    type Report = DiskReport;
    type Error = RecordLogError;

    fn write(&mut self, command: Command) -> Result<(), RecordLogError> {
        match command {
            Command::Append { ticket, record } => self.log.append(time_of_day_ms(), ticket, record),
            Command::Release { id } => {
                self.log.release(id);
                Ok(())
            }
        }
    }

    fn commit(&mut self, reports: &ReportSender<DiskReport>) -> Result<(), RecordLogError> {
        self.sync(reports)?;
        self.log.reclaim()?;
        // Records that had to wait for space and fit now.
        self.sync(reports)?;
        self.report_space(reports);
        Ok(())
    }

    fn failure(error: RecordLogError) -> DiskReport {
        DiskReport::Failed { error }
    }
}
