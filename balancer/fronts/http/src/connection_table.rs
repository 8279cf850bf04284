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
const REQUEST_MS: f64 = 2_200.0;
/// A peer that does not take an answer for so long will not.
const WRITE_MS: f64 = 5_000.0;
/// How long a refused peer may take to read why.
const LINGER_MS: f64 = 600.0;
/// A peer that has been inside one request or answer for this long (ms) may be cut off to make room: call-backs
/// must not wait long at a full door, and a message takes milliseconds.
const STALLED_MS: f64 = 1_000.0;
/// Room is made ahead of need, so that who comes next does not wait for it.
const SPARE: usize = 8;
/// Of the places for jobs, those that strangers' first jobs may fill: the rest is for clients known to be usual.
const STRANGERS_SHARE: f64 = 0.75;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    /// Between requests.
    Idle,
    Reading,
    /// A job is here and its answer is awaited.
    Waiting,
    Writing,
    /// Refused; what it still sends is passed over.
    Lingering,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct State {
    pub doing: Doing,
    pub standing: PeerRole,
    pub opened: f64,
    pub since: f64,
}

impl State {
    fn new(now: f64) -> Self {
        State { doing: Doing::Idle, standing: PeerRole::Stranger, opened: now, since: now }
    }

    /// When it has had its time. Idle connections of peers that are known stay.
    pub fn limit(&self) -> f64 {
        match (self.doing, self.standing) {
            (Doing::Idle | Doing::Reading, PeerRole::Stranger) => self.opened + REQUEST_MS,
            (Doing::Reading, _) => self.since + REQUEST_MS,
            (Doing::Writing, _) => self.since + WRITE_MS,
            (Doing::Lingering, _) => self.since + LINGER_MS,
            (Doing::Idle | Doing::Waiting, _) => f64::INFINITY,
        }
    }

    /// Whose turn it is to leave when room is short, lowest first; none: it stays.
    fn rank(&self, now: f64) -> Option<u8> {
        let stalled = now - self.since > STALLED_MS;
        match (self.doing, self.standing) {
            (Doing::Waiting, _) => None,
            (Doing::Lingering, _) | (Doing::Idle | Doing::Reading, PeerRole::Stranger) => Some(0),
            (Doing::Idle, PeerRole::Caller) => Some(1),
            (Doing::Idle, PeerRole::Client) => Some(2),
            (Doing::Reading | Doing::Writing, _) => stalled.then_some(3),
        }
    }
}

struct Door {
    state: State,
    /// Bytes that it holds in memory.
    held: usize,
    ended: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl Door {
    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    fn end(&self) {
        self.ended.store(true, Ordering::Release);
        self.waker.wakeup();
    }
}

pub struct Doors {
    budget: Budget,
    peer_process: PeerProcess,
    open: Mutex<Open>,
}

#[derive(Default)]
struct Open {
    next: u64,
    doors: BTreeMap<u64, Door>,
    /// Sum over all doors.
    held: usize,
    /// Doors whose job is here.
    waiting: usize,
}

/// One connection's entry; gone when dropped.
pub struct Pass {
    number: u64,
    ended: Arc<AtomicBool>,
}

impl Pass {
    /// This connection was chosen to make room, has had its time, or the dispatcher stops.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    pub fn spare(&self) {
        self.ended.store(false, Ordering::Release);
    }
}

impl Doors {
    pub fn new(budget: Budget, peer_process: PeerProcess) -> Self {
        Doors { budget, peer_process, open: Mutex::default() }
    }

    /// What the other process of an upgrade holds is not ours.
    fn ours(&self, of: usize) -> usize {
        of.saturating_sub(self.peer_process.inbound()).max(1)
    }

    pub fn count(&self) -> usize {
        self.open().doors.len()
    }

    /// Lets those between two requests see that something has changed.
    pub fn wake_idle(&self) {
        let open = self.open();
        open.doors.values().filter(|d| d.state.doing == Doing::Idle).for_each(|d| d.waker.wakeup());
    }

    pub fn standing(&self, pass: &Pass) -> PeerRole {
        self.open().doors.get(&pass.number).map_or(PeerRole::Stranger, |d| d.state.standing)
    }

    pub fn enter(&self, waker: WaitIoWaker, now: f64) -> Pass {
        let mut open = self.open();
        open.next += 1;
        let (number, ended) = (open.next, Arc::new(AtomicBool::new(false)));
        open.doors.insert(number, Door { state: State::new(now), held: 0, ended: ended.clone(), waker });
        Pass { number, ended }
    }

