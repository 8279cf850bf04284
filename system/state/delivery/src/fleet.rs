//! The workers of one service: what the list says of them, and how many attempts each has out.

use millrudder::{Entry, Mode, WorkerId};
use millrudder_protocol::control::{WorkerEntry, WorkerState};
use millrudder_protocol::Address;
use std::collections::BTreeMap;

/// Attempts out at a worker, as a multiple of its capacity: the rest of them wait there for their turn.
const CAPACITY_MULTIPLE: u32 = 2;
/// Share of a worker's connections that all dispatchers together use; the rest is for those that are closing.
const CONNECTION_SHARE: f64 = 0.9;
/// Each dispatcher may use so many connections to each worker at least.
const MIN_CONNECTIONS: u32 = 2;
/// How long a worker that is at its address no more (421) is left out, unless the list drops it before (ms): the list
/// lags by seconds.
const MISDIRECTED_PAUSE_MS: u64 = 3000;
/// Span of a worker's coldness that the module is told (ms); only the part that is left matters.
pub(crate) const WARM_UP_SPAN_MS: f64 = 10_000.0;
/// Workers that the list dropped are kept for so long (ms): lists of a new reader may lack one for a moment.
const GONE_RETENTION_MS: u64 = 60_000;

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub address: Address,
    pub instance_id: Option<String>,
    zone: Option<u32>,
    capacity: Option<u32>,
    ready_at_ms: Option<f64>,
    listed_mode: Mode,
    gone_since_ms: Option<u64>,
    misdirected_until_ms: Option<u64>,
    /// Attempts out there.
    in_flight: u32,
    /// The shell was told to close its idle connections, and none became idle since.
    idle_connections_closed: bool,
    /// As the module was last told.
    announced_mode: Mode,
}

/// What bounds the attempts at one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionShare {
    pub max_connections: u32,
    pub dispatchers: u32,
}

impl ConnectionShare {
    /// Connections of this dispatcher to one worker.
    pub fn connections(self) -> u32 {
        let usable = f64::from(self.max_connections) * CONNECTION_SHARE;
        let own_share = usable / f64::from(self.dispatchers.max(1));
        (own_share as u32).max(MIN_CONNECTIONS)
    }
}

/// A worker that the list names.
pub(crate) struct ListedWorker<'a> {
    pub entry: &'a WorkerEntry,
    pub zone: u32,
}

/// All workers of a service, numbered for the module.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    workers: BTreeMap<WorkerId, Worker>,
    /// Static endpoints go by their address.
    numbers: BTreeMap<String, WorkerId>,
    next_number: WorkerId,
    share: ConnectionShare,
}

impl Worker {
    fn max_attempts(&self, share: ConnectionShare) -> u32 {
        let queue = self.capacity.map_or(u32::MAX, |slots| slots.max(1) * CAPACITY_MULTIPLE);
        queue.min(share.connections())
    }

    /// It may get a message, if it has room.
    fn is_ready(&self) -> bool {
        self.listed_mode == Mode::Ready && self.misdirected_until_ms.is_none()
    }

    fn mode(&self, share: ConnectionShare) -> Mode {
        match self.listed_mode {
            Mode::Ready if !self.is_ready() || self.in_flight >= self.max_attempts(share) => Mode::Draining,
            listed => listed,
        }
    }

    fn entry(&self, number: WorkerId) -> Entry {
        Entry {
            worker: number,
            zone: self.zone,
            kind: None,
            cell: 0,
            mode: self.announced_mode,
            weight: 1.0,
            ready_at: self.ready_at_ms,
        }
    }

    /// Slots that the list names.
    pub fn capacity(&self) -> Option<u32> {
        self.capacity
    }
}

impl Fleet {
    pub fn set_share(&mut self, share: ConnectionShare) {
        self.share = share;
    }

    /// Connections of this dispatcher to one worker.
    pub fn connections(&self) -> u32 {
        self.share.connections()
    }

    pub fn worker(&self, number: WorkerId) -> Option<&Worker> {
        self.workers.get(&number)
    }

