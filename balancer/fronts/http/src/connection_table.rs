//! The table of inbound connections: what each one is doing and how much memory it uses. It keeps descriptors, memory
//! and time within bounds whatever the peers do.
//!
//! A peer is unidentified ([`PeerRole::Unproven`]) until a job of its was answered or a call-back of its was parsed.
//! When descriptors run short, unidentified peers are evicted first.

use may::io::WaitIoWaker;
use millrudder_config::Budget;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{PeerProcess, PeerRole};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Time (ms) for an unidentified peer to send its whole first request after connecting. The peer must get an error or a
/// close within 3 s of connecting, so this leaves time to answer. Later requests have as long from their first byte.
const REQUEST_TIMEOUT_MS: f64 = 2_200.0;
/// Time (ms) for a peer to read an answer. One that has not read it by then is taken to have stalled.
const WRITE_TIMEOUT_MS: f64 = 5_000.0;
/// Time (ms) for a refused peer to read the reason.
const LINGER_TIMEOUT_MS: f64 = 600.0;
/// A peer that has been inside one request or answer for longer than this (ms) may be evicted. Call-backs must not wait
/// long for a descriptor, and a message normally takes milliseconds.
const STALL_EVICTION_MS: f64 = 1_000.0;
/// The number of connections kept free by evicting early, so that the next peer does not wait for an eviction.
const SPARE_CONNECTIONS: usize = 8;
/// The share of the job limit up to which unidentified peers may submit jobs. The rest is reserved for clients that
/// have had a job answered.
const UNIDENTIFIED_JOB_SHARE: f64 = 0.75;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Between requests.
    Idle,
    /// Part of a request has arrived.
    Reading,
    /// A job was submitted and its answer is not yet known.
    AwaitingAnswer,
    /// An answer is being written.
    Writing,
    /// Its request was refused; what the peer still sends is read and discarded.
    Lingering,
}

/// What decides when a connection is closed. Times are in ms on the dispatcher's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct State {
    pub activity: Activity,
    pub role: PeerRole,
    /// When the connection was accepted.
    pub opened: f64,
    /// When the current activity began.
    pub since: f64,
}

impl State {
    fn new(now: f64) -> Self {
        State { activity: Activity::Idle, role: PeerRole::Unproven, opened: now, since: now }
    }

    /// The time at which the connection is closed if its activity has not changed. Identified peers may stay idle
    /// without limit, and a job has a deadline of its own.
    pub fn deadline(&self) -> f64 {
        match (self.activity, self.role) {
            (Activity::Idle | Activity::Reading, PeerRole::Unproven) => self.opened + REQUEST_TIMEOUT_MS,
            (Activity::Reading, _) => self.since + REQUEST_TIMEOUT_MS,
            (Activity::Writing, _) => self.since + WRITE_TIMEOUT_MS,
            (Activity::Lingering, _) => self.since + LINGER_TIMEOUT_MS,
            (Activity::Idle | Activity::AwaitingAnswer, _) => f64::INFINITY,
        }
    }

    /// The order of eviction when descriptors run short, lowest first. `None`: never evicted.
    fn eviction_rank(&self, now: f64) -> Option<u8> {
        let stalled = now - self.since > STALL_EVICTION_MS;
        match (self.activity, self.role) {
            (Activity::AwaitingAnswer, _) => None,
            (Activity::Lingering, _) | (Activity::Idle | Activity::Reading, PeerRole::Unproven) => Some(0),
            (Activity::Idle, PeerRole::WorkerOrMonitor) => Some(1),
            (Activity::Idle, PeerRole::Client) => Some(2),
            (Activity::Reading | Activity::Writing, _) => stalled.then_some(3),
        }
    }
}

/// One open connection.
struct Entry {
    state: State,
    /// Bytes of its requests in memory.
    buffered: usize,
    /// Shared with the connection's [`ConnectionHandle`]; set when its coroutine must close it.
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

/// All inbound connections of this process.
pub struct ConnectionTable {
    budget: Budget,
    peer_process: PeerProcess,
    entries: Mutex<Entries>,
}

#[derive(Default)]
struct Entries {
    last_id: u64,
    by_id: BTreeMap<u64, Entry>,
    /// Bytes in memory, the sum over all connections.
    buffered: usize,
    /// The number of connections that await a job's answer.
    awaiting: usize,
}

/// Names one connection's entry in the table. The connection removes the entry with [`ConnectionTable::unregister`]
/// when it is dropped.
pub struct ConnectionHandle {
    id: u64,
    close_flag: Arc<AtomicBool>,
}

impl ConnectionHandle {
    /// Whether the connection must be closed: it was evicted, its deadline has passed, or the dispatcher stops or
    /// drains.
    pub fn must_close(&self) -> bool {
        self.close_flag.load(Ordering::Acquire)
    }

    /// Withdraws a request to close the connection.
    pub fn cancel_close(&self) {
        self.close_flag.store(false, Ordering::Release);
    }
}

impl ConnectionTable {
    pub fn new(budget: Budget, peer_process: PeerProcess) -> Self {
        ConnectionTable { budget, peer_process, entries: Mutex::default() }
    }

    /// The part of a limit that this process may use: during an upgrade, the other process' connections are subtracted.
    fn own_share(&self, of: usize) -> usize {
        of.saturating_sub(self.peer_process.inbound()).max(1)
    }

