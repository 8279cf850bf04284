//! Random orders of all that can cross, from fixed seeds: jobs, clients that leave, drains, bans, connections, 202s,
//! call-backs, call-offs, deadlines, a stop. The network is a model that keeps the real question
//! before a request's first byte and its last (`Stop`); time stands until it is turned on.

use super::*;
use crate::worker_transport::{Stop, WorkerEndpoint};
use millrudder_exchange::{Front, OrderHandle, Verbatim, WorkerEntry, WorkerState};
use std::collections::BTreeSet;
use std::sync::Mutex;

const SEEDS: u64 = 400;
const STEPS: usize = 300;
const WORKERS: u32 = 5;
const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    /// Its connection comes up.
    Coming,
    /// The last byte is held back.
    Begun,
    /// The worker has it; no 202 has come.
    Written,
    Held,
    /// The worker has it and its 202 was lost: the dispatcher has closed the connection.
    Unheard,
    Over,
}

struct Flight {
    id: AttemptId,
    worker: WorkerEndpoint,
    job: Arc<Job>,
    stop: Stop,
    at: At,
    /// It may have run.
    reached: bool,
    proven_unrun: bool,
}

#[derive(Default)]
struct Net {
    flights: Vec<Flight>,
    /// Call-offs on their way to workers.
    deletes: Vec<AttemptId>,
}

impl Net {
    fn find(&mut self, id: AttemptId) -> Option<&mut Flight> {
        self.flights.iter_mut().find(|f| f.id == id)
    }
}

#[derive(Clone, Default)]
struct Model(Arc<Mutex<Net>>);

impl WorkerTransport for Model {
    fn deliver(&self, id: AttemptId, worker: WorkerEndpoint, job: Arc<Job>, _until: f64) {
        let stop = Stop::of_delivery(worker.open.clone());
        let (at, reached, proven_unrun) = (At::Coming, false, false);
        self.0.lock().unwrap().flights.push(Flight { id, worker, job, stop, at, reached, proven_unrun });
    }

    fn call_off(&self, id: AttemptId, _worker: WorkerEndpoint, _job: Arc<Job>, accepted: bool, _firm: bool) {
        let mut net = self.0.lock().unwrap();
        match net.find(id) {
            Some(f) if matches!(f.at, At::Coming | At::Begun | At::Written) => f.stop.leave(accepted),
            _ => net.deletes.push(id),
        }
    }

    fn hold_back(&self, id: AttemptId) {
        if let Some(flight) = self.0.lock().unwrap().find(id) {
            flight.stop.owe_nothing();
        }
    }

    fn probe(&self, _worker: WorkerEndpoint) {}
    fn release(&self, _worker: WorkerId) {}
    fn retime(&self, _connect_timeout: f64, _conn_idle: f64) {}
    fn keep_a_part(&self) -> usize {
        0
    }
    fn tidy(&self) {}
    fn cut_overdue(&self) {}
}

struct Client {
    id: String,
    ticket: Ticket,
    class: usize,
    reply: Reply,
    answers: Vec<Answer>,
    left: bool,
}

struct World {
    dispatch: Dispatch<Model>,
    net: Model,
    clock: Clock,
    clients: Vec<Client>,
    draining: BTreeSet<u32>,
    banned: BTreeSet<u32>,
    alone: bool,
    dice: fastrand::Rng,
    /// What happened, for a failure's message.
    story: Vec<String>,
    sent: usize,
    inbox: Inbox,
}

/// `told`: workers tell of starts; else only progress tells that a job is not lost.
fn config(cancel: bool, copies: bool, told: bool) -> Config {
    let progress = if told { 0 } else { 20 };
    let lane = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim":300,"hard_limit":3000,"worth":1,"effect":"{effect}","dedup_scope":"cell","window":900}}"#
        )
    };
    let lanes = [lane("safe", "idempotent"), lane("keyed", "deduplicated"), lane("unsafe", "at_most_once")];
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","limits":{{"sockets":256}},
        "settings":{{"me":0,"replicas_of_me":1,"period":2,"zone":"z","failure_domains":["z"],"kinds":["m"],
        "registry_mode":"ask","lanes":[{}],"permissions":{{"max_attempts":4,"may_cancel":{cancel},
        "parallel_tries":{copies}}},"rules":{{"ask_within":10000,"answer_slack":8}},
        "specifics":{{"tells_start":{told},"progress":{progress},"queue_order":"fifo"}}}}}}"#,
        lanes.join(",")
    );
    Config::from_json(text.as_bytes()).unwrap()
}

