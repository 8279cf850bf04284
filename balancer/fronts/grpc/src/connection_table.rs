//! Which client connections are open, and who leaves when room is short: peers that have proved nothing first.

use crate::meter::Cause;
use crate::metered_stream::Watch;
use millrudder_exchange::counters::{Counter, Counters};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// A peer that has made its connection and asks for nothing is sent away after this (ms). Clients open connections
/// ahead of their first call, so this is longer than what half a preface gets.
const STRANGER_IDLE_MS: f64 = 30_000.0;
/// After it was told to go away and has no call here, a connection is closed this much later (ms): the peer's last
/// calls may be on their way.
const LEAVING_MS: f64 = 1_000.0;

/// What one connection is doing, as far as leaving is concerned. Times in ms of the clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// It has had a job answered.
    pub known: bool,
    /// Calls with jobs that are here.
    pub jobs: usize,
    /// Other calls: health, reflection.
    pub others: usize,
    /// Since when there has been no call.
    pub idle_since: f64,
    /// When it was told to go away.
    pub leaving: Option<f64>,
    pub ending: bool,
}

/// How a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// GOAWAY; what is under way is answered.
    Gracefully,
    Now,
}

impl State {
    fn new(now: f64) -> Self {
        State { known: false, jobs: 0, others: 0, idle_since: now, leaving: None, ending: false }
    }

    /// What its time has come for; `closing`: no new jobs are taken on by anybody.
    pub fn due(&self, idle_time: f64, closing: bool, now: f64) -> Option<End> {
        let idle = if self.jobs + self.others == 0 { now - self.idle_since } else { 0.0 };
        match self.leaving {
            _ if self.ending => None,
            Some(since) if self.jobs == 0 && now - since >= LEAVING_MS => Some(End::Now),
            Some(_) => None,
            None if closing => Some(End::Gracefully),
            None if !self.known && idle >= STRANGER_IDLE_MS => Some(End::Now),
            None if idle >= idle_time => Some(End::Gracefully),
            None => None,
        }
    }
}

/// Strangers before clients, of equals the one without a call for longest; never one with a job here.
pub fn first_to_leave(states: impl Iterator<Item = State>) -> Option<usize> {
    let ranked = states.enumerate().filter(|(_, s)| s.jobs == 0 && !s.ending);
    let first = ranked.min_by(|(_, a), (_, b)| {
        (a.known, a.others > 0).cmp(&(b.known, b.others > 0)).then(a.idle_since.total_cmp(&b.idle_since))
    });
    first.map(|(i, _)| i)
}

struct Open {
    state: State,
    told: Option<End>,
    watch: Watch,
    wake: Arc<Notify>,
}

/// All connections of the front.
pub struct Door {
    most: usize,
    open: Mutex<(u64, BTreeMap<u64, Open>)>,
}

/// One connection's entry; gone when dropped.
pub struct Pass {
    door: Arc<Door>,
    number: u64,
    wake: Arc<Notify>,
}

impl Door {
    pub fn new(most: usize) -> Self {
        Door { most, open: Mutex::default() }
    }

    /// Whether one more fits; where none does, one that may leave is told to.
    pub fn make_room(&self, counters: &Counters) -> Room {
        let mut guard = self.lock();
        let open = &mut guard.1;
        if open.len() < self.most {
            return Room::Free;
        }
        if open.values().any(|o| o.state.ending) {
            return Room::Soon;
        }
        match first_to_leave(open.values().map(|o| o.state)) {
            Some(i) => {
                counters.connections_evicted.add();
                open.values_mut().nth(i).into_iter().for_each(|o| o.tell(End::Now));
                Room::Soon
            }
            None => Room::None,
        }
    }

    pub fn enter(self: &Arc<Self>, watch: Watch, now: f64) -> Pass {
        let wake = Arc::new(Notify::new());
        let mut guard = self.lock();
        guard.0 += 1;
        let number = guard.0;
        guard.1.insert(number, Open { state: State::new(now), told: None, watch, wake: wake.clone() });
        Pass { door: self.clone(), number, wake }
    }

    /// Looks through all connections: whose time is up, who costs too much.
    pub fn sweep(&self, idle_time: f64, closing: bool, now: f64, counters: &Counters) {
        for open in self.lock().1.values_mut() {
            let refused = open.watch.meter().take_refused();
            counters.grpc_streams_refused.add_all(refused.streams);
            counters.grpc_headers_too_large.add_all(refused.headers);
            let cause = open.watch.meter().check(now);
            if let (Err(cause), false) = (cause, open.state.ending) {
                count(counters, cause).add();
                open.tell(End::Now);
            } else if let Some(end) = open.state.due(idle_time, closing, now) {
                if !closing && open.state.leaving.is_none() {
                    counters.grpc_idle.add();
                }
                if end == End::Gracefully {
                    open.state.leaving = Some(now);
                }
                open.tell(end);
            }
        }
    }

    /// Jobs whose answers are still to be written.
    pub fn jobs(&self) -> usize {
        self.lock().1.values().map(|o| o.state.jobs).sum()
    }

    fn lock(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, Open>)> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    Free,
    /// One is leaving.
    Soon,
    /// All have jobs here.
    None,
}

impl Open {
    fn tell(&mut self, end: End) {
        self.state.ending |= end == End::Now;
        self.told = Some(end);
        self.wake.notify_one();
    }
}

impl Pass {
    /// Waits until this connection is told to end.
    pub async fn told(&self) -> End {
        loop {
            if let Some(end) = self.change(|open| open.told.take()).flatten() {
                return end;
            }
            self.wake.notified().await;
        }
    }

    pub fn job_began(&self) {
        self.change(|open| open.state.jobs += 1);
    }

    /// A call for health or reflection has come or gone; how many there are now.
    pub fn others(&self, change: isize, now: f64) -> usize {
        let others = self.change(|open| {
            open.state.others = open.state.others.saturating_add_signed(change);
            open.state.idle_since = now;
            open.state.others
        });
        others.unwrap_or(0)
    }

    pub fn job_ended(&self, answered: bool, now: f64) {
        self.change(|open| {
            open.state.jobs = open.state.jobs.saturating_sub(1);
            open.state.known |= answered;
            open.state.idle_since = now;
        });
    }

    fn change<T>(&self, change: impl FnOnce(&mut Open) -> T) -> Option<T> {
        self.door.lock().1.get_mut(&self.number).map(change)
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.door.lock().1.remove(&self.number);
    }
}

/// The counter of a cause.
pub fn count(counters: &Counters, cause: Cause) -> &Counter {
    match cause {
        Cause::Ping => &counters.grpc_flood_ping,
        Cause::Settings => &counters.grpc_flood_settings,
        Cause::Reset => &counters.grpc_flood_reset,
        Cause::Continuation => &counters.grpc_flood_continuation,
        Cause::Other => &counters.grpc_flood_other,
        Cause::TooSlow => &counters.grpc_too_slow,
        Cause::Stalled => &counters.grpc_stalled,
    }
}

#[cfg(test)]
mod tests;
