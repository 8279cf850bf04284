//! Random sequences of inputs: grants, results of all kinds, lost and late confirmations, moved primaries, revoked
//! leases, changed worker lists, routes and services, and stalls. The invariants are checked after each step.

mod common;
use common::*;
use fastrand::Rng;
use millrudder_delivery::*;
use millrudder_protocol::control::{WorkerEntry, WorkerState};
use millrudder_protocol::message::Message;
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use millrudder_protocol::{Address, LeaseToken, MessageId, ShardId, StoreId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const SEEDS: u64 = 200;
const STEPS: usize = 400;
const CAPACITY: u32 = 4;
const MAX_IN_FLIGHT_PER_RECEIVER: usize = 2;
/// Maximum time (ms) until no lease is left once everything answers again.
const FINISH_MS: u64 = 30_000;

type Lease = (MessageId, LeaseToken);

#[derive(Default)]
struct ObservedState {
    /// Latest token of each message, and whether the stores know its final outcome.
    messages: BTreeMap<MessageId, (u64, bool)>,
    sent: BTreeSet<Lease>,
    ended: BTreeMap<Lease, FromDispatcher>,
    unrecorded: BTreeSet<Lease>,
    /// Attempts in flight, with their worker.
    in_flight: BTreeMap<AttemptId, Target>,
    call_backs: BTreeMap<AttemptId, Address>,
    succeeded: BTreeSet<MessageId>,
    ready: BTreeMap<Address, String>,
    /// Barriers that no store has answered.
    barriers: BTreeMap<StoreId, BarrierNumber>,
    /// The clock has stalled, and the store that grants has not answered its barrier since.
    barrier_pending: bool,
    connected: BTreeSet<StoreId>,
}

struct RandomRun {
    fixture: Fixture,
    observed: ObservedState,
    rng: Rng,
}

/// Whether two targets are the same process: a worker that restarted at the same address has a new instance id.
fn same_worker(one: &Target, other: &Target) -> bool {
    one.address == other.address && one.instance_id == other.instance_id
}

fn lease(message: &FromDispatcher) -> Lease {
    match message {
        FromDispatcher::Attempted { id, token, .. } | FromDispatcher::CalledBack { id, token, .. } => {
            (*id, *token)
        }
        other => panic!("{other:?}"),
    }
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let mut random_run = RandomRun {
            fixture: Fixture::new(0),
            observed: ObservedState::default(),
            rng: Rng::with_seed(seed),
        };
        random_run.list();
        random_run
    }

    fn input(&mut self, input: Input) {
        let out = self.fixture.input(input).to_vec();
        out.iter().for_each(|output| self.check(output));
        let deadline = self.fixture.delivery.next_deadline();
        assert!(deadline.is_none_or(|due| due > self.fixture.now), "a deadline in the past");
    }

    fn check(&mut self, output: &Output) {
        match output {
            Output::Send { attempt, message, worker, .. } => {
                assert!(!self.observed.barrier_pending, "{attempt:?} is sent before the store has answered");
                let id = id_of(message);
                let token = LeaseToken(self.observed.messages[&id].0);
                assert!(self.observed.sent.insert((id, token)), "{id} sent twice under one lease");
                assert!(!self.observed.succeeded.contains(&id), "{id} sent after its success");
                let listed = self.observed.ready.get(&worker.address);
                let expected = worker.instance_id.as_ref();
                assert!(listed == expected || expected.is_none(), "{worker:?} is not ready");
                self.observed.in_flight.insert(*attempt, worker.clone());
                let in_flight_there =
                    self.observed.in_flight.values().filter(|other| same_worker(other, worker)).count();
                let max_in_flight = if expected.is_some() { 2 * CAPACITY } else { worker.max_connections };
                assert!(
                    in_flight_there <= max_in_flight as usize,
                    "{in_flight_there} in flight at {worker:?}"
                );
            }
            Output::Report { message, .. } => {
                let lease = lease(message);
                let before = self.observed.ended.entry(lease).or_insert_with(|| message.clone());
                assert_eq!(before, message, "one end of each lease");
                self.observed.unrecorded.insert(lease);
                if let FromDispatcher::Attempted { outcome: AttemptOutcome::Succeeded { .. }, .. } = message {
                    self.observed.succeeded.insert(lease.0);
                }
            }
            Output::SendCallBack { attempt, url, .. } => {
                self.observed.call_backs.insert(*attempt, url.address);
                let in_flight_there =
                    self.observed.call_backs.values().filter(|address| **address == url.address).count();
                assert!(in_flight_there <= MAX_IN_FLIGHT_PER_RECEIVER);
            }
            Output::CancelAttempt { attempt } => {
                self.observed.in_flight.remove(attempt);
                self.observed.call_backs.remove(attempt);
            }
            Output::Barrier { store, number } => {
                self.observed.barriers.insert(*store, *number);
            }
            Output::CloseIdle { .. } | Output::Credits { .. } => {}
        }
    }

    fn step(&mut self) {
        match self.rng.u32(0..100) {
            0..30 => self.grant(),
            30..60 => self.end(),
            60..75 => self.record(),
            75..78 => self.list(),
            78..80 => self.configure(),
            80..83 => self.revoke(),
            83..85 => self.move_primary(),
            85..89 => self.grant_call_back(),
            89..92 => self.end_call_back(),
            92 => self.stall_or_answer_barrier(),
            _ => self.wait(),
        }
    }

    /// Lets the clock stall or, if barriers are unanswered after a stall, lets a store answer one.
    fn stall_or_answer_barrier(&mut self) {
        match self.observed.barriers.pop_first() {
            Some((store, number)) => {
                self.observed.barrier_pending &= store != STORE;
                self.input(Input::BarrierReached { store, number });
            }
            None => {
                self.observed.barrier_pending = self.observed.connected.contains(&STORE);
                self.input(Input::ClockStalled);
            }
        }
    }

    /// A store grants a message whose final outcome it does not know, possibly one that is here under an earlier lease.
    fn grant(&mut self) {
        let id = id(self.rng.u64(0..60));
        let entry = self.observed.messages.entry(id).or_insert((0, false));
        if entry.1 {
            return;
        }
        // The same grant may arrive twice.
        if entry.0 == 0 || self.rng.u32(0..20) > 0 {
            entry.0 += 1;
        }
        let token = LeaseToken(entry.0);
        let path = ["/a", "/a", "/p", "/none"][self.rng.usize(0..4)];
        let message = Message { request_id: id.unique.to_string(), ..message(path) };
        let (age_ms, failed_attempts) = (self.rng.u64(0..30_000), self.rng.u32(0..2));
        let message = Arc::new(message);
        self.input(Input::Deliver { store: STORE, id, token, age_ms, failed_attempts, message });
    }

    fn result(&mut self) -> AttemptResult {
        let status = [200, 422, 500, 504][self.rng.usize(0..4)];
        match self.rng.u32(0..10) {
            0..5 => success(),
            5 => not_executed([503, 429, 409, 421][self.rng.usize(0..4)]),
            6 => AttemptResult::Answer(Answer { complete: self.rng.bool(), ..answer(status) }),
            7 => AttemptResult::NotConnected,
            8 => AttemptResult::TimedOut { connected: self.rng.bool() },
            _ => AttemptResult::Reset,
        }
    }

    fn end(&mut self) {
        let attempts: Vec<AttemptId> = self.observed.in_flight.keys().copied().collect();
        let Some(attempt) = self.rng.choice(attempts) else { return };
        self.observed.in_flight.remove(&attempt);
        let result = self.result();
        self.input(Input::AttemptEnded { attempt, result });
    }

    fn record(&mut self) {
        let leases: Vec<Lease> = self.observed.unrecorded.iter().copied().collect();
        let Some(lease) = self.rng.choice(leases) else { return };
        self.record_one(lease);
    }

    fn record_one(&mut self, lease: Lease) {
        self.observed.unrecorded.remove(&lease);
        let (id, token) = lease;
        let is_end = |outcome: &AttemptOutcome| {
            !matches!(
                outcome,
                AttemptOutcome::NotRun { .. } | AttemptOutcome::Unknown { .. } | AttemptOutcome::Failed
            )
        };
        if let Some(FromDispatcher::Attempted { outcome, .. }) = self.observed.ended.get(&lease) {
            let entry = self.observed.messages.get_mut(&id).unwrap();
            entry.1 |= is_end(outcome);
        }
        self.input(Input::Recorded { id, token });
    }

    fn list(&mut self) {
        let mut workers = Vec::new();
        for number in 1..=5 {
            let state = if self.rng.u32(0..5) == 0 { WorkerState::Draining } else { WorkerState::Ready };
            let incarnation = self.rng.u32(0..3);
            let warm_up_left_ms = self.rng.u32(0..2) * 5000;
            let instance_id = format!("i-{number}-{incarnation}");
            if self.rng.u32(0..6) > 0 {
                let entry =
                    WorkerEntry { state, instance_id, warm_up_left_ms, capacity: CAPACITY, ..worker(number) };
                workers.push(entry);
            }
        }
        let ready = workers.iter().filter(|worker| worker.state == WorkerState::Ready);
        self.observed.ready = ready.map(|worker| (worker.address, worker.instance_id.clone())).collect();
        self.fixture.list.number += 1;
        self.fixture.list.workers = workers;
        let list = self.fixture.list.clone();
        self.input(Input::Workers(list));
    }

    fn configure(&mut self) {
        let mut in_force = routes();
        let removed = self.rng.usize(0..4);
        if removed < in_force.len() {
            in_force.remove(removed);
        }
        in_force.iter_mut().for_each(|route| route.timeout_ms = 500 + 500 * u64::from(self.rng.u32(0..4)));
        let mut services = vec![listed_service(), static_service()];
        if self.rng.u32(0..4) == 0 {
            services.remove(self.rng.usize(0..2));
        }
        self.input(Input::Services(services));
        self.input(Input::Routes(Arc::new(Routes(in_force))));
        let count = self.rng.u32(1..4);
        self.input(Input::Dispatchers { count });
    }

    fn revoke(&mut self) {
        let leases = self.fixture.delivery.active_leases(|_| true);
        let Some(lease) = self.rng.choice(leases) else { return };
        self.input(Input::Revoke { store: STORE, id: lease.id, token: lease.token });
    }

    fn move_primary(&mut self) {
        let shard = ShardId(self.rng.u16(0..3));
        let store = StoreId(self.rng.u64(1..4));
        self.input(Input::Primary { shard, store });
        self.observed.connected.insert(store);
        self.input(Input::Connected { store });
    }

    fn grant_call_back(&mut self) {
        // The identifiers differ from those of messages that are delivered.
        let id = MessageId { unique: 1000 + self.rng.u64(0..30), ..id(0) };
        let entry = self.observed.messages.entry(id).or_insert((0, false));
        entry.0 += 1;
        let token = LeaseToken(entry.0);
        let url = Some(format!("http://10.20.0.{}:8080/done", self.rng.u32(1..4)));
        let message = Arc::new(Message { callback_url: url, ..message("/a") });
        self.input(Input::CallBack { store: STORE, id, token, end: completed(), message });
    }

    fn end_call_back(&mut self) {
        let attempts: Vec<AttemptId> = self.observed.call_backs.keys().copied().collect();
        let Some(attempt) = self.rng.choice(attempts) else { return };
        self.observed.call_backs.remove(&attempt);
        let answer = CallBackResult::Answer { status: [200, 200, 400, 500][self.rng.usize(0..4)] };
        let result = if self.rng.u32(0..3) == 0 { CallBackResult::Failed } else { answer };
        self.input(Input::CallBackResult { attempt, result });
    }

    /// Lets time pass: usually with all deadlines handled, sometimes without, as if the process was stalled.
    fn wait(&mut self) {
        let end = self.fixture.now + self.rng.u64(1..400);
        if self.rng.u32(0..30) == 0 {
            self.fixture.now += 4000;
            return;
        }
        self.wait_until(end);
    }

    fn wait_until(&mut self, end: u64) {
        while let Some(due) = self.fixture.delivery.next_deadline().filter(|due| *due <= end) {
            self.fixture.now = self.fixture.now.max(due);
            self.input(Input::Tick);
        }
        self.fixture.now = self.fixture.now.max(end);
    }

    /// Shuts down while everything answers and is recorded, and checks that no lease remains.
    fn finish(&mut self) {
        let end = self.fixture.now + FINISH_MS;
        self.input(Input::ShuttingDown);
        while !self.fixture.delivery.is_idle() {
            assert!(self.fixture.now < end, "{:?}", self.fixture.delivery.active_leases(|_| true));
            while let Some((attempt, _)) = self.observed.in_flight.pop_first() {
                self.input(Input::AttemptEnded { attempt, result: success() });
            }
            while let Some((attempt, _)) = self.observed.call_backs.pop_first() {
                let result = CallBackResult::Answer { status: 200 };
                self.input(Input::CallBackResult { attempt, result });
            }
            while let Some(lease) = self.observed.unrecorded.first().copied() {
                self.record_one(lease);
            }
            let next = self.fixture.now + 50;
            self.wait_until(next);
        }
        assert!(self.fixture.delivery.active_leases(|_| true).is_empty());
    }
}

fn id_of(message: &Message) -> MessageId {
    id(message.request_id.parse().unwrap())
}

#[test]
fn random_runs_keep_the_invariants_and_leave_no_lease_behind() {
    for seed in 0..SEEDS {
        let mut random_run = RandomRun::new(seed);
        for _ in 0..STEPS {
            random_run.step();
        }
        random_run.finish();
    }
}

#[test]
fn the_same_seed_gives_the_same_outputs() {
    let run = || {
        let mut random_run = RandomRun::new(5);
        let mut all = Vec::new();
        for _ in 0..STEPS {
            random_run.step();
            all.extend(random_run.fixture.out.clone());
        }
        all
    };
    assert_eq!(run(), run());
}
