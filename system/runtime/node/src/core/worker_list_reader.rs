//! Reads the platform's list of workers while this machine holds the controller's lease.
//!
//! The decisions are those of a [`ListReader`]; this shell makes its calls over HTTP and turns the list into the form in
//! which it is sent to dispatchers.

use crate::core::event::Event;
use http::header::RETRY_AFTER;
use http::uri::PathAndQuery;
use http::{HeaderMap, StatusCode};
use millrudder_clock::Instant;
use millrudder_discovery::{
    difference, Call, CallFailure, CallResult, Instance, InstanceState, ListReader, ListSnapshot, Page,
    PollSchedule, ReaderInput, ReaderOutput,
};
use millrudder_protocol::control::{WorkerEntry, WorkerList, WorkerState};
use millrudder_protocol::Address;
use millrudder_settings::Settings;
use millrudder_staleness::WorkerListVersion;
use millrudder_system_http::client::{Client, FetchError, Fetched, Target};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// A call that is not answered within this has failed; its task ends by then at the latest.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Weight between reading as often as the list changes (0) and as seldom as drains allow (1): calls cost little.
const ECONOMY: f64 = 0.5;

/// The reader; it is active while this machine holds the lease, and once after a start.
pub struct WorkerListReader {
    client: Client,
    events: UnboundedSender<Event>,
    seed: u64,
    address: Option<SocketAddr>,
    schedule: PollSchedule,
    active: Option<ActiveReader>,
}

struct ActiveReader {
    reader: ListReader,
    /// The list as it was read last.
    read: millrudder_discovery::WorkerList,
    /// The same as it was published, with its version.
    published: WorkerList,
}

impl WorkerListReader {
    /// A reader that is not active; `seed` is the seed of its random choices.
    pub fn new(settings: &Settings, client: Client, seed: u64, events: UnboundedSender<Event>) -> Self {
        let address = settings.cloud_api.as_ref().map(|api| api.address);
        WorkerListReader { client, events, seed, address, schedule: poll_schedule(settings), active: None }
    }

    /// The lease was granted with this fencing token, or is lost.
    pub fn set_lease(&mut self, now: Instant, fencing: Option<u64>) {
        self.active = fencing.map(|fencing| self.activate(now, fencing));
        self.tick(now);
    }

    /// Reads the list once, without the lease: after a start nobody may have a list, and the lease is granted only
    /// when earlier ones have run out. Every list of a lease holder replaces this one.
    pub fn read_without_lease(&mut self, now: Instant) {
        if self.active.is_none() {
            self.active = Some(self.activate(now, WorkerListVersion::WITHOUT_LEASE));
            self.tick(now);
        }
    }

    /// Ends the reading without the lease: a lease holder has read the list.
    pub fn end_read_without_lease(&mut self) {
        self.active.take_if(|active| active.published.fencing == WorkerListVersion::WITHOUT_LEASE);
    }

    fn activate(&self, now: Instant, fencing: u64) -> ActiveReader {
        ActiveReader {
            reader: ListReader::new(self.schedule.clone(), self.seed, now),
            read: millrudder_discovery::WorkerList::default(),
            published: WorkerList { fencing, ..WorkerList::default() },
        }
    }

    /// Adopts settings that were read again.
    pub fn configure(&mut self, settings: &Settings) {
        self.address = settings.cloud_api.as_ref().map(|api| api.address);
        self.schedule = poll_schedule(settings);
        if let Some(active) = &mut self.active {
            active.reader.set_schedule(self.schedule.clone());
        }
    }

    /// When [`WorkerListReader::tick`] is due: at the first whole millisecond after the reader's own deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        let active = self.active.as_ref().filter(|_| self.address.is_some())?;
        Some(Instant::from_millis(active.reader.next_deadline().as_millis() + 1))
    }

    /// Acts on the time.
    pub fn tick(&mut self, now: Instant) {
        self.handle(now, ReaderInput::Tick);
    }

    /// A call has ended; returns the list, where it is complete and has changed.
    pub fn handle_call(&mut self, now: Instant, ended: CallResult) -> Option<WorkerList> {
        let snapshot = self.handle(now, ReaderInput::CallEnded(ended))?;
        let active = self.active.as_mut()?;
        let is_first = active.published.number == 0;
        let is_unchanged = difference(&active.read, &snapshot.list).is_empty();
        if is_unchanged && !is_first {
            return None;
        }
        active.published.workers = snapshot.list.iter().map(entry).collect();
        active.published.number += 1;
        active.read = snapshot.list;
        let published = active.published.clone();
        if published.fencing == WorkerListVersion::WITHOUT_LEASE {
            self.active = None;
        }
        Some(published)
    }

    fn handle(&mut self, now: Instant, input: ReaderInput) -> Option<ListSnapshot> {
        let address = self.address?;
        let output = self.active.as_mut()?.reader.handle(now, input)?;
        match output {
            ReaderOutput::Fetch(call) => {
                self.fetch(address, &call);
                None
            }
            ReaderOutput::Complete(snapshot) => Some(snapshot),
            ReaderOutput::Abandoned(reason) => {
                log::warn!(error:? = reason; "worker list not read");
                None
            }
        }
    }

    fn fetch(&self, address: SocketAddr, call: &Call) {
        let (client, events, id) = (self.client.clone(), self.events.clone(), call.id);
        let Ok(path) = call.target().parse::<PathAndQuery>() else { return };
        tokio::task::spawn_local(async move {
            let target = Target { address, max_connections: 1 };
            let fetched = client.fetch(target, path, MAX_PAGE_BYTES, CALL_TIMEOUT).await;
            let ended = CallResult { call: id, result: page(fetched) };
            drop(events.send(Event::WorkerListCall(ended)));
        });
    }
}

fn poll_schedule(settings: &Settings) -> PollSchedule {
    let api = settings.cloud_api.as_ref();
    PollSchedule {
        calls_per_second: api.map_or(1.0, |api| api.calls_per_second),
        maximum_lag: api.map_or(Duration::from_secs(1), |api| api.maximum_lag),
        drain: settings.bounds.drain,
        economy: ECONOMY,
    }
}

fn page(fetched: Result<Fetched, FetchError>) -> Result<Page, CallFailure> {
    let fetched = fetched.map_err(|_| CallFailure::Unavailable)?;
    match fetched.status {
        StatusCode::OK => Page::from_json(&fetched.body).map_err(|_| CallFailure::InvalidPage),
        StatusCode::TOO_MANY_REQUESTS => {
            Err(CallFailure::RateLimited { retry_after: retry_after(&fetched.headers) })
        }
        _ => Err(CallFailure::Unavailable),
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn entry(instance: &Instance) -> WorkerEntry {
    WorkerEntry {
        instance_id: instance.id.to_string(),
        service: instance.service.to_string(),
        address: Address(*instance.address),
        zone: instance.zone.to_string(),
        capacity: instance.capacity,
        state: match instance.state {
            InstanceState::Ready => WorkerState::Ready,
            InstanceState::Draining => WorkerState::Draining,
        },
        warm_up_left_ms: instance.warm_up_left.as_millis() as u32,
    }
}
