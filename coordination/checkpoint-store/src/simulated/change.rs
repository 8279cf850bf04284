//! One change to a simulated disk, and its effect on contents and names.

use super::{CrashOutcome, PendingChange};
use crate::FileName;
use std::collections::BTreeMap;
use std::ops::Range;

/// Identifies a file independently of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Inode(pub u64);

impl Inode {
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A change that is not on disk yet.
#[derive(Clone, Debug)]
pub(super) enum Change {
    Write { inode: Inode, file: FileName, offset: u64, bytes: Vec<u8> },
    SetLength { inode: Inode, file: FileName, length: u64 },
    Bind { name: FileName, inode: Inode },
    Rename { from: FileName, to: FileName, inode: Inode },
    Unbind { name: FileName },
}

impl Change {
    /// The file whose contents change; `None` for a change of names.
    pub const fn inode(&self) -> Option<Inode> {
        match self {
            Self::Write { inode, .. } | Self::SetLength { inode, .. } => Some(*inode),
            Self::Bind { .. } | Self::Rename { .. } | Self::Unbind { .. } => None,
        }
    }

    /// The name of the changed file, or the changed name; the old one of a rename.
    pub const fn name(&self) -> &FileName {
        match self {
            Self::Write { file, .. } | Self::SetLength { file, .. } => file,
            Self::Bind { name, .. } | Self::Unbind { name } => name,
            Self::Rename { from, .. } => from,
        }
    }

    pub fn describe(&self) -> PendingChange {
        let file = self.name().clone();
        match self {
            Self::Write { offset, bytes, .. } => {
                PendingChange::Write { file, offset: *offset, bytes: bytes.len() }
            }
            Self::SetLength { length, .. } => PendingChange::SetLength { file, length: *length },
            Self::Bind { .. } | Self::Rename { .. } | Self::Unbind { .. } => PendingChange::Name { file },
        }
    }

    /// Applies to the bytes of a file what `outcome` leaves of the change.
    pub fn apply_to_bytes(&self, target: &mut Vec<u8>, outcome: &CrashOutcome) {
        match (self, outcome) {
            (Self::Write { offset, bytes, .. }, CrashOutcome::Durable) => overwrite(target, *offset, bytes),
            (Self::Write { offset, bytes, .. }, CrashOutcome::Torn(ranges)) => {
                ranges.iter().for_each(|range| overwrite_range(target, *offset, bytes, range));
            }
            (Self::SetLength { length, .. }, CrashOutcome::Durable) => {
                target.resize(memory_index(*length), 0)
            }
            _ => {}
        }
    }

    /// Applies the change to the names of a folder.
    pub fn apply_to_names(&self, names: &mut BTreeMap<FileName, Inode>) {
        match self {
            Self::Write { .. } | Self::SetLength { .. } => {}
            Self::Bind { name, inode } => {
                names.insert(name.clone(), *inode);
            }
            Self::Rename { from, to, inode } => {
                names.remove(from);
                names.insert(to.clone(), *inode);
            }
            Self::Unbind { name } => {
                names.remove(name);
            }
        }
    }
}

fn overwrite(target: &mut Vec<u8>, offset: u64, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let start = memory_index(offset);
    let end = start + bytes.len();
    if target.len() < end {
        target.resize(end, 0);
    }
    target[start..end].copy_from_slice(bytes);
}

fn overwrite_range(target: &mut Vec<u8>, offset: u64, bytes: &[u8], range: &Range<usize>) {
    let end = range.end.min(bytes.len());
    let start = range.start.min(end);
    overwrite(target, offset + start as u64, &bytes[start..end]);
}

/// Converts an offset in a simulated file to an index in memory.
fn memory_index(offset: u64) -> usize {
    usize::try_from(offset).expect("simulated files fit in memory")
}
