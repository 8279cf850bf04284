//! How much of a replica's log is durable, and whether the replica is complete.

use crate::Sequence;

/// State of the log when a record was issued; it becomes durable with that record.
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
    /// Incremented when the log loses entries, so that earlier watermarks do not count.
    generation: u64,
    /// As of the newest record issued.
    complete: bool,
    /// As of the newest record that is durable.
    durably_complete: bool,
}

impl Durability {
    /// A log that was read from the disk.
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

    /// The same, as far as it is durable.
    pub(super) fn is_durably_complete(&self) -> bool {
        self.durably_complete
    }

    /// The watermark for a record that is issued while the log ends at `sequence`.
    pub(super) fn watermark(&self, sequence: Sequence) -> DurableWatermark {
        DurableWatermark { sequence, generation: self.generation, complete: self.complete }
    }

    /// The record of `watermark` is durable. Returns whether it still counts.
    pub(super) fn handle_durable(&mut self, watermark: DurableWatermark) -> bool {
        if watermark.generation != self.generation {
            return false;
        }
        self.durable_through = self.durable_through.max(watermark.sequence);
        self.durably_complete |= watermark.complete;
        true
    }

    /// The log reached everything that was committed in earlier views.
    pub(super) fn set_complete(&mut self) {
        self.complete = true;
    }

    /// The log loses entries without a replacement, and with them its completeness.
    pub(super) fn handle_entries_dropped(&mut self) {
        self.complete = false;
        self.durably_complete = false;
        self.handle_log_replaced();
    }

    /// The log is replaced by a snapshot; nothing of it is durable yet.
    pub(super) fn handle_log_replaced(&mut self) {
        self.generation += 1;
        self.durable_through = Sequence::default();
    }
}
