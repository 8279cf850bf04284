//! One segment: its file and the account of its live bytes.

use crate::{Position, SegmentConfig, SegmentError, SegmentId, SegmentUsage};
use millrudder_checkpoint_store::{
    FileHeader, FileKind, Folder, RecordFileContents, RecordFile, StorageError, StoredFile, FILE_HEADER_BYTES,
};

/// A segment that is open.
#[derive(Debug)]
pub(crate) struct Segment<File> {
    pub id: SegmentId,
    pub file: RecordFile<File>,
    live_bytes: u64,
}

impl<File: StoredFile> Segment<File> {
    /// Makes an empty segment that lasts, name and all.
    pub fn create<F>(
        folder: &F,
        id: SegmentId,
        first_sequence: u64,
        config: &SegmentConfig,
    ) -> Result<Self, StorageError>
    where
        F: Folder<File = File>,
    {
        let salt = config.salt;
        let header = FileHeader { kind: FileKind::Segment, number: id.0, first_sequence, salt };
        let file = RecordFile::create(folder, &id.file(), &header)?;
        folder.sync()?;
        Ok(Self { id, file, live_bytes: 0 })
    }

    /// Opens a segment that was sealed, with all its records live.
    pub fn reopen<F>(folder: &F, id: SegmentId, contents: &RecordFileContents) -> Result<Self, StorageError>
    where
        F: Folder<File = File>,
    {
        let file = RecordFile::reopen(folder, &id.file(), contents)?;
        Ok(Self::recovered(id, file))
    }

    /// Opens the newest segment to go on writing, with all its records live.
    pub fn resume<F>(folder: &F, id: SegmentId, contents: &RecordFileContents) -> Result<Self, StorageError>
    where
        F: Folder<File = File>,
    {
        let file = RecordFile::resume(folder, &id.file(), contents)?;
        Ok(Self::recovered(id, file))
    }

    fn recovered(id: SegmentId, file: RecordFile<File>) -> Self {
        let live_bytes = file.length() - FILE_HEADER_BYTES as u64;
        Self { id, file, live_bytes }
    }

    /// Takes a record, which counts as live.
    pub fn append(&mut self, record: &[u8]) -> Result<Position, StorageError> {
        let offset = self.file.append(record)?;
        let position = position(self.id, offset, record.len());
        self.live_bytes += position.framed_bytes();
        Ok(position)
    }

    pub fn read(&mut self, position: Position) -> Result<Vec<u8>, StorageError> {
        self.file.read(u64::from(position.offset), position.length as usize)
    }

    pub fn release(&mut self, position: Position) -> Result<(), SegmentError> {
        let live_bytes = self.live_bytes.checked_sub(position.framed_bytes());
        self.live_bytes = live_bytes.ok_or(SegmentError::Accounting(position))?;
        Ok(())
    }

    pub fn retain(&mut self, position: Position) -> Result<(), SegmentError> {
        let live_bytes = self.live_bytes + position.framed_bytes();
        if live_bytes > self.record_bytes() {
            return Err(SegmentError::Accounting(position));
        }
        self.live_bytes = live_bytes;
        Ok(())
    }

    /// Bytes of all records with their frames.
    pub fn record_bytes(&self) -> u64 {
        self.file.length() - FILE_HEADER_BYTES as u64
    }

    pub fn usage(&self) -> SegmentUsage {
        SegmentUsage { segment: self.id, file_bytes: self.file.length(), live_bytes: self.live_bytes }
    }
}

/// The position of a record in segment `segment`.
pub(crate) fn position(segment: SegmentId, offset: u64, length: usize) -> Position {
    // Both are below the greatest size of a segment, which `SegmentConfig::check` keeps far below 4 GiB.
    let offset = u32::try_from(offset).expect("a segment is shorter than 4 GiB");
    let length = u32::try_from(length).expect("a record is shorter than a segment");
    Position { segment, offset, length }
}
