//! The operators' address: each connection carries one command as a line, and gets one line back that begins with `ok`
//! or `fail`.
//!
//! It has its own thread and its own descriptors, so that commands never wait behind clients. `command` parses a line
//! and `session` keeps the state of one connection, both without I/O; this file does the I/O. The exchange delivers
//! operators' orders to the core ahead of clients' jobs.

mod command;
mod session;

pub use command::{parse, Command, CommandError, LINE_LIMIT};
use millrudder_exchange::{FrontContext, Order, OrderHandle, Transfer};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use session::{Session, Stage};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Concurrent connections. Beyond this, a new connection evicts an answered or silent one. Their descriptors are part
/// of those that the program reserves for itself.
pub const MAX_CONNECTIONS: usize = 16;
/// Interval (ms) at which the result of an order is polled.
const ORDER_POLL_MS: f64 = 2.0;
/// Pause after a failed accept, for example when no file descriptor is free. An immediate retry would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// One operator's connection.
struct Connection {
    stream: TcpStream,
    session: Session,
    /// The order that was given to the core and whose result is awaited.
    order: Option<(Order, OrderHandle)>,
}

/// Binds the address. Commands are answered once [`open`] is called.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Starts the thread that answers commands until the program ends.
///
/// # Errors
/// The thread cannot be created.
pub fn open(listener: TcpListener, core: FrontContext) -> io::Result<()> {
    let server = Server { listener, core, connections: Vec::new() };
    std::thread::Builder::new().name("operators".to_owned()).spawn(move || server.run())?;
    Ok(())
}

/// The state of the operators' thread.
struct Server {
    listener: TcpListener,
    core: FrontContext,
    connections: Vec<Connection>,
}

impl Server {
    fn run(mut self) {
        loop {
            self.poll_sockets();
            let now = self.core.clock.now();
            self.accept(now);
            for connection in &mut self.connections {
                connection.progress(&self.core, now);
            }
            self.connections.retain(|connection| !connection.is_finished(now));
        }
    }

    /// Waits until a socket is readable, a deadline passes, or the result of an order must be polled.
    fn poll_sockets(&self) {
        let now = self.core.clock.now();
        let due = |connection: &Connection| match &connection.order {
            Some(_) => (now + ORDER_POLL_MS).min(connection.session.deadline()),
            None => connection.session.deadline(),
        };
        let next = self.connections.iter().map(due).fold(f64::INFINITY, f64::min);
        let timeout = next.is_finite().then(|| Timespec {
            tv_sec: ((next - now).max(0.0) / 1_000.0) as i64,
            tv_nsec: ((next - now).max(0.0) % 1_000.0 * 1e6) as i64,
        });
        let mut descriptors: Vec<PollFd> =
            self.connections.iter().map(|c| PollFd::new(&c.stream, PollFlags::IN)).collect();
        if self.has_room() {
            descriptors.push(PollFd::new(&self.listener, PollFlags::IN));
        }
        // An error is an interruption by a signal; the sockets are read in any case.
        let _ = poll(&mut descriptors, timeout.as_ref());
    }

    /// Whether a new connection can be accepted, if need be by an eviction.
    fn has_room(&self) -> bool {
        self.connections.len() < MAX_CONNECTIONS
            || self.connections.iter().any(|c| c.session.eviction_rank().is_some())
    }

