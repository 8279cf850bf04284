//! Readiness of a dispatcher.

use std::cell::Cell;
use std::rc::Rc;

/// What other parts of the process see of the state that the host owns. Clones are the same.
#[derive(Clone, Default)]
pub struct Readiness {
    shared: Rc<Flags>,
}

#[derive(Default)]
struct Flags {
    is_ready: Cell<bool>,
    is_idle: Cell<bool>,
}

impl Readiness {
    /// Called by the host after each turn.
    pub fn update(&self, is_ready: bool, is_idle: bool) {
        self.shared.is_ready.set(is_ready);
        self.shared.is_idle.set(is_idle);
    }

    /// The dispatcher can accept messages.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready.get()
    }

    /// No client waits, no call to a worker is in flight, and no result or withdrawal waits to be recorded.
    pub fn is_idle(&self) -> bool {
        self.shared.is_idle.get()
    }
}
