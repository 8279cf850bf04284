//! Fetches the worker list from discovery and follows its changes. One coroutine makes all calls one after
//! another, because discovery answers them one after another.

use may::sync::mpsc;
use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{Exchange, Message};
use millrudder_wire::http::{self, Response};
use millrudder_wire::json::{self, Node};
use millrudder_wire::list::{read_list, List};
use millrudder_wire::round_trip::{round_trip, RoundTripError};
use millrudder_wire::socket::{CancelToken, Socket};
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use thiserror::Error;

/// How long discovery may hold a watch call while nothing changes (ms). It answers at once when something
/// changes. A change that it fails to report counts as known to the dispatcher 2 s after this time all the
/// same.
const WATCH_HOLD_MS: u32 = 2_000;
/// A watch call without an answer this long after `WATCH_HOLD_MS` is taken as silent and made again (ms).
const WATCH_GRACE_MS: f64 = 1_500.0;
/// The least time-out of any call (ms). A call may queue at discovery, which rejects it after 3 s at the
/// latest.
const QUEUE_TIMEOUT_MS: f64 = 3_200.0;
/// How long a connect to discovery may take (ms).
const CONNECT_TIMEOUT_MS: f64 = 1_000.0;

/// What [`WorkerListWatcher`] can be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Follow the changes of the list until a call fails.
    Watch,
    /// Fetch the whole list once.
    Fetch,
    /// Discovery has moved to this address: follow the changes there, beginning with the whole list.
    SwitchTo(SocketAddr),
}

