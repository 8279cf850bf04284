//! Which inbound connections are open, what they do and what they hold, so that descriptors, memory and time
//! stay within bounds whatever peers do.
//!
//! Peers that have proved themselves come first: when room is short, strangers leave before them.

use may::io::WaitIoWaker;
use millrudder_config::Budget;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{PeerProcess, PeerRole};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A stranger is owed an error or a close within 3 s of connecting: its first request must be whole by then, with
/// time left to answer. Later requests have as long from their first byte.
const REQUEST_TIMEOUT_MS: f64 = 2_200.0;
/// A peer that does not take an answer for so long will not.
const WRITE_TIMEOUT_MS: f64 = 5_000.0;
/// How long a refused peer may take to read why.
const LINGER_TIMEOUT_MS: f64 = 600.0;
/// A peer that has been inside one request or answer for this long (ms) may be cut off to make room: call-backs
/// must not wait long at a full door, and a message takes milliseconds.
const STALL_EVICTION_MS: f64 = 1_000.0;
/// Room is made ahead of need, so that who comes next does not wait for it.
const SPARE_CONNECTIONS: usize = 8;
/// Of the places for jobs, those that strangers' first jobs may fill: the rest is for clients known to be usual.
const UNIDENTIFIED_JOB_SHARE: f64 = 0.75;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Between requests.
    Idle,
    Reading,
    /// A job is here and its answer is awaited.
    AwaitingAnswer,
    Writing,
    /// Refused; what it still sends is passed over.
    Lingering,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct State {
    pub activity: Activity,
    pub role: PeerRole,
    pub opened: f64,
    pub since: f64,
}

impl State {
    fn new(now: f64) -> Self {
        State { activity: Activity::Idle, role: PeerRole::Stranger, opened: now, since: now }
    }

    /// When it has had its time. Idle connections of peers that are known stay.
    pub fn deadline(&self) -> f64 {
        match (self.activity, self.role) {
            (Activity::Idle | Activity::Reading, PeerRole::Stranger) => self.opened + REQUEST_TIMEOUT_MS,
            (Activity::Reading, _) => self.since + REQUEST_TIMEOUT_MS,
            (Activity::Writing, _) => self.since + WRITE_TIMEOUT_MS,
            (Activity::Lingering, _) => self.since + LINGER_TIMEOUT_MS,
            (Activity::Idle | Activity::AwaitingAnswer, _) => f64::INFINITY,
        }
    }

    /// Whose turn it is to leave when room is short, lowest first; none: it stays.
    fn eviction_rank(&self, now: f64) -> Option<u8> {
        let stalled = now - self.since > STALL_EVICTION_MS;
        match (self.activity, self.role) {
            (Activity::AwaitingAnswer, _) => None,
            (Activity::Lingering, _) | (Activity::Idle | Activity::Reading, PeerRole::Stranger) => Some(0),
            (Activity::Idle, PeerRole::Caller) => Some(1),
            (Activity::Idle, PeerRole::Client) => Some(2),
            (Activity::Reading | Activity::Writing, _) => stalled.then_some(3),
        }
    }
}

struct Entry {
    state: State,
    /// Bytes that it holds in memory.
    buffered: usize,
    close_flag: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl Entry {
    fn must_close(&self) -> bool {
        self.close_flag.load(Ordering::Acquire)
    }

    fn close(&self) {
        self.close_flag.store(true, Ordering::Release);
        self.waker.wakeup();
    }
}

pub struct ConnectionTable {
    budget: Budget,
    peer_process: PeerProcess,
    entries: Mutex<Entries>,
}

#[derive(Default)]
struct Entries {
    last_id: u64,
    by_id: BTreeMap<u64, Entry>,
    /// Sum over all doors.
    buffered: usize,
    /// Doors whose job is here.
    awaiting: usize,
}

/// One connection's entry; gone when dropped.
pub struct ConnectionHandle {
    id: u64,
    close_flag: Arc<AtomicBool>,
}

impl ConnectionHandle {
    /// This connection was chosen to make room, has had its time, or the dispatcher stops.
    pub fn must_close(&self) -> bool {
        self.close_flag.load(Ordering::Acquire)
    }

    pub fn cancel_close(&self) {
        self.close_flag.store(false, Ordering::Release);
    }
}

impl ConnectionTable {
    pub fn new(budget: Budget, peer_process: PeerProcess) -> Self {
        ConnectionTable { budget, peer_process, entries: Mutex::default() }
    }

    /// What the other process of an upgrade holds is not ours.
    fn own_share(&self, of: usize) -> usize {
        of.saturating_sub(self.peer_process.inbound()).max(1)
    }