    pub fn len(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Wakes the coroutines of idle connections, so that they can hand their connections to the other process.
    pub fn wake_idle(&self) {
        let entries = self.lock();
        entries.by_id.values().filter(|e| e.state.activity == Activity::Idle).for_each(|e| e.waker.wakeup());
    }

    /// What the peer has proved to be so far.
    pub fn role(&self, handle: &ConnectionHandle) -> PeerRole {
        self.lock().by_id.get(&handle.id).map_or(PeerRole::Unproven, |e| e.state.role)
    }

    /// Adds a connection, idle and unidentified. `waker` wakes its coroutine.
    pub fn register(&self, waker: WaitIoWaker, now: f64) -> ConnectionHandle {
        let mut entries = self.lock();
        entries.last_id += 1;
        let (id, close_flag) = (entries.last_id, Arc::new(AtomicBool::new(false)));
        entries
            .by_id
            .insert(id, Entry { state: State::new(now), buffered: 0, close_flag: close_flag.clone(), waker });
        ConnectionHandle { id, close_flag }
    }

    /// Removes a connection and what it counted for.
    pub fn unregister(&self, handle: &ConnectionHandle) {
        let mut entries = self.lock();
        if let Some(entry) = entries.by_id.remove(&handle.id) {
            entries.buffered -= entry.buffered;
            entries.awaiting -= usize::from(entry.state.activity == Activity::AwaitingAnswer);
        }
    }

    /// Records what the connection is doing from `now` on.
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

    /// Records what the peer has proved to be; a role is never lowered.
    pub fn raise_role(&self, handle: &ConnectionHandle, role: PeerRole) {
        if let Some(entry) = self.lock().by_id.get_mut(&handle.id) {
            entry.state.role = entry.state.role.max(role);
        }
    }

    /// Records how many bytes the connection has in memory. False if it grew and all connections together exceed the
    /// budget.
    pub fn set_buffered(&self, handle: &ConnectionHandle, bytes: usize) -> bool {
        let mut entries = self.lock();
        let Some(entry) = entries.by_id.get_mut(&handle.id) else { return true };
        let previous = std::mem::replace(&mut entry.buffered, bytes);
        entries.buffered = entries.buffered - previous + bytes;
        bytes <= previous || entries.buffered <= self.budget.buffers
    }

    /// Whether so many jobs are in progress that this connection's next one must be deferred. The remaining descriptors
    /// are reserved for call-backs and, if this peer is unidentified, for known clients.
    pub fn job_limit_reached(&self, handle: &ConnectionHandle) -> bool {
        let entries = self.lock();
        let unidentified = entries.by_id.get(&handle.id).is_none_or(|e| e.state.role == PeerRole::Unproven);
        let share = if unidentified { UNIDENTIFIED_JOB_SHARE } else { 1.0 };
        entries.awaiting as f64 >= self.own_share(self.budget.inbound_jobs) as f64 * share
    }

    /// Makes room for one more connection, by evicting one if necessary. False if there is no room yet; the new peer
    /// then waits in the listener's queue.
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
        // An evicted connection's descriptor is free only once its coroutine has run.
        entries.by_id.len() < self.own_share(self.budget.inbound)
    }

    /// Closes the connections whose deadline has passed.
    pub fn close_overdue(&self, counters: &Counters, now: f64) {
        for entry in self.lock().by_id.values().filter(|e| !e.must_close() && e.state.deadline() <= now) {
            counters.connections_timed_out.add();
            entry.close();
        }
    }

    /// Closes the connections that have been idle since `since` or longer.
    pub fn close_idle(&self, since: f64) {
        let idle = |e: &&Entry| e.state.activity == Activity::Idle && e.state.since <= since;
        self.lock().by_id.values().filter(idle).for_each(Entry::close);
    }

    /// Like [`ConnectionTable::close_idle`], but spares workers' connections ([`PeerRole::WorkerOrMonitor`]): they bring
    /// call-backs, never jobs.
    pub fn close_idle_clients(&self, since: f64) {
        let idle = |e: &&Entry| {
            e.state.activity == Activity::Idle
                && e.state.role != PeerRole::WorkerOrMonitor
                && e.state.since <= since
        };
        self.lock().by_id.values().filter(idle).for_each(Entry::close);
    }

    /// Whether any open connection may bring a job.
    pub fn may_have_clients(&self) -> bool {
        self.lock().by_id.values().any(|e| e.state.role != PeerRole::WorkerOrMonitor)
    }

    /// The number of jobs whose answers are not yet written in full.
    pub fn unsent_answers(&self) -> usize {
        let unsent = |e: &&Entry| matches!(e.state.activity, Activity::AwaitingAnswer | Activity::Writing);
        self.lock().by_id.values().filter(unsent).count()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The index of the connection to evict: unidentified peers first, then idle workers, then idle clients, then peers
/// that stalled inside a message. Among equals the one whose activity has lasted longest. Never one that awaits a job's
/// answer.
pub(super) fn eviction_candidate(states: impl Iterator<Item = State>, now: f64) -> Option<usize> {
    let ranked =
        states.enumerate().filter_map(|(i, state)| Some((state.eviction_rank(now)?, state.since, i)));
    ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(_, _, i)| i)
}
