//! Fixture of the tests: an instance of [`Delivery`] with two services and a clock that the test sets. The service
//! `annotate` has listed workers, `pay` a single static endpoint and a rate limit.
#![allow(dead_code)]

use millrudder_delivery::*;
use millrudder_protocol::control::{WorkerEntry, WorkerList, WorkerState};
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher, ServiceCredit};
use millrudder_protocol::{Address, LeaseToken, MessageId, ShardId, StoreId};
use std::sync::Arc;

pub const STORE: StoreId = StoreId(1);
pub const OTHER_STORE: StoreId = StoreId(2);
pub const LISTED: &str = "annotate";
pub const STATIC: &str = "pay";
pub const TIMEOUT_MS: u64 = 2000;
pub const ANSWER_SLACK_MS: u64 = 100;
pub const STATIC_ADDRESS: &str = "172.20.0.3:8066";

/// A route that sends paths with a prefix to a service.
#[derive(Clone)]
pub struct Route {
    pub prefix: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
}

pub struct Routes(pub Vec<Route>);

impl Resolve for Routes {
    fn resolve(&self, _host: &str, path: &str) -> Option<ResolvedRoute> {
        let route = self.0.iter().find(|route| path.starts_with(route.prefix))?;
        Some(ResolvedRoute { service: route.service.into(), timeout_ms: route.timeout_ms })
    }
}

pub fn routes() -> Vec<Route> {
    vec![
        Route { prefix: "/a", service: LISTED, timeout_ms: TIMEOUT_MS },
        Route { prefix: "/p", service: STATIC, timeout_ms: TIMEOUT_MS },
    ]
}

pub fn address(text: &str) -> Address {
    Address(text.parse().unwrap())
}

pub fn listed_service() -> Service {
    Service {
        name: LISTED.into(),
        health_path: "/health".into(),
        max_connections: 110,
        rate_per_s: 0.0,
        static_endpoint: None,
        idempotent: false,
    }
}

pub fn static_service() -> Service {
    Service {
        name: STATIC.into(),
        max_connections: 46,
        rate_per_s: 39.0,
        static_endpoint: Some(address(STATIC_ADDRESS)),
        ..listed_service()
    }
}

/// Worker `number` of the listed service.
pub fn worker(number: u16) -> WorkerEntry {
    WorkerEntry {
        instance_id: format!("i-{number}"),
        service: LISTED.into(),
        address: address(&format!("10.0.0.1:{}", 8000 + number)),
        zone: "here".into(),
        capacity: 4,
        state: WorkerState::Ready,
        warm_up_left_ms: 0,
    }
}

pub fn id(unique: u64) -> MessageId {
    MessageId { shard: ShardId((unique % 3) as u16), unique }
}

pub fn message(path: &str) -> Message {
    Message {
        request_id: "r-1".into(),
        method: "POST".into(),
        path: path.into(),
        host: "h.example".into(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        order_key: None,
        callback_url: None,
        service: LISTED.into(),
        priority: 0,
        delay_ms: 0,
        target_start_ms: 800,
        max_attempts: 3,
        retention_ms: 90_000,
    }
}

/// An attempt that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: AttemptId,
    pub worker: Target,
    pub timeout_ms: u64,
    pub answer_timeout_ms: u64,
    pub path: String,
}

/// A reported outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Reported {
    pub store: StoreId,
    pub id: MessageId,
    pub token: LeaseToken,
    pub outcome: AttemptOutcome,
}

pub struct Fixture {
    pub delivery: Delivery,
    pub now: u64,
    pub list: WorkerList,
    /// Outputs of the latest input, or of all deadlines that `pass` ran.
    pub out: Vec<Output>,
}

impl Fixture {
    pub fn empty() -> Self {
        let configuration =
            Configuration { zone: "here".into(), seed: 7, dispatchers: 1, ..Configuration::default() };
        let list = WorkerList { fencing: 1, number: 0, workers: Vec::new() };
        Fixture { delivery: Delivery::new(configuration), now: 1000, list, out: Vec::new() }
    }

    /// Creates a fixture with both services, their routes and this many listed workers.
    pub fn new(workers: u16) -> Self {
        let mut fixture = Fixture::empty();
        fixture.input(Input::Services(vec![listed_service(), static_service()]));
        fixture.routes(routes());
        fixture.workers((1..=workers).map(worker).collect());
        fixture
    }

    pub fn input(&mut self, input: Input) -> &[Output] {
        self.out.clear();
        self.delivery.handle(self.now, input, &mut self.out);
        &self.out
    }

