//! The gRPC front: jobs over HTTP/2, on its own thread with its own tokio runtime. It talks to the core only through
//! the exchange, so that neither can block the other: the core runs on a worker thread of the `may` coroutine runtime.
//!
//! `meter`, `connection_table`, `intake`, `status` and `timeout` make decisions without I/O; `metered_stream`,
//! `transport`, `call` and `service` carry them out.

mod call;
mod connection_table;
mod intake;
mod meter;
mod metered_stream;
pub mod proto;
mod service;
mod status;
mod timeout;
mod transport;

use connection_table::{ConnectionTable, Room};
use http::{Request, Response};
use millrudder_config::settings::GrpcLimits;
use millrudder_config::GrpcBudget;
use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::rate::Limiter;
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::{Drain, FrontContext, PeerProcess};
use proto::jobs_server::JobsServer;
use service::JobsService;
use slog::Logger;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tonic::body::Body;
use tonic_health::pb::health_server::HealthServer;
use tonic_health::server::{HealthReporter, HealthService};
use tonic_health::ServingStatus;
use tower_service::Service;

/// Interval (ms) between two checks of all connections for timeouts and shutdown.
const SWEEP_INTERVAL_MS: f64 = 50.0;
/// Pause (ms) after a failed accept, for example when no file descriptor is free. An immediate retry would spin.
const ACCEPT_PAUSE_MS: f64 = 10.0;
/// Pause (ms) after a connection was evicted to make room; its task ends by then.
const EVICTION_PAUSE_MS: f64 = 1.0;
/// Length of the listener's queue of connections not yet accepted; the same as the standard library's listeners use.
const LISTEN_BACKLOG: u32 = 128;
/// Interval (ms) at which it is checked whether this process accepts connections. During an upgrade only one of the two
/// processes does.
const ACCEPT_CHECK_MS: f64 = 10.0;
/// Largest message (bytes) of a call to the health or reflection service.
const OTHER_MESSAGE_BYTES: usize = 8 * 1024;

/// State shared by all connections.
struct Shared {
    counters: Arc<Counters>,
    stopping: Stopping,
    drain: Drain,
    peer_process: PeerProcess,
    clock: Clock,
    limits: GrpcLimits,
    connections: Arc<ConnectionTable>,
    /// Bytes in memory of messages that are not yet complete, over all calls, and the limit on them.
    bytes_receiving: AtomicUsize,
    max_bytes_receiving: usize,
    jobs: JobsServer<JobsService>,
    /// The health and reflection services by name.
    other_services: Vec<(&'static str, OtherService)>,
}

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;
type OtherService = Box<dyn Fn(Request<Body>) -> ResponseFuture + Send + Sync>;

/// Erases a service's type, so that services can be stored together.
fn boxed_service<S>(service: S) -> OtherService
where
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible> + Clone + Send + Sync + 'static,
    S::Future: Send,
{
    Box::new(move |request| {
        let called = service.clone().call(request);
        Box::pin(async { called.await.unwrap_or_else(|never| match never {}) })
    })
}

/// The running front. Its thread runs until [`GrpcFront::finish`].
pub struct GrpcFront {
    connections: Arc<ConnectionTable>,
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl GrpcFront {
    /// Listens, and serves on a new thread. `upgrades`: during an upgrade another process may listen on the same
    /// address.
    ///
    /// # Errors
    /// The address cannot be listened on, or the thread or its runtime cannot be created.
    pub fn open(
        listen: SocketAddr,
        upgrades: bool,
        limits: GrpcLimits,
        budget: GrpcBudget,
        core: FrontContext,
    ) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
        let listener = {
            let _entered = runtime.enter();
            listen_on(listen, upgrades)?
        };
        let address = listener.local_addr()?;
        let connections = Arc::new(ConnectionTable::new(budget.connections));
        let (stop, stop_signal) = oneshot::channel();
        let table = connections.clone();
        let run = move || runtime.block_on(serve(listener, limits, budget, core, table, stop_signal));
        let thread = std::thread::Builder::new().name("grpc".to_owned()).spawn(run)?;
        Ok(GrpcFront { connections, address, stop: Some(stop), thread: Some(thread) })
    }

    /// The address it listens on, with the port that the system chose if the settings say 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of jobs whose answers are not yet written in full.
    pub fn unsent_answers(&self) -> usize {
        self.connections.unsent_answers()
    }

