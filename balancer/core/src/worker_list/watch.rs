//! Follows discovery in one coroutine: calls wait for each other, as discovery answers them one after another.

use may::sync::mpsc;
use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{Exchange, Message};
use millrudder_wire::converse::{converse, Broken};
use millrudder_wire::http::{self, Response};
use millrudder_wire::json::{self, Node};
use millrudder_wire::list::{read_list, List};
use millrudder_wire::socket::{Cut, Socket};
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use thiserror::Error;

/// How long discovery may hold a watch that has nothing to tell. A change in it is told at once; what it holds back
/// in silence counts as told 2 s after this.
const WATCH_HOLD_MS: u32 = 2_000;
/// A watch without an answer this long after it may have been held has fallen silent, and is asked for anew.
const WATCH_GRACE_MS: f64 = 1_500.0;
/// Any call may wait its turn at discovery, which gives up after 3 s at the latest.
const QUEUE_TIMEOUT_MS: f64 = 3_200.0;
const CONNECT_TIMEOUT_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Follow the changes until a call fails.
    Watch,
    /// The whole list, once.
    Fetch,
    /// Discovery is here from now on: follow the changes there, beginning with the whole list.
    SwitchTo(SocketAddr),
}

/// Why a call at discovery failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or the call was given up.
    #[error("{0}")]
    Broken(#[source] io::Error),
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Document(#[from] json::JsonError),
    #[error("a whole list that names nobody")]
    EmptyList,
    #[error("changes up to {generation} on a list of {held:?}")]
    OldChanges { generation: u64, held: Option<u64> },
}

/// The call under way, to end it from outside, and its last moment.
type CurrentCall = Arc<Mutex<(Arc<Cut>, f64)>>;

/// The handle by which dispatch asks.
pub struct WorkerListWatcher {
    sender: mpsc::Sender<ListRequest>,
    current_call: CurrentCall,
    clock: Clock,
}

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

/// How long the answer of a call is waited for that may be held so long (ms).
fn answer_timeout(held: u32) -> f64 {
    (f64::from(held) + WATCH_GRACE_MS).max(QUEUE_TIMEOUT_MS)
}

impl WorkerListWatcher {
    /// `generation` is that of the list held already, if any: changes since then are told first.
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

    /// One whose calls nobody makes.
    #[cfg(test)]
    pub fn disconnected(clock: Clock) -> Self {
        WorkerListWatcher { sender: mpsc::channel().0, current_call: CurrentCall::default(), clock }
    }

    pub fn request(&self, call: ListRequest) {
        let _ = self.sender.send(call);
    }

    /// Leaves the old discovery at once, also inside a held watch.
    pub fn switch_to(&self, discovery: SocketAddr) {
        self.request(ListRequest::SwitchTo(discovery));
        self.abort_call(f64::INFINITY);
    }

    /// Once in a while: ends a call whose answer is overdue.
    pub fn abort_overdue(&self) {
        self.abort_call(self.clock.now());
    }

    fn abort_call(&self, due: f64) {
        let current_call = self.current_call.lock().unwrap_or_else(PoisonError::into_inner);
        if current_call.1 < due {
            current_call.0.now();
        }
    }
}

impl WatcherTask {
    fn run(mut self) {
        while let Ok(call) = self.requests.recv() {
            self.handle(call);
        }
    }

    fn handle(&mut self, call: ListRequest) {
        match call {
            ListRequest::Watch => self.watch(),
            ListRequest::Fetch => {
                let fetched = self.call(ListRequest::Fetch);
                self.report_failure(fetched);
            }
            ListRequest::SwitchTo(discovery) => {
                self.switch(discovery);
                self.watch();
            }
        }
    }

    fn report_failure(&self, called: Result<(), CallError>) {
        if let Err(problem) = called {
            self.counters.map_failures.add();
            slog::warn!(self.log, "discovery call failed"; "at" => %self.discovery, "problem" => %problem);
            self.exchange.put(Message::WorkerListUnavailable);
        }
    }

    /// The generations of another discovery need not be those of the last: the whole list is asked for.
    fn switch(&mut self, discovery: SocketAddr) {
        self.counters.map_moves.add();
        (self.discovery, self.generation, self.connection) = (discovery, None, None);
    }

    /// Calls again right after each answer: a gap of 200 ms would make it a new watch. Ends with a failed call;
    /// when to try again is the module's to say.
    ///
    /// One that has fallen silent is opened anew at once: a discovery that has too many callers says so within `TURN_MS`,
    /// and what a silent watch misses counts as told soon. A second silence is a failure like any other.
    fn watch(&mut self) {
        let mut reopened = false;
        loop {
            let called = self.call(ListRequest::Watch);
            let silent = called.is_err() && self.was_aborted();
            let moved = self.handle_pending();
            reopened = match called {
                // A move cuts the call under way: that is no failure.
                _ if moved => false,
                Ok(()) => false,
                Err(_) if silent && !reopened => {
                    self.counters.map_silent.add();
                    true
                }
                failed => return self.report_failure(failed),
            };
        }
    }

    /// The last call was given up here, for its answer did not come.
    fn was_aborted(&self) -> bool {
        self.current_call.lock().unwrap_or_else(PoisonError::into_inner).0.is_done()
    }

    /// What was asked for during a watch; another watch is the same one. True if discovery has moved.
    fn handle_pending(&mut self) -> bool {
        let mut moved = false;
        while let Ok(call) = self.requests.try_recv() {
            match call {
                ListRequest::Watch => {}
                ListRequest::Fetch => {
                    let fetched = self.call(ListRequest::Fetch);
                    self.report_failure(fetched);
                }
                ListRequest::SwitchTo(discovery) => {
                    self.switch(discovery);
                    moved = true;
                }
            }
        }
        moved
    }

    /// One call; passes on what it brought.
    fn call(&mut self, call: ListRequest) -> Result<(), CallError> {
        let held = match (call, self.generation) {
            (ListRequest::Watch, Some(_)) => WATCH_HOLD_MS,
            _ => 0,
        };
        let target = match self.generation {
            Some(generation) if call == ListRequest::Watch => {
                format!("/v1/endpoints?from={generation}&hold_ms={held}")
            }
            _ => "/v1/endpoints".to_owned(),
        };
        self.counters.map_calls.add();
        let cut = self.start_call(answer_timeout(held));
        let list = self.fetch(&target, &cut).and_then(|response| self.read(&response))?;
        self.generation = Some(list.generation);
        self.counters.map_changes.add();
        self.exchange.put(Message::WorkerList(list.news));
        Ok(())
    }

    /// The time limit of the call that follows.
    fn start_call(&self, answer_timeout: f64) -> Arc<Cut> {
        let cut = Arc::new(Cut::default());
        let until = self.clock.now() + answer_timeout;
        *self.current_call.lock().unwrap_or_else(PoisonError::into_inner) = (cut.clone(), until);
        cut
    }

    fn read(&self, response: &Response) -> Result<List, CallError> {
        if response.status != 200 {
            return Err(CallError::Status(response.status));
        }
        let list = json::parse(&response.body).and_then(|document| read_list(&Node::root(&document)));
        let list = list.map_err(CallError::from).and_then(|list| match list.news.whole {
            // A fleet does not leave all at once: this is a discovery that has lost what it knew.
            true if list.news.entries.is_empty() => Err(CallError::EmptyList),
            // Changes from before the list that is held would bring back who has gone since.
            false if Some(list.generation) < self.generation => {
                Err(CallError::OldChanges { generation: list.generation, held: self.generation })
            }
            _ => Ok(list),
        });
        list.inspect_err(|_| self.counters.map_bad.add())
    }

    fn fetch(&mut self, target: &str, cut: &Cut) -> Result<Response, CallError> {
        let socket = match self.connection.take().filter(Socket::is_quiet) {
            Some(kept) => kept,
            None => Socket::connect(self.discovery, span(CONNECT_TIMEOUT_MS)).map_err(CallError::Connect)?,
        };
        let request = http::request("GET", target, &self.discovery.to_string(), &[], b"");
        let response = converse(&socket, &request, cut, || true).map_err(|broken| match broken {
            Broken::BeforeWritten(error) | Broken::AfterWritten(error) => CallError::Broken(error),
        })?;
        if response.keep_alive {
            self.connection = Some(socket);
        }
        Ok(response)
    }
}

#[cfg(test)]
mod tests;
