//! A new version under load: the new process finds the old one by a socket, takes over what it knows and what it holds,
//! and says that it serves only then.
//!
//! The two sides are package `handover`'s state machines; `giver` and `taker` carry out what they say, `link` carries
//! messages and descriptors. Fronts and core are reached through the exchange and its `PeerProcess`. Whatever goes wrong
//! here ends in each process that is alive serving.

mod link;
mod predecessor;
mod successor;

use link::{Link, Received};
use millrudder_exchange::{Core, Order, PeerProcess, PeerRequest, PeerRole, Transfer};
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

/// How often what is to go over is looked for, while another process is there.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The front whose connections go over.
pub trait Front: Send + Sync {
    /// A connection between two requests.
    fn adopt(&self, stream: TcpStream, standing: PeerRole);
    /// A call-back that reached the other process.
    fn take_news(&self, body: &[u8]);
    /// Descriptors held by inbound connections.
    fn inbound(&self) -> usize;
}

/// What both sides act on.
#[derive(Clone)]
pub struct UpgradeContext {
    pub core: Core,
    pub front: Arc<dyn Front>,
    pub path: PathBuf,
}

/// Waits for successors on a thread of its own for as long as the program runs.
///
/// # Errors
/// The socket cannot be made.
pub fn await_successors(context: UpgradeContext) -> io::Result<()> {
    let listener = listen(&context.path)?;
    let run = move || predecessor::run(&listener, &context);
    std::thread::Builder::new().name("upgrade".to_owned()).spawn(run)?;
    Ok(())
}

/// Takes the name over from whoever had it: who comes later finds this process.
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

    /// Sends what waits to go over.
    fn send_transfers(&self, link: &Link, is_predecessor: bool) -> io::Result<()> {
        while let Some(transfer) = self.peer_process().take() {
            match transfer {
                Transfer::Connection(stream, standing) => {
                    self.core.counters.connections_passed_on.add();
                    link.send(&Message::Connection { peer: peer_kind(standing) }, Some(stream.as_fd()))?;
                }
                Transfer::News(body) => link.send(&Message::Callback(Callback { number: 0, body }), None)?,
                Transfer::Ordered(Order::Disable(id)) => {
                    link.send(&Message::DisableWorker { id, on: true }, None)?
                }
                Transfer::Ordered(Order::Enable(id)) => {
                    link.send(&Message::DisableWorker { id, on: false }, None)?
                }
                Transfer::Drain(on) => link.send(&Message::DrainClients { on }, None)?,
                // Only the one that ends tells of its jobs.
                _ if !is_predecessor => {}
                Transfer::Began(id) => link.send(&Message::JobStarted { id }, None)?,
                Transfer::Ended(id) => link.send(&Message::JobEnded { id }, None)?,
                Transfer::Landed { worker, job, attempt } => {
                    link.send(&Message::AttemptEnded { worker, job, attempt }, None)?;
                }
            }
        }
        Ok(())
    }

    /// Acts on what either side may say at any time; gives back what is the state machine's.
    fn apply(&self, received: Received) -> Option<Message> {
        match received {
            (Message::Connection { peer }, Some(descriptor)) => {
                self.core.counters.connections_taken_over.add();
                self.front.adopt(TcpStream::from(descriptor), peer_role(peer));
            }
            (Message::Connection { .. }, None) => {}
            (Message::Callback(call), _) => self.front.take_news(&call.body),
            (Message::DisableWorker { id, on }, _) => {
                // OrderResult out before any job that waits; an id unknown here has no worker here.
                let order = if on { Order::Disable(id) } else { Order::Enable(id) };
                drop(self.core.exchange.order(order));
            }
            (Message::DrainClients { on: true }, _) => self.core.drain.begin(self.core.clock.now()),
            (Message::DrainClients { on: false }, _) => self.core.drain.end(),
            (Message::AttemptEnded { worker, job, attempt }, _) => {
                self.core.exchange.ask(PeerRequest::Landed { worker, job, attempt });
            }
            (Message::InboundLeft { inbound }, _) => {
                self.peer_process().share(inbound, self.peer_process().worker_connections());
            }
            (message, _) => return Some(message),
        }
        None
    }

    /// The other process is gone.
    fn on_peer_gone(&self) {
        self.peer_process().close();
        self.core.exchange.ask(PeerRequest::Gone);
    }
}

fn peer_kind(role: PeerRole) -> PeerKind {
    match role {
        PeerRole::Stranger => PeerKind::Unverified,
        PeerRole::Caller => PeerKind::Caller,
        PeerRole::Client => PeerKind::Client,
    }
}

fn peer_role(peer: PeerKind) -> PeerRole {
    match peer {
        PeerKind::Unverified => PeerRole::Stranger,
        PeerKind::Caller => PeerRole::Caller,
        PeerKind::Client => PeerRole::Client,
    }
}
