//! The platform's list of instances: in pages, by zone, under a rate, and changed only by the test.

use crate::controlled_stream::ConnectionControl;
use crate::http;
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::rate::RateLimit;
use crate::server::{any_port, Handler, Server, ServerLimits, ServerResponse};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

const LIST_PATH: &str = "/instances";
const TOKEN_PREFIX: &str = "p-";

/// What the platform is like.
#[derive(Clone, Copy, Debug)]
pub struct PlatformPlan {
    /// Instances on a page.
    pub page_size: usize,
    /// Calls a second beyond which it answers 429; 0 means no limit.
    pub rate_per_second: f64,
}

impl Default for PlatformPlan {
    fn default() -> Self {
        Self { page_size: 50, rate_per_second: 0.0 }
    }
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It takes work.
    Ready,
    /// It is about to leave.
    Draining,
}

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The incarnation.
    pub instance_id: InstanceId,
    /// Its service.
    pub backend: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: String,
    /// Messages it runs at a time.
    pub capacity: usize,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// How long it stays slow after its start, in ms.
    pub cold_left_ms: u64,
}

/// How the platform answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformMode {
    /// With the list.
    #[default]
    Serving,
    /// Not at all.
    Silent,
    /// With 500.
    Failing,
}

/// One page as it is sent.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Page<'a> {
    instances: Vec<&'a Instance>,
    next_token: Option<String>,
}

struct PlatformState {
    plan: PlatformPlan,
    began: Instant,
    book: Mutex<Book>,
}

struct Book {
    current: Vec<Instance>,
    shown: Vec<Instance>,
    shown_lags: bool,
    mode: PlatformMode,
    rate: RateLimit,
    calls: usize,
    refused_calls: usize,
}

/// The running platform; it ends when it is dropped.
pub struct Platform {
    state: Arc<PlatformState>,
    server: Server,
}

impl Platform {
    /// Starts the platform on a free port of loopback, with an empty list.
    ///
    /// # Errors
    /// If the port cannot be opened.
    pub async fn start(plan: PlatformPlan) -> io::Result<Self> {
        let book = Book {
            current: Vec::new(),
            shown: Vec::new(),
            shown_lags: false,
            mode: PlatformMode::Serving,
            rate: RateLimit::new(plan.rate_per_second),
            calls: 0,
            refused_calls: 0,
        };
        let state = Arc::new(PlatformState { plan, began: Instant::now(), book: Mutex::new(book) });
        let limits = ServerLimits { max_connections: usize::MAX, keep_alive: None };
        let server = Server::start(any_port(), limits, state.clone()).await?;
        Ok(Self { state, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds an instance, or replaces the entry of the same incarnation.
    pub fn add(&self, instance: Instance) {
        self.change(|instances| {
            instances.retain(|known| known.instance_id != instance.instance_id);
            instances.push(instance);
        });
    }

    /// Shows an instance as draining; false if it is not on the list.
    pub fn drain(&self, id: &InstanceId) -> bool {
        self.change(|instances| {
            let instance = instances.iter_mut().find(|instance| instance.instance_id == *id);
            instance.map(|instance| instance.state = InstanceState::Draining).is_some()
        })
    }

    /// Removes an instance; false if it is not on the list.
    pub fn remove(&self, id: &InstanceId) -> bool {
        self.change(|instances| {
            let before = instances.len();
            instances.retain(|instance| instance.instance_id != *id);
            instances.len() < before
        })
    }

    /// Callers see the list as it is now, whatever changes, until [`Self::show_current`].
    pub fn hold_list(&self) {
        self.lock().shown_lags = true;
    }

    /// Callers see the list as it is, from now on.
    pub fn show_current(&self) {
        let mut book = self.lock();
        book.shown_lags = false;
        book.shown = book.current.clone();
    }

    /// How it answers from now on.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.lock().mode = mode;
    }

    /// Calls it has received, those beyond the rate included.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    /// Calls it has answered with 429.
    pub fn refused_calls(&self) -> usize {
        self.lock().refused_calls
    }

    fn change<T>(&self, change: impl FnOnce(&mut Vec<Instance>) -> T) -> T {
        let mut book = self.lock();
        let changed = change(&mut book.current);
        if !book.shown_lags {
            book.shown = book.current.clone();
        }
        changed
    }

    fn lock(&self) -> MutexGuard<'_, Book> {
        self.state.lock()
    }
}

impl Handler for PlatformState {
    async fn answer(self: Arc<Self>, request: Request<Incoming>, _: ConnectionControl) -> ServerResponse {
        if request.uri().path() != LIST_PATH {
            return Ok(http::empty(StatusCode::NOT_FOUND));
        }
        if request.method() != Method::GET {
            return Ok(http::empty(StatusCode::METHOD_NOT_ALLOWED));
        }
        if !self.count_call() {
            return Ok(http::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        let mode = self.lock().mode;
        match mode {
            PlatformMode::Serving => {}
            PlatformMode::Silent => return std::future::pending().await,
            PlatformMode::Failing => return Ok(http::empty(StatusCode::INTERNAL_SERVER_ERROR)),
        }
        let query = request.uri().query().unwrap_or_default();
        Ok(match self.page(value_of(query, "zone"), value_of(query, "pageToken")) {
            Some(page) => http::json(StatusCode::OK, page),
            None => http::empty(StatusCode::BAD_REQUEST),
        })
    }
}

impl PlatformState {
    /// Counts a call; false if it is beyond the rate.
    fn count_call(&self) -> bool {
        let now = self.began.elapsed();
        let mut book = self.lock();
        book.calls += 1;
        let admitted = book.rate.admit(now);
        if !admitted {
            book.refused_calls += 1;
        }
        admitted
    }

    /// The page that the token names; `None` for a token that was never given.
    fn page(&self, zone: Option<&str>, token: Option<&str>) -> Option<Vec<u8>> {
        let first = match token {
            Some(token) => token.strip_prefix(TOKEN_PREFIX)?.parse::<usize>().ok()?,
            None => 0,
        };
        let book = self.lock();
        let in_zone = |instance: &&Instance| zone.is_none_or(|zone| instance.zone.as_str() == zone);
        let wanted: Vec<&Instance> = book.shown.iter().filter(in_zone).collect();
        let next = first.saturating_add(self.plan.page_size);
        let instances = wanted.iter().skip(first).take(self.plan.page_size).copied().collect();
        let next_token = (next < wanted.len()).then(|| format!("{TOKEN_PREFIX}{next}"));
        serde_json::to_vec(&Page { instances, next_token }).ok()
    }

    fn lock(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn value_of<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(found, _)| *found == name).map(|(_, value)| value)
}