    pub fn leave(&self, pass: &Pass) {
        let mut open = self.open();
        if let Some(door) = open.doors.remove(&pass.number) {
            open.held -= door.held;
            open.waiting -= usize::from(door.state.doing == Doing::Waiting);
        }
    }

    pub fn now_doing(&self, pass: &Pass, doing: Doing, now: f64) {
        let mut open = self.open();
        let Some(door) = open.doors.get_mut(&pass.number).filter(|d| d.state.doing != doing) else { return };
        let before = std::mem::replace(&mut door.state.doing, doing);
        door.state.since = now;
        open.waiting -= usize::from(before == Doing::Waiting);
        open.waiting += usize::from(doing == Doing::Waiting);
    }

    pub fn proved(&self, pass: &Pass, standing: PeerRole) {
        if let Some(door) = self.open().doors.get_mut(&pass.number) {
            door.state.standing = door.state.standing.max(standing);
        }
    }

    /// Books what a connection holds in memory; false if that is more than all together may.
    pub fn holds(&self, pass: &Pass, bytes: usize) -> bool {
        let mut open = self.open();
        let Some(door) = open.doors.get_mut(&pass.number) else { return true };
        let before = std::mem::replace(&mut door.held, bytes);
        open.held = open.held - before + bytes;
        bytes <= before || open.held <= self.budget.buffers
    }

    /// So many jobs are here that this connection's next one is deferred: the rest of the descriptors is kept for
    /// call-backs and, where it has proved nothing yet, for clients that have.
    pub fn is_crowded(&self, pass: &Pass) -> bool {
        let open = self.open();
        let stranger = open.doors.get(&pass.number).is_none_or(|d| d.state.standing == PeerRole::Stranger);
        let share = if stranger { STRANGERS_SHARE } else { 1.0 };
        open.waiting as f64 >= self.ours(self.budget.inbound_jobs) as f64 * share
    }

    /// Makes sure that one more connection fits, if need be by ending one. False if none fits yet; the peer then
    /// waits in the listener's queue.
    pub fn make_room(&self, counters: &Counters, now: f64) -> bool {
        let open = self.open();
        let ending = open.doors.values().filter(|d| d.is_ended()).count();
        if open.doors.len() - ending + SPARE > self.ours(self.budget.inbound) {
            let stays: Vec<&Door> = open.doors.values().filter(|d| !d.is_ended()).collect();
            if let Some(i) = first_to_leave(stays.iter().map(|d| d.state), now) {
                counters.connections_evicted.add();
                stays[i].end();
            }
        }
        // A descriptor is free once its connection's coroutine has run.
        open.doors.len() < self.ours(self.budget.inbound)
    }

    /// Ends those that have had their time.
    pub fn end_overdue(&self, counters: &Counters, now: f64) {
        for door in self.open().doors.values().filter(|d| !d.is_ended() && d.state.limit() <= now) {
            counters.connections_timed_out.add();
            door.end();
        }
    }

    /// Ends those that have been idle since this time or longer.
    pub fn end_idle(&self, since: f64) {
        let idle = |d: &&Door| d.state.doing == Doing::Idle && d.state.since <= since;
        self.open().doors.values().filter(idle).for_each(Door::end);
    }

    /// Ends those of clients, and of peers that may be, that have been idle since this time or longer.
    pub fn end_idle_clients(&self, since: f64) {
        let idle = |d: &&Door| {
            d.state.doing == Doing::Idle && d.state.standing != PeerRole::Caller && d.state.since <= since
        };
        self.open().doors.values().filter(idle).for_each(Door::end);
    }

    /// A connection is open on which a job may come.
    pub fn has_clients(&self) -> bool {
        self.open().doors.values().any(|d| d.state.standing != PeerRole::Caller)
    }

    pub fn busy(&self) -> usize {
        let busy = |d: &&Door| matches!(d.state.doing, Doing::Waiting | Doing::Writing);
        self.open().doors.values().filter(busy).count()
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Strangers first, then idle peers, call-backs' before clients', then those stalled inside a message; of equals
/// the one that has been so for longest. Never one whose job is here.
pub(super) fn first_to_leave(doors: impl Iterator<Item = State>, now: f64) -> Option<usize> {
    let ranked = doors.enumerate().filter_map(|(i, state)| Some((state.rank(now)?, state.since, i)));
    ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(_, _, i)| i)
}
