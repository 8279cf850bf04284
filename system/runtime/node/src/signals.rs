//! Signals that the platform sends to the process.

use crate::error::RoleError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a role handles: SIGTERM and SIGINT ask it to stop, SIGHUP to read its settings again.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The handlers cannot be installed.
    pub fn install() -> Result<Self, RoleError> {
        let open = |kind| signal(kind).map_err(RoleError::Runtime);
        Ok(Signals {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    /// Waits until the process is asked to stop; calls `reload` each time it is asked to read its settings again.
    pub async fn wait_for_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
