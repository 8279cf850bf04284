//! What a supervisor does between the failure of a disk and the time at which the disk takes writes again.

use crate::error::RoleError;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// Backoff between attempts to use a disk that has failed.
const INITIAL_REOPEN_BACKOFF: Duration = Duration::from_millis(500);
/// The same after it has doubled a few times.
const MAX_REOPEN_BACKOFF: Duration = Duration::from_secs(4);

/// An event of a queue that has no host for a while.
pub trait UnhostedEvent {
    /// Ends what nobody serves now: connections are closed, and requests get no clear answer. Returns the event if the
    /// next host has to handle it; that must be a bounded number of events.
    fn dismiss(self) -> Option<Self>
    where
        Self: Sized;
}

/// Waits until a failed disk is opened again, and dismisses the events that arrive meanwhile: nobody can act on them, and
/// a queue that nobody empties grows without a bound. Events that the next host has to handle return to the queue.
pub async fn reopen<T, E, F>(open: F, queue: &mut UnboundedReceiver<E>, events: &UnboundedSender<E>) -> T
where
    T: Send + 'static,
    E: UnhostedEvent,
    F: Fn() -> Result<T, RoleError> + Clone + Send + 'static,
{
    let mut reopened = pin!(open_repeatedly(open));
    let mut retained = Vec::new();
    let opened = loop {
        tokio::select! {
            biased;
            Some(event) = queue.recv() => retained.extend(event.dismiss()),
            opened = &mut reopened => break opened,
        }
    };
    for event in retained {
        // The queue's receiving end is this function's.
        drop(events.send(event));
    }
    opened
}

/// Opens the disk as soon as it can be read and takes writes again. Attempts block, on a stalled disk for long, so that
/// they run beside the process's runtime.
async fn open_repeatedly<T, F>(open: F) -> T
where
    T: Send + 'static,
    F: Fn() -> Result<T, RoleError> + Clone + Send + 'static,
{
    let mut backoff = INITIAL_REOPEN_BACKOFF;
    loop {
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_REOPEN_BACKOFF);
        match spawn_blocking(open.clone()).await {
            Ok(Ok(opened)) => return opened,
            Ok(Err(error)) => log::warn!(error:%; "disk not usable yet, retrying"),
            Err(error) => log::warn!(error:%; "attempt to open the disk ended early, retrying"),
        }
    }
}