    /// Takes the whole list in; returns the workers that are new.
    pub fn apply(&mut self, now: u64, listed: &[ListedWorker<'_>]) -> Vec<WorkerId> {
        let mut added = Vec::new();
        for worker in self.workers.values_mut().filter(|worker| worker.instance_id.is_some()) {
            worker.listed_mode = Mode::Gone;
        }
        for ListedWorker { entry, zone } in listed {
            let number = self.number(&entry.instance_id);
            let warm_up_left_ms = f64::from(entry.warm_up_left_ms);
            if !self.workers.contains_key(&number) {
                added.push(number);
            }
            let worker = self.workers.entry(number).or_insert_with(|| Worker {
                address: entry.address,
                instance_id: Some(entry.instance_id.clone()),
                zone: Some(*zone),
                capacity: None,
                ready_at_ms: (warm_up_left_ms > 0.0)
                    .then_some(now as f64 + warm_up_left_ms - WARM_UP_SPAN_MS),
                listed_mode: Mode::Ready,
                gone_since_ms: None,
                misdirected_until_ms: None,
                in_flight: 0,
                idle_connections_closed: false,
                announced_mode: Mode::Gone,
            });
            worker.address = entry.address;
            worker.capacity = (entry.capacity > 0).then_some(entry.capacity);
            worker.gone_since_ms = None;
            worker.listed_mode = match entry.state {
                WorkerState::Ready => Mode::Ready,
                WorkerState::Draining => Mode::Draining,
            };
        }
        for worker in self.workers.values_mut() {
            worker.idle_connections_closed &= worker.listed_mode != Mode::Ready;
            if worker.listed_mode == Mode::Gone {
                worker.gone_since_ms.get_or_insert(now);
                worker.misdirected_until_ms = None;
            }
        }
        self.remove_expired(now);
        added
    }

    /// The one endpoint of a service that is on no list.
    pub fn set_static(&mut self, now: u64, endpoint: Option<Address>) {
        for worker in self.workers.values_mut().filter(|worker| worker.instance_id.is_none()) {
            worker.listed_mode = Mode::Gone;
            worker.gone_since_ms.get_or_insert(now);
        }
        let Some(address) = endpoint else { return };
        let number = self.number(&address.to_string());
        let worker = self.workers.entry(number).or_insert_with(|| Worker {
            address,
            instance_id: None,
            zone: None,
            capacity: None,
            ready_at_ms: None,
            listed_mode: Mode::Ready,
            gone_since_ms: None,
            misdirected_until_ms: None,
            in_flight: 0,
            idle_connections_closed: false,
            announced_mode: Mode::Gone,
        });
        worker.listed_mode = Mode::Ready;
        worker.gone_since_ms = None;
        worker.idle_connections_closed = false;
    }

    fn number(&mut self, name: &str) -> WorkerId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(name.to_owned(), number);
        number
    }

    fn remove_expired(&mut self, now: u64) {
        let old = |worker: &Worker| worker.gone_since_ms.is_some_and(|at| now >= at + GONE_RETENTION_MS);
        self.workers.retain(|_, worker| worker.in_flight > 0 || !old(worker));
        let workers = &self.workers;
        self.numbers.retain(|_, number| workers.contains_key(number));
    }

    /// Every worker, as the module is to see it.
    pub fn update_all(&mut self) -> Vec<Entry> {
        let share = self.share;
        let update = |(number, worker): (&WorkerId, &mut Worker)| {
            worker.announced_mode = worker.mode(share);
            worker.entry(*number)
        };
        self.workers.iter_mut().map(update).collect()
    }

    /// What the module must be told of one worker, if that has changed.
    pub fn update(&mut self, number: WorkerId) -> Option<Entry> {
        let share = self.share;
        let worker = self.workers.get_mut(&number)?;
        let mode = worker.mode(share);
        if mode == worker.announced_mode {
            return None;
        }
        worker.announced_mode = mode;
        Some(worker.entry(number))
    }

    /// It may get one more attempt.
    pub fn has_room(&self, number: WorkerId) -> bool {
        self.workers.get(&number).is_some_and(|worker| worker.mode(self.share) == Mode::Ready)
    }

    /// Some worker may get one more attempt.
    pub fn has_any_room(&self) -> bool {
        self.workers.values().any(|worker| worker.mode(self.share) == Mode::Ready)
    }

    /// Attempts that all ready workers take together.
    pub fn attempt_capacity(&self) -> u32 {
        let ready = self.workers.values().filter(|worker| worker.is_ready());
        ready.fold(0, |sum, worker| sum.saturating_add(worker.max_attempts(self.share)))
    }

    pub fn on_send(&mut self, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number) {
            worker.in_flight += 1;
        }
    }

    pub fn on_end(&mut self, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
            worker.idle_connections_closed = false;
        }
    }

    /// Another process answers at its address.
    pub fn on_misdirected(&mut self, now: u64, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number).filter(|worker| worker.listed_mode != Mode::Gone)
        {
            worker.misdirected_until_ms = Some(now + MISDIRECTED_PAUSE_MS);
        }
    }

    /// Workers whose time out is over.
    pub fn end_misdirected_pauses(&mut self, now: u64) -> Vec<WorkerId> {
        let mut readmitted = Vec::new();
        for (number, worker) in &mut self.workers {
            if worker.misdirected_until_ms.is_some_and(|until_ms| now >= until_ms) {
                worker.misdirected_until_ms = None;
                readmitted.push(*number);
            }
        }
        readmitted
    }

    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.workers.values().filter_map(|worker| worker.misdirected_until_ms).min()
    }

    /// Where idle connections are to be closed now: the worker drains or is gone, and may have some.
    pub fn take_idle_close(&mut self, number: WorkerId) -> Option<Address> {
        let worker = self.workers.get_mut(&number)?;
        let is_due = worker.listed_mode != Mode::Ready
            && !std::mem::replace(&mut worker.idle_connections_closed, true);
        is_due.then_some(worker.address)
    }
}
