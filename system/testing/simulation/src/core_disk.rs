//! Disk of a core machine: what is durable, and what is on its way there.

use millrudder_chain::{DurableState, NodeId, PersistToken, Record};
use std::collections::VecDeque;

/// One operation under way.
#[derive(Clone, Debug)]
enum Write {
    Append { token: PersistToken, record: Record },
    Checkpoint { token: PersistToken, state: Box<DurableState> },
}

impl Write {
    fn token(&self) -> PersistToken {
        match self {
            Write::Append { token, .. } | Write::Checkpoint { token, .. } => *token,
        }
    }
}

/// A disk that finishes its writes in order.
#[derive(Clone, Debug, Default)]
pub struct CoreDisk {
    durable: Option<DurableState>,
    checkpoint: Option<DurableState>,
    pending: VecDeque<Write>,
}

impl CoreDisk {
    /// What a process finds that starts now.
    pub fn state(&self) -> Option<DurableState> {
        self.durable.clone()
    }

    /// The same without the records after the last checkpoint, where there is one.
    pub fn checkpoint_alone(&self) -> Option<DurableState> {
        self.checkpoint.clone().or_else(|| self.durable.clone())
    }

    /// A disk that holds an identity and nothing more.
    pub fn rename(&mut self, id: NodeId) {
        let mut state = DurableState::default();
        state.apply(&Record::Identity { id });
        self.durable = Some(state);
    }

    pub fn append(&mut self, token: PersistToken, record: Record) {
        self.pending.push_back(Write::Append { token, record });
    }

    pub fn checkpoint(&mut self, token: PersistToken, state: Box<DurableState>) {
        self.pending.push_back(Write::Checkpoint { token, state });
    }

    /// The last write begun so far.
    pub fn last_token(&self) -> Option<PersistToken> {
        self.pending.back().map(Write::token)
    }

    /// Finishes every write up to `token`.
    pub fn finish(&mut self, token: PersistToken) {
        while self.pending.front().is_some_and(|write| write.token() <= token) {
            self.finish_one();
        }
    }

    /// The process ends: the first `kept` writes under way reach the disk, the others are lost.
    pub fn crash(&mut self, kept: usize) {
        for _ in 0..kept.min(self.pending.len()) {
            self.finish_one();
        }
        self.pending.clear();
    }

    /// Writes under way.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn finish_one(&mut self) {
        match self.pending.pop_front() {
            Some(Write::Append { record, .. }) => {
                self.durable.get_or_insert_with(DurableState::default).apply(&record);
            }
            Some(Write::Checkpoint { state, .. }) => {
                self.checkpoint = Some((*state).clone());
                self.durable = Some(*state);
            }
            None => {}
        }
    }
}
