//! The open connections of a server.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

use super::phase::ConnectionState;

/// The open connections, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Registry {
    next: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    empty: Notify,
}

/// A connection's entry in the registry, which is removed when this is dropped.
pub(super) struct Registration {
    registry: Rc<Registry>,
    number: u64,
}

impl Registry {
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    pub(super) fn register(self: &Rc<Self>, state: Rc<ConnectionState>) -> Registration {
        let number = self.next.get();
        self.next.set(number + 1);
        self.connections.borrow_mut().insert(number, state);
        Registration { registry: Rc::clone(self), number }
    }

    /// Closes the connection that is without a request for the longest; whether there was one.
    pub(super) fn close_oldest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|state| !state.must_close());
        let oldest =
            idle.filter_map(|state| Some((state.idle_since()?, state))).min_by_key(|(since, _)| *since);
        let Some((_, state)) = oldest else { return false };
        state.close();
        true
    }

    /// Has each connection's task check its state again.
    pub(super) fn wake_all(&self) {
        self.connections.borrow().values().for_each(|state| state.wake());
    }

    /// Abandons all handlers, so that their requests are answered without them; returns how many connections had a request.
    pub(super) fn abandon_all(&self) -> usize {
        let connections = self.connections.borrow();
        connections.values().for_each(|state| state.abandon());
        connections.values().filter(|state| state.idle_since().is_none()).count()
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        self.connections.borrow().values().for_each(|state| state.close());
    }

    /// Waits until no connection is open.
    pub(super) async fn wait_until_empty(&self) {
        while self.len() > 0 {
            self.empty.notified().await;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut connections = self.registry.connections.borrow_mut();
        connections.remove(&self.number);
        if connections.is_empty() {
            self.registry.empty.notify_one();
        }
    }
}
