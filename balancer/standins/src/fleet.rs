//! The stand-in fleet on sockets: workers and a discovery for each dispatcher that is attached.

use crate::books::{Books, DRAIN_GRACE_MS};
use crate::discovery::{self, Line};
use crate::model::{Event, Mode, Spec, Taken, Worker};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{watch, Notify};

pub type Body = Full<Bytes>;

/// A cell drops repeats of a key for this long (ms).
const CELL_WINDOW_MS: f64 = 7_500.0;
const CELL_SIZE: usize = 5;
/// A call-back is repeated until it is answered, so often at the most.
const CALL_BACK_TRIES: usize = 10;
const LONG_AGO_MS: f64 = -1e9;
const CALL_BACK_PAUSE: Duration = Duration::from_millis(50);

/// What the fleet is like.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub workers: usize,
    pub seed: u64,
    /// Mean work of a job at speed 1 (ms); 0: done at once.
    pub work_ms: f64,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// How long a worker that starts stays cold (ms).
    pub cold_ms: f64,
    /// What its deployment's class aims at (ms). Far longer where a test is not about lateness: on a starved machine
    /// starts come late, and the module then takes less on.
    pub aim_ms: f64,
    /// Threads that serve it.
    pub threads: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            workers: 12,
            seed: 1,
            work_ms: 260.0,
            tells_start: true,
            cold_ms: 6_000.0,
            aim_ms: 120.0,
            threads: 2,
        }
    }
}

struct Job {
    key: Option<String>,
    view: usize,
}

struct Slot {
    line: Line,
    worker: Worker,
    addresses: Vec<SocketAddr>,
    jobs: HashMap<String, Job>,
    wake: Arc<Notify>,
    drain_told: Option<f64>,
    /// True once its sockets are to close.
    gone: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    slots: Vec<Slot>,
    books: Books,
    /// By cell and key: until when a repeat is dropped, and what the job made.
    kept: HashMap<(i64, String), (f64, String)>,
    call_backs: Vec<SocketAddr>,
}

pub struct Inner {
    plan: Plan,
    pub(crate) generation: watch::Sender<u64>,
    state: Mutex<State>,
    random: Mutex<fastrand::Rng>,
    client: Client<HttpConnector, Body>,
    start: Instant,
    /// Unix time of the start (ms).
    unix_ms: f64,
}

/// The stand-ins while they run; they end when it is dropped.
pub struct Fleet {
    inner: Arc<Inner>,
    runtime: Runtime,
}

