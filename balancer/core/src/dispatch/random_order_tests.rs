//! Runs the dispatcher through events in random order, from fixed seeds: jobs, clients that leave, drains,
//! bans, connects, 202s, call-backs, cancels, deadlines and a stop. The network is simulated, but with the
//! real checks before the first and the last byte of a request (`RequestControl`). The clock advances only
//! when the test says so.

use super::*;
use crate::worker_transport::{RequestControl, WorkerEndpoint};
use millrudder_exchange::{ForwardedRequest, Front, OrderHandle, WorkerEntry, WorkerState};
use std::collections::BTreeSet;
use std::sync::Mutex;

const SEEDS: u64 = 400;
const STEPS: usize = 300;
const WORKERS: u32 = 5;
const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];

#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptPhase {
    /// The connect is under way.
    Connecting,
    /// All but the last byte is written.
    PartlyWritten,
    /// The worker has the whole request; no 202 has come.
    Written,
    /// The worker has answered 202.
    Accepted,
    /// The worker holds the job, but its 202 was lost and the dispatcher has closed the connection.
    AcceptLost,
    Ended,
}

/// An attempt on the simulated network.
struct SimulatedAttempt {
    id: AttemptId,
    worker: WorkerEndpoint,
    job: Arc<Job>,
    control: RequestControl,
    phase: AttemptPhase,
    /// The worker got the whole request, so the job may have run.
    reached: bool,
    /// It is certain that the job did not run in this attempt.
    proven_unrun: bool,
}

/// The attempts and cancels between the dispatcher and its workers.
#[derive(Default)]
struct SimulatedNetwork {
    attempts: Vec<SimulatedAttempt>,
    /// Cancels on their way to workers.
    cancels: Vec<AttemptId>,
}

impl SimulatedNetwork {
    fn find(&mut self, id: AttemptId) -> Option<&mut SimulatedAttempt> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }
}

/// A transport that only records attempts and cancels; the test decides what happens to them.
#[derive(Clone, Default)]
struct SimulatedTransport(Arc<Mutex<SimulatedNetwork>>);

impl WorkerTransport for SimulatedTransport {
    fn deliver(&self, id: AttemptId, worker: WorkerEndpoint, job: Arc<Job>, _expires_at: f64) {
        let control = RequestControl::for_delivery(worker.accepts_jobs.clone());
        let (phase, reached, proven_unrun) = (AttemptPhase::Connecting, false, false);
        self.0.lock().unwrap().attempts.push(SimulatedAttempt {
            id,
            worker,
            job,
            control,
            phase,
            reached,
            proven_unrun,
        });
    }

    fn cancel(
        &self,
        id: AttemptId,
        _worker: WorkerEndpoint,
        _job: Arc<Job>,
        accepted: bool,
        _until_confirmed: bool,
    ) {
        let mut net = self.0.lock().unwrap();
        match net.find(id) {
            Some(attempt)
                if matches!(
                    attempt.phase,
                    AttemptPhase::Connecting | AttemptPhase::PartlyWritten | AttemptPhase::Written
                ) =>
            {
                attempt.control.give_up(accepted)
            }
            _ => net.cancels.push(id),
        }
    }

    fn withhold_unsent(&self, id: AttemptId) {
        if let Some(attempt) = self.0.lock().unwrap().find(id) {
            attempt.control.mark_answer_unwanted();
        }
    }

    fn probe(&self, _worker: WorkerEndpoint) {}
    fn close_idle(&self, _worker: WorkerId) {}
    fn set_timeouts(&self, _connect_timeout: f64, _conn_idle: f64) {}
    fn share_connections(&self) -> usize {
        0
    }
    fn close_stale(&self) {}
    fn abort_overdue(&self) {}
}

/// A client that has submitted one job.
struct Client {
    id: String,
    ticket: Ticket,
    class: usize,
    reply: Reply,
    answers: Vec<Answer>,
    left: bool,
}

/// The dispatcher with simulated clients, workers, network and clock.
struct Simulation {
    dispatch: Dispatch<SimulatedTransport>,
    net: SimulatedTransport,
    clock: Clock,
    clients: Vec<Client>,
    draining: BTreeSet<u32>,
    banned: BTreeSet<u32>,
    /// The settings forbid two attempts of a job at once.
    exclusive: bool,
    rng: fastrand::Rng,
    /// What happened so far, for the message of a failed check.
    history: Vec<String>,
    /// How many attempts have been sent.
    sent: usize,
    inbox: Inbox,
}