fn line(worker: u32, state: WorkerState) -> WorkerEntry {
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

impl World {
    fn new(seed: u64) -> Self {
        let mut dice = fastrand::Rng::with_seed(seed);
        let (cancel, copies, told) = (dice.u8(..4) > 0, dice.bool(), dice.bool());
        let (clock, net) = (Clock::by_hand(), Model::default());
        let (exchange, inbox) = Exchange::new();
        let dependencies = DispatchDependencies {
            exchange,
            transport: net.clone(),
            worker_list: WorkerListWatcher::unheard(clock),
            peer_process: PeerProcess::default(),
            pending_settings: PendingSettings::default(),
            counters: Arc::default(),
            stopping: Stopping::new(3_000.0),
            clock,
        };
        let mut dispatch = Dispatch::new(&config(cancel, copies, told), dependencies);
        let entries = (0..WORKERS).map(|worker| line(worker, WorkerState::Active)).collect();
        dispatch.begin(Some(WorkerListUpdate { whole: true, generation: Some(1), entries }), None);
        World {
            dispatch,
            net,
            clock,
            clients: Vec::new(),
            draining: BTreeSet::new(),
            banned: BTreeSet::new(),
            alone: !copies,
            dice,
            story: vec![format!("seed {seed}, cancel {cancel}, copies {copies}, starts told {told}")],
            sent: 0,
            inbox,
        }
    }

    fn tell(&mut self, what: String) {
        self.story.push(format!("{:.0}: {what}", self.clock.now()));
    }

    fn check(&self, holds: bool, what: &str) {
        assert!(holds, "{what}\n{}", self.story.join("\n"));
    }

    fn take(&mut self, message: Message) {
        self.dispatch.take(message);
        self.look();
    }

    /// Messages that dispatch put to itself, and answers that have come.
    fn look(&mut self) {
        while let Ok(message) = self.inbox.try_recv() {
            self.dispatch.take(message);
        }
        for i in 0..self.clients.len() {
            while let Some(answer) = self.clients[i].reply.take() {
                let client = &mut self.clients[i];
                client.answers.push(answer.clone());
                let (id, class) = (client.id.clone(), client.class);
                self.tell(format!("{id} is answered: {answer:?}"));
                let client = &self.clients[i];
                self.check(client.answers.len() == 1, "one answer to a job");
                let (mine, ticket) = (id.as_bytes().to_vec(), client.ticket);
                let mut ran = false;
                for f in self.net.0.lock().unwrap().flights.iter().filter(|f| f.id.ticket == ticket) {
                    ran |= f.reached && !f.proven_unrun;
                }
                match answer {
                    Answer::Served { result } => self.check(result == mine, "a job's own result"),
                    Answer::Defer { .. } => {
                        self.check(class == 0 || !ran, "what may have run is not deferred")
                    }
                    Answer::Failed(_) => {}
                }
            }
        }
    }

    fn submit(&mut self) {
        let (number, class) = (self.clients.len(), self.dice.usize(..CLASSES.len()));
        let id = format!("j{number}");
        let verbatim = Verbatim {
            method: "POST".to_owned(),
            target: "/api".to_owned(),
            body: Vec::new(),
            idempotency_key: None,
            content_type: None,
        };
        let deadline = self.clock.now() + [60.0, 400.0, 3_000.0][self.dice.usize(..3)];
        let job = Job {
            front: Front::Http,
            trace_id: id.clone(),
            class: CLASSES[class].to_owned(),
            slots: 1.0,
            memory: 0.0,
            deadline,
            verbatim,
        };
        let (reply, ticket) = (Reply::new(|| {}), number as Ticket);
        self.tell(format!("{id} ({}) until {deadline:.0}", CLASSES[class]));
        let (answers, left) = (Vec::new(), false);
        self.clients.push(Client { id, ticket, class, reply: reply.clone(), answers, left });
        self.take(Message::Submitted { ticket, job: Arc::new(job), reply });
    }

    fn withdraw(&mut self) {
        let waits: Vec<usize> = (0..self.clients.len())
            .filter(|i| self.clients[*i].answers.is_empty() && !self.clients[*i].left)
            .collect();
        let Some(i) = self.dice.choice(waits) else { return };
        self.clients[i].left = true;
        self.tell(format!("the client of {} leaves", self.clients[i].id));
        let ticket = self.clients[i].ticket;
        self.take(Message::Withdrawn { ticket });
    }

    fn change_list(&mut self) {
        let worker = self.dice.u32(..WORKERS);
        let state = [WorkerState::Active, WorkerState::Leaving, WorkerState::Left][self.dice.usize(..3)];
        match state {
            WorkerState::Active => self.draining.remove(&worker),
            _ => self.draining.insert(worker),
        };
        self.tell(format!("s-{worker} is {state:?}"));
        let entries = vec![line(worker, state)];
        self.take(Message::WorkerList(WorkerListUpdate { whole: false, generation: None, entries }));
    }

    fn ban(&mut self) {
        let worker = self.dice.u32(..WORKERS);
        let name = format!("s-{worker}");
        let order = if self.banned.remove(&worker) {
            Order::Enable(name)
        } else {
            self.banned.insert(worker);
            Order::Disable(name)
        };
        self.tell(format!("{order:?}"));
        let (asked, _awaited) = OrderHandle::new(order);
        self.take(Message::Ordered(asked));
    }

    /// The first byte leaves: whatever path the attempt came.
    fn begins(&mut self, id: AttemptId, worker: u32) {
        self.tell(format!("attempt {}.{} begins at s-{worker}", id.ticket, id.number));
        self.sent += 1;
        let client = &self.clients[id.ticket as usize];
        self.check(
            !client.left && client.answers.is_empty(),
            "nothing is sent of a job that nobody waits for",
        );
        self.check(!self.draining.contains(&worker), "nothing new to a worker that leaves");
        self.check(!self.banned.contains(&worker), "nothing new to a banned worker");
        let net = self.net.0.lock().unwrap();
        for f in net.flights.iter().filter(|f| f.id.ticket == id.ticket && f.id != id) {
            let out = matches!(f.at, At::Begun | At::Written | At::Held | At::Unheard);
            self.check(!(out && self.alone), "no two attempts out where the settings allow one");
            self.check(!(out && f.worker.id == worker), "one attempt of a job at a worker");
            self.check(client.class != 2 || !f.reached || f.proven_unrun, "an unsafe job is sent once");
        }
    }

    /// Something happens to one attempt on its way, or at its worker.
    fn network(&mut self) {
        let net = self.net.0.lock().unwrap();
        let live: Vec<usize> = (0..net.flights.len()).filter(|i| net.flights[*i].at != At::Over).collect();
        drop(net);
        let Some(i) = self.dice.choice(live) else { return };
        let chance = self.dice.u8(..10);
        let (mut net, shared) = (self.net.0.lock().unwrap(), self.net.clone());
        let f = &mut net.flights[i];
        let (id, worker, job, at, left) = (f.id, f.worker.id, f.job.clone(), f.at, f.stop.is_left());
        drop(net);
        let set = |at: At, reached: bool, unrun: bool| {
            let mut net = shared.0.lock().unwrap();
            let f = &mut net.flights[i];
            (f.at, f.reached, f.proven_unrun) = (at, f.reached || reached, unrun);
        };
        let end = |end: AttemptEnd| Message::Ended { attempt: id, end, load: None };
        let ends = |message: Message| if left { Message::CalledOff { attempt: id } } else { message };
        let wanted = |first: bool| {
            let net = shared.0.lock().unwrap();
            let stop = &net.flights[i].stop;
            if first {
                stop.may_begin()
            } else {
                stop.may_send()
            }
        };
        let news = |state: JobState| {
            let (trace_id, from) = (job.trace_id.clone(), format!("s-{worker}"));
            Message::News(JobNews { trace_id, from, state, load: None, body: None })
        };
        let done = || JobState::Done { result: job.trace_id.as_bytes().to_vec() };
        match (at, chance) {
            (At::Coming, 0) => {
                set(At::Over, false, true);
                self.take(ends(end(AttemptEnd::NotConnected)));
            }
            (At::Coming, _) if !wanted(true) => {
                set(At::Over, false, true);
                self.take(ends(end(AttemptEnd::NotSent)));
            }
            (At::Coming, _) => {
                self.begins(id, worker);
                set(At::Begun, false, true);
            }
            (At::Begun, _) if !wanted(false) => {
                set(At::Over, false, true);
                self.take(ends(end(AttemptEnd::NotSent)));
            }
            (At::Begun, _) => set(At::Written, true, false),
            (At::Written, 0) => {
                self.tell(format!("{}.{} is reset", id.ticket, id.number));
                set(At::Over, true, false);
                self.take(ends(end(AttemptEnd::Reset)));
            }
            (At::Written, 1) => {
                self.tell(format!("{}.{} is silent", id.ticket, id.number));
                // Without a 202 a close gives it up; with one that was lost it does not.
                set(if self.dice.bool() { At::Over } else { At::Unheard }, true, false);
                if left && self.alone {
                    return self.net.0.lock().unwrap().deletes.push(id);
                }
                self.take(ends(end(AttemptEnd::Silent)));
            }
            (At::Written, 2) => {
                self.tell(format!("{}.{} never ran", id.ticket, id.number));
                set(At::Over, true, true);
                self.take(ends(end(AttemptEnd::NeverRan)));
            }
            (At::Written, 3) => self.take(news(JobState::Started)),
            (At::Written, _) if left => {
                set(At::Held, true, false);
                self.net.0.lock().unwrap().deletes.push(id);
            }
            (At::Written, _) => {
                set(At::Held, true, false);
                self.take(Message::Accepted { attempt: id });
            }
            (At::Held | At::Unheard, 0) => {
                set(At::Over, true, false);
                self.take(news(JobState::Failed));
            }
            (At::Held | At::Unheard, 1) => {
                self.tell(format!("{}.{} comes back unstarted", id.ticket, id.number));
                set(At::Over, true, true);
                self.take(news(JobState::Returned));
            }
            (At::Held | At::Unheard, 2) => {
                set(At::Over, true, false);
                self.take(news(JobState::Lost));
            }
            (At::Held | At::Unheard, 3..=5) => self.take(news(JobState::Started)),
            (At::Held | At::Unheard, _) => {
                self.tell(format!("{}.{} is done", id.ticket, id.number));
                set(At::Over, true, false);
                // Call-backs repeat.
                for _ in 0..=self.dice.u8(..2) {
                    self.take(news(done()));
                }
            }
            (At::Over, _) => {}
        }
    }

    fn hear_call_off(&mut self) {
        let mut net = self.net.0.lock().unwrap();
        let Some(id) = net.deletes.pop() else { return };
        if let Some(flight) = net.find(id) {
            flight.at = At::Over;
        }
        drop(net);
        self.tell(format!("the call-off of {}.{} is heard", id.ticket, id.number));
        self.take(Message::CalledOff { attempt: id });
    }

    fn pass(&mut self, ms: f64) {
        self.clock.turn_to(self.clock.now() + ms);
        self.dispatch.fire_due();
        self.look();
    }

    fn step(&mut self) {
        match self.dice.u8(..100) {
            0..12 => self.submit(),
            12..16 => self.withdraw(),
            16..22 => self.change_list(),
            22..25 => self.ban(),
            25..70 => self.network(),
            70..78 => self.hear_call_off(),
            _ => {
                let ms = [1.0, 5.0, 25.0, 100.0][self.dice.usize(..4)];
                self.pass(ms);
            }
        }
    }

    fn is_quiet(&self) -> bool {
        let net = self.net.0.lock().unwrap();
        net.deletes.is_empty()
            && net.flights.iter().all(|f| f.at == At::Over)
            && self.dispatch.jobs.ids().is_empty()
    }

    /// Everything that is on its way arrives; then nothing may be owed.
    fn settle(&mut self) {
        let end = self.clock.now() + 10_000.0;
        while self.clock.now() < end && !self.is_quiet() {
            self.network();
            self.hear_call_off();
            self.pass(5.0);
        }
        for client in &self.clients {
            let ended = client.left || client.answers.len() == 1;
            self.check(ended, &format!("{} is owed an answer", client.id));
        }
        self.check(self.dispatch.jobs.owed() == 0, "nothing is owed");
        self.check(self.dispatch.jobs.ids().is_empty(), "no job stays");
    }
}

#[test]
fn whatever_crosses_each_job_ends_once_and_nothing_is_sent_that_must_not_be() {
    let (mut sent, mut answered, mut left) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let stop = world.dice.usize(..2 * STEPS);
        for step in 0..STEPS {
            world.step();
            if step == stop {
                world.tell("stop".to_owned());
                world.take(Message::Stop);
            }
        }
        world.settle();
        sent += world.sent;
        answered += world.clients.iter().filter(|c| !c.answers.is_empty()).count();
        left += world.clients.iter().filter(|c| c.left).count();
    }
    // The orders are worth something only if much happens in them.
    assert!(
        sent > 5_000 && answered > 5_000 && left > 1_000,
        "{sent} sent, {answered} answered, {left} left"
    );
}
