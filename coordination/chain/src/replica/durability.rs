//! Tracks how much of a replica's log is durable, and whether the replica is complete.

use crate::Sequence;

/// End and completeness of the log when a record was issued; durable once that record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DurableWatermark {
    sequence: Sequence,
    generation: u64,
    complete: bool,
}

/// The durable end of the log, and whether the replica holds every command committed in earlier views.
#[derive(Clone, Debug)]
pub(super) struct Durability {
    /// Commands up to here are durable in the log.
    durable_through: Sequence,
    /// Incremented when the log loses entries; watermarks of earlier generations are ignored.
    generation: u64,
    /// Whether the replica is complete, as of the newest record issued.
    complete: bool,
    /// Whether the replica is complete, as of the newest durable record.
    durably_complete: bool,
}

impl Durability {
    /// State for a log that was read from disk.
    pub(super) fn restored(durable_through: Sequence, complete: bool) -> Durability {
        Durability { durable_through, generation: 0, complete, durably_complete: complete }
    }

    /// Commands up to here are durable; zero while the log is being replaced.
    pub(super) fn durable_through(&self) -> Sequence {
        self.durable_through
    }

    /// Whether the replica holds every command committed in earlier views.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the replica is complete according to its durable records.
    pub(super) fn is_durably_complete(&self) -> bool {
        self.durably_complete
    }

    /// The watermark for a record that is issued while the log ends at `sequence`.
    pub(super) fn watermark(&self, sequence: Sequence) -> DurableWatermark {
        DurableWatermark { sequence, generation: self.generation, complete: self.complete }
    }

    /// Handles the durable record of `watermark`. Returns false if the log has lost entries since it was issued.
    pub(super) fn handle_durable(&mut self, watermark: DurableWatermark) -> bool {
        if watermark.generation != self.generation {
            return false;
        }
        self.durable_through = self.durable_through.max(watermark.sequence);
        self.durably_complete |= watermark.complete;
        true
    }

    /// Marks the log as containing every command committed in earlier views.
    pub(super) fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Handles the loss of entries without a replacement: the log is no longer complete.
    pub(super) fn handle_entries_dropped(&mut self) {
        self.complete = false;
        self.durably_complete = false;
        self.handle_log_replaced();
    }

    /// Handles the replacement of the log with a snapshot, nothing of which is durable yet.
    pub(super) fn handle_log_replaced(&mut self) {
        self.generation += 1;
        self.durable_through = Sequence::default();
    }
}