/// `reports_start`: workers report when a job starts; otherwise only progress reports show that a job is not
/// lost.
fn config(cancel: bool, copies: bool, reports_start: bool) -> Config {
    let progress = if reports_start { 0 } else { 20 };
    let class_text = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim":300,"hard_limit":3000,"worth":1,"effect":"{effect}","dedup_scope":"cell","window":900}}"#
        )
    };
    let class_texts = [
        class_text("safe", "idempotent"),
        class_text("keyed", "deduplicated"),
        class_text("unsafe", "at_most_once"),
    ];
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","limits":{{"sockets":256}},
        "settings":{{"me":0,"replicas_of_me":1,"period":2,"zone":"z","failure_domains":["z"],"kinds":["m"],
        "registry_mode":"ask","lanes":[{}],"permissions":{{"max_attempts":4,"may_cancel":{cancel},
        "parallel_tries":{copies}}},"rules":{{"ask_within":10000,"answer_slack":8}},
        "specifics":{{"tells_start":{reports_start},"progress":{progress},"queue_order":"fifo"}}}}}}"#,
        class_texts.join(",")
    );
    Config::from_json(text.as_bytes()).unwrap()
}

fn list_entry(worker: u32, state: WorkerState) -> WorkerEntry {
    WorkerEntry {
        name: format!("s-{worker}"),
        address: Some(([127, 0, 0, 1], 100 + worker as u16).into()),
        zone: "z".to_owned(),
        kind: "m".to_owned(),
        cell: i64::from(worker % 2),
        state,
        weight: 1.0,
        started_at: None,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (cancel, copies, reports_start) = (rng.u8(..4) > 0, rng.bool(), rng.bool());
        let (clock, net) = (Clock::manual(), SimulatedTransport::default());
        let (exchange, inbox) = Exchange::new();
        let dependencies = DispatchDependencies {
            exchange,
            transport: net.clone(),
            worker_list: WorkerListWatcher::disconnected(clock),
            peer_process: PeerProcess::default(),
            pending_settings: PendingSettings::default(),
            counters: Arc::default(),
            stopping: Stopping::new(3_000.0),
            clock,
        };
        let mut dispatch = Dispatch::new(&config(cancel, copies, reports_start), dependencies);
        let entries = (0..WORKERS).map(|worker| list_entry(worker, WorkerState::Active)).collect();
        dispatch.begin(Some(WorkerListUpdate { whole: true, generation: Some(1), entries }), None);
        Simulation {
            dispatch,
            net,
            clock,
            clients: Vec::new(),
            draining: BTreeSet::new(),
            banned: BTreeSet::new(),
            exclusive: !copies,
            rng,
            history: vec![format!(
                "seed {seed}, cancel {cancel}, copies {copies}, starts reported {reports_start}"
            )],
            sent: 0,
            inbox,
        }
    }

    fn log(&mut self, what: String) {
        self.history.push(format!("{:.0}: {what}", self.clock.now()));
    }

    fn check(&self, holds: bool, what: &str) {
        assert!(holds, "{what}\n{}", self.history.join("\n"));
    }

    fn handle(&mut self, message: Message) {
        self.dispatch.handle_message(message);
        self.collect_answers();
    }

    /// Delivers the messages that the dispatcher sent to itself, and checks the answers that clients have
    /// got.
    fn collect_answers(&mut self) {
        while let Ok(message) = self.inbox.try_recv() {
            self.dispatch.handle_message(message);
        }
        for i in 0..self.clients.len() {
            while let Some(answer) = self.clients[i].reply.take() {
                let client = &mut self.clients[i];
                client.answers.push(answer.clone());
                let (id, class) = (client.id.clone(), client.class);
                self.log(format!("{id} is answered: {answer:?}"));
                let client = &self.clients[i];
                self.check(client.answers.len() == 1, "a job has one answer");
                let (expected, ticket) = (id.as_bytes().to_vec(), client.ticket);
                let mut ran = false;
                for attempt in
                    self.net.0.lock().unwrap().attempts.iter().filter(|attempt| attempt.id.ticket == ticket)
                {
                    ran |= attempt.reached && !attempt.proven_unrun;
                }
                match answer {
                    Answer::Served { result } => {
                        self.check(result == expected, "the result is that of the job")
                    }
                    Answer::Defer { .. } => {
                        self.check(class == 0 || !ran, "a job that may have run is not deferred")
                    }
                    Answer::Failed(_) => {}
                }
            }
        }
    }

    fn submit(&mut self) {
        let (number, class) = (self.clients.len(), self.rng.usize(..CLASSES.len()));
        let id = format!("j{number}");
        let forwarded = ForwardedRequest {
            method: "POST".to_owned(),
            target: "/api".to_owned(),
            body: Vec::new(),
            idempotency_key: None,
            content_type: None,
        };
        let deadline = self.clock.now() + [60.0, 400.0, 3_000.0][self.rng.usize(..3)];
        let job = Job {
            front: Front::Http,
            trace_id: id.clone(),
            class: CLASSES[class].to_owned(),
            slots: 1.0,
            memory: 0.0,
            deadline,
            forwarded,
        };
        let (reply, ticket) = (Reply::new(|| {}), number as Ticket);
        self.log(format!("{id} ({}) until {deadline:.0}", CLASSES[class]));
        let (answers, left) = (Vec::new(), false);
        self.clients.push(Client { id, ticket, class, reply: reply.clone(), answers, left });
        self.handle(Message::Submitted { ticket, job: Arc::new(job), reply });
    }

    fn client_leaves(&mut self) {
        let waiting: Vec<usize> = (0..self.clients.len())
            .filter(|i| self.clients[*i].answers.is_empty() && !self.clients[*i].left)
            .collect();
        let Some(i) = self.rng.choice(waiting) else { return };
        self.clients[i].left = true;
        self.log(format!("the client of {} leaves", self.clients[i].id));
        let ticket = self.clients[i].ticket;
        self.handle(Message::Withdrawn { ticket });
    }

    fn change_list(&mut self) {
        let worker = self.rng.u32(..WORKERS);
        let state = [WorkerState::Active, WorkerState::Leaving, WorkerState::Left][self.rng.usize(..3)];
        match state {
            WorkerState::Active => self.draining.remove(&worker),
            _ => self.draining.insert(worker),
        };
        self.log(format!("s-{worker} is {state:?}"));
        let entries = vec![list_entry(worker, state)];
        self.handle(Message::WorkerList(WorkerListUpdate { whole: false, generation: None, entries }));
    }

    fn ban(&mut self) {
        let worker = self.rng.u32(..WORKERS);
        let name = format!("s-{worker}");
        let order = if self.banned.remove(&worker) {
            Order::Enable(name)
        } else {
            self.banned.insert(worker);
            Order::Disable(name)
        };
        self.log(format!("{order:?}"));
        let (pending, _handle) = OrderHandle::new(order);
        self.handle(Message::Ordered(pending));
    }

    /// The first byte of an attempt is sent; checks that it may be, in whichever way the attempt came about.
    fn on_first_byte(&mut self, id: AttemptId, worker: u32) {
        self.log(format!("attempt {}.{} begins at s-{worker}", id.ticket, id.number));
        self.sent += 1;
        let client = &self.clients[id.ticket as usize];
        self.check(
            !client.left && client.answers.is_empty(),
            "no attempt is sent for a job that is answered or withdrawn",
        );
        self.check(!self.draining.contains(&worker), "no new attempt to a draining worker");
        self.check(!self.banned.contains(&worker), "no new attempt to a banned worker");
        let net = self.net.0.lock().unwrap();
        for attempt in
            net.attempts.iter().filter(|attempt| attempt.id.ticket == id.ticket && attempt.id != id)
        {
            let outstanding = matches!(
                attempt.phase,
                AttemptPhase::PartlyWritten
                    | AttemptPhase::Written
                    | AttemptPhase::Accepted
                    | AttemptPhase::AcceptLost
            );
            self.check(
                !(outstanding && self.exclusive),
                "no two attempts at once where the settings forbid it",
            );
            self.check(
                !(outstanding && attempt.worker.id == worker),
                "at most one attempt of a job at a worker",
            );
            self.check(
                client.class != 2 || !attempt.reached || attempt.proven_unrun,
                "a job of an at-most-once class is not sent again after it may have run",
            );
        }
    }

    /// Advances one random attempt: something happens to it on the network or at its worker.
    fn advance_random_attempt(&mut self) {
        let net = self.net.0.lock().unwrap();
        let live: Vec<usize> =
            (0..net.attempts.len()).filter(|i| net.attempts[*i].phase != AttemptPhase::Ended).collect();
        drop(net);
        let Some(i) = self.rng.choice(live) else { return };
        let chance = self.rng.u8(..10);
        let (mut net, shared) = (self.net.0.lock().unwrap(), self.net.clone());
        let attempt = &mut net.attempts[i];
        let (id, worker, job, phase, given_up) = (
            attempt.id,
            attempt.worker.id,
            attempt.job.clone(),
            attempt.phase,
            attempt.control.is_given_up(),
        );
        drop(net);
        let set_phase = |phase: AttemptPhase, reached: bool, unrun: bool| {
            let mut net = shared.0.lock().unwrap();
            let attempt = &mut net.attempts[i];
            (attempt.phase, attempt.reached, attempt.proven_unrun) =
                (phase, attempt.reached || reached, unrun);
        };
        let end = |end: AttemptEnd| Message::Ended { attempt: id, end, load: None };
        let or_cancelled =
            |message: Message| if given_up { Message::CancelFinished { attempt: id } } else { message };
        let may_continue = |first: bool| {
            let net = shared.0.lock().unwrap();
            let control = &net.attempts[i].control;
            if first {
                control.may_begin()
            } else {
                control.may_finish()
            }
        };
        let news = |state: JobState| {
            let (trace_id, from) = (job.trace_id.clone(), format!("s-{worker}"));
            Message::CallBack(WorkerCallBack { trace_id, from, state, load: None, body: None })
        };
        let done = || JobState::Done { result: job.trace_id.as_bytes().to_vec() };
        match (phase, chance) {
            (AttemptPhase::Connecting, 0) => {
                set_phase(AttemptPhase::Ended, false, true);
                self.handle(or_cancelled(end(AttemptEnd::NotConnected)));
            }
            (AttemptPhase::Connecting, _) if !may_continue(true) => {
                set_phase(AttemptPhase::Ended, false, true);
                self.handle(or_cancelled(end(AttemptEnd::NotSent)));
            }
            (AttemptPhase::Connecting, _) => {
                self.on_first_byte(id, worker);
                set_phase(AttemptPhase::PartlyWritten, false, true);
            }
            (AttemptPhase::PartlyWritten, _) if !may_continue(false) => {
                set_phase(AttemptPhase::Ended, false, true);
                self.handle(or_cancelled(end(AttemptEnd::NotSent)));
            }
            (AttemptPhase::PartlyWritten, _) => set_phase(AttemptPhase::Written, true, false),
            (AttemptPhase::Written, 0) => {
                self.log(format!("{}.{} is reset", id.ticket, id.number));
                set_phase(AttemptPhase::Ended, true, false);
                self.handle(or_cancelled(end(AttemptEnd::Reset)));
            }
            (AttemptPhase::Written, 1) => {
                self.log(format!("{}.{} is silent", id.ticket, id.number));
                // If the worker has sent no 202, closing the connection cancels the job there; if its 202 was
                // lost, it does not.
                set_phase(
                    if self.rng.bool() { AttemptPhase::Ended } else { AttemptPhase::AcceptLost },
                    true,
                    false,
                );
                if given_up && self.exclusive {
                    return self.net.0.lock().unwrap().cancels.push(id);
                }
                self.handle(or_cancelled(end(AttemptEnd::Silent)));
            }
            (AttemptPhase::Written, 2) => {
                self.log(format!("{}.{} never ran", id.ticket, id.number));
                set_phase(AttemptPhase::Ended, true, true);
                self.handle(or_cancelled(end(AttemptEnd::NeverRan)));
            }
            (AttemptPhase::Written, 3) => self.handle(news(JobState::Started)),
            (AttemptPhase::Written, _) if given_up => {
                set_phase(AttemptPhase::Accepted, true, false);
                self.net.0.lock().unwrap().cancels.push(id);
            }
            (AttemptPhase::Written, _) => {
                set_phase(AttemptPhase::Accepted, true, false);
                self.handle(Message::Accepted { attempt: id });
            }
            (AttemptPhase::Accepted | AttemptPhase::AcceptLost, 0) => {
                set_phase(AttemptPhase::Ended, true, false);
                self.handle(news(JobState::Failed));
            }
            (AttemptPhase::Accepted | AttemptPhase::AcceptLost, 1) => {
                self.log(format!("{}.{} is returned unstarted", id.ticket, id.number));
                set_phase(AttemptPhase::Ended, true, true);
                self.handle(news(JobState::Returned));
            }
            (AttemptPhase::Accepted | AttemptPhase::AcceptLost, 2) => {
                set_phase(AttemptPhase::Ended, true, false);
                self.handle(news(JobState::Lost));
            }
            (AttemptPhase::Accepted | AttemptPhase::AcceptLost, 3..=5) => {
                self.handle(news(JobState::Started))
            }
            (AttemptPhase::Accepted | AttemptPhase::AcceptLost, _) => {
                self.log(format!("{}.{} is done", id.ticket, id.number));
                set_phase(AttemptPhase::Ended, true, false);
                // Workers may repeat call-backs.
                for _ in 0..=self.rng.u8(..2) {
                    self.handle(news(done()));
                }
            }
            (AttemptPhase::Ended, _) => {}
        }
    }

    /// The latest cancel reaches its worker.
    fn confirm_cancel(&mut self) {
        let mut net = self.net.0.lock().unwrap();
        let Some(id) = net.cancels.pop() else { return };
        if let Some(attempt) = net.find(id) {
            attempt.phase = AttemptPhase::Ended;
        }
        drop(net);
        self.log(format!("the cancel of {}.{} is confirmed", id.ticket, id.number));
        self.handle(Message::CancelFinished { attempt: id });
    }

    /// Advances the clock and runs the timers that are due.
    fn advance(&mut self, ms: f64) {
        self.clock.set(self.clock.now() + ms);
        self.dispatch.run_due_timers();
        self.collect_answers();
    }

    fn step(&mut self) {
        match self.rng.u8(..100) {
            0..12 => self.submit(),
            12..16 => self.client_leaves(),
            16..22 => self.change_list(),
            22..25 => self.ban(),
            25..70 => self.advance_random_attempt(),
            70..78 => self.confirm_cancel(),
            _ => {
                let ms = [1.0, 5.0, 25.0, 100.0][self.rng.usize(..4)];
                self.advance(ms);
            }
        }
    }

    /// Nothing is under way and no job is left.
    fn is_quiet(&self) -> bool {
        let net = self.net.0.lock().unwrap();
        net.cancels.is_empty()
            && net.attempts.iter().all(|attempt| attempt.phase == AttemptPhase::Ended)
            && self.dispatch.jobs.ids().is_empty()
    }

    /// Lets everything that is under way arrive; then every job must be answered.
    fn run_until_quiet(&mut self) {
        let end = self.clock.now() + 10_000.0;
        while self.clock.now() < end && !self.is_quiet() {
            self.advance_random_attempt();
            self.confirm_cancel();
            self.advance(5.0);
        }
        for client in &self.clients {
            let ended = client.left || client.answers.len() == 1;
            self.check(ended, &format!("{} is answered or withdrawn", client.id));
        }
        self.check(self.dispatch.jobs.unanswered() == 0, "no job is unanswered");
        self.check(self.dispatch.jobs.ids().is_empty(), "no job is left");
    }
}

#[test]
fn in_any_order_each_job_ends_once_and_no_forbidden_attempt_is_sent() {
    let (mut sent, mut answered, mut left) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        let stop = simulation.rng.usize(..2 * STEPS);
        for step in 0..STEPS {
            simulation.step();
            if step == stop {
                simulation.log("stop".to_owned());
                simulation.handle(Message::Stop);
            }
        }
        simulation.run_until_quiet();
        sent += simulation.sent;
        answered += simulation.clients.iter().filter(|c| !c.answers.is_empty()).count();
        left += simulation.clients.iter().filter(|c| c.left).count();
    }
    // Guards against random orders in which too little happens to test anything.
    assert!(
        sent > 5_000 && answered > 5_000 && left > 1_000,
        "{sent} sent, {answered} answered, {left} left"
    );
}