pub(crate) fn respond(status: u16, headers: &[(&str, &str)], body: String) -> Response<Body> {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(Full::from(body)).unwrap_or_default()
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start (ms).
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    pub(crate) fn lines(&self, wanted: impl Fn(&Line) -> bool) -> Vec<(Line, Vec<SocketAddr>)> {
        let state = self.state();
        let found = state.slots.iter().filter(|slot| wanted(&slot.line));
        found.map(|slot| (slot.line.clone(), slot.addresses.clone())).collect()
    }

    /// The dispatcher is being told of these lines.
    pub(crate) fn told<'a>(&self, lines: impl Iterator<Item = &'a Line>) {
        let (now, mut state) = (self.now(), self.state());
        for line in lines.filter(|line| line.lifecycle != "active") {
            for slot in state.slots.iter_mut().filter(|slot| slot.line.name == line.name) {
                slot.drain_told.get_or_insert(now);
            }
        }
    }

    fn spec(&self) -> (Spec, &'static str) {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let (kind, speed) = if random.f64() < 0.45 {
            ("gen2", 1.3 + 0.4 * random.f64())
        } else {
            ("gen1", 0.85 + 0.25 * random.f64())
        };
        let spec = Spec {
            cores: 4,
            slots: 4,
            queue: 28 + random.usize(0..24),
            speed,
            cold_from: 0.31 + 0.28 * random.f64(),
            cold_ms: self.plan.cold_ms,
            fall_multiple: 3.0,
            fall_ms: 2_000.0,
        };
        (spec, kind)
    }

    /// Gamma-like spread round the mean, the same for the same seed.
    fn work(&self) -> f64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let sum: f64 = (0..4).map(|_| -(1.0 - random.f64()).ln()).sum();
        self.plan.work_ms * sum / 4.0
    }

    /// A new version of the list, with this worker's line changed.
    fn change(&self, number: usize, lifecycle: &'static str) {
        let generation = *self.generation.borrow() + 1;
        let line = &mut self.state().slots[number].line;
        (line.lifecycle, line.generation) = (lifecycle, generation);
        self.generation.send_replace(generation);
    }

    /// Carries a worker on; gives the call-backs that follow.
    fn advance(&self, number: usize) -> Vec<(usize, Value)> {
        let now = self.now();
        let mut state = self.state();
        let mut out = Vec::new();
        state.slots[number].worker.advance(now, &mut out);
        self.book(&mut state, number, out, now)
    }

    fn book(&self, state: &mut State, number: usize, events: Vec<Event>, now: f64) -> Vec<(usize, Value)> {
        let State { slots, books, kept, .. } = state;
        let slot = &mut slots[number];
        let load =
            json!({"eps": 0.0, "inflight": slot.worker.in_flight(), "x0": slot.worker.free_slots(), "x1": 4});
        books.worst_cold = books.worst_cold.max(slot.worker.worst);
        let news = events.into_iter().filter_map(|event| match event {
            Event::Started(_) if !self.plan.tells_start => None,
            Event::Started(id) => {
                let view = slot.jobs.get(&id)?.view;
                Some((view, json!({"id": id, "from": slot.line.name, "state": "started"})))
            }
            Event::Done(id) => {
                let job = slot.jobs.remove(&id)?;
                let result = format!("done {id}");
                if let Some(key) = job.key {
                    // Of two copies that run at once in a cell one leaves its mark, the other is dropped at its end.
                    let place = (slot.line.cell, key.clone());
                    if kept.get(&place).is_some_and(|(until, _)| now < *until) {
                        books.dropped += 1;
                    } else {
                        *books.runs.entry(key).or_default() += 1;
                        kept.insert(place, (now + CELL_WINDOW_MS, result.clone()));
                    }
                }
                let news = json!({"id": id, "from": slot.line.name, "state": "done", "result": result, "load": load});
                Some((job.view, news))
            }
            Event::Lost(id) => {
                let view = slot.jobs.remove(&id)?.view;
                Some((view, json!({"id": id, "from": slot.line.name, "state": "lost"})))
            }
        });
        let news = news.collect();
        slot.wake.notify_one();
        news
    }

    fn take(
        &self,
        number: usize,
        view: usize,
        id: &str,
        key: Option<String>,
    ) -> (Taken, Vec<(usize, Value)>) {
        let work = if self.plan.work_ms > 0.0 { self.work() } else { 0.0 };
        let now = self.now();
        let mut state = self.state();
        let cell = state.slots[number].line.cell;
        let repeat = key.as_ref().and_then(|key| state.kept.get(&(cell, key.clone())));
        if let Some((_, result)) = repeat.filter(|(until, _)| now < *until) {
            let name = &state.slots[number].line.name;
            let news = json!({"id": id, "from": name, "state": "done", "result": result});
            state.books.dropped += 1;
            return (Taken::Accepted, vec![(view, news)]);
        }
        let slot = &mut state.slots[number];
        let late = slot.drain_told.map(|told| now - told);
        slot.jobs.insert(id.to_owned(), Job { key, view });
        let mut out = Vec::new();
        let taken = slot.worker.take(id, work, now, &mut out);
        if taken != Taken::Accepted {
            slot.jobs.remove(id);
        }
        if slot.worker.mode == Mode::Down && !*slot.gone.borrow() {
            slot.gone.send_replace(true);
            state.books.fallen += 1;
        }
        let books = &mut state.books;
        books.accepted += u64::from(taken == Taken::Accepted);
        books.turned_away += u64::from(taken == Taken::Full);
        if let Some(late) = late {
            books.after_drain += u64::from(late > DRAIN_GRACE_MS);
            books.latest_after_drain = books.latest_after_drain.max(late);
        }
        (taken, self.book(&mut state, number, out, now))
    }
}

