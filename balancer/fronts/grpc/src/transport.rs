//! One client connection: HTTP/2 by the h2 library over a metered socket. Each call runs in its own task, which is
//! cancelled when the connection ends.

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

/// Flow-control window of one stream; a whole message fits into it.
const STREAM_WINDOW_BYTES: u32 = 96 * 1024;
/// Flow-control window of a connection, over all its calls.
const CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;
/// Bytes of responses that h2 buffers for one call.
const SEND_BUFFER_BYTES: usize = 96 * 1024;
/// Streams that the peer reset before they were accepted; h2 closes the connection beyond this (CVE-2023-44487).
const MAX_PENDING_RESETS: usize = 64;
/// Streams that h2 reset because of a peer's protocol errors; h2 closes the connection beyond this.
const MAX_LOCAL_RESETS: usize = 128;

/// The meter's limits according to the settings.
pub fn meter_bounds(limits: &millrudder_config::settings::GrpcLimits) -> Bounds {
    Bounds {
        control_frames: limits.control_frames.get() as f64,
        resets: limits.streams.get() as f64,
        request_time: limits.request_time.ms(),
        answer_time: limits.answer_time.ms(),
    }
}

/// Configures h2.
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

/// Registers an accepted connection and starts its task. It counts against the limit from here on, not from when the
/// task first runs, because many connections may be accepted in between.
pub fn start_connection(stream: TcpStream, shared: &Arc<Shared>) {
    let now = shared.clock.now();
    let meter = SharedMeter::new(Meter::new(meter_bounds(&shared.limits), now));
    let handle = Arc::new(shared.connections.register(meter.clone(), now));
    tokio::spawn(serve(stream, shared.clone(), meter, handle));
}

/// Serves a connection from the preface to its end.
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
    // Dropping the set when the connection ends cancels its calls, which withdraws their jobs.
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

/// Whether h2 closed the connection because of a fault of the peer.
fn is_peer_fault(error: &h2::Error) -> bool {
    error.reason().is_some_and(|reason| reason != h2::Reason::NO_ERROR)
}

/// Counts a client connection for the planned stop until dropped.
struct ClientConnection(Arc<Shared>);

impl ClientConnection {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.stopping.client_connected();
        ClientConnection(shared.clone())
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.0.stopping.client_disconnected();
    }
}