    pub fn routes(&mut self, routes: Vec<Route>) {
        self.input(Input::Routes(Arc::new(Routes(routes))));
    }

    pub fn workers(&mut self, workers: Vec<WorkerEntry>) {
        self.list.number += 1;
        self.list.workers = workers;
        self.input(Input::Workers(self.list.clone()));
    }

    pub fn deliver(&mut self, unique: u64, token: u64, path: &str) {
        self.deliver_again(unique, token, path, 0, 0);
    }

    pub fn deliver_again(&mut self, unique: u64, token: u64, path: &str, failed_attempts: u32, age_ms: u64) {
        self.input(Input::Deliver {
            store: STORE,
            id: id(unique),
            token: LeaseToken(token),
            age_ms,
            failed_attempts,
            message: Arc::new(message(path)),
        });
    }

    /// Grants a message and expects it to be sent at once.
    pub fn send(&mut self, unique: u64, token: u64, path: &str) -> Sent {
        self.deliver(unique, token, path);
        self.sent().expect("sent at once")
    }

    pub fn end(&mut self, attempt: AttemptId, result: AttemptResult) {
        self.input(Input::AttemptEnded { attempt, result });
    }

    pub fn recorded(&mut self, unique: u64, token: u64) {
        self.input(Input::Recorded { id: id(unique), token: LeaseToken(token) });
    }

    /// Runs all deadlines up to `now + ms`, and returns all their outputs.
    pub fn pass(&mut self, ms: u64) -> Vec<Output> {
        let (end, mut all) = (self.now + ms, Vec::new());
        while let Some(due) = self.delivery.next_deadline().filter(|due| *due <= end) {
            assert!(due > self.now || !all.is_empty() || due == self.now, "a deadline in the past");
            self.now = self.now.max(due);
            let before = self.delivery.next_deadline();
            all.extend(self.input(Input::Tick).to_vec());
            assert!(self.delivery.next_deadline() != before, "a handled deadline is not returned again");
        }
        self.now = end;
        self.out = all.clone();
        all
    }

    pub fn all_sent(&self) -> Vec<Sent> {
        sent(&self.out)
    }

    pub fn sent(&self) -> Option<Sent> {
        self.all_sent().into_iter().next()
    }

    pub fn reported(&self) -> Vec<Reported> {
        reported(&self.out)
    }

    /// The only outcome that the latest input reported.
    pub fn outcome(&self) -> AttemptOutcome {
        let mut all = self.reported();
        assert_eq!(all.len(), 1, "{:?}", self.out);
        all.remove(0).outcome
    }

    pub fn credit(&self, service: &str) -> u32 {
        let credit = |credit: &&ServiceCredit| credit.service == service;
        self.delivery.credits().iter().find(credit).expect("announced").limit
    }

    pub fn closed(&self) -> Vec<Address> {
        let closed = |output: &Output| match output {
            Output::CloseIdle { address } => Some(*address),
            _ => None,
        };
        self.out.iter().filter_map(closed).collect()
    }
}

pub fn sent(out: &[Output]) -> Vec<Sent> {
    let sent = |output: &Output| match output {
        Output::Send { attempt, message, worker, timeout_ms, answer_timeout_ms, .. } => Some(Sent {
            attempt: *attempt,
            worker: worker.clone(),
            timeout_ms: *timeout_ms,
            answer_timeout_ms: *answer_timeout_ms,
            path: message.path.clone(),
        }),
        _ => None,
    };
    out.iter().filter_map(sent).collect()
}

pub fn reported(out: &[Output]) -> Vec<Reported> {
    let reported = |output: &Output| match output {
        Output::Report { store, message: FromDispatcher::Attempted { id, token, outcome } } => {
            Some(Reported { store: *store, id: *id, token: *token, outcome: outcome.clone() })
        }
        _ => None,
    };
    out.iter().filter_map(reported).collect()
}

pub fn answer(status: u16) -> Answer {
    Answer { status, signature: None, not_executed: false, load: None, complete: true, elapsed_ms: 50 }
}

pub fn success() -> AttemptResult {
    AttemptResult::Answer(Answer { signature: Some("s".into()), ..answer(200) })
}

pub fn not_executed(status: u16) -> AttemptResult {
    AttemptResult::Answer(Answer { not_executed: true, ..answer(status) })
}

pub fn succeeded() -> AttemptOutcome {
    AttemptOutcome::Succeeded { signature: "s".into() }
}

pub fn completed() -> End {
    End::Completed { signature: "s".into() }
}
