//! One segment: its file and the count of its live bytes.

use crate::{Position, SegmentConfig, SegmentError, SegmentId, SegmentUsage};
use millrudder_checkpoint_store::{
    FileHeader, FileKind, Folder, RecordFile, RecordFileContents, StorageError, StoredFile, FILE_HEADER_BYTES,
};

/// An open segment.
#[derive(Debug)]
pub(crate) struct Segment<File> {
    id: SegmentId,
    file: RecordFile<File>,
    live_bytes: u64,
}

impl<File: StoredFile> Segment<File> {
    /// Creates an empty segment; its header and its name are durable when this returns.
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

    /// Opens the newest segment for appending, with all its records live.
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

    /// Appends a record, which counts as live.
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

    pub const fn id(&self) -> SegmentId {
        self.id
    }

    /// Length of the file in bytes, including records that are not written yet.
    pub fn file_bytes(&self) -> u64 {
        self.file.length()
    }

    /// The sequence number that the next record gets.
    pub const fn next_sequence(&self) -> u64 {
        self.file.next_sequence()
    }

    /// Whether an earlier write or sync failed.
    pub const fn is_poisoned(&self) -> bool {
        self.file.is_poisoned()
    }

    /// Waits until all appended records are durable.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.file.sync()
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
    let offset = u32::try_from(offset).expect("SegmentConfig::check bounds a segment far below 4 GiB");
    let length = u32::try_from(length).expect("a record fits in a segment");
    Position { segment, offset, length }
}
