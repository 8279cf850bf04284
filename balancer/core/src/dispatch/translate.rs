//! Converts between the types of the exchange and those of the decision module. No other file maps one to the
//! other.
//!
//! What the dispatcher calls "defer" is `Refuse` in the module; the other terms are the same.

use crate::worker_transport::WorkerEndpoint;
use millrudder as mr;
use millrudder_config::{position, Names};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{AttemptEnd, Job, LoadReport, Ticket, WorkerEntry, WorkerId, WorkerState};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// All workers that a list has ever named. A worker keeps its id when its address changes and when it leaves
/// the list.
#[derive(Default)]
pub struct WorkerTable {
    ids: HashMap<String, WorkerId>,
    records: Vec<WorkerRecord>,
    /// The setting `dropped_stay_open`: a worker that the list no longer names, or names as left, may still
    /// get jobs.
    pub keep_dropped_open: bool,
}

/// What is known of one worker.
struct WorkerRecord {
    /// The last address that a list gave.
    address: Option<SocketAddr>,
    /// It may get jobs by the worker list.
    active: bool,
    /// Operators have banned it, which holds whatever the list says.
    banned: bool,
    /// Active and not banned. Shared with the attempts that are still connecting to the worker.
    accepts_jobs: Arc<AtomicBool>,
    /// Its entry in the present list; `None` if the list does not name it or names it as left.
    entry: Option<WorkerEntry>,
}

impl WorkerRecord {
    /// To be called after each change of `active` or `banned`.
    fn update_accepts_jobs(&mut self) {
        self.accepts_jobs.store(self.active && !self.banned, Ordering::Release);
    }
}

impl WorkerTable {
    pub fn new(keep_dropped_open: bool) -> Self {
        WorkerTable { keep_dropped_open, ..WorkerTable::default() }
    }

    pub fn id_of(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Names by worker id.
    pub fn names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.records.len()];
        self.ids.iter().for_each(|(name, id)| names[*id as usize].clone_from(name));
        names
    }

    pub fn name(&self, id: WorkerId) -> String {
        self.ids.iter().find(|(_, known)| **known == id).map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// The present worker list.
    pub fn entries(&self) -> Vec<WorkerEntry> {
        self.records.iter().filter_map(|record| record.entry.clone()).collect()
    }

    /// The id of the worker with this name; a new id if it is unknown.
    pub fn assign_id(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.id_of(name) {
            return id;
        }
        let id = self.records.len() as WorkerId;
        self.ids.insert(name.to_owned(), id);
        self.records.push(WorkerRecord {
            address: None,
            active: false,
            banned: false,
            accepts_jobs: Arc::default(),
            entry: None,
        });
        id
    }

    /// Where to send requests to this worker; `None` if no list has given an address.
    pub fn endpoint(&self, id: WorkerId) -> Option<WorkerEndpoint> {
        let record = self.records.get(id as usize)?;
        Some(WorkerEndpoint { id, address: record.address?, accepts_jobs: record.accepts_jobs.clone() })
    }

    /// Whether new attempts may be sent to this worker: not if it drains or is banned.
    pub fn accepts_jobs(&self, id: WorkerId) -> bool {
        self.records.get(id as usize).is_some_and(|record| record.accepts_jobs.load(Ordering::Acquire))
    }

    /// Bans a worker or lifts its ban; `None` if no list has ever named it.
    pub fn ban(&mut self, name: &str, on: bool) -> Option<WorkerId> {
        let id = self.id_of(name)?;
        self.records[id as usize].banned = on;
        self.records[id as usize].update_accepts_jobs();
        Some(id)
    }

    /// Prepares for a complete list: every worker counts as dropped from the list until
    /// [`WorkerTable::apply`] gets its entry.
    pub fn begin_full_list(&mut self) {
        let stays = self.keep_dropped_open;
        for record in &mut self.records {
            (record.active, record.entry) = (record.active && stays, None);
            record.update_accepts_jobs();
        }
    }

    /// Applies one entry of a worker list and converts it for the module.
    pub fn apply(&mut self, names: &Names, entry: &WorkerEntry) -> mr::Entry {
        let worker = self.assign_id(&entry.name);
        let record = &mut self.records[worker as usize];
        record.address = entry.address.or(record.address);
        record.active = match entry.state {
            WorkerState::Left if self.keep_dropped_open => record.active,
            state => state == WorkerState::Active,
        };
        record.update_accepts_jobs();
        record.entry = Some(entry.clone()).filter(|entry| entry.state != WorkerState::Left);
        mr::Entry {
            worker,
            zone: position(&names.zones, &entry.zone),
            kind: position(&names.kinds, &entry.kind),
            cell: entry.cell,
            mode: match entry.state {
                WorkerState::Active => mr::Mode::Ready,
                WorkerState::Leaving => mr::Mode::Draining,
                WorkerState::Left => mr::Mode::Gone,
            },
            weight: entry.weight,
            // `Clock` counts from Unix time, so Unix milliseconds are clock time already.
            ready_at: entry.started_at,
        }
    }
}

pub fn request(names: &Names, ticket: Ticket, job: &Job) -> mr::Request {
    mr::Request {
        id: ticket,
        class: names.classes.iter().position(|name| *name == job.class),
        hint: None,
        slots: job.slots,
        memory: job.memory,
        tenant: None,
        deadline: job.deadline,
    }
}

/// Converts a load report. Workers may use the names of the settings or the shorter ones of the site's
/// protocol; what `x0` and `x1` mean is set in the settings.
pub fn load(names: &Names, report: &LoadReport) -> mr::Load {
    let figure = |wanted: &[&str]| report.iter().find(|(n, _)| wanted.contains(&n.as_str())).map(|(_, v)| *v);
    let (x0, x1) = (figure(&["x0"]), figure(&["x1"]));
    let meaning = |what: &str| match () {
        () if names.report_x0 == what => x0,
        () if names.report_x1 == what => x1,
        () => None,
    };
    mr::Load {
        in_flight: figure(&["rif", "inflight"]),
        queue: figure(&["q", "queue"]),
        busy: figure(&["busy", "util"]),
        errors_per_s: figure(&["fail_rate", "eps"]),
        free_slots: meaning("free slots"),
        free_memory: meaning("free memory"),
    }
}

pub fn outcome(end: AttemptEnd) -> mr::Outcome {
    match end {
        AttemptEnd::Failed => mr::Outcome::Failed,
        AttemptEnd::NeverRan => mr::Outcome::QueueFull,
        AttemptEnd::NotSent | AttemptEnd::Refused => mr::Outcome::Ignored,
        AttemptEnd::Silent => mr::Outcome::TimedOut,
        AttemptEnd::NotConnected => mr::Outcome::ConnectError,
        AttemptEnd::Reset => mr::Outcome::ResetByPeer,
    }
}

/// Counts an outcome of an attempt.
pub fn count(counters: &Counters, outcome: mr::Outcome) {
    match outcome {
        mr::Outcome::Ok => &counters.outcome_ok,
        mr::Outcome::Failed => &counters.outcome_failed,
        mr::Outcome::QueueFull => &counters.outcome_full,
        mr::Outcome::TimedOut => &counters.outcome_timed_out,
        mr::Outcome::ConnectError => &counters.outcome_connect_error,
        mr::Outcome::ResetByPeer => &counters.outcome_reset,
        mr::Outcome::Canceled => &counters.outcome_canceled,
        mr::Outcome::Ignored => &counters.outcome_ignored,
    }
    .add();
}

#[cfg(test)]
mod tests;