/// Tells the dispatcher; repeated until it answers.
fn call_back(inner: &Arc<Inner>, news: Vec<(usize, Value)>) {
    for (view, news) in news {
        let inner = inner.clone();
        tokio::spawn(async move {
            let Some(to) = inner.state().call_backs.get(view).copied() else { return };
            let text = Bytes::from(news.to_string());
            for _ in 0..CALL_BACK_TRIES {
                let request = Request::post(format!("http://{to}/_jobs/news")).body(Full::from(text.clone()));
                let Ok(request) = request else { return };
                if let Ok(response) = inner.client.request(request).await {
                    if response.status().is_success() && response.into_body().collect().await.is_ok() {
                        return;
                    }
                }
                tokio::time::sleep(CALL_BACK_PAUSE).await;
            }
            inner.state().books.call_backs_lost += 1;
        });
    }
}

async fn work(inner: Arc<Inner>, number: usize, view: usize, request: Request<Incoming>) -> Response<Body> {
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let (id, key) = (header("x-trace-id"), header("idempotency-key"));
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    if request.into_body().collect().await.is_err() {
        return respond(400, &[], String::new());
    }
    match (method.as_str(), id) {
        ("DELETE", _) => {
            let id = path.trim_start_matches("/jobs/");
            let now = inner.now();
            let news = {
                let mut state = inner.state();
                let mut out = Vec::new();
                state.slots[number].worker.give_up(id, now, &mut out);
                state.slots[number].jobs.remove(id);
                inner.book(&mut state, number, out, now)
            };
            call_back(&inner, news);
            respond(204, &[], String::new())
        }
        ("GET", _) => {
            let state = inner.state();
            let worker = &state.slots[number].worker;
            let load =
                format!("TEXT eps=0, inflight={}, x0={}, x1=4", worker.in_flight(), worker.free_slots());
            respond(200, &[("Endpoint-Load-Metrics", &load)], String::new())
        }
        ("POST", Some(id)) => {
            let (taken, news) = inner.take(number, view, &id, key);
            call_back(&inner, news);
            match taken {
                Taken::Accepted => respond(202, &[], String::new()),
                _ => respond(503, &[("X-Never-Ran", "1")], String::new()),
            }
        }
        _ => respond(404, &[], String::new()),
    }
}

/// Serves HTTP/1.1 on a listener until `gone`.
async fn listen<F, S>(listener: TcpListener, mut gone: watch::Receiver<bool>, handle: F)
where
    F: Fn(Request<Incoming>) -> S + Clone + Send + Sync + 'static,
    S: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = tokio::select! {
            () = async { drop(gone.wait_for(|gone| *gone).await) } => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        let _ = stream.set_nodelay(true);
        let (handle, mut gone) = (handle.clone(), gone.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answered = handle(request);
                async { Ok::<_, std::convert::Infallible>(answered.await) }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let gone = async move { drop(gone.wait_for(|gone| *gone).await) };
            tokio::select! {
                _ = connection => {}
                () = gone => {}
            }
        });
    }
}

async fn run(inner: Arc<Inner>, number: usize, wake: Arc<Notify>) {
    loop {
        let next = inner.state().slots[number].worker.next();
        let wait = next.map_or(Duration::from_secs(3_600), |at| {
            Duration::try_from_secs_f64((at - inner.now()).max(0.0) / 1_000.0).unwrap_or_default()
        });
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = wake.notified() => {}
        }
        let due = next.is_some_and(|at| at <= inner.now());
        if due {
            let news = inner.advance(number);
            call_back(&inner, news);
        }
    }
}

