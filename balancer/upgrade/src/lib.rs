//! A new version under load: the new process finds the old one by a socket, takes over what it knows and what it holds,
//! and says that it serves only then.
//!
//! The two sides are package `handover`'s state machines; `giver` and `taker` carry out what they say, `link` carries
//! messages and descriptors. Fronts and core are reached through the exchange and its `PeerProcess`. Whatever goes wrong
//! here ends in each process that is alive serving.

mod giver;
mod link;
mod taker;

pub use giver::flush;
use link::{Heard, Link};
use millrudder_exchange::{FrontContext, Order, PeerProcess, PeerRequest, PeerRole, Transfer};
use millrudder_handover::{Call, Message, Was};
use slog::Logger;
use std::io;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
pub use taker::{meet, Met};

/// How often what is to go over is looked for, while another process is there.
const TICK: Duration = Duration::from_millis(2);

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
pub struct Shell {
    pub core: FrontContext,
    pub front: Arc<dyn Front>,
    pub path: PathBuf,
}

/// Waits for successors on a thread of its own for as long as the program runs.
///
/// # Errors
/// The socket cannot be made.
pub fn await_successors(shell: Shell) -> io::Result<()> {
    let listener = listen(&shell.path)?;
    let run = move || giver::run(&listener, &shell);
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

impl Shell {
    fn peer_process(&self) -> &PeerProcess {
        &self.core.peer_process
    }

    fn log(&self) -> &Logger {
        &self.core.log
    }

    /// Sends what waits to go over.
    fn send_parcels(&self, link: &Link, giver: bool) -> io::Result<()> {
        while let Some(parcel) = self.peer_process().take() {
            match parcel {
                Transfer::Connection(stream, standing) => {
                    self.core.counters.connections_passed_on.add();
                    link.send(&Message::Connection { was: was(standing) }, Some(stream.as_fd()))?;
                }
                Transfer::CallBack(body) => link.send(&Message::CallBack(Call { number: 0, body }), None)?,
                Transfer::Ordered(Order::Disable(id)) => link.send(&Message::Ban { id, on: true }, None)?,
                Transfer::Ordered(Order::Enable(id)) => link.send(&Message::Ban { id, on: false }, None)?,
                Transfer::Drain(on) => link.send(&Message::Drain { on }, None)?,
                // Only the one that ends tells of its jobs.
                _ if !giver => {}
                Transfer::JobStarted(id) => link.send(&Message::Began { id }, None)?,
                Transfer::JobEnded(id) => link.send(&Message::Ended { id }, None)?,
                Transfer::AttemptEnded { worker, job, attempt } => {
                    link.send(&Message::Landed { worker, job, attempt }, None)?;
                }
            }
        }
        Ok(())
    }

    /// Acts on what either side may say at any time; gives back what is the state machine's.
    fn take(&self, heard: Heard) -> Option<Message> {
        match heard {
            (Message::Connection { was }, Some(descriptor)) => {
                self.core.counters.connections_taken_over.add();
                self.front.adopt(TcpStream::from(descriptor), standing(was));
            }
            (Message::Connection { .. }, None) => {}
            (Message::CallBack(call), _) => self.front.take_news(&call.body),
            (Message::Ban { id, on }, _) => {
                // OrderResult out before any job that waits; an id unknown here has no worker here.
                let order = if on { Order::Disable(id) } else { Order::Enable(id) };
                drop(self.core.exchange.order(order));
            }
            (Message::Drain { on: true }, _) => self.core.drain.begin(self.core.clock.now()),
            (Message::Drain { on: false }, _) => self.core.drain.end(),
            (Message::Landed { worker, job, attempt }, _) => {
                self.core.exchange.ask(PeerRequest::AttemptEnded { worker, job, attempt });
            }
            (Message::Held { inbound }, _) => {
                self.peer_process().set_peer_connections(inbound, self.peer_process().worker_connections());
            }
            (message, _) => return Some(message),
        }
        None
    }

    /// The other process is gone.
    fn part(&self) {
        self.peer_process().close();
        self.core.exchange.ask(PeerRequest::PeerEnded);
    }
}

fn was(standing: PeerRole) -> Was {
    match standing {
        PeerRole::Unproven => Was::Stranger,
        PeerRole::WorkerOrMonitor => Was::Caller,
        PeerRole::Client => Was::Client,
    }
}

fn standing(was: Was) -> PeerRole {
    match was {
        Was::Stranger => PeerRole::Unproven,
        Was::Caller => PeerRole::WorkerOrMonitor,
        Was::Client => PeerRole::Client,
    }
}