    /// Stops the thread, which closes every connection.
    pub fn finish(mut self) {
        drop(self.stop.take());
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

fn listen_on(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Set only if upgrades are configured: otherwise a second dispatcher started on the same address by mistake would
    // not fail.
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The front's main task: accepts and checks connections until the front is stopped.
async fn serve(
    listener: TcpListener,
    limits: GrpcLimits,
    budget: GrpcBudget,
    core: FrontContext,
    connections: Arc<ConnectionTable>,
    stop_signal: oneshot::Receiver<()>,
) {
    let core = Arc::new(core);
    let health = HealthReporter::new();
    set_serving(&health, true).await;
    let shared = Arc::new(Shared {
        counters: core.counters.clone(),
        stopping: core.stopping.clone(),
        drain: core.drain.clone(),
        peer_process: core.peer_process.clone(),
        clock: core.clock,
        limits,
        connections,
        bytes_receiving: AtomicUsize::new(0),
        max_bytes_receiving: budget.buffers,
        jobs: JobsServer::new(JobsService(core.clone())).max_decoding_message_size(service::MESSAGE_LIMIT),
        other_services: other_services(&health),
    });
    tokio::select! {
        _ = stop_signal => {}
        () = accept_loop(listener, &shared, &core.log) => {}
        () = sweep_loop(&shared, &health) => {}
    }
}

/// The services beside jobs: health and reflection.
fn other_services(health: &HealthReporter) -> Vec<(&'static str, OtherService)> {
    let health = HealthServer::new(HealthService::from_health_reporter(health.clone()))
        .max_decoding_message_size(OTHER_MESSAGE_BYTES);
    let mut other_services = vec![(call::HEALTH_SERVICE, boxed_service(health))];
    let builder = || {
        tonic_reflection::server::Builder::configure()
            .register_encoded_file_descriptor_set(proto::DESCRIPTORS)
            .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
    };
    // The descriptors are compiled in, so this does not fail; a test checks that reflection answers.
    if let (Ok(new), Ok(old)) = (builder().build_v1(), builder().build_v1alpha()) {
        other_services.push((
            call::REFLECTION_SERVICE,
            boxed_service(new.max_decoding_message_size(OTHER_MESSAGE_BYTES)),
        ));
        other_services.push((
            call::REFLECTION_ALPHA_SERVICE,
            boxed_service(old.max_decoding_message_size(OTHER_MESSAGE_BYTES)),
        ));
    }
    other_services
}

/// Reports to the health service's clients whether jobs are accepted.
async fn set_serving(health: &HealthReporter, serving: bool) {
    let status = if serving { ServingStatus::Serving } else { ServingStatus::NotServing };
    // The empty name means the whole server.
    for service in ["", call::JOBS_SERVICE] {
        health.set_service_status(service, status).await;
    }
}

/// Accepts connections while this process is the one to do so. During an upgrade both processes listen, so that no
/// connection is refused in between: the new process leaves connections in its listener's queue until it takes over.
/// The old process then accepts what is left in its own queue and closes its listener. If the new process dies, the old
/// one listens again.
async fn accept_loop(listener: TcpListener, shared: &Arc<Shared>, log: &Logger) {
    let (address, bad_accepts) = (listener.local_addr(), Limiter::default());
    let (mut open_listener, mut accepted) = (Some(listener), false);
    let log_failure = |what: &str, error: &io::Error| {
        shared.counters.accept_errors.add();
        if bad_accepts.allows(shared.clock.now()) {
            slog::warn!(log, "{} failed", what; "front" => "grpc", "error" => %error);
        }
    };
    loop {
        match (&open_listener, shared.peer_process.accepts(), &address) {
            (Some(listener), true, _) => {
                accepted = true;
                let accept_duty_lost = async {
                    while shared.peer_process.accepts() {
                        tokio::time::sleep(span(ACCEPT_CHECK_MS)).await;
                    }
                };
                tokio::select! {
                    next = listener.accept() => match next {
                        Ok((stream, _)) => admit(stream, shared).await,
                        Err(error) => {
                            log_failure("accepting a connection", &error);
                            tokio::time::sleep(span(ACCEPT_PAUSE_MS)).await;
                        }
                    },
                    () = accept_duty_lost => {}
                }
            }
            (Some(listener), false, _) if accepted => {
                while let Ok(Ok((stream, _))) = tokio::time::timeout(span(0.0), listener.accept()).await {
                    admit(stream, shared).await;
                }
                open_listener = None;
            }
            (None, true, Ok(address)) => match listen_on(*address, true) {
                Ok(listener) => open_listener = Some(listener),
                Err(error) => {
                    log_failure("listening", &error);
                    tokio::time::sleep(span(ACCEPT_PAUSE_MS)).await;
                }
            },
            _ => tokio::time::sleep(span(ACCEPT_CHECK_MS)).await,
        }
    }
}

/// Serves a new connection if there is room, else closes it.
async fn admit(stream: TcpStream, shared: &Arc<Shared>) {
    if has_room(shared).await {
        shared.counters.grpc_connections.add();
        transport::start_connection(stream, shared);
    } else {
        // Every connection has jobs in progress. An immediate close tells the client to try another dispatcher.
        shared.counters.grpc_connections_refused.add();
    }
}

/// Whether there is room for one more connection, after waiting for an evicted one to close if necessary.
async fn has_room(shared: &Shared) -> bool {
    loop {
        match shared.connections.make_room(&shared.counters) {
            Room::Free => return true,
            Room::None => return false,
            Room::Soon => tokio::time::sleep(span(EVICTION_PAUSE_MS)).await,
        }
    }
}

/// Checks all connections regularly, and reports to the health service when serving begins or ends.
async fn sweep_loop(shared: &Shared, health: &HealthReporter) {
    let mut reported = true;
    loop {
        tokio::time::sleep(span(SWEEP_INTERVAL_MS)).await;
        let now = shared.clock.now();
        let serves = !shared.stopping.has_begun() && !shared.drain.is_on();
        if serves != reported {
            reported = serves;
            set_serving(health, serves).await;
        }
        // Once the other process of an upgrade accepts connections, clients get GOAWAY, reconnect and reach that one.
        // Calls in progress are still answered here.
        let handed_over = shared.peer_process.is_open() && !shared.peer_process.accepts();
        let closing = shared.stopping.grace_is_over(now) || shared.drain.clients_notified(now) || handed_over;
        shared.connections.sweep(shared.limits.idle_time.ms(), closing, now, &shared.counters);
    }
}
