//! An HTTP/1.1 server on loopback with a bound on its connections, which resets those beyond.

use crate::controlled_stream::ConnectionControl;
use crate::http::AbortOnDrop;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The handler wants the connection closed without an answer.
#[derive(Debug, Error)]
#[error("the connection is closed without an answer")]
pub(crate) struct CloseConnection;

pub(crate) type ServerResponse = Result<Response<Full<Bytes>>, CloseConnection>;

/// Answers the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller closes the connection first.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        control: ConnectionControl,
    ) -> impl Future<Output = ServerResponse> + Send;
}

/// What a server bears.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Connections beyond so many are reset.
    pub(crate) max_connections: usize,
    /// Connections that are idle for so long are closed.
    pub(crate) keep_alive: Option<Duration>,
}

#[derive(Default)]
struct Counters {
    open: AtomicUsize,
    accepted: AtomicUsize,
    refused: AtomicUsize,
}

/// A running server; it ends, with all its connections, when it is dropped.
pub(crate) struct Server {
    address: SocketAddr,
    counters: Arc<Counters>,
    close_idle: watch::Sender<()>,
    _acceptor: AbortOnDrop,
}

/// An address on loopback with a port that the machine chooses.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Server {
    pub(crate) async fn start(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<impl Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let (close_idle, closing) = watch::channel(());
        let acceptor = accept(listener, limits, handler, counters.clone(), closing);
        let acceptor = AbortOnDrop(tokio::spawn(acceptor));
        Ok(Self { address, counters, close_idle, _acceptor: acceptor })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.counters.open.load(Ordering::SeqCst)
    }

    pub(crate) fn accepted_connections(&self) -> usize {
        self.counters.accepted.load(Ordering::SeqCst)
    }

    pub(crate) fn refused_connections(&self) -> usize {
        self.counters.refused.load(Ordering::SeqCst)
    }

    pub(crate) fn close_idle_connections(&self) {
        self.close_idle.send_replace(());
    }
}

async fn accept(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Arc<impl Handler>,
    counters: Arc<Counters>,
    closing: watch::Receiver<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = listener.accept().await;
        while connections.try_join_next().is_some() {}
        // A connection that ended before it was taken is of no concern.
        let Ok((stream, _)) = accepted else { continue };
        if counters.open.load(Ordering::SeqCst) >= limits.max_connections {
            counters.refused.fetch_add(1, Ordering::SeqCst);
            let _ = stream.set_zero_linger();
            continue;
        }
        let open = OpenConnection::new(counters.clone());
        let mut closing = closing.clone();
        closing.mark_unchanged();
        let serving = serve(stream, limits.keep_alive, handler.clone(), closing);
        connections.spawn(async move {
            let _open = open;
            serving.await;
        });
    }
}

/// Counts a connection while it is open.
struct OpenConnection(Arc<Counters>);

impl OpenConnection {
    fn new(counters: Arc<Counters>) -> Self {
        counters.accepted.fetch_add(1, Ordering::SeqCst);
        counters.open.fetch_add(1, Ordering::SeqCst);
        Self(counters)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve(
    stream: TcpStream,
    keep_alive: Option<Duration>,
    handler: Arc<impl Handler>,
    mut closing: watch::Receiver<()>,
) {
    let control = ConnectionControl::new(stream);
    let busy = Arc::new(watch::Sender::new(false));
    let mut activity = busy.subscribe();
    let service = service_fn({
        let control = control.clone();
        move |request| {
            let guard = BusyGuard::new(busy.clone());
            let answer = handler.clone().answer(request, control.clone());
            async move {
                let _guard = guard;
                answer.await
            }
        }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(control.stream()), service);
    drop(control);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // How a connection ended is what the caller sees; the stand-in has nobody to tell.
        _ = &mut connection => return,
        _ = idle_long_enough(&mut activity, keep_alive, &mut closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Returns when the connection has been idle for `keep_alive`, or is idle and the test has asked to close it.
async fn idle_long_enough(
    activity: &mut watch::Receiver<bool>,
    keep_alive: Option<Duration>,
    closing: &mut watch::Receiver<()>,
) {
    loop {
        if activity.wait_for(|busy| !busy).await.is_err() {
            return;
        }
        tokio::select! {
            _ = activity.changed() => {}
            _ = elapsed(keep_alive) => return,
            _ = closing.changed() => return,
        }
    }
}

async fn elapsed(keep_alive: Option<Duration>) {
    match keep_alive {
        Some(keep_alive) => tokio::time::sleep(keep_alive).await,
        None => std::future::pending().await,
    }
}

/// Marks a connection as busy while a request is under way on it.
struct BusyGuard(Arc<watch::Sender<bool>>);

impl BusyGuard {
    fn new(busy: Arc<watch::Sender<bool>>) -> Self {
        busy.send_replace(true);
        Self(busy)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.send_replace(false);
    }
}
