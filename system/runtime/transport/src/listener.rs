//! Accepts connections.

use crate::connection::{run, LinkEvent};
use crate::outbox::Outbox;
use speedy::{LittleEndian, Readable};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Backoff after a failed accept (no file descriptors left): other connections may end meanwhile.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts connections until it is dropped; for each, `open` makes the callback that gets its events.
///
/// A connection's task outlives the listener: it ends with its connection, which the embedding program can close by its
/// outbox.
pub async fn accept<M, O, F>(listener: TcpListener, mut open: O)
where
    M: for<'a> Readable<'a, LittleEndian> + 'static,
    O: FnMut(SocketAddr) -> F,
    F: FnMut(&Outbox, LinkEvent<M>) + 'static,
{
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "accepting a connection failed");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let mut report = open(peer);
        tokio::task::spawn_local(async move {
            let outbox = Outbox::default();
            report(&outbox, LinkEvent::Opened);
            let reason = run(stream, &outbox, |message| report(&outbox, LinkEvent::Message(message))).await;
            report(&outbox, LinkEvent::Closed(reason));
        });
    }
}
