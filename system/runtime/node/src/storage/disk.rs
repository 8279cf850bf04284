//! The store's disk: a thread that appends records, joins syncs, and gives space back. Records that do not fit
//! wait in it until there is room.

use crate::clock::time_of_day_ms;
use crate::error::RoleError;
use millrudder_checkpoint_store::{CheckpointStore, RealFolder};
use millrudder_protocol::{MessageId, StoreId};
use millrudder_queue::{DiskRecord, Recovered, Ticket};
use millrudder_record_log::{LogWriter, RecordLog, RecordLogError};
use millrudder_segments::SegmentConfig;
use speedy::{Readable, Writable};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::mpsc::UnboundedSender;

/// Share of the disk that segments may take; the rest is for the identity and the file system.
const SEGMENTS_SHARE: f64 = 0.9;
/// Segment files are of this size (bytes).
const SEGMENT_BYTES: u64 = 4 << 20;
/// Segments that messages leave free, for what becomes of them; one of these for compaction alone.
const RESERVED_SEGMENTS: u64 = 3;

/// What the disk's thread reports.
#[derive(Debug)]
pub enum Report {
    /// Everything up to this ticket is on the disk.
    Synced { ticket: Ticket },
    /// Room is short, or no longer so: new messages are to be refused meanwhile.
    Room { short: bool },
    /// The disk failed; nothing more is written.
    Failed { error: RecordLogError },
}

enum Command {
    Append { ticket: Ticket, record: DiskRecord },
    Release { id: MessageId },
}

/// The queue of the disk's thread.
pub struct Disk {
    commands: Sender<Command>,
}

/// What the disk held.
pub struct Opened {
    pub id: StoreId,
    pub records: Vec<Recovered>,
    log: RecordLog<RealFolder>,
}

impl Opened {
    /// Shows by a new segment that the disk takes writes.
    ///
    /// # Errors
    /// It does not.
    pub fn proven(mut self) -> Result<Self, RoleError> {
        self.log.verify_writable()?;
        Ok(self)
    }
}

/// Opens the folder, or makes it a new store's with an identity of its own.
///
/// # Errors
/// The folder cannot be used, or holds something else.
pub fn open(folder: &Path, disk_bytes: u64, new_id: StoreId) -> Result<Opened, RoleError> {
    std::fs::create_dir_all(folder).map_err(RoleError::Folder)?;
    let id = identity(folder, new_id)?;
    let total_bytes = (disk_bytes as f64 * SEGMENTS_SHARE) as u64;
    let config = SegmentConfig {
        segment_bytes: SEGMENT_BYTES,
        total_bytes,
        reserve_bytes: RESERVED_SEGMENTS * SEGMENT_BYTES,
        salt: new_id.0,
        ..SegmentConfig::default()
    };
    let opened = RecordLog::open(RealFolder::open(folder)?, config, time_of_day_ms())?;
    Ok(Opened { id, records: opened.records, log: opened.log })
}

/// The identity of this disk; drawn when it is first used.
fn identity(folder: &Path, new_id: StoreId) -> Result<StoreId, RoleError> {
    let (mut slots, recovered) = CheckpointStore::open(RealFolder::open(folder)?)?;
    if let Some(bytes) = recovered.checkpoint {
        return StoreId::read_from_buffer(&bytes).map_err(|_| RoleError::Unreadable);
    }
    let bytes = new_id.write_to_vec().map_err(|_| RoleError::Unreadable)?;
    slots.checkpoint(&bytes)?;
    Ok(new_id)
}

impl Disk {
    /// Starts the thread.
    pub fn start(opened: Opened, reports: UnboundedSender<Report>) -> Self {
        let (commands, queue) = channel();
        let writer = Writer { log: LogWriter::new(opened.log), reports, short: false };
        std::thread::spawn(move || writer.run(&queue));
        Disk { commands }
    }

    pub fn append(&self, ticket: Ticket, record: DiskRecord) {
        // The thread ends only after it has reported why.
        let _ = self.commands.send(Command::Append { ticket, record });
    }

    pub fn release(&self, id: MessageId) {
        let _ = self.commands.send(Command::Release { id });
    }
}

struct Writer {
    log: LogWriter<RealFolder>,
    reports: UnboundedSender<Report>,
    /// Room was short when that was last reported.
    short: bool,
}

impl Writer {
    fn run(mut self, queue: &Receiver<Command>) {
        while let Ok(first) = queue.recv() {
            if let Err(error) = self.work(first, queue) {
                self.report(Report::Failed { error });
                return;
            }
            if self.reports.is_closed() {
                return;
            }
        }
    }

    fn work(&mut self, first: Command, queue: &Receiver<Command>) -> Result<(), RecordLogError> {
        self.write(first)?;
        while let Ok(next) = queue.try_recv() {
            self.write(next)?;
        }
        self.sync()?;
        self.log.reclaim()?;
        // What waited and fits now.
        self.sync()?;
        self.report_room();
        Ok(())
    }

    fn write(&mut self, command: Command) -> Result<(), RecordLogError> {
        match command {
            Command::Append { ticket, record } => self.log.append(time_of_day_ms(), ticket, record),
            Command::Release { id } => {
                self.log.release(id);
                Ok(())
            }
        }
    }

    fn sync(&mut self) -> Result<(), RecordLogError> {
        if let Some(ticket) = self.log.sync()? {
            self.report(Report::Synced { ticket });
        }
        Ok(())
    }

    fn report_room(&mut self) {
        let short = self.log.is_nearly_full();
        if short != self.short {
            self.short = short;
            self.report(Report::Room { short });
        }
    }

    fn report(&self, report: Report) {
        // Once nobody takes reports the thread ends.
        let _ = self.reports.send(report);
    }
}
