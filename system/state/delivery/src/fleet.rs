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
const CONNECTIONS_LEAST: u32 = 2;
/// How long a worker that is at its address no more (421) is left out, unless the list drops it before (ms): the list
/// lags by seconds.
const MISNAMED_MS: u64 = 3000;
/// Span of a worker's coldness that the module is told (ms); only the part that is left matters.
pub(crate) const COLD_MS: f64 = 10_000.0;
/// Workers that the list dropped are kept for so long (ms): lists of a new reader may lack one for a moment.
const KEEP_GONE_MS: u64 = 60_000;

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub address: Address,
    pub instance_id: Option<String>,
    zone: Option<u32>,
    capacity: Option<u32>,
    ready_at: Option<f64>,
    listed: Mode,
    gone_at: Option<u64>,
    misnamed_until: Option<u64>,
    /// Attempts out there.
    out: u32,
    /// The shell was told to close its idle connections, and none became idle since.
    closed: bool,
    /// As the module was last told.
    shown: Mode,
}

/// What bounds the attempts at one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    pub max_connections: u32,
    pub dispatchers: u32,
}

impl Share {
    /// Connections of this dispatcher to one worker.
    pub fn connections(self) -> u32 {
        let usable = f64::from(self.max_connections) * CONNECTION_SHARE;
        let mine = usable / f64::from(self.dispatchers.max(1));
        (mine as u32).max(CONNECTIONS_LEAST)
    }
}

/// A worker that the list names.
pub(crate) struct Listed<'a> {
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
    share: Share,
}

impl Worker {
    fn limit(&self, share: Share) -> u32 {
        let queue = self.capacity.map_or(u32::MAX, |slots| slots.max(1) * CAPACITY_MULTIPLE);
        queue.min(share.connections())
    }

    /// It may get a message, if it has room.
    fn is_ready(&self) -> bool {
        self.listed == Mode::Ready && self.misnamed_until.is_none()
    }

    fn mode(&self, share: Share) -> Mode {
        match self.listed {
            Mode::Ready if !self.is_ready() || self.out >= self.limit(share) => Mode::Draining,
            listed => listed,
        }
    }

    fn entry(&self, number: WorkerId) -> Entry {
        Entry {
            worker: number,
            zone: self.zone,
            kind: None,
            cell: 0,
            mode: self.shown,
            weight: 1.0,
            ready_at: self.ready_at,
        }
    }

    /// Slots that the list names.
    pub fn capacity(&self) -> Option<u32> {
        self.capacity
    }
}