    pub fn len(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Lets those between two requests see that something has changed.
    pub fn wake_idle(&self) {
        let entries = self.lock();
        entries.by_id.values().filter(|e| e.state.activity == Activity::Idle).for_each(|e| e.waker.wakeup());
    }

    pub fn role(&self, handle: &ConnectionHandle) -> PeerRole {
        self.lock().by_id.get(&handle.id).map_or(PeerRole::Stranger, |e| e.state.role)
    }

    pub fn register(&self, waker: WaitIoWaker, now: f64) -> ConnectionHandle {
        let mut entries = self.lock();
        entries.last_id += 1;
        let (id, close_flag) = (entries.last_id, Arc::new(AtomicBool::new(false)));
        entries
            .by_id
            .insert(id, Entry { state: State::new(now), buffered: 0, close_flag: close_flag.clone(), waker });
        ConnectionHandle { id, close_flag }
    }

    pub fn unregister(&self, handle: &ConnectionHandle) {
        let mut entries = self.lock();
        if let Some(entry) = entries.by_id.remove(&handle.id) {
            entries.buffered -= entry.buffered;
            entries.awaiting -= usize::from(entry.state.activity == Activity::AwaitingAnswer);
        }
    }

    pub fn set_activity(&self, handle: &ConnectionHandle, activity: Activity, now: f64) {
        let mut entries = self.lock();
        let Some(entry) = entries.by_id.get_mut(&handle.id).filter(|e| e.state.activity != activity) else {
            return;
        };
        let previous = std::mem::replace(&mut entry.state.activity, activity);
        entry.state.since = now;
        entries.awaiting -= usize::from(previous == Activity::AwaitingAnswer);
        entries.awaiting += usize::from(activity == Activity::AwaitingAnswer);
    }

    pub fn raise_role(&self, handle: &ConnectionHandle, role: PeerRole) {
        if let Some(entry) = self.lock().by_id.get_mut(&handle.id) {
            entry.state.role = entry.state.role.max(role);
        }
    }

    /// Books what a connection holds in memory; false if that is more than all together may.
    pub fn set_buffered(&self, handle: &ConnectionHandle, bytes: usize) -> bool {
        let mut entries = self.lock();
        let Some(entry) = entries.by_id.get_mut(&handle.id) else { return true };
        let previous = std::mem::replace(&mut entry.buffered, bytes);
        entries.buffered = entries.buffered - previous + bytes;
        bytes <= previous || entries.buffered <= self.budget.buffers
    }

    /// So many jobs are here that this connection's next one is deferred: the rest of the descriptors is kept for
    /// call-backs and, where it has proved nothing yet, for clients that have.
    pub fn job_limit_reached(&self, handle: &ConnectionHandle) -> bool {
        let entries = self.lock();
        let stranger = entries.by_id.get(&handle.id).is_none_or(|e| e.state.role == PeerRole::Stranger);
        let share = if stranger { UNIDENTIFIED_JOB_SHARE } else { 1.0 };
        entries.awaiting as f64 >= self.own_share(self.budget.inbound_jobs) as f64 * share
    }

    /// Makes sure that one more connection fits, if need be by ending one. False if none fits yet; the peer then
    /// waits in the listener's queue.
    pub fn make_room(&self, counters: &Counters, now: f64) -> bool {
        let entries = self.lock();
        let closing = entries.by_id.values().filter(|e| e.must_close()).count();
        if entries.by_id.len() - closing + SPARE_CONNECTIONS > self.own_share(self.budget.inbound) {
            let remaining: Vec<&Entry> = entries.by_id.values().filter(|e| !e.must_close()).collect();
            if let Some(i) = eviction_candidate(remaining.iter().map(|e| e.state), now) {
                counters.connections_evicted.add();
                remaining[i].close();
            }
        }
        // A descriptor is free once its connection's coroutine has run.
        entries.by_id.len() < self.own_share(self.budget.inbound)
    }

    /// Ends those that have had their time.
    pub fn close_overdue(&self, counters: &Counters, now: f64) {
        for entry in self.lock().by_id.values().filter(|e| !e.must_close() && e.state.deadline() <= now) {
            counters.connections_timed_out.add();
            entry.close();
        }
    }

    /// Ends those that have been idle since this time or longer.
    pub fn close_idle(&self, since: f64) {
        let idle = |e: &&Entry| e.state.activity == Activity::Idle && e.state.since <= since;
        self.lock().by_id.values().filter(idle).for_each(Entry::close);
    }

    /// Ends those of clients, and of peers that may be, that have been idle since this time or longer.
    pub fn close_idle_clients(&self, since: f64) {
        let idle = |e: &&Entry| {
            e.state.activity == Activity::Idle && e.state.role != PeerRole::Caller && e.state.since <= since
        };
        self.lock().by_id.values().filter(idle).for_each(Entry::close);
    }

    /// A connection is open on which a job may come.
    pub fn may_have_clients(&self) -> bool {
        self.lock().by_id.values().any(|e| e.state.role != PeerRole::Caller)
    }

    pub fn unsent_answers(&self) -> usize {
        let unsent = |e: &&Entry| matches!(e.state.activity, Activity::AwaitingAnswer | Activity::Writing);
        self.lock().by_id.values().filter(unsent).count()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Strangers first, then idle peers, call-backs' before clients', then those stalled inside a message; of equals
/// the one that has been so for longest. Never one whose job is here.
pub(super) fn eviction_candidate(states: impl Iterator<Item = State>, now: f64) -> Option<usize> {
    let ranked =
        states.enumerate().filter_map(|(i, state)| Some((state.eviction_rank(now)?, state.since, i)));
    ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(_, _, i)| i)
}
