//! Offline report on a folder of a [`SegmentLog`](crate::SegmentLog): its segments, and whether the log would open.

use crate::recovery::{self, Continuity};
use crate::SegmentId;
use millrudder_checkpoint_store::{Folder, RecordFileContents, StorageError};
use std::fmt;

/// A report on the files of a log.
#[derive(Debug)]
pub struct LogReport {
    /// The segments by ascending id.
    pub segments: Vec<SegmentReport>,
}

/// A report on one segment.
#[derive(Debug)]
pub struct SegmentReport {
    /// The segment.
    pub segment: SegmentId,
    /// Its contents, or its damage.
    pub state: Result<SegmentState, StorageError>,
}

/// The contents of an undamaged segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentState {
    /// Records; the newest segment may end in a torn one.
    Records {
        /// Number of complete records.
        records: usize,
        /// Length of the file in bytes, without the torn ones.
        bytes: u64,
        /// Bytes after the last complete record, which the next open truncates.
        torn_bytes: u64,
    },
    /// Power was lost while the newest segment was being created; the next open removes it.
    Unfinished,
}

/// Reports on the log in `folder` without changing anything.
///
/// # Errors
/// Those of listing the folder; damage to a segment is reported, not an error.
pub fn inspect<F: Folder>(folder: &F) -> Result<LogReport, StorageError> {
    let ids = recovery::segment_ids(folder)?;
    let mut continuity = Continuity::new();
    let mut segments = Vec::new();
    for (index, segment) in ids.iter().copied().enumerate() {
        let is_newest = index + 1 == ids.len();
        let previous = index.checked_sub(1).map(|index| ids[index]);
        let state = if is_newest { newest(folder, segment, previous) } else { sealed(folder, segment) };
        let state = state.and_then(|contents| segment_state(segment, contents, &mut continuity));
        segments.push(SegmentReport { segment, state });
    }
    Ok(LogReport { segments })
}

fn sealed<F: Folder>(folder: &F, segment: SegmentId) -> Result<Option<RecordFileContents>, StorageError> {
    recovery::load_sealed(folder, segment).map(Some)
}

fn newest<F: Folder>(
    folder: &F,
    segment: SegmentId,
    previous: Option<SegmentId>,
) -> Result<Option<RecordFileContents>, StorageError> {
    let contents = recovery::load(folder, segment)?;
    if contents.is_none() {
        recovery::check_unfinished(segment, previous)?;
    }
    Ok(contents)
}

fn segment_state(
    segment: SegmentId,
    contents: Option<RecordFileContents>,
    continuity: &mut Continuity,
) -> Result<SegmentState, StorageError> {
    let Some(contents) = contents else { return Ok(SegmentState::Unfinished) };
    continuity.check_next(segment, &contents)?;
    Ok(records_state(&contents))
}

fn records_state(contents: &RecordFileContents) -> SegmentState {
    SegmentState::Records {
        records: contents.record_count(),
        bytes: contents.end(),
        torn_bytes: contents.torn_bytes(),
    }
}

impl LogReport {
    /// Whether opening the log would succeed.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.segments.iter().all(|segment| segment.state.is_ok())
    }
}

impl fmt::Display for LogReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            writeln!(formatter, "{segment}")?;
        }
        let unsound = self.segments.iter().filter(|segment| segment.state.is_err()).count();
        match unsound {
            0 => write!(formatter, "sound: {} segments", self.segments.len()),
            _ => write!(formatter, "unsound: {unsound} of {} segments", self.segments.len()),
        }
    }
}

impl fmt::Display for SegmentReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "segment {}: ", self.segment)?;
        match &self.state {
            Ok(SegmentState::Records { records, bytes, torn_bytes }) => {
                write!(formatter, "{records} records, {bytes} bytes, {torn_bytes} torn")
            }
            Ok(SegmentState::Unfinished) => formatter.write_str("unfinished"),
            Err(error) => write!(formatter, "damaged ({error})"),
        }
    }
}
