//! A simulated disk for tests of programs that embed a [`CoreNode`](crate::CoreNode): writes complete in order, and a
//! prefix of the pending writes survives a crash.

use crate::durable::{DurableState, Record};
use crate::node::PersistToken;
use millrudder_view::NodeId;
use std::collections::VecDeque;

/// A write requested by a node.
#[derive(Clone, Debug)]
pub enum DiskWrite {
    /// Append a record to the journal.
    Append {
        /// The token to report once the record is durable.
        token: PersistToken,
        /// The record.
        record: Record,
    },
    /// Replace the journal with a checkpoint.
    Checkpoint {
        /// The token to report once the checkpoint is durable.
        token: PersistToken,
        /// The state that the checkpoint contains.
        state: Box<DurableState>,
    },
}

impl DiskWrite {
    const fn token(&self) -> PersistToken {
        match self {
            Self::Append { token, .. } | Self::Checkpoint { token, .. } => *token,
        }
    }
}

/// A disk that completes its writes in order.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    durable: Option<DurableState>,
    /// The last durable checkpoint.
    checkpoint: Option<DurableState>,
    pending: VecDeque<DiskWrite>,
}

impl SimulatedDisk {
    /// A disk that contains only the identity of a node.
    #[must_use]
    pub fn with_identity(id: NodeId) -> Self {
        let mut state = DurableState::default();
        state.apply(&Record::Identity { id });
        Self { durable: Some(state), ..Self::default() }
    }

    /// The durable state from which a process starts; `None` on an empty disk.
    #[must_use]
    pub fn state(&self) -> Option<DurableState> {
        self.durable.clone()
    }

    /// The durable state without the records since the last checkpoint, for tests of a node that does not replay them.
    /// Without a checkpoint it is the complete state.
    #[must_use]
    pub fn state_at_checkpoint(&self) -> Option<DurableState> {
        self.checkpoint.clone().or_else(|| self.durable.clone())
    }

    /// Identity of the node that uses this disk, once durable.
    #[must_use]
    pub fn id(&self) -> Option<NodeId> {
        self.durable.as_ref().map(|state| state.id)
    }

    /// Starts a write.
    pub fn begin(&mut self, write: DiskWrite) {
        self.pending.push_back(write);
    }

    /// The token of the last write started, if it is pending.
    #[must_use]
    pub fn last_token(&self) -> Option<PersistToken> {
        self.pending.back().map(DiskWrite::token)
    }

    /// Completes every write up to `token`.
    pub fn finish(&mut self, token: PersistToken) {
        while self.pending.front().is_some_and(|write| write.token() <= token) {
            self.finish_one();
        }
    }

    /// Simulates a crash: the first `durable` pending writes become durable, the others are lost.
    pub fn crash(&mut self, durable: usize) {
        for _ in 0..durable.min(self.pending.len()) {
            self.finish_one();
        }
        self.pending.clear();
    }

    /// Number of pending writes.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn finish_one(&mut self) {
        match self.pending.pop_front() {
            Some(DiskWrite::Append { record, .. }) => {
                self.durable.get_or_insert_with(DurableState::default).apply(&record);
            }
            Some(DiskWrite::Checkpoint { state, .. }) => {
                self.checkpoint = Some((*state).clone());
                self.durable = Some(*state);
            }
            None => {}
        }
    }
}
