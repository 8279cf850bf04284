//! Upgrade under load: a new process (the successor) finds the old one (the predecessor) by a Unix socket, takes over
//! its state and connections, and reports that it serves only after that.
//!
//! The state machines of the two sides are in package `handover`; `predecessor` and `successor` carry out their
//! actions, and `link` transports messages and file descriptors. The fronts and the core are reached through the
//! exchange and its `PeerProcess`. After any failure here, each process that is alive serves.

mod link;
mod predecessor;
mod successor;

use link::{Link, Received};
use millrudder_exchange::{FrontContext, Order, PeerProcess, PeerRequest, PeerRole, Transfer};
use millrudder_handover::{Callback, Message, PeerKind};
pub use predecessor::flush_transfers;
use slog::Logger;
use std::io;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
pub use successor::{find_predecessor, PredecessorSession};

/// How often the queue of transfers and the link are checked while the other process is connected.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The front whose connections are passed between the processes.
pub trait Front: Send + Sync {
    /// Takes over a connection that is idle between two requests.
    fn adopt(&self, stream: TcpStream, standing: PeerRole);
    /// Handles a call-back that reached the other process.
    fn take_news(&self, body: &[u8]);
    /// Number of descriptors that this front holds for inbound connections.
    fn inbound(&self) -> usize;
}

/// The parts of the dispatcher that an upgrade acts on.
#[derive(Clone)]
pub struct UpgradeContext {
    pub core: FrontContext,
    pub front: Arc<dyn Front>,
    /// The socket on which this process waits for its successor.
    pub path: PathBuf,
}

/// Starts a thread that waits for successors for as long as the program runs.
///
/// # Errors
/// The socket or the thread cannot be created.
pub fn await_successors(context: UpgradeContext) -> io::Result<()> {
    let listener = listen(&context.path)?;
    let run = move || predecessor::run(&listener, &context);
    std::thread::Builder::new().name("upgrade".to_owned()).spawn(run)?;
    Ok(())
}

/// Listens under a temporary name, then renames that over `path`: later processes find this one rather than the one
/// that listened there before.
fn listen(path: &Path) -> io::Result<UnixListener> {
    let own = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&own);
    let listener = UnixListener::bind(&own)?;
    std::fs::rename(&own, path)?;
    Ok(listener)
}

impl UpgradeContext {
    fn peer_process(&self) -> &PeerProcess {
        &self.core.peer_process
    }

    fn log(&self) -> &Logger {
        &self.core.log
    }

    /// Sends all queued transfers to the other process.
    fn send_transfers(&self, link: &Link, is_predecessor: bool) -> io::Result<()> {
        while let Some(transfer) = self.peer_process().take() {
            match transfer {
                Transfer::Connection(stream, standing) => {
                    self.core.counters.connections_passed_on.add();
                    link.send(&Message::Connection { peer: peer_kind(standing) }, Some(stream.as_fd()))?;
                }
                Transfer::CallBack(body) => {
                    link.send(&Message::Callback(Callback { number: 0, body }), None)?
                }
                Transfer::Ordered(Order::Disable(id)) => {
                    link.send(&Message::DisableWorker { id, on: true }, None)?
                }
                Transfer::Ordered(Order::Enable(id)) => {
                    link.send(&Message::DisableWorker { id, on: false }, None)?
                }
                Transfer::Drain(on) => link.send(&Message::DrainClients { on }, None)?,
                // Only the predecessor, which is to end, reports its jobs.
                _ if !is_predecessor => {}
                Transfer::JobStarted(id) => link.send(&Message::JobStarted { id }, None)?,
                Transfer::JobEnded(id) => link.send(&Message::JobEnded { id }, None)?,
                Transfer::AttemptEnded { worker, job, attempt } => {
                    link.send(&Message::AttemptEnded { worker, job, attempt }, None)?;
                }
            }
        }
        Ok(())
    }

    /// Handles the messages that either side may send at any time; returns any other, which is for the state machine.
    fn apply(&self, received: Received) -> Option<Message> {
        match received {
            (Message::Connection { peer }, Some(descriptor)) => {
                self.core.counters.connections_taken_over.add();
                self.front.adopt(TcpStream::from(descriptor), peer_role(peer));
            }
            (Message::Connection { .. }, None) => {}
            (Message::Callback(call), _) => self.front.take_news(&call.body),
            (Message::DisableWorker { id, on }, _) => {
                // The order is carried out before any queued job. Its result is dropped: this process may not know a
                // worker with this id.
                let order = if on { Order::Disable(id) } else { Order::Enable(id) };
                drop(self.core.exchange.order(order));
            }
            (Message::DrainClients { on: true }, _) => self.core.drain.begin(self.core.clock.now()),
            (Message::DrainClients { on: false }, _) => self.core.drain.end(),
            (Message::AttemptEnded { worker, job, attempt }, _) => {
                self.core.exchange.ask(PeerRequest::AttemptEnded { worker, job, attempt });
            }
            (Message::InboundLeft { inbound }, _) => {
                self.peer_process().set_peer_connections(inbound, self.peer_process().worker_connections());
            }
            (message, _) => return Some(message),
        }
        None
    }

    /// Closes the transfers and tells the core that the other process has ended.
    fn on_peer_gone(&self) {
        self.peer_process().close();
        self.core.exchange.ask(PeerRequest::PeerEnded);
    }
}

fn peer_kind(role: PeerRole) -> PeerKind {
    match role {
        PeerRole::Unproven => PeerKind::Unverified,
        PeerRole::WorkerOrMonitor => PeerKind::Caller,
        PeerRole::Client => PeerKind::Client,
    }
}

fn peer_role(peer: PeerKind) -> PeerRole {
    match peer {
        PeerKind::Unverified => PeerRole::Unproven,
        PeerKind::Caller => PeerRole::WorkerOrMonitor,
        PeerKind::Client => PeerRole::Client,
    }
}
