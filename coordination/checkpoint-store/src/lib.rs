//! Durable state in two slots that are written in turn, with a short log between.
//!
//! [`CheckpointStore`] keeps the small state of a replica: its owner appends a record for each change, syncs once for a group
//! of them, and now and then writes the whole state as a checkpoint. After a crash or a loss of power it is opened
//! again and hands back the newest checkpoint and the records after it.
//!
//! Promised, whatever a loss of power keeps, loses or tears of what was not synced:
//!
//! - What [`CheckpointStore::sync`] or [`CheckpointStore::checkpoint`] returned for is recovered, always.
//! - Records are recovered in order without a gap, and only with the checkpoint that they follow.
//! - What one [`CheckpointStore::open`] returned is returned by the next one as well: it is synced first.
//! - Damage to synced data ends in [`StorageError::Corrupt`] with file and offset wherever a later write proves that
//!   the data had been synced. Damage to the last group of synced records alone looks like a torn write.
//!
//! A failed write or sync makes the store refuse all further ones with [`StorageError::Poisoned`], because what is on
//! disk is unknown from then on: its owner must stop promising, and open the store again. After a sync that failed for
//! another reason than a full disk, some systems show data that never got to the disk as if it had: such a disk is best
//! given up.
//!
//! Calls block; the store belongs to one thread. [`Folder`] stands between it and the disk: [`RealFolder`] is one on a
//! file system, [`SimulatedFolder`] one in memory for tests, which loses power, fails, runs full and rots as told.
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
//! On disk, each file is a header of [`FILE_HEADER_BYTES`] bytes and frames of [`FRAME_HEADER_BYTES`] bytes beside
//! their payload, all little endian, all under CRC-32. A slot is a file with one frame. Package `millrudder-segments`
//! builds on the same framed files.

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
    FileHeader, FileKind, FramedContents, FramedFile, FramedRecord, FILE_HEADER_BYTES, FRAME_HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
};
pub use recovery::Generation;
pub use simulated::{
    CrashOutcome, DiskCounts, Fault, PendingChange, SimulatedFailure, SimulatedFile, SimulatedFolder,
};
pub use store::{CheckpointStore, Recovered};
