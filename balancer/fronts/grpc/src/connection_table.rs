//! Which client connections are open, and who leaves when room is short: peers that have proved nothing first.

use crate::meter::CloseCause;
use crate::metered_stream::SharedMeter;
use millrudder_exchange::counters::{Counter, Counters};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// A peer that has made its connection and asks for nothing is sent away after this (ms). Clients open connections
/// ahead of their first call, so this is longer than what half a preface gets.
const UNIDENTIFIED_IDLE_MS: f64 = 30_000.0;
/// After it was told to go away and has no call here, a connection is closed this much later (ms): the peer's last
/// calls may be on their way.
const GOAWAY_GRACE_MS: f64 = 1_000.0;

/// What one connection is doing, as far as leaving is concerned. Times in ms of the clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// It has had a job answered.
    pub is_client: bool,
    /// Calls with jobs that are here.
    pub jobs: usize,
    /// Other calls: health, reflection.
    pub other_calls: usize,
    /// Since when there has been no call.
    pub idle_since: f64,
    /// When it was told to go away.
    pub goaway_sent_at: Option<f64>,
    pub closing_now: bool,
}

/// How a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// GOAWAY; what is under way is answered.
    Graceful,
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

    /// What its time has come for; `closing`: no new jobs are taken on by anybody.
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

/// Strangers before clients, of equals the one without a call for longest; never one with a job here.
pub fn eviction_candidate(states: impl Iterator<Item = State>) -> Option<usize> {
    let ranked = states.enumerate().filter(|(_, s)| s.jobs == 0 && !s.closing_now);
    let first = ranked.min_by(|(_, a), (_, b)| {
        (a.is_client, a.other_calls > 0)
            .cmp(&(b.is_client, b.other_calls > 0))
            .then(a.idle_since.total_cmp(&b.idle_since))
    });
    first.map(|(i, _)| i)
}

struct Entry {
    state: State,
    requested: Option<CloseMode>,
    meter: SharedMeter,
    wake: Arc<Notify>,
}

/// All connections of the front.
pub struct ConnectionTable {
    max_connections: usize,
    entries: Mutex<(u64, BTreeMap<u64, Entry>)>,
}

/// One connection's entry; gone when dropped.
pub struct ConnectionHandle {
    table: Arc<ConnectionTable>,
    id: u64,
    wake: Arc<Notify>,
}

impl ConnectionTable {
    pub fn new(max_connections: usize) -> Self {
        ConnectionTable { max_connections, entries: Mutex::default() }
    }

    /// Whether one more fits; where none does, one that may leave is told to.
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

    pub fn register(self: &Arc<Self>, meter: SharedMeter, now: f64) -> ConnectionHandle {
        let wake = Arc::new(Notify::new());
        let mut guard = self.lock();
        guard.0 += 1;
        let id = guard.0;
        guard.1.insert(id, Entry { state: State::new(now), requested: None, meter, wake: wake.clone() });
        ConnectionHandle { table: self.clone(), id, wake }
    }

    /// Looks through all connections: whose time is up, who costs too much.
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

    /// Jobs whose answers are still to be written.
    pub fn unsent_answers(&self) -> usize {
        self.lock().1.values().map(|e| e.state.jobs).sum()
    }

    fn lock(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, Entry>)> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
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

impl Entry {
    fn request_close(&mut self, mode: CloseMode) {
        self.state.closing_now |= mode == CloseMode::Immediate;
        self.requested = Some(mode);
        self.wake.notify_one();
    }
}

impl ConnectionHandle {
    /// Waits until this connection is told to end.
    pub async fn close_requested(&self) -> CloseMode {
        loop {
            if let Some(mode) = self.update(|entry| entry.requested.take()).flatten() {
                return mode;
            }
            self.wake.notified().await;
        }
    }

    pub fn job_started(&self) {
        self.update(|entry| entry.state.jobs += 1);
    }

    /// A call for health or reflection has come or gone; how many there are now.
    pub fn change_other_calls(&self, change: isize, now: f64) -> usize {
        let other_calls = self.update(|entry| {
            entry.state.other_calls = entry.state.other_calls.saturating_add_signed(change);
            entry.state.idle_since = now;
            entry.state.other_calls
        });
        other_calls.unwrap_or(0)
    }

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

/// The counter of a cause.
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
