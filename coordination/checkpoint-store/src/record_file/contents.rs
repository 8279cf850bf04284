//! Reading a record file back: which records are complete, and whether its end is torn or damaged.

use super::frame;
use super::header::{FileHeader, FileKind, HeaderState, FILE_HEADER_BYTES};
use crate::{Damage, FileName, Folder, StorageError};
use std::ops::Range;

/// The contents of a record file.
pub struct RecordFileContents {
    /// The header of the file.
    pub header: FileHeader,
    bytes: Vec<u8>,
    /// Payloads of the complete records, as ranges of `bytes`.
    payloads: Vec<Range<usize>>,
    /// Where the last complete record ends in `bytes`.
    end: usize,
}

/// A record of a record file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileRecord<'contents> {
    /// Offset of the record's frame, in bytes from the start of the file.
    pub offset: u64,
    /// The bytes that were appended.
    pub payload: &'contents [u8],
}

impl RecordFileContents {
    /// Reads file `name`, which must be of this kind and number. `None`: power was lost while the file was being
    /// created, and no record of it was ever synced.
    ///
    /// Records are returned up to the first that is incomplete. What follows it counts as never synced, unless a later
    /// frame says otherwise.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] if synced data is damaged as far as this can be told; [`StorageError::File`] and
    /// [`StorageError::UnknownVersion`].
    pub fn load<F: Folder>(
        folder: &F,
        name: &FileName,
        kind: FileKind,
        number: u64,
    ) -> Result<Option<Self>, StorageError> {
        Self::load_numbered(folder, name, kind, Some(number))
    }

    /// As [`RecordFileContents::load`], for a file whose number is only in its header.
    pub(crate) fn load_numbered<F: Folder>(
        folder: &F,
        name: &FileName,
        kind: FileKind,
        number: Option<u64>,
    ) -> Result<Option<Self>, StorageError> {
        let bytes = folder.read(name)?;
        match FileHeader::decode(&bytes, name, kind, number)? {
            HeaderState::Valid(header) => Self::scan(header, bytes, name).map(Some),
            HeaderState::Unfinished => Ok(None),
        }
    }

    fn scan(header: FileHeader, bytes: Vec<u8>, name: &FileName) -> Result<Self, StorageError> {
        let key = header.frame_key();
        let corrupt = |offset: usize, damage| {
            let file = name.clone();
            StorageError::Corrupt { file, offset: offset as u64, damage }
        };
        let mut payloads = Vec::new();
        let mut end = FILE_HEADER_BYTES;
        while let Some(frame) = frame::decode(&bytes, end, key) {
            let expected = header.first_sequence + payloads.len() as u64;
            if frame.sequence != expected {
                return Err(corrupt(end, Damage::Sequence { expected, found: frame.sequence }));
            }
            end = frame.payload.end;
            payloads.push(frame.payload);
        }
        if frame::proves_synced(&bytes, end, key) {
            return Err(corrupt(end, Damage::Frame));
        }
        Ok(Self { header, bytes, payloads, end })
    }

    /// The complete records in order.
    pub fn records(&self) -> impl Iterator<Item = FileRecord<'_>> {
        self.payloads.iter().map(|payload| FileRecord {
            offset: (payload.start - frame::FRAME_HEADER_BYTES) as u64,
            payload: &self.bytes[payload.clone()],
        })
    }

    /// The number of complete records.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.payloads.len()
    }

    /// The sequence number that the record after the last one gets.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.header.first_sequence + self.payloads.len() as u64
    }

    /// Offset of the end of the last complete record, in bytes from the start of the file.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.end as u64
    }

    /// Bytes after the last complete record: a write that power was lost in.
    #[must_use]
    pub fn torn_bytes(&self) -> u64 {
        (self.bytes.len() - self.end) as u64
    }
}
