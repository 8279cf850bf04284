//! Messages that wait to be written to one connection.

use millrudder_protocol::frame::{self, FrameError};
use speedy::{LittleEndian, Writable};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Most bytes that are queued for a peer that does not read; beyond them the connection is closed.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// A message was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The connection is closed.
    #[error("the connection is closed")]
    Closed,
    /// Too much was queued already; the connection is closed now.
    #[error("the peer does not read; the connection is closed")]
    Overflow,
    /// The message is too long for a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

#[derive(Default)]
struct Shared {
    queued: RefCell<Vec<u8>>,
    is_closed: Cell<bool>,
    changed: Notify,
}

/// The sending end of a connection. Clones are of the same connection; messages are sent in the order of `send`.
#[derive(Clone, Default)]
pub struct Outbox {
    shared: Rc<Shared>,
}

impl Outbox {
    /// Queues a message. All messages that are queued before the connection's task runs next are sent in one write.
    ///
    /// # Errors
    /// The message was not queued. After [`SendError::Closed`] and [`SendError::Overflow`] none will ever be.
    pub fn send<M: Writable<LittleEndian>>(&self, message: &M) -> Result<(), SendError> {
        if self.shared.is_closed.get() {
            return Err(SendError::Closed);
        }
        let mut queued = self.shared.queued.borrow_mut();
        if queued.len() > MAX_QUEUED_BYTES {
            drop(queued);
            self.close();
            return Err(SendError::Overflow);
        }
        frame::encode(message, &mut queued)?;
        self.shared.changed.notify_one();
        Ok(())
    }

    /// Closes the connection. What is queued may still be sent, but is not waited for.
    pub fn close(&self) {
        self.shared.is_closed.set(true);
        self.shared.changed.notify_one();
    }

    /// Whether both are of the same connection.
    pub fn is_same(&self, other: &Outbox) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    /// Whether the connection is closed, or about to be.
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed.get()
    }

    /// Waits until something was queued or the connection was closed.
    pub(crate) async fn changed(&self) {
        self.shared.changed.notified().await;
    }

    /// Moves all that is queued into `buffer`, whose content is dropped.
    pub(crate) fn take(&self, buffer: &mut Vec<u8>) {
        buffer.clear();
        std::mem::swap(buffer, &mut self.shared.queued.borrow_mut());
    }
}
