//! One client connection: HTTP/2 by h2 over a metered socket, each call in a task of its own that ends with it.

use crate::call;
use crate::connection_table::{counter_of, CloseMode, ConnectionHandle};
use crate::meter::{Bounds, Meter};
use crate::metered_stream::{MeteredStream, SharedMeter};
use crate::Shared;
use bytes::Bytes;
use h2::server::{Builder, Connection};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// What a client may send of one call before it is read (bytes); a whole message fits.
const STREAM_WINDOW_BYTES: u32 = 96 * 1024;
/// ... and of all calls of its connection.
const CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;
/// Answers that h2 holds for one call (bytes).
const SEND_BUFFER_BYTES: usize = 96 * 1024;
/// Calls that were reset before they were looked at (CVE-2023-44487).
const MAX_PENDING_RESETS: usize = 64;
/// Errors of the peer's, each of which costs a reset of ours.
const MAX_LOCAL_RESETS: usize = 128;

/// The meter's bounds out of the settings.
pub fn meter_bounds(limits: &millrudder_config::settings::GrpcLimits) -> Bounds {
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
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buffer_size(SEND_BUFFER_BYTES)
        .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
        .max_local_error_reset_streams(Some(MAX_LOCAL_RESETS));
    builder
}

/// A connection that has been accepted. It counts from here on, not from when its task first runs: many may be
/// accepted in between.
pub fn start_connection(stream: TcpStream, shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let meter = SharedMeter::new(Meter::new(meter_bounds(&shared.limits), now));
    let handle = Arc::new(shared.connections.register(meter.clone(), now));
    tokio::spawn(serve(stream, shared.clone(), meter, handle));
}

/// From the preface to the end.
async fn serve(stream: TcpStream, shared: Arc<Shared>, meter: SharedMeter, handle: Arc<ConnectionHandle>) {
    let _ = stream.set_nodelay(true);
    let _client = ClientConnection::new(&shared);
    let io = MeteredStream::new(stream, meter.clone(), shared.clock);
    let connection = tokio::select! {
        _ = handle.close_requested() => return,
        made = builder(&shared).handshake(io) => made,
    };
    let failed = match connection {
        Ok(connection) => serve_calls(connection, &shared, &handle).await,
        Err(_) => true,
    };
    match meter.cause() {
        Some(cause) => counter_of(&shared.counters, cause).add(),
        None if failed => shared.counters.grpc_broken.add(),
        None => {}
    }
}

/// Serves calls until the connection ends; true if it broke.
async fn serve_calls(
    mut connection: Connection<MeteredStream, Bytes>,
    shared: &Arc<Shared>,
    handle: &Arc<ConnectionHandle>,
) -> bool {
    // Calls that are under way when the connection breaks end with this set, and withdraw their jobs.
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            mode = handle.close_requested() => match mode {
                CloseMode::Graceful => connection.graceful_shutdown(),
                CloseMode::Immediate => return false,
            },
            next = connection.accept() => match next {
                Some(Ok((request, respond))) => {
                    calls.spawn(call::serve(request, respond, shared.clone(), handle.clone()));
                }
                Some(Err(error)) => return !error.is_go_away() || error.is_remote() || is_peer_fault(&error),
                None => return false,
            },
            Some(_) = calls.join_next(), if !calls.is_empty() => {}
        }
    }
}

/// h2 has ended the connection for what the peer did.
fn is_peer_fault(error: &h2::Error) -> bool {
    error.reason().is_some_and(|reason| reason != h2::Reason::NO_ERROR)
}

/// Counts as a client's connection for the planned stop.
struct ClientConnection(Arc<Shared>);

impl ClientConnection {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.stopping.client_came();
        ClientConnection(shared.clone())
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.0.stopping.client_left();
    }
}
