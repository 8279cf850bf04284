//! What wakes a host that owns a state machine and a disk.

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, Instant};

/// The reason why a host runs its next turn.
pub enum Wake<E, R> {
    /// An event is to be handled.
    Event(E),
    /// The disk's thread has reported.
    Report(R),
    /// The deadline has passed.
    Deadline,
    /// No more events or no more reports come.
    Closed,
}

/// Waits for the next event, report or deadline. Events come first, then reports: what waits is worked through before
/// time-outs are acted on.
pub async fn wait<E, R>(
    events: &mut UnboundedReceiver<E>,
    reports: &mut UnboundedReceiver<R>,
    deadline: Instant,
) -> Wake<E, R> {
    tokio::select! {
        biased;
        event = events.recv() => event.map_or(Wake::Closed, Wake::Event),
        report = reports.recv() => report.map_or(Wake::Closed, Wake::Report),
        () = sleep_until(deadline) => Wake::Deadline,
    }
}