impl Fleet {
    /// # Errors
    /// No runtime, or no port on loopback.
    pub fn start(plan: Plan) -> std::io::Result<Self> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(plan.threads).enable_all().build()?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let client = {
            let _entered = runtime.enter();
            let mut connector = HttpConnector::new();
            connector.set_nodelay(true);
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(64).build(connector)
        };
        let inner = Arc::new(Inner {
            plan,
            generation: watch::Sender::new(1),
            state: Mutex::default(),
            random: Mutex::new(fastrand::Rng::with_seed(plan.seed)),
            client,
            start: Instant::now(),
            unix_ms: unix.as_secs_f64() * 1_000.0,
        });
        let fleet = Fleet { inner, runtime };
        for _ in 0..plan.workers {
            fleet.join(false)?;
        }
        Ok(fleet)
    }

    /// Gives a dispatcher that listens at `call_backs` its view of the fleet: its discovery's address.
    ///
    /// # Errors
    /// No port on loopback.
    pub fn attach(&self, call_backs: SocketAddr) -> std::io::Result<SocketAddr> {
        let (view, count) = {
            let mut state = self.inner.state();
            state.call_backs.push(call_backs);
            (state.call_backs.len() - 1, state.slots.len())
        };
        for number in 0..count {
            self.open(number, view)?;
        }
        let (listener, address) = self.bind()?;
        let (inner, gone) = (self.inner.clone(), watch::Sender::new(false));
        let handle = move |request| discovery::answer(inner.clone(), view, request);
        self.runtime.spawn(async move {
            let receiver = gone.subscribe();
            listen(listener, receiver, handle).await;
        });
        Ok(address)
    }

    fn bind(&self) -> std::io::Result<(TcpListener, SocketAddr)> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let _entered = self.runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    }

    fn open(&self, number: usize, view: usize) -> std::io::Result<()> {
        let (listener, address) = self.bind()?;
        let gone = {
            let slot = &mut self.inner.state().slots[number];
            slot.addresses.push(address);
            slot.gone.subscribe()
        };
        let inner = self.inner.clone();
        let handle = move |request| work(inner.clone(), number, view, request);
        self.runtime.spawn(listen(listener, gone, handle));
        Ok(())
    }

    /// A new worker comes up, cold or as if it had always been there; gives its number.
    ///
    /// # Errors
    /// No port on loopback.
    pub fn join(&self, cold: bool) -> std::io::Result<usize> {
        let (spec, kind) = self.inner.spec();
        let (now, wake) = (self.inner.now(), Arc::new(Notify::new()));
        let (number, views) = {
            let mut state = self.inner.state();
            let number = state.slots.len();
            let since = if cold { now } else { LONG_AGO_MS };
            state.slots.push(Slot {
                line: Line {
                    name: format!("s-{number}"),
                    kind,
                    cell: (number / CELL_SIZE) as i64,
                    lifecycle: "left",
                    started_at: if cold { self.inner.unix_ms + now } else { 0.0 },
                    generation: 0,
                },
                worker: Worker::new(spec, since, now),
                addresses: Vec::new(),
                jobs: HashMap::new(),
                wake: wake.clone(),
                drain_told: None,
                gone: watch::Sender::new(false),
            });
            (number, state.call_backs.len())
        };
        for view in 0..views {
            self.open(number, view)?;
        }
        self.runtime.spawn(run(self.inner.clone(), number, wake));
        self.inner.change(number, "active");
        Ok(number)
    }

    /// It finishes what it has and wants nothing new.
    pub fn drain(&self, number: usize) {
        self.inner.state().slots[number].worker.mode = Mode::Draining;
        self.inner.change(number, "leaving");
    }

    /// Its process ends, with whatever it still has.
    pub fn leave(&self, number: usize) {
        let now = self.inner.now();
        let news = {
            let mut state = self.inner.state();
            let mut out = Vec::new();
            state.slots[number].worker.fall(&mut out);
            state.slots[number].gone.send_replace(true);
            self.inner.book(&mut state, number, out, now)
        };
        self.inner.change(number, "left");
        self.runtime.block_on(async { call_back(&self.inner, news) });
    }

    pub fn in_flight(&self, number: usize) -> usize {
        self.inner.state().slots[number].worker.in_flight()
    }

    pub fn books(&self) -> Books {
        self.inner.state().books.clone()
    }

    pub fn handle(&self) -> tokio::runtime::Handle {
        self.runtime.handle().clone()
    }
}
