//! What the platform tells the process by signals.

use crate::error::RoleError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a role heeds.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Finish what was taken, then exit.
    Stop,
    /// The settings file has changed.
    Reload,
}

impl Signals {
    /// # Errors
    /// The handlers cannot be set.
    pub fn new() -> Result<Self, RoleError> {
        let open = |kind| signal(kind).map_err(RoleError::Runtime);
        Ok(Signals {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            reload: open(SignalKind::hangup())?,
        })
    }

    pub async fn next(&mut self) -> Notice {
        tokio::select! {
            _ = self.terminate.recv() => Notice::Stop,
            _ = self.interrupt.recv() => Notice::Stop,
            _ = self.reload.recv() => Notice::Reload,
        }
    }
}
