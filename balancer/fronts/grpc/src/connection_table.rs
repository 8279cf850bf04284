//! The table of client connections, and the choice of the one to evict when the limit is reached: peers that had no job
//! answered yet go first.

use crate::meter::CloseCause;
use crate::metered_stream::SharedMeter;
use millrudder_exchange::counters::{Counter, Counters};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Time (ms) without a call after which a peer that had no job answered yet is disconnected. Clients open connections
/// before their first call, so this is longer than the time for an unfinished preface.
const UNIDENTIFIED_IDLE_MS: f64 = 30_000.0;
/// Time (ms) after GOAWAY until a connection without jobs is closed: calls that the peer sent before it read the GOAWAY
/// may still arrive.
const GOAWAY_GRACE_MS: f64 = 1_000.0;

/// What decides when a connection is closed. Times are in ms on the dispatcher's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// A job of the peer was answered, which makes it a known client.
    pub is_client: bool,
    /// Calls with a job in progress.
    pub jobs: usize,
    /// Calls to the health and reflection services.
    pub other_calls: usize,
    /// When a job last ended, another call last began or ended, or the connection was opened.
    pub idle_since: f64,
    /// When GOAWAY was requested.
    pub goaway_sent_at: Option<f64>,
    /// An immediate close was requested.
    pub closing_now: bool,
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// GOAWAY; calls in progress are still answered.
    Graceful,
    /// At once; calls in progress are cancelled.
    Immediate,
}

impl State {
    fn new(now: f64) -> Self {
        State {
            is_client: false,
            jobs: 0,
            other_calls: 0,
            idle_since: now,
            goaway_sent_at: None,
            closing_now: false,
        }
    }

    /// How the connection must be closed now, if at all. `idle_limit`: ms without a call; `closing`: the front accepts
    /// no more jobs on any connection.
    pub fn due_close(&self, idle_limit: f64, closing: bool, now: f64) -> Option<CloseMode> {
        let idle = if self.jobs + self.other_calls == 0 { now - self.idle_since } else { 0.0 };
        match self.goaway_sent_at {
            _ if self.closing_now => None,
            Some(since) if self.jobs == 0 && now - since >= GOAWAY_GRACE_MS => Some(CloseMode::Immediate),
            Some(_) => None,
            None if closing => Some(CloseMode::Graceful),
            None if !self.is_client && idle >= UNIDENTIFIED_IDLE_MS => Some(CloseMode::Immediate),
            None if idle >= idle_limit => Some(CloseMode::Graceful),
            None => None,
        }
    }
}

/// The index of the connection to evict: peers that had no job answered before known clients, then those without other
/// calls, then the one without a call for longest. Never one with a job in progress.
pub fn eviction_candidate(states: impl Iterator<Item = State>) -> Option<usize> {
    let ranked = states.enumerate().filter(|(_, s)| s.jobs == 0 && !s.closing_now);
    let first = ranked.min_by(|(_, a), (_, b)| {
        (a.is_client, a.other_calls > 0)
            .cmp(&(b.is_client, b.other_calls > 0))
            .then(a.idle_since.total_cmp(&b.idle_since))
    });
    first.map(|(i, _)| i)
}

/// One open connection.
struct Entry {
    state: State,
    /// A close that was requested and that the connection's task has not yet taken.
    requested: Option<CloseMode>,
    meter: SharedMeter,
    wake: Arc<Notify>,
}

/// All connections of the front.
pub struct ConnectionTable {
    max_connections: usize,
    /// The last id given, and the connections by id.
    entries: Mutex<(u64, BTreeMap<u64, Entry>)>,
}

/// Refers to one connection's entry in the table, and removes it when dropped.
pub struct ConnectionHandle {
    table: Arc<ConnectionTable>,
    id: u64,
    wake: Arc<Notify>,
}

impl ConnectionTable {
    /// An empty table for at most `max_connections`.
    pub fn new(max_connections: usize) -> Self {
        ConnectionTable { max_connections, entries: Mutex::default() }
    }

    /// Whether there is room for one more connection. If not, asks one to close, where one may be evicted.
    pub fn make_room(&self, counters: &Counters) -> Room {
        let mut guard = self.lock();
        let entries = &mut guard.1;
        if entries.len() < self.max_connections {
            return Room::Free;
        }
        if entries.values().any(|e| e.state.closing_now) {
            return Room::Soon;
        }
        match eviction_candidate(entries.values().map(|e| e.state)) {
            Some(i) => {
                counters.connections_evicted.add();
                entries.values_mut().nth(i).into_iter().for_each(|e| e.request_close(CloseMode::Immediate));
                Room::Soon
            }
            None => Room::None,
        }
    }

