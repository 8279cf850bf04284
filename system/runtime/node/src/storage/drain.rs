//! Progress of a graceful shutdown.

use std::cell::Cell;
use std::rc::Rc;

/// How many shards still need this store, shared between the owner of the state and the shutdown that waits for it.
#[derive(Clone)]
pub struct DrainProgress {
    remaining: Rc<Cell<u32>>,
}

impl DrainProgress {
    /// Nothing is known yet, so that the store counts as needed.
    pub fn unknown() -> Self {
        DrainProgress { remaining: Rc::new(Cell::new(u32::MAX)) }
    }

    /// This many shards are led by this store or handed over by it to a learner.
    pub fn set_remaining(&self, shards: u32) {
        self.remaining.set(shards);
    }

    /// No shard needs this store any more.
    pub fn is_drained(&self) -> bool {
        self.remaining.get() == 0
    }
}
