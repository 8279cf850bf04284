//! Errors of folders, files and stored data.

use crate::FileName;
use std::{fmt, io};

/// A failure of a folder, of a file in it, or of the data in a file.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StorageError {
    /// The operating system refused or failed an operation on a file.
    #[error("cannot {operation} {file}")]
    File {
        /// The operation that failed.
        operation: Operation,
        /// The file that it was on.
        file: FileName,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// The operating system refused or failed an operation on the folder itself.
    #[error("cannot {operation} the folder")]
    Folder {
        /// The operation that failed.
        operation: Operation,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// The disk has no capacity left.
    #[error("disk is full: cannot {operation} {file}")]
    DiskFull {
        /// The operation that failed.
        operation: Operation,
        /// The file that it was on.
        file: FileName,
    },
    /// Synced data does not read back as it was written.
    #[error("{file} is damaged at byte {offset}: {damage}")]
    Corrupt {
        /// The damaged file.
        file: FileName,
        /// Offset of the damage, in bytes from the start of the file.
        offset: u64,
        /// The kind of damage.
        damage: Damage,
    },
    /// A file that later files depend on does not exist.
    #[error("{file} is missing although later files exist")]
    Missing {
        /// The absent file.
        file: FileName,
    },
    /// The file was written by another version of the format.
    #[error("{file} has format version {found}, expected {expected}")]
    UnknownVersion {
        /// The file.
        file: FileName,
        /// The version in its header.
        found: u32,
        /// The version that this library reads and writes.
        expected: u32,
    },
    /// The record or state is longer than the format or the configuration allows. Nothing was written.
    #[error("record of {bytes} bytes is over the limit of {limit} bytes")]
    RecordTooLarge {
        /// Length of the record.
        bytes: u64,
        /// Greatest length allowed.
        limit: u64,
    },
    /// An earlier write or sync failed, so that the state on disk is unknown until the store is opened again.
    #[error("an earlier write or sync failed; the store must be opened again")]
    Poisoned,
    /// The text is no valid file name.
    #[error("{text:?} is not the name of a file in a folder")]
    BadName {
        /// The rejected text.
        text: String,
    },
}

/// An operation on a file or folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Operation {
    /// List the names in a folder.
    List,
    /// Read bytes.
    Read,
    /// Open a file that exists.
    Open,
    /// Create a file, or truncate an existing one.
    Create,
    /// Write bytes.
    Write,
    /// Truncate or extend a file.
    SetLength,
    /// Wait until changes are durable.
    Sync,
    /// Rename a file.
    Rename,
    /// Remove a name from a folder.
    Remove,
}

impl fmt::Display for Operation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::List => "list",
            Self::Read => "read",
            Self::Open => "open",
            Self::Create => "create",
            Self::Write => "write",
            Self::SetLength => "set the length of",
            Self::Sync => "sync",
            Self::Rename => "rename",
            Self::Remove => "remove",
        })
    }
}

/// The kind of damage at an offset of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Damage {
    /// The header at the start of the file fails its checksum or belongs to another file.
    #[error("the file header does not check")]
    Header,
    /// The frame of a record fails its checksum, or is truncated.
    #[error("a synced record does not check")]
    Frame,
    /// The frame is valid but out of sequence.
    #[error("found sequence {found} where {expected} follows")]
    Sequence {
        /// The sequence number that follows the frame before.
        expected: u64,
        /// The sequence number of this frame.
        found: u64,
    },
}