    /// Adds a connection without calls.
    pub fn register(self: &Arc<Self>, meter: SharedMeter, now: f64) -> ConnectionHandle {
        let wake = Arc::new(Notify::new());
        let mut guard = self.lock();
        guard.0 += 1;
        let id = guard.0;
        guard.1.insert(id, Entry { state: State::new(now), requested: None, meter, wake: wake.clone() });
        ConnectionHandle { table: self.clone(), id, wake }
    }

    /// Checks all connections, and closes those whose time is up or whose meter reports a timeout.
    pub fn sweep(&self, idle_limit: f64, closing: bool, now: f64, counters: &Counters) {
        for entry in self.lock().1.values_mut() {
            let refusals = entry.meter.lock().take_refusals();
            counters.grpc_streams_refused.add_all(refusals.streams);
            counters.grpc_headers_too_large.add_all(refusals.headers);
            let cause = entry.meter.lock().check_timeouts(now);
            if let (Err(cause), false) = (cause, entry.state.closing_now) {
                counter_of(counters, cause).add();
                entry.request_close(CloseMode::Immediate);
            } else if let Some(mode) = entry.state.due_close(idle_limit, closing, now) {
                if !closing && entry.state.goaway_sent_at.is_none() {
                    counters.grpc_idle.add();
                }
                if mode == CloseMode::Graceful {
                    entry.state.goaway_sent_at = Some(now);
                }
                entry.request_close(mode);
            }
        }
    }

    /// The number of jobs whose answers are not yet written in full.
    pub fn unsent_answers(&self) -> usize {
        self.lock().1.values().map(|e| e.state.jobs).sum()
    }

    fn lock(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, Entry>)> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether there is room for one more connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is room.
    Free,
    /// An evicted connection is closing.
    Soon,
    /// Every connection has jobs in progress.
    None,
}

impl Entry {
    fn request_close(&mut self, mode: CloseMode) {
        self.state.closing_now |= mode == CloseMode::Immediate;
        self.requested = Some(mode);
        self.wake.notify_one();
    }
}

impl ConnectionHandle {
    /// Waits until this connection is asked to close.
    pub async fn close_requested(&self) -> CloseMode {
        loop {
            if let Some(mode) = self.update(|entry| entry.requested.take()).flatten() {
                return mode;
            }
            self.wake.notified().await;
        }
    }

    /// A call with a job has arrived.
    pub fn job_started(&self) {
        self.update(|entry| entry.state.jobs += 1);
    }

    /// Adds `change` to the number of calls to the health and reflection services; returns the new number.
    pub fn change_other_calls(&self, change: isize, now: f64) -> usize {
        let other_calls = self.update(|entry| {
            entry.state.other_calls = entry.state.other_calls.saturating_add_signed(change);
            entry.state.idle_since = now;
            entry.state.other_calls
        });
        other_calls.unwrap_or(0)
    }

    /// A call with a job has ended. `answered`: its answer was written in full.
    pub fn job_ended(&self, answered: bool, now: f64) {
        self.update(|entry| {
            entry.state.jobs = entry.state.jobs.saturating_sub(1);
            entry.state.is_client |= answered;
            entry.state.idle_since = now;
        });
    }

    fn update<T>(&self, update: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        self.table.lock().1.get_mut(&self.id).map(update)
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.table.lock().1.remove(&self.id);
    }
}

/// The counter for connections closed for this cause.
pub fn counter_of(counters: &Counters, cause: CloseCause) -> &Counter {
    match cause {
        CloseCause::Ping => &counters.grpc_flood_ping,
        CloseCause::Settings => &counters.grpc_flood_settings,
        CloseCause::Reset => &counters.grpc_flood_reset,
        CloseCause::Continuation => &counters.grpc_flood_continuation,
        CloseCause::Other => &counters.grpc_flood_other,
        CloseCause::TooSlow => &counters.grpc_too_slow,
        CloseCause::Stalled => &counters.grpc_stalled,
    }
}

#[cfg(test)]
mod tests;