/// Why a call at discovery failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or the call was aborted as overdue.
    #[error("{0}")]
    Broken(#[source] io::Error),
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Document(#[from] json::JsonError),
    #[error("complete list without entries")]
    EmptyList,
    #[error("changes up to generation {generation}, but the present list has {held:?}")]
    OldChanges { generation: u64, held: Option<u64> },
}

/// The handle that aborts the call under way, and the clock time (ms) at which its answer is overdue.
type CurrentCall = Arc<Mutex<(Arc<CancelToken>, f64)>>;

/// The dispatch coroutine's handle on the coroutine that calls discovery. Results come as messages through
/// the exchange.
pub struct WorkerListWatcher {
    sender: mpsc::Sender<ListRequest>,
    current_call: CurrentCall,
    clock: Clock,
}

/// The state of the coroutine that calls discovery.
struct WatcherTask {
    discovery: SocketAddr,
    generation: Option<u64>,
    connection: Option<Socket>,
    requests: mpsc::Receiver<ListRequest>,
    current_call: CurrentCall,
    exchange: Exchange,
    counters: Arc<Counters>,
    clock: Clock,
    log: Logger,
}

/// How long to wait for the answer to a call that discovery may hold for `hold_ms` (ms).
fn answer_timeout(hold_ms: u32) -> f64 {
    (f64::from(hold_ms) + WATCH_GRACE_MS).max(QUEUE_TIMEOUT_MS)
}

impl WorkerListWatcher {
    /// Starts the coroutine. `generation` is that of the list that the dispatcher already has, if any; the
    /// first watch then brings the changes since.
    pub fn follow(
        discovery: SocketAddr,
        generation: Option<u64>,
        exchange: Exchange,
        counters: Arc<Counters>,
        clock: Clock,
        log: Logger,
    ) -> Self {
        let (sender, requests) = mpsc::channel();
        let current_call = CurrentCall::default();
        let (connection, shared) = (None, current_call.clone());
        let task = WatcherTask {
            discovery,
            generation,
            connection,
            requests,
            current_call: shared,
            exchange,
            counters,
            clock,
            log,
        };
        may::go!(move || task.run());
        WorkerListWatcher { sender, current_call, clock }
    }

    /// A watcher that makes no calls.
    #[cfg(test)]
    pub fn disconnected(clock: Clock) -> Self {
        WorkerListWatcher { sender: mpsc::channel().0, current_call: CurrentCall::default(), clock }
    }

    /// Asks for a call. Does not wait for it.
    pub fn request(&self, request: ListRequest) {
        let _ = self.sender.send(request);
    }

    /// Switches to another discovery at once, aborting a call under way at the old one.
    pub fn switch_to(&self, discovery: SocketAddr) {
        self.request(ListRequest::SwitchTo(discovery));
        self.abort_call(f64::INFINITY);
    }

    /// Aborts the call under way if its answer is overdue; called at intervals.
    pub fn abort_overdue(&self) {
        self.abort_call(self.clock.now());
    }

    /// Aborts the call under way if it should have been answered before `due` (clock time, ms).
    fn abort_call(&self, due: f64) {
        let current_call = self.current_call.lock().unwrap_or_else(PoisonError::into_inner);
        if current_call.1 < due {
            current_call.0.cancel();
        }
    }
}

impl WatcherTask {
    fn run(mut self) {
        while let Ok(request) = self.requests.recv() {
            self.handle(request);
        }
    }

    fn handle(&mut self, request: ListRequest) {
        match request {
            ListRequest::Watch => self.watch(),
            ListRequest::Fetch => {
                let result = self.call(ListRequest::Fetch);
                self.report_failure(result);
            }
            ListRequest::SwitchTo(discovery) => {
                self.switch(discovery);
                self.watch();
            }
        }
    }

    fn report_failure(&self, result: Result<(), CallError>) {
        if let Err(problem) = result {
            self.counters.map_failures.add();
            slog::warn!(self.log, "discovery call failed"; "at" => %self.discovery, "problem" => %problem);
            self.exchange.send(Message::WorkerListUnavailable);
        }
    }

    /// Forgets the list's generation, because another discovery may number its lists differently: the next
    /// call brings the whole list.
    fn switch(&mut self, discovery: SocketAddr) {
        self.counters.map_moves.add();
        (self.discovery, self.generation, self.connection) = (discovery, None, None);
    }

    /// Watches the list until a call fails; when to try again is for the decision module. Each call follows
    /// right after the answer to the one before, because discovery takes a call after a gap of 200 ms for a
    /// new watch.
    ///
    /// A watch that fell silent is reopened at once and not reported. The silence does not mean that
    /// discovery is overloaded, since it would have rejected the call within `QUEUE_TIMEOUT_MS`, and changes
    /// that the silent watch missed soon count as known to the dispatcher. A second silence in a row is
    /// reported like any other failure.
    fn watch(&mut self) {
        let mut reopened = false;
        loop {
            let result = self.call(ListRequest::Watch);
            let silent = result.is_err() && self.was_aborted();
            let switched = self.handle_pending();
            reopened = match result {
                // A switch to another discovery aborts the call under way, which is no failure.
                _ if switched => false,
                Ok(()) => false,
                Err(_) if silent && !reopened => {
                    self.counters.map_silent.add();
                    true
                }
                failed => return self.report_failure(failed),
            };
        }
    }

    /// Whether the last call was aborted by this program because its answer was overdue or discovery has
    /// moved.
    fn was_aborted(&self) -> bool {
        self.current_call.lock().unwrap_or_else(PoisonError::into_inner).0.is_cancelled()
    }

    /// Handles the requests that came during a watch call; a request for a watch is already met. Returns true
    /// if discovery has moved.
    fn handle_pending(&mut self) -> bool {
        let mut switched = false;
        while let Ok(request) = self.requests.try_recv() {
            match request {
                ListRequest::Watch => {}
                ListRequest::Fetch => {
                    let result = self.call(ListRequest::Fetch);
                    self.report_failure(result);
                }
                ListRequest::SwitchTo(discovery) => {
                    self.switch(discovery);
                    switched = true;
                }
            }
        }
        switched
    }

    /// Makes one call and passes the list that it brought to the exchange.
    fn call(&mut self, request: ListRequest) -> Result<(), CallError> {
        let hold_ms = match (request, self.generation) {
            (ListRequest::Watch, Some(_)) => WATCH_HOLD_MS,
            _ => 0,
        };
        let target = match self.generation {
            Some(generation) if request == ListRequest::Watch => {
                format!("/v1/endpoints?from={generation}&hold_ms={hold_ms}")
            }
            _ => "/v1/endpoints".to_owned(),
        };
        self.counters.map_calls.add();
        let cut = self.start_call(answer_timeout(hold_ms));
        let list = self.fetch(&target, &cut).and_then(|response| self.read(&response))?;
        self.generation = Some(list.generation);
        self.counters.map_changes.add();
        self.exchange.send(Message::WorkerList(list.update));
        Ok(())
    }

    /// Sets the time-out (ms) of the call that follows and returns the handle that aborts it.
    fn start_call(&self, answer_timeout: f64) -> Arc<CancelToken> {
        let cut = Arc::new(CancelToken::default());
        let until = self.clock.now() + answer_timeout;
        *self.current_call.lock().unwrap_or_else(PoisonError::into_inner) = (cut.clone(), until);
        cut
    }

    /// Reads the list in a response. Rejects lists that cannot be right.
    fn read(&self, response: &Response) -> Result<List, CallError> {
        if response.status != 200 {
            return Err(CallError::Status(response.status));
        }
        let list = json::parse(&response.body).and_then(|document| read_list(&Node::root(&document)));
        let list = list.map_err(CallError::from).and_then(|list| match list.update.whole {
            // All workers do not leave at once: a discovery that sends an empty list has lost its data.
            true if list.update.entries.is_empty() => Err(CallError::EmptyList),
            // Changes older than the present list would bring back workers that have left since.
            false if Some(list.generation) < self.generation => {
                Err(CallError::OldChanges { generation: list.generation, held: self.generation })
            }
            _ => Ok(list),
        });
        list.inspect_err(|_| self.counters.map_bad.add())
    }

    /// Sends a request to discovery and reads the response, on the last connection if it is still open.
    fn fetch(&mut self, target: &str, cut: &CancelToken) -> Result<Response, CallError> {
        let socket = match self.connection.take().filter(Socket::is_quiet) {
            Some(kept) => kept,
            None => Socket::connect(self.discovery, span(CONNECT_TIMEOUT_MS)).map_err(CallError::Connect)?,
        };
        let request = http::request("GET", target, &self.discovery.to_string(), &[], b"");
        let response = round_trip(&socket, &request, cut, || true).map_err(|broken| match broken {
            RoundTripError::NotSent(error) | RoundTripError::Unanswered(error) => CallError::Broken(error),
        })?;
        if response.keep_alive {
            self.connection = Some(socket);
        }
        Ok(response)
    }
}

#[cfg(test)]
mod tests;
