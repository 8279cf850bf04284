//! What can go wrong with stored data.

use crate::FileName;
use std::{fmt, io};

/// A failure of a folder, of a file in it, or of the data in a file.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StorageError {
    /// The operating system refused or failed an operation on a file.
    #[error("cannot {operation} {file}")]
    File {
        /// What was tried.
        operation: Operation,
        /// The file it was tried on.
        file: FileName,
        /// The operating system's answer.
        #[source]
        source: io::Error,
    },
    /// The operating system refused or failed an operation on the folder itself.
    #[error("cannot {operation} the folder")]
    Folder {
        /// What was tried.
        operation: Operation,
        /// The operating system's answer.
        #[source]
        source: io::Error,
    },
    /// There is no room left on the disk.
    #[error("disk is full: cannot {operation} {file}")]
    DiskFull {
        /// What was tried.
        operation: Operation,
        /// The file it was tried on.
        file: FileName,
    },
    /// Data that had been synced does not read back as it was written.
    #[error("{file} is damaged at byte {offset}: {damage}")]
    Corrupt {
        /// The damaged file.
        file: FileName,
        /// Where the damage begins, in bytes from the start of the file.
        offset: u64,
        /// What is wrong there.
        damage: Damage,
    },
    /// A file that must be there is not.
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
        /// The version that its header names.
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
    /// An earlier write or sync failed, so what is on disk is unknown until the store is opened again.
    #[error("an earlier write or sync failed; the store must be opened again")]
    Poisoned,
    /// The text cannot name a file in a folder.
    #[error("{text:?} is not the name of a file in a folder")]
    BadName {
        /// The refused text.
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
    /// Make a file, or empty one that exists.
    Create,
    /// Write bytes.
    Write,
    /// Cut or extend a file.
    SetLength,
    /// Wait until what was done is on disk.
    Sync,
    /// Give a file another name.
    Rename,
    /// Take a name out of a folder.
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

/// What is wrong at the named place of a damaged file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Damage {
    /// The header at the start of the file fails its checksum or belongs to another file.
    #[error("the file header does not check")]
    Header,
    /// The frame of a record fails its checksum, or is cut off.
    #[error("a synced record does not check")]
    Frame,
    /// The frame checks but is not the one that follows.
    #[error("found sequence {found} where {expected} follows")]
    Sequence {
        /// The sequence number that must stand here.
        expected: u64,
        /// The sequence number that stands here.
        found: u64,
    },
}
