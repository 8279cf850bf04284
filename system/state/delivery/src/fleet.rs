//! The workers of one service: their entries in the worker list, and how many attempts each has in flight.

use millrudder::{Entry, Mode, WorkerId};
use millrudder_protocol::control::{WorkerEntry, WorkerState};
use millrudder_protocol::Address;
use std::collections::BTreeMap;

/// Maximum number of attempts in flight at a worker, as a multiple of its capacity. Those beyond the capacity wait in
/// the worker's queue.
const CAPACITY_MULTIPLE: u32 = 2;
/// Share of a worker's connections that all dispatchers together use. The rest is left for connections that are being
/// closed and still count at the worker.
const CONNECTION_SHARE: f64 = 0.9;
/// Minimum number of connections that each dispatcher may use to each worker.
const MIN_CONNECTIONS: u32 = 2;
/// How long (ms) a worker gets no messages after another process answered at its address (421), unless the worker list
/// drops it before. The list lags by seconds.
const MISDIRECTED_PAUSE_MS: u64 = 3000;
/// Length of a worker's warm-up (ms) as the balancer is given it. Since the start of the warm-up is computed from the
/// time left, only that part matters.
pub(crate) const WARM_UP_SPAN_MS: f64 = 10_000.0;
/// How long (ms) workers are remembered after the list dropped them: the lists of a reader that has just started may
/// lack a worker for a moment.
const GONE_RETENTION_MS: u64 = 60_000;

/// One worker of the service. Times are milliseconds on the caller's steady clock.
#[derive(Debug)]
pub(crate) struct Worker {
    pub address: Address,
    /// `None` for a static endpoint.
    pub instance_id: Option<String>,
    /// Number of its zone.
    zone: Option<u32>,
    /// Slots that the list states; `None` if it does not.
    capacity: Option<u32>,
    /// Start of its warm-up; `None` if it is not warming up when it is first listed.
    ready_at_ms: Option<f64>,
    /// Mode by the worker list, regardless of room.
    listed_mode: Mode,
    /// When the list dropped it.
    gone_since_ms: Option<u64>,
    /// It gets no messages until then, since another process answered at its address.
    misdirected_until_ms: Option<u64>,
    /// Number of attempts in flight there.
    in_flight: u32,
    /// The caller was asked to close the idle connections to it, and no attempt has ended there since.
    idle_connections_closed: bool,
    /// Mode in the last list entry that the balancer was sent.
    announced_mode: Mode,
}

/// What determines how many connections to one worker this dispatcher may use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionShare {
    /// Connections that the worker accepts from all callers.
    pub max_connections: u32,
    pub dispatchers: u32,
}

impl ConnectionShare {
    /// Maximum number of connections of this dispatcher to one worker.
    pub fn connections(self) -> u32 {
        let usable = f64::from(self.max_connections) * CONNECTION_SHARE;
        let own_share = usable / f64::from(self.dispatchers.max(1));
        (own_share as u32).max(MIN_CONNECTIONS)
    }
}

/// A worker in the worker list, with the number of its zone.
pub(crate) struct ListedWorker<'a> {
    pub entry: &'a WorkerEntry,
    pub zone: u32,
}

/// All workers of a service, numbered for the balancer.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    workers: BTreeMap<WorkerId, Worker>,
    /// Numbers by instance id; by address for a static endpoint.
    numbers: BTreeMap<String, WorkerId>,
    next_number: WorkerId,
    share: ConnectionShare,
}

impl Worker {
    /// Maximum number of attempts in flight there.
    fn max_attempts(&self, share: ConnectionShare) -> u32 {
        let queue = self.capacity.map_or(u32::MAX, |slots| slots.max(1).saturating_mul(CAPACITY_MULTIPLE));
        queue.min(share.connections())
    }

    /// Whether it may get messages as long as it has room.
    fn is_ready(&self) -> bool {
        self.listed_mode == Mode::Ready && self.misdirected_until_ms.is_none()
    }

    /// Mode for the balancer: a ready worker without room or with a misdirected address counts as draining.
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

    /// Number of slots by the worker list.
    pub fn capacity(&self) -> Option<u32> {
        self.capacity
    }
}

impl Fleet {
    pub fn set_share(&mut self, share: ConnectionShare) {
        self.share = share;
    }

    /// Maximum number of connections of this dispatcher to one worker.
    pub fn connections(&self) -> u32 {
        self.share.connections()
    }

    pub fn worker(&self, number: WorkerId) -> Option<&Worker> {
        self.workers.get(&number)
    }

    /// Applies a complete worker list and returns the workers that are new in it.
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

    /// Sets the only worker of a service whose workers are on no list.
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

    /// Returns the number of a worker, assigning the next free one to a new name.
    fn number(&mut self, name: &str) -> WorkerId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Removes workers that are gone for [`GONE_RETENTION_MS`], except those with attempts in flight.
    fn remove_expired(&mut self, now: u64) {
        let old = |worker: &Worker| worker.gone_since_ms.is_some_and(|at| now >= at + GONE_RETENTION_MS);
        self.workers.retain(|_, worker| worker.in_flight > 0 || !old(worker));
        let workers = &self.workers;
        self.numbers.retain(|_, number| workers.contains_key(number));
    }

    /// List entries of all workers, for the balancer.
    pub fn update_all(&mut self) -> Vec<Entry> {
        let share = self.share;
        let update = |(number, worker): (&WorkerId, &mut Worker)| {
            worker.announced_mode = worker.mode(share);
            worker.entry(*number)
        };
        self.workers.iter_mut().map(update).collect()
    }

    /// List entry of one worker for the balancer, if its mode has changed since the last one.
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

    /// Whether the worker may get one more attempt.
    pub fn has_room(&self, number: WorkerId) -> bool {
        self.workers.get(&number).is_some_and(|worker| worker.mode(self.share) == Mode::Ready)
    }

    /// Whether any worker may get one more attempt.
    pub fn has_any_room(&self) -> bool {
        self.workers.values().any(|worker| worker.mode(self.share) == Mode::Ready)
    }

    /// Attempts that all ready workers take from this dispatcher together.
    pub fn attempt_capacity(&self) -> u32 {
        let ready = self.workers.values().filter(|worker| worker.is_ready());
        ready.fold(0, |sum, worker| sum.saturating_add(worker.max_attempts(self.share)))
    }

    /// An attempt was sent to the worker.
    pub fn on_send(&mut self, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number) {
            worker.in_flight += 1;
        }
    }

    /// An attempt at the worker ended; its connection may be idle now.
    pub fn on_end(&mut self, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
            worker.idle_connections_closed = false;
        }
    }

    /// Another process answered at the worker's address (421).
    pub fn on_misdirected(&mut self, now: u64, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number).filter(|worker| worker.listed_mode != Mode::Gone)
        {
            worker.misdirected_until_ms = Some(now + MISDIRECTED_PAUSE_MS);
        }
    }

    /// Returns the workers that may get messages again, since their pause after a misdirected answer is over.
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

    /// When the next pause after a misdirected answer ends.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.workers.values().filter_map(|worker| worker.misdirected_until_ms).min()
    }

    /// Returns the address at which idle connections are to be closed now: that of a worker that is draining or gone
    /// and may still have some. Counts them as closed.
    pub fn take_idle_close(&mut self, number: WorkerId) -> Option<Address> {
        let worker = self.workers.get_mut(&number)?;
        let is_due = worker.listed_mode != Mode::Ready
            && !std::mem::replace(&mut worker.idle_connections_closed, true);
        is_due.then_some(worker.address)
    }
}