impl Fleet {
    pub fn set_share(&mut self, share: Share) {
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
    pub fn apply(&mut self, now: u64, listed: &[Listed<'_>]) -> Vec<WorkerId> {
        let mut fresh = Vec::new();
        for worker in self.workers.values_mut().filter(|worker| worker.instance_id.is_some()) {
            worker.listed = Mode::Gone;
        }
        for Listed { entry, zone } in listed {
            let number = self.number(&entry.instance_id);
            let cold = f64::from(entry.warm_up_left_ms);
            if !self.workers.contains_key(&number) {
                fresh.push(number);
            }
            let worker = self.workers.entry(number).or_insert_with(|| Worker {
                address: entry.address,
                instance_id: Some(entry.instance_id.clone()),
                zone: Some(*zone),
                capacity: None,
                ready_at: (cold > 0.0).then_some(now as f64 + cold - COLD_MS),
                listed: Mode::Ready,
                gone_at: None,
                misnamed_until: None,
                out: 0,
                closed: false,
                shown: Mode::Gone,
            });
            worker.address = entry.address;
            worker.capacity = (entry.capacity > 0).then_some(entry.capacity);
            worker.gone_at = None;
            worker.listed = match entry.state {
                WorkerState::Ready => Mode::Ready,
                WorkerState::Draining => Mode::Draining,
            };
        }
        for worker in self.workers.values_mut() {
            worker.closed &= worker.listed != Mode::Ready;
            if worker.listed == Mode::Gone {
                worker.gone_at.get_or_insert(now);
                worker.misnamed_until = None;
            }
        }
        self.forget(now);
        fresh
    }

    /// The one endpoint of a service that is on no list.
    pub fn set_static(&mut self, now: u64, endpoint: Option<Address>) {
        for worker in self.workers.values_mut().filter(|worker| worker.instance_id.is_none()) {
            worker.listed = Mode::Gone;
            worker.gone_at.get_or_insert(now);
        }
        let Some(address) = endpoint else { return };
        let number = self.number(&address.to_string());
        let worker = self.workers.entry(number).or_insert_with(|| Worker {
            address,
            instance_id: None,
            zone: None,
            capacity: None,
            ready_at: None,
            listed: Mode::Ready,
            gone_at: None,
            misnamed_until: None,
            out: 0,
            closed: false,
            shown: Mode::Gone,
        });
        worker.listed = Mode::Ready;
        worker.gone_at = None;
        worker.closed = false;
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

    fn forget(&mut self, now: u64) {
        let old = |worker: &Worker| worker.gone_at.is_some_and(|at| now >= at + KEEP_GONE_MS);
        self.workers.retain(|_, worker| worker.out > 0 || !old(worker));
        let workers = &self.workers;
        self.numbers.retain(|_, number| workers.contains_key(number));
    }

    /// Every worker, as the module is to see it.
    pub fn show_all(&mut self) -> Vec<Entry> {
        let share = self.share;
        let show = |(number, worker): (&WorkerId, &mut Worker)| {
            worker.shown = worker.mode(share);
            worker.entry(*number)
        };
        self.workers.iter_mut().map(show).collect()
    }

    /// What the module must be told of one worker, if that has changed.
    pub fn show(&mut self, number: WorkerId) -> Option<Entry> {
        let share = self.share;
        let worker = self.workers.get_mut(&number)?;
        let mode = worker.mode(share);
        if mode == worker.shown {
            return None;
        }
        worker.shown = mode;
        Some(worker.entry(number))
    }

    /// It may get one more attempt.
    pub fn has_room(&self, number: WorkerId) -> bool {
        self.workers.get(&number).is_some_and(|worker| worker.mode(self.share) == Mode::Ready)
    }

    /// Some worker may get one more attempt.
    pub fn is_open(&self) -> bool {
        self.workers.values().any(|worker| worker.mode(self.share) == Mode::Ready)
    }

    /// Attempts that all ready workers take together.
    pub fn room(&self) -> u32 {
        let ready = self.workers.values().filter(|worker| worker.is_ready());
        ready.fold(0, |sum, worker| sum.saturating_add(worker.limit(self.share)))
    }

    pub fn on_send(&mut self, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number) {
            worker.out += 1;
        }
    }

    pub fn on_end(&mut self, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number) {
            worker.out = worker.out.saturating_sub(1);
            worker.closed = false;
        }
    }

    /// Another process answers at its address.
    pub fn on_misnamed(&mut self, now: u64, number: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&number).filter(|worker| worker.listed != Mode::Gone) {
            worker.misnamed_until = Some(now + MISNAMED_MS);
        }
    }

    /// Workers whose time out is over.
    pub fn readmit(&mut self, now: u64) -> Vec<WorkerId> {
        let mut back = Vec::new();
        for (number, worker) in &mut self.workers {
            if worker.misnamed_until.is_some_and(|until| now >= until) {
                worker.misnamed_until = None;
                back.push(*number);
            }
        }
        back
    }

    pub fn next_deadline(&self) -> Option<u64> {
        self.workers.values().filter_map(|worker| worker.misnamed_until).min()
    }

    /// Where idle connections are to be closed now: the worker drains or is gone, and may have some.
    pub fn close_idle(&mut self, number: WorkerId) -> Option<Address> {
        let worker = self.workers.get_mut(&number)?;
        let first = worker.listed != Mode::Ready && !std::mem::replace(&mut worker.closed, true);
        first.then_some(worker.address)
    }
}
