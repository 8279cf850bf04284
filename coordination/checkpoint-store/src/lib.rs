//! Durable state as a double-buffered checkpoint (two slot files, written alternately) and a short log of the records
//! since.
//!
//! [`CheckpointStore`] stores the small state of a replica: its owner appends a record for each change, syncs once for
//! a group of them, and from time to time writes the complete state as a checkpoint. After a crash or a loss of power
//! the store is opened again and returns the newest checkpoint and the records after it.
//!
//! Guaranteed, whatever outcome a loss of power has for unsynced changes:
//!
//! - Everything that [`CheckpointStore::sync`] or [`CheckpointStore::checkpoint`] returned for is recovered.
//! - Records are recovered in order without a gap, and only with the checkpoint that they follow.
//! - What one [`CheckpointStore::open`] recovered is recovered by the next one as well: it is synced first.
//! - Damage to synced data ends in [`StorageError::Corrupt`] with file and offset wherever a later write proves that
//!   the data had been synced. Damage to the last group of synced records alone looks like a torn write.
//!
//! A failed write or sync makes the store reject all further ones with [`StorageError::Poisoned`], because the state on
//! disk is unknown from then on: its owner must stop acknowledging, and open the store again. After a sync that failed
//! for another reason than a full disk, some operating systems return data that never reached the disk: such a disk
//! should no longer be used.
//!
//! Calls block; the store belongs to one thread. [`Folder`] is its interface to the disk: [`RealFolder`] is a folder of
//! the file system, [`SimulatedFolder`] one in memory for tests, with injected power losses, faults, full disks and
//! corruption.
//!
//! ```
//! use millrudder_checkpoint_store::{SimulatedFolder, CheckpointStore};
//!
//! # fn main() -> Result<(), millrudder_checkpoint_store::StorageError> {
//! let folder = SimulatedFolder::new(7);
//! let (mut store, recovered) = CheckpointStore::open(folder.clone())?;
//! assert_eq!(recovered.checkpoint, None);
//!
//! store.append(b"epoch 1")?;
//! store.append(b"epoch 2")?;
//! store.sync()?;
//! store.append(b"never synced")?;
//!
//! folder.lose_power();
//! let (mut store, recovered) = CheckpointStore::open(folder.clone())?;
//! assert_eq!(recovered.records, [b"epoch 1", b"epoch 2"]);
//!
//! store.checkpoint(b"state after epoch 2")?;
//! store.append(b"epoch 3")?;
//! store.sync()?;
//!
//! folder.lose_power();
//! let (_store, recovered) = CheckpointStore::open(folder)?;
//! assert_eq!(recovered.checkpoint.as_deref(), Some(&b"state after epoch 2"[..]));
//! assert_eq!(recovered.records, [b"epoch 3"]);
//! # Ok(())
//! # }
//! ```
//!
//! On disk, each file ([`RecordFile`]) is a header of [`FILE_HEADER_BYTES`] bytes and frames of [`FRAME_HEADER_BYTES`]
//! bytes beside their payload, all little endian, all with CRC-32 checksums. A slot is a file with one frame. Package
//! `millrudder-segments` builds on the same record files.

#![forbid(unsafe_code)]

mod error;
mod file_name;
mod folder;
mod inspect;
mod prefixed_folder;
mod real_folder;
mod record_file;
mod recovery;
mod simulated;
mod store;

pub use error::{Damage, Operation, StorageError};
pub use file_name::{FileName, FileNamePrefix};
pub use folder::{Folder, StoredFile};
pub use inspect::{inspect, LogContents, LogReport, SlotReport, SlotState, StoreReport};
pub use prefixed_folder::{PrefixedFile, PrefixedFolder};
pub use real_folder::{RealFile, RealFolder};
pub use record_file::{
    FileHeader, FileKind, FileRecord, RecordFile, RecordFileContents, FILE_HEADER_BYTES, FRAME_HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
};
pub use recovery::Generation;
pub use simulated::{
    run_crash_events, CrashEvent, CrashModel, CrashOutcome, CrashTest, DiskCounts, Fault, PendingChange,
    SimulatedFailure, SimulatedFile, SimulatedFolder,
};
pub use store::{CheckpointStore, Recovered};
