//! The operators' address: one line to a connection, one line back that begins with `ok` or `fail`.
//!
//! A thread of its own with descriptors of its own, so that calls wait behind no client: `call` reads a line, `talk`
//! keeps one caller's stages, both without I/O; this shell polls. Orders go through the exchange before all else.

mod command;
mod session;

pub use command::{parse, Command, CommandError, LINE_LIMIT};
use millrudder_exchange::{Core, Order, OrderHandle, Transfer};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use session::{Session, Stage};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Callers at once. Who comes beyond takes the place of one that has said nothing; the descriptors are part of what
/// the program keeps for itself.
pub const MAX_CONNECTIONS: usize = 16;
/// How often an order's end is looked for (ms).
const ORDER_POLL_MS: f64 = 2.0;
/// After a failed accept (no descriptor is free, say) the next try waits: retrying at once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

struct Connection {
    stream: TcpStream,
    session: Session,
    /// What it has ordered, until that is carried out.
    order: Option<(Order, OrderHandle)>,
}

/// Binds the address; `open` answers there.
///
/// # Errors
/// It cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Answers on a thread of its own for as long as the program runs.
///
/// # Errors
/// There is no thread to be had.
pub fn open(listener: TcpListener, core: Core) -> io::Result<()> {
    let server = Server { listener, core, connections: Vec::new() };
    std::thread::Builder::new().name("operators".to_owned()).spawn(move || server.run())?;
    Ok(())
}

struct Server {
    listener: TcpListener,
    core: Core,
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

    /// Until something has come or somebody's time is up.
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
        // An error here is an interruption: the next turn finds out what there is.
        let _ = poll(&mut descriptors, timeout.as_ref());
    }

    fn has_room(&self) -> bool {
        self.connections.len() < MAX_CONNECTIONS
            || self.connections.iter().any(|c| c.session.eviction_rank().is_some())
    }

    fn accept(&mut self, now: f64) {
        while self.has_room() {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.make_room();
                    if stream.set_nonblocking(true).is_ok() {
                        let mut connection = Connection { stream, session: Session::new(now), order: None };
                        // Its line is most often there already: only silent ones are in others' way.
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
    /// Takes what has come, and answers what can be answered.
    fn progress(&mut self, core: &Core, now: f64) {
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
            // Read past what else it sends: closing over unread bytes would reset the connection, and it would
            // never see its answer.
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

    fn execute(&mut self, command: Command, core: &Core, now: f64) {
        slog::info!(core.log, "operators call"; "call" => format!("{command:?}"));
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

    fn order(&mut self, order: Order, core: &Core) {
        let handle = core.exchange.order(order.clone());
        self.order = Some((order, handle));
    }

    fn check_order(&mut self, core: &Core, now: f64) {
        let Some((order, handle)) = self.order.take() else { return };
        let result = match handle.look() {
            Some(result) => result,
            None if self.session.deadline() <= now => handle.give_up().unwrap_or(Err("not taken on in time")),
            None => return self.order = Some((order, handle)),
        };
        if result.is_ok() {
            // Another process of an upgrade has to know as well; there is none most of the time.
            let _ = core.peer_process.put(Transfer::Ordered(order));
        }
        self.answer(result, core, now);
    }

    fn answer(&mut self, answer: Result<(), &str>, core: &Core, now: f64) {
        let text = match answer {
            Ok(()) => {
                core.counters.operator_calls.add();
                "ok\n".to_owned()
            }
            Err(reason) => {
                core.counters.operator_fails.add();
                slog::warn!(core.log, "operators' call failed"; "why" => reason);
                format!("fail {reason}\n")
            }
        };
        // A fresh socket takes a line at once; a caller that has gone needs none.
        let _ = self.stream.write_all(text.as_bytes());
        let _ = self.stream.shutdown(Shutdown::Write);
        self.session.answered(now);
    }

    fn is_finished(&self, now: f64) -> bool {
        self.session.stage() == Stage::Closing && self.session.deadline() <= now
    }
}
