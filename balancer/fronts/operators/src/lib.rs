//! The operators' address: one line to a connection, one line back that begins with `ok` or `fail`.
//!
//! A thread of its own with descriptors of its own, so that calls wait behind no client: `call` reads a line, `talk`
//! keeps one caller's stages, both without I/O; this shell polls. Orders go through the exchange before all else.

mod command;
mod session;

pub use command::{parse, BadCall, Call, LINE_LIMIT};
use millrudder_exchange::{Core, Order, OrderHandle, Transfer};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use session::{Stage, Talk};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Callers at once. Who comes beyond takes the place of one that has said nothing; the descriptors are part of what
/// the program keeps for itself.
pub const MOST_CALLERS: usize = 16;
/// How often an order's end is looked for (ms).
const LOOK_MS: f64 = 2.0;
/// After a failed accept (no descriptor is free, say) the next try waits: retrying at once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

struct Caller {
    stream: TcpStream,
    talk: Talk,
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
    let desk = Desk { listener, core, callers: Vec::new() };
    std::thread::Builder::new().name("operators".to_owned()).spawn(move || desk.run())?;
    Ok(())
}

struct Desk {
    listener: TcpListener,
    core: Core,
    callers: Vec<Caller>,
}

impl Desk {
    fn run(mut self) {
        loop {
            self.wait();
            let now = self.core.clock.now();
            self.accept(now);
            for caller in &mut self.callers {
                caller.turn(&self.core, now);
            }
            self.callers.retain(|caller| !caller.is_gone(now));
        }
    }

    /// Until something has come or somebody's time is up.
    fn wait(&self) {
        let now = self.core.clock.now();
        let due = |caller: &Caller| match &caller.order {
            Some(_) => (now + LOOK_MS).min(caller.talk.until()),
            None => caller.talk.until(),
        };
        let next = self.callers.iter().map(due).fold(f64::INFINITY, f64::min);
        let timeout = next.is_finite().then(|| Timespec {
            tv_sec: ((next - now).max(0.0) / 1_000.0) as i64,
            tv_nsec: ((next - now).max(0.0) % 1_000.0 * 1e6) as i64,
        });
        let mut waits: Vec<PollFd> =
            self.callers.iter().map(|c| PollFd::new(&c.stream, PollFlags::IN)).collect();
        if self.has_room() {
            waits.push(PollFd::new(&self.listener, PollFlags::IN));
        }
        // An error here is an interruption: the next turn finds out what there is.
        let _ = poll(&mut waits, timeout.as_ref());
    }

    fn has_room(&self) -> bool {
        self.callers.len() < MOST_CALLERS || self.callers.iter().any(|c| c.talk.rank().is_some())
    }

    fn accept(&mut self, now: f64) {
        while self.has_room() {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.make_room();
                    if stream.set_nonblocking(true).is_ok() {
                        let mut caller = Caller { stream, talk: Talk::new(now), order: None };
                        // Its line is most often there already: only silent ones are in others' way.
                        caller.turn(&self.core, now);
                        self.callers.push(caller);
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
        if self.callers.len() < MOST_CALLERS {
            return;
        }
        let ranked = self.callers.iter().enumerate().filter_map(|(i, c)| Some((c.talk.rank()?, i)));
        let first = ranked.min_by(|a, b| a.0 .0.cmp(&b.0 .0).then(a.0 .1.total_cmp(&b.0 .1)));
        if let Some((_, i)) = first {
            if self.callers.swap_remove(i).talk.stage() == Stage::Listening {
                self.core.counters.operator_closed.add();
            }
        }
    }
}

impl Caller {
    /// Takes what has come, and answers what can be answered.
    fn turn(&mut self, core: &Core, now: f64) {
        let mut part = [0; 512];
        let asked = match self.talk.stage() {
            Stage::Listening => match self.stream.read(&mut part) {
                Ok(0) => self.talk.end(now),
                Ok(n) => self.talk.hear(&part[..n], now),
                Err(error) if error.kind() == ErrorKind::WouldBlock && self.talk.until() <= now => {
                    self.talk.expire(now)
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => None,
                Err(_) => self.talk.end(now),
            },
            // Read past what else it sends: closing over unread bytes would reset the connection, and it would
            // never see its answer.
            Stage::Asked | Stage::Leaving => {
                if matches!(self.stream.read(&mut part), Ok(0)) && self.talk.stage() == Stage::Leaving {
                    self.talk.answered(f64::NEG_INFINITY);
                }
                None
            }
        };
        match asked {
            Some(Ok(call)) => self.carry_out(call, core, now),
            Some(Err(bad)) => self.answer(Err(&bad.to_string()), core, now),
            None => self.look(core, now),
        }
    }

    fn carry_out(&mut self, call: Call, core: &Core, now: f64) {
        slog::info!(core.log, "operators call"; "call" => format!("{call:?}"));
        match call {
            Call::Ready if core.stopping.has_begun() => self.answer(Err("it is told to stop"), core, now),
            Call::Ready if !core.is_serving() => self.answer(Err("it does not serve yet"), core, now),
            Call::Ready => self.answer(Ok(()), core, now),
            Call::Drain => {
                core.counters.drains.add();
                core.drain.begin(now);
                let _ = core.peer_process.put(Transfer::Drain(true));
                self.answer(Ok(()), core, now);
            }
            Call::Undrain => {
                core.drain.end();
                let _ = core.peer_process.put(Transfer::Drain(false));
                self.answer(Ok(()), core, now);
            }
            Call::Disable(id) => self.order(Order::Disable(id), core),
            Call::Enable(id) => self.order(Order::Enable(id), core),
        }
    }

    fn order(&mut self, order: Order, core: &Core) {
        let awaited = core.exchange.order(order.clone());
        self.order = Some((order, awaited));
    }

    fn look(&mut self, core: &Core, now: f64) {
        let Some((order, awaited)) = self.order.take() else { return };
        let carried = match awaited.look() {
            Some(carried) => carried,
            None if self.talk.until() <= now => awaited.give_up().unwrap_or(Err("not taken on in time")),
            None => return self.order = Some((order, awaited)),
        };
        if carried.is_ok() {
            // Another process of an upgrade has to know as well; there is none most of the time.
            let _ = core.peer_process.put(Transfer::Ordered(order));
        }
        self.answer(carried, core, now);
    }

    fn answer(&mut self, answer: Result<(), &str>, core: &Core, now: f64) {
        let text = match answer {
            Ok(()) => {
                core.counters.operator_calls.add();
                "ok\n".to_owned()
            }
            Err(why) => {
                core.counters.operator_fails.add();
                slog::warn!(core.log, "operators' call failed"; "why" => why);
                format!("fail {why}\n")
            }
        };
        // A fresh socket takes a line at once; a caller that has gone needs none.
        let _ = self.stream.write_all(text.as_bytes());
        let _ = self.stream.shutdown(Shutdown::Write);
        self.talk.answered(now);
    }

    fn is_gone(&self, now: f64) -> bool {
        self.talk.stage() == Stage::Leaving && self.talk.until() <= now
    }
}
