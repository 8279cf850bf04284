//! One client connection: HTTP/2 by h2 over a metered socket, each call in a task of its own that ends with it.

use crate::call;
use crate::connection_table::{count, End, Pass};
use crate::meter::{Bounds, Meter};
use crate::metered_stream::{Watch, Watched};
use crate::Shared;
use bytes::Bytes;
use h2::server::{Builder, Connection};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// What a client may send of one call before it is read (bytes); a whole message fits.
const STREAM_WINDOW: u32 = 96 * 1024;
/// ... and of all calls of its connection.
const CONNECTION_WINDOW: u32 = 256 * 1024;
/// Answers that h2 holds for one call (bytes).
const SEND_BUFFER: usize = 96 * 1024;
/// Calls that were reset before they were looked at (CVE-2023-44487).
const PENDING_RESETS: usize = 64;
/// Errors of the peer's, each of which costs a reset of ours.
const LOCAL_RESETS: usize = 128;

/// The meter's bounds out of the settings.
pub fn bounds(limits: &millrudder_config::settings::GrpcLimits) -> Bounds {
    Bounds {
        control_frames: limits.control_frames.get() as f64,
        resets: limits.streams.get() as f64,
        request_time: limits.request_time.ms(),
        answer_time: limits.answer_time.ms(),
    }
}

fn builder(shared: &Shared) -> Builder {
    let limits = &shared.limits;
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(limits.streams.get() as u32)
        .max_header_list_size(limits.header_list.bytes() as u32)
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buffer_size(SEND_BUFFER)
        .max_pending_accept_reset_streams(PENDING_RESETS)
        .max_local_error_reset_streams(Some(LOCAL_RESETS));
    builder
}

/// A connection that has been accepted. It counts from here on, not from when its task first runs: many may be
/// accepted in between.
pub fn admit(stream: TcpStream, shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let watch = Watch::new(Meter::new(bounds(&shared.limits), now));
    let pass = Arc::new(shared.door.enter(watch.clone(), now));
    tokio::spawn(serve(stream, shared.clone(), watch, pass));
}

/// From the preface to the end.
async fn serve(stream: TcpStream, shared: Arc<Shared>, watch: Watch, pass: Arc<Pass>) {
    let _ = stream.set_nodelay(true);
    let _client = Client::came(&shared);
    let io = Watched::new(stream, watch.clone(), shared.clock);
    let connection = tokio::select! {
        _ = pass.told() => return,
        made = builder(&shared).handshake(io) => made,
    };
    let failed = match connection {
        Ok(connection) => calls(connection, &shared, &pass).await,
        Err(_) => true,
    };
    match watch.cause() {
        Some(cause) => count(&shared.counters, cause).add(),
        None if failed => shared.counters.grpc_broken.add(),
        None => {}
    }
}

/// Serves calls until the connection ends; true if it broke.
async fn calls(mut connection: Connection<Watched, Bytes>, shared: &Arc<Shared>, pass: &Arc<Pass>) -> bool {
    // Calls that are under way when the connection breaks end with this set, and withdraw their jobs.
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            end = pass.told() => match end {
                End::Gracefully => connection.graceful_shutdown(),
                End::Now => return false,
            },
            next = connection.accept() => match next {
                Some(Ok((request, respond))) => {
                    calls.spawn(call::serve(request, respond, shared.clone(), pass.clone()));
                }
                Some(Err(error)) => return !error.is_go_away() || error.is_remote() || is_ours(&error),
                None => return false,
            },
            Some(_) = calls.join_next(), if !calls.is_empty() => {}
        }
    }
}

/// h2 has ended the connection for what the peer did.
fn is_ours(error: &h2::Error) -> bool {
    error.reason().is_some_and(|reason| reason != h2::Reason::NO_ERROR)
}

/// Counts as a client's connection for the planned stop.
struct Client(Arc<Shared>);

impl Client {
    fn came(shared: &Arc<Shared>) -> Self {
        shared.stopping.client_came();
        Client(shared.clone())
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.0.stopping.client_left();
    }
}
