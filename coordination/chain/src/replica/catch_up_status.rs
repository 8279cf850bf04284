//! Whether a member has caught up with the chain of its view, and what its successor needs for that.

use crate::Sequence;

/// Progress of one member in the chain of the current view.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUpStatus {
    is_caught_up: bool,
    /// The member has caught up with its predecessor once its log is durable up to here; `None` while unknown.
    target: Option<Sequence>,
    /// A receiver whose log reaches this command holds every committed command.
    complete_at: Sequence,
}

impl CatchUpStatus {
    /// Starts over in a new view: the member has to catch up with its new predecessor.
    pub(super) fn reset(&mut self) {
        self.is_caught_up = false;
        self.target = None;
    }

    /// Whether the member has caught up with its predecessor.
    pub(super) fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Whether the predecessor has sent anything in the current view.
    pub(super) fn has_target(&self) -> bool {
        self.target.is_some()
    }

    /// Whether the target is durable.
    pub(super) fn is_target_durable(&self, durable_through: Sequence) -> bool {
        self.target.is_some_and(|target| durable_through >= target)
    }

    /// Sets the target that the predecessor has sent.
    pub(super) fn set_target(&mut self, target: Option<Sequence>) {
        self.target = target;
    }

    /// Marks the member as caught up, with a log that ends at `end`.
    pub(super) fn set_caught_up(&mut self, end: Sequence) {
        self.is_caught_up = true;
        self.complete_at = end;
    }

    /// A receiver whose log reaches this command holds every committed command.
    pub(super) fn complete_at(&self) -> Sequence {
        self.complete_at
    }
}
