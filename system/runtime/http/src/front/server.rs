//! The accept loop of the server and its stop.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::connection::{drive, Shared};
use super::limits::{RequestLimits, ServerLimits};
use super::message::Handler;
use super::phase::ConnectionState;
use super::registry::Registry;
use super::stop::{Stop, StopTimes};
use crate::socket;

/// Backoff after a failed accept, which fails as long as file descriptors are short.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time to write the answers to requests that are abandoned at the stop's deadline: a round trip to the client, with a
/// margin.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// How a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Connections that had a request at the deadline: answered 504 if it was complete, else closed.
    pub abandoned: usize,
}

/// Serves requests from `listener` with `handler` until `stop` has begun and all connections are done, or the
/// stop's deadline has passed. Must run inside a [`tokio::task::LocalSet`].
pub async fn serve(
    listener: TcpListener,
    server_limits: ServerLimits,
    request_limits: Arc<ArcSwap<RequestLimits>>,
    handler: Handler,
    stop: Stop,
) -> Ended {
    let registry = Rc::new(Registry::default());
    let closed_to_new = Cell::new(false);
    let shared = Rc::new(Shared { server_limits, request_limits, handler, stop, closed_to_new });
    let times = tokio::select! {
        times = shared.stop.begun() => times,
        never = accept_all(&listener, &registry, &shared) => match never {},
    };
    registry.wake_all();
    let _accepted = timeout_at(times.accept_until, accept_all(&listener, &registry, &shared)).await;
    drop(listener);
    finish(&registry, &shared, times).await
}

/// Waits for the requests under way.
async fn finish(registry: &Registry, shared: &Shared, times: StopTimes) -> Ended {
    shared.closed_to_new.set(true);
    registry.wake_all();
    if timeout_at(times.deadline, registry.wait_until_empty()).await.is_ok() {
        return Ended { abandoned: 0 };
    }
    let abandoned = registry.abandon_all();
    let _all_written = timeout(FINAL_WRITE_TIMEOUT, registry.wait_until_empty()).await;
    registry.close_all();
    Ended { abandoned }
}

/// Accepts connections, without end.
async fn accept_all(listener: &TcpListener, registry: &Rc<Registry>, shared: &Rc<Shared>) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => start_connection(stream, registry, shared),
            Err(error) => back_off(&error).await,
        }
    }
}

async fn back_off(error: &io::Error) {
    log::warn!(error:%; "accepting a connection failed");
    sleep(ACCEPT_BACKOFF).await;
}

/// Starts the task of a new connection, unless there are too many and none is idle.
fn start_connection(stream: TcpStream, registry: &Rc<Registry>, shared: &Rc<Shared>) {
    if let Err(error) = socket::tune(&stream, shared.server_limits.user_timeout) {
        log::debug!(error:%; "connection closed before it was served");
        return;
    }
    if registry.len() >= shared.server_limits.max_connections && !registry.close_oldest_idle() {
        log::debug!(connections = registry.len(); "connection rejected, all others are busy");
        return;
    }
    let state = Rc::new(ConnectionState::new(Instant::now()));
    let registration = registry.register(Rc::clone(&state));
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        let _registration = registration;
        drive(stream, state, shared).await;
    });
}
