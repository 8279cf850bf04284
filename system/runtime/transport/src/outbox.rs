//! What waits to be written to one connection.

use millrudder_protocol::frame::{self, FrameError};
use speedy::{LittleEndian, Writable};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes that may wait for a peer that does not read, before the connection is given up.
const MOST_WAITING_BYTES: usize = 16 << 20;

/// A message was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    #[error("the connection is closed")]
    Closed,
    #[error("the peer does not read; the connection is given up")]
    Overflow,
    #[error(transparent)]
    Frame(#[from] FrameError),
}

#[derive(Default)]
struct Shared {
    waiting: RefCell<Vec<u8>>,
    closed: Cell<bool>,
    changed: Notify,
}

/// The sending end of a connection. Clones are the same connection's; messages go out in the order of `send`.
#[derive(Clone, Default)]
pub struct Outbox {
    shared: Rc<Shared>,
}

impl Outbox {
    /// Queues a message; all that is queued before the runtime's next turn leaves in one write.
    ///
    /// # Errors
    /// Nothing was queued. After `Closed` and `Overflow` nothing will ever be.
    pub fn send<M: Writable<LittleEndian>>(&self, message: &M) -> Result<(), SendError> {
        if self.shared.closed.get() {
            return Err(SendError::Closed);
        }
        let mut waiting = self.shared.waiting.borrow_mut();
        if waiting.len() > MOST_WAITING_BYTES {
            drop(waiting);
            self.close();
            return Err(SendError::Overflow);
        }
        frame::encode(message, &mut waiting)?;
        self.shared.changed.notify_one();
        Ok(())
    }

    /// Ends the connection; what was queued is not waited for.
    pub fn close(&self) {
        self.shared.closed.set(true);
        self.shared.changed.notify_one();
    }

    /// Both are the same connection's.
    pub fn is_same(&self, other: &Outbox) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    pub fn is_closed(&self) -> bool {
        self.shared.closed.get()
    }

    pub(crate) async fn changed(&self) {
        self.shared.changed.notified().await;
    }

    pub(crate) fn take(&self, buffer: &mut Vec<u8>) {
        buffer.clear();
        std::mem::swap(buffer, &mut self.shared.waiting.borrow_mut());
    }
}