    /// Accepts all connections for which there is room.
    fn accept(&mut self, now: f64) {
        while self.has_room() {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.make_room();
                    if stream.set_nonblocking(true).is_ok() {
                        let mut connection = Connection { stream, session: Session::new(now), order: None };
                        // The line has usually arrived already. Handling it now leaves only silent connections to be
                        // evicted for the next one.
                        connection.progress(&self.core, now);
                        self.connections.push(connection);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.core.counters.accept_errors.add();
                    return std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    /// Evicts a connection if the limit is reached.
    fn make_room(&mut self) {
        if self.connections.len() < MAX_CONNECTIONS {
            return;
        }
        let ranked =
            self.connections.iter().enumerate().filter_map(|(i, c)| Some((c.session.eviction_rank()?, i)));
        let first = ranked.min_by(|a, b| a.0 .0.cmp(&b.0 .0).then(a.0 .1.total_cmp(&b.0 .1)));
        if let Some((_, i)) = first {
            if self.connections.swap_remove(i).session.stage() == Stage::ReadingLine {
                self.core.counters.operator_closed.add();
            }
        }
    }
}

impl Connection {
    /// Reads what has arrived, starts a complete command, and answers if the result is known.
    fn progress(&mut self, core: &FrontContext, now: f64) {
        let mut buffer = [0; 512];
        let received = match self.session.stage() {
            Stage::ReadingLine => match self.stream.read(&mut buffer) {
                Ok(0) => self.session.end_of_input(now),
                Ok(n) => self.session.receive(&buffer[..n], now),
                Err(error) if error.kind() == ErrorKind::WouldBlock && self.session.deadline() <= now => {
                    self.session.expire(now)
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => None,
                Err(_) => self.session.end_of_input(now),
            },
            // Read and discard further input: closing a socket with unread bytes would reset the connection, and the
            // operator would never see the answer.
            Stage::Executing | Stage::Closing => {
                if matches!(self.stream.read(&mut buffer), Ok(0)) && self.session.stage() == Stage::Closing {
                    self.session.answered(f64::NEG_INFINITY);
                }
                None
            }
        };
        match received {
            Some(Ok(command)) => self.execute(command, core, now),
            Some(Err(bad)) => self.answer(Err(&bad.to_string()), core, now),
            None => self.check_order(core, now),
        }
    }

    /// Executes a command. READY, DRAIN and UNDRAIN are answered at once; orders wait for the core.
    fn execute(&mut self, command: Command, core: &FrontContext, now: f64) {
        slog::info!(core.log, "operator command received"; "call" => format!("{command:?}"));
        match command {
            Command::Ready if core.stopping.has_begun() => self.answer(Err("it is told to stop"), core, now),
            Command::Ready if !core.is_serving() => self.answer(Err("it does not serve yet"), core, now),
            Command::Ready => self.answer(Ok(()), core, now),
            Command::Drain => {
                core.counters.drains.add();
                core.drain.begin(now);
                let _ = core.peer_process.put(Transfer::Drain(true));
                self.answer(Ok(()), core, now);
            }
            Command::Undrain => {
                core.drain.end();
                let _ = core.peer_process.put(Transfer::Drain(false));
                self.answer(Ok(()), core, now);
            }
            Command::Disable(id) => self.order(Order::Disable(id), core),
            Command::Enable(id) => self.order(Order::Enable(id), core),
        }
    }

    /// Gives an order to the core.
    fn order(&mut self, order: Order, core: &FrontContext) {
        let handle = core.exchange.order(order.clone());
        self.order = Some((order, handle));
    }

    /// Answers if the core has carried the order out or the time for it is over.
    fn check_order(&mut self, core: &FrontContext, now: f64) {
        let Some((order, handle)) = self.order.take() else { return };
        let result = match handle.result() {
            Some(result) => result,
            None if self.session.deadline() <= now => handle.give_up().unwrap_or(Err("not taken on in time")),
            None => return self.order = Some((order, handle)),
        };
        if result.is_ok() {
            // During an upgrade the other process must apply the order too. Usually there is none, so failure is
            // ignored.
            let _ = core.peer_process.put(Transfer::Ordered(order));
        }
        self.answer(result, core, now);
    }

    /// Writes the answer line, and counts it.
    fn answer(&mut self, answer: Result<(), &str>, core: &FrontContext, now: f64) {
        let text = match answer {
            Ok(()) => {
                core.counters.operator_calls.add();
                "ok\n".to_owned()
            }
            Err(reason) => {
                core.counters.operator_fails.add();
                slog::warn!(core.log, "operator command failed"; "why" => reason);
                format!("fail {reason}\n")
            }
        };
        // The send buffer of a new socket always has room for one line. If the operator has disconnected, a failed
        // write does not matter.
        let _ = self.stream.write_all(text.as_bytes());
        let _ = self.stream.shutdown(Shutdown::Write);
        self.session.answered(now);
    }

    /// Whether the answer was sent and the time to read it is over.
    fn is_finished(&self, now: f64) -> bool {
        self.session.stage() == Stage::Closing && self.session.deadline() <= now
    }
}
