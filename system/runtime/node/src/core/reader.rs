//! Reads the platform's list of workers while this machine holds the controller's lease.

use crate::core::host::Event;
use http::header::RETRY_AFTER;
use http::uri::PathAndQuery;
use http::{HeaderMap, StatusCode};
use millrudder_discovery::{
    difference, Call, CallFailure, CallId, Instance, InstanceState, ListReader, Pace, Page, ReaderInput,
    ReaderOutput, Round,
};
use millrudder_protocol::control::{WorkerEntry, WorkerList, WorkerState};
use millrudder_protocol::Address;
use millrudder_settings::Settings;
use millrudder_staleness::WorkerListVersion;
use millrudder_system_http::client::{Client, FetchError, Fetched, Target};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// A call that is not answered within this has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest page.
const MOST_BYTES: usize = 4 << 20;
/// Between reading as often as the list changes and as seldom as drains allow: calls cost little.
const ECONOMY: f64 = 0.5;

/// A call has ended.
pub enum ReaderEvent {
    Answered { call: CallId, page: Page },
    Failed { call: CallId, failure: CallFailure },
}

/// The reader, active while it has a fencing number.
pub struct Reader {
    client: Client,
    events: UnboundedSender<Event>,
    seed: u64,
    address: Option<SocketAddr>,
    pace: Pace,
    list: Option<Leading>,
}

struct Leading {
    reader: ListReader,
    /// The list as it was read last, and as it was told.
    seen: millrudder_discovery::WorkerList,
    told: WorkerList,
}

impl Reader {
    pub fn new(settings: &Settings, client: Client, seed: u64, events: UnboundedSender<Event>) -> Self {
        let address = settings.cloud_api.as_ref().map(|api| api.address);
        Reader { client, events, seed, address, pace: pace(settings), list: None }
    }

    /// The lease was granted with this number, or is lost.
    pub fn lead(&mut self, now_ms: u64, fencing: Option<u64>) {
        self.list = fencing.map(|fencing| self.leading(now_ms, fencing));
        self.tick(now_ms);
    }

    /// Reads the list once, without the lease: after a start nobody may have a list, and the lease is granted only
    /// when earlier ones have run out. Every list of a lease holder replaces this one.
    pub fn read_once(&mut self, now_ms: u64) {
        if self.list.is_none() {
            self.list = Some(self.leading(now_ms, WorkerListVersion::WITHOUT_LEASE));
            self.tick(now_ms);
        }
    }

    /// There is a list of a lease holder.
    pub fn has_list(&mut self) {
        self.list.take_if(|leading| leading.told.fencing == WorkerListVersion::WITHOUT_LEASE);
    }

    fn leading(&self, now_ms: u64, fencing: u64) -> Leading {
        let now = Duration::from_millis(now_ms);
        Leading {
            reader: ListReader::new(self.pace.clone(), self.seed, now),
            seen: millrudder_discovery::WorkerList::default(),
            told: WorkerList { fencing, ..WorkerList::default() },
        }
    }

    /// Settings that were read again.
    pub fn configure(&mut self, settings: &Settings) {
        self.address = settings.cloud_api.as_ref().map(|api| api.address);
        self.pace = pace(settings);
        if let Some(leading) = &mut self.list {
            leading.reader.set_pace(self.pace.clone());
        }
    }

    /// When [`Reader::tick`] is due.
    pub fn next_deadline(&self) -> Option<u64> {
        let leading = self.list.as_ref().filter(|_| self.address.is_some())?;
        Some(leading.reader.next_deadline().as_millis() as u64 + 1)
    }

    pub fn tick(&mut self, now_ms: u64) {
        self.give(now_ms, ReaderInput::Tick);
    }

    /// A call has ended; returns the list, where it is whole and has changed.
    pub fn take(&mut self, now_ms: u64, event: ReaderEvent) -> Option<WorkerList> {
        let input = match event {
            ReaderEvent::Answered { call, page } => ReaderInput::Answered { call, page },
            ReaderEvent::Failed { call, failure } => ReaderInput::Failed { call, failure },
        };
        let round = self.give(now_ms, input)?;
        let leading = self.list.as_mut()?;
        let is_first = leading.told.number == 0;
        let unchanged = difference(&leading.seen, &round.list).is_empty();
        if unchanged && !is_first {
            return None;
        }
        leading.told.workers = round.list.iter().map(entry).collect();
        leading.told.number += 1;
        leading.seen = round.list;
        let told = leading.told.clone();
        if told.fencing == WorkerListVersion::WITHOUT_LEASE {
            self.list = None;
        }
        Some(told)
    }

    fn give(&mut self, now_ms: u64, input: ReaderInput) -> Option<Round> {
        let address = self.address?;
        let output = self.list.as_mut()?.reader.handle(Duration::from_millis(now_ms), input)?;
        match output {
            ReaderOutput::Fetch(call) => {
                self.fetch(address, &call);
                None
            }
            ReaderOutput::Complete(round) => Some(round),
            ReaderOutput::Abandoned(reason) => {
                log::warn!("the platform's list could not be read: {reason:?}");
                None
            }
        }
    }

    fn fetch(&self, address: SocketAddr, call: &Call) {
        let (client, events, id) = (self.client.clone(), self.events.clone(), call.id);
        let Ok(path) = call.target().parse::<PathAndQuery>() else { return };
        tokio::task::spawn_local(async move {
            let target = Target { address, max_connections: 1 };
            let fetched = client.fetch(target, path, MOST_BYTES, CALL_TIMEOUT).await;
            let event = match page(fetched) {
                Ok(page) => ReaderEvent::Answered { call: id, page },
                Err(failure) => ReaderEvent::Failed { call: id, failure },
            };
            drop(events.send(Event::Reader(event)));
        });
    }
}

fn pace(settings: &Settings) -> Pace {
    let api = settings.cloud_api.as_ref();
    Pace {
        calls_per_second: api.map_or(1.0, |api| api.calls_per_second),
        maximum_lag: api.map_or(Duration::from_secs(1), |api| api.maximum_lag),
        drain: settings.bounds.drain,
        economy: ECONOMY,
    }
}

fn page(fetched: Result<Fetched, FetchError>) -> Result<Page, CallFailure> {
    let fetched = fetched.map_err(|_| CallFailure::Unavailable)?;
    match fetched.status {
        StatusCode::OK => Page::from_json(&fetched.body).map_err(|_| CallFailure::Unreadable),
        StatusCode::TOO_MANY_REQUESTS => {
            Err(CallFailure::OverRate { retry_after: retry_after(&fetched.headers) })
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
        warm_up_left_ms: instance.cold_left.as_millis() as u32,
    }
}
