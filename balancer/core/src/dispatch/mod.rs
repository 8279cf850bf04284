//! The core: one coroutine that owns the module's `Balancer`, the jobs, and all deadlines and timers. It feeds
//! the module what happens, in order, and carries out its actions in order.

mod handover_state;
mod jobs;
#[cfg(test)]
mod random_order_tests;
mod settings_reload;
mod timers;
mod translate;

use crate::worker_list::{Call, WorkerListWatcher};
use crate::worker_transport::{HttpTransport, WorkerTransport};
pub use handover_state::{HandoverState, HandoverStateError};
use jobs::{AttemptState, Entry, Jobs, Settled};
use millrudder as mr;
use millrudder_config::{Config, Names};
use millrudder_exchange::clock::Clock;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::{
    Answer, AttemptEnd, AttemptId, Exchange, Failure, Inbox, Job, JobNews, JobState, LoadReport, Message,
    Order, OrderResult, PeerProcess, PeerRequest, Progress, Reply, Ticket, Transfer, WorkerId,
    WorkerListUpdate,
};
use settings_reload::Dropped;
pub use settings_reload::{PendingSettings, ReloadedSettings};
use std::collections::VecDeque;
use std::sync::Arc;
use timers::{Due, Timers};
use translate::WorkerTable;

/// The module answers the time-out at the deadline; what it has left open this much later (ms, inside the
/// rules' `answer_slack`) is answered as failed.
const OVERDUE_MS: f64 = 5.0;
/// Kept connections are looked through this often (ms) ...
const TIDY_MS: f64 = 500.0;
/// ... and waits for an answer of workers and of discovery this often.
const OVERLOOK_MS: f64 = 50.0;

/// Where lists are pushed, an agent of this dispatcher's own holds them, and what it has counts as told: a watch there that
/// has failed is opened anew so soon (ms), with no regard to other dispatchers.
const PUSHED_AGAIN_MS: f64 = 50.0;

pub struct Dispatch<W = HttpTransport> {
    balancer: mr::Balancer,
    names: Names,
    jobs: Jobs,
    workers: WorkerTable,
    timers: Timers,
    /// Events that actions caused, for the module to see after the actions that caused them.
    queued: VecDeque<mr::Event>,
    exchange: Exchange,
    transport: W,
    worker_list: WorkerListWatcher,
    /// Of the map that is held.
    generation: Option<u64>,
    peer_process: PeerProcess,
    pending_settings: PendingSettings,
    dropped: Dropped,
    counters: Arc<Counters>,
    stopping: Stopping,
    clock: Clock,
}

/// What dispatch acts through.
pub struct DispatchDependencies<W = HttpTransport> {
    pub exchange: Exchange,
    pub transport: W,
    pub worker_list: WorkerListWatcher,
    pub peer_process: PeerProcess,
    pub pending_settings: PendingSettings,
    pub counters: Arc<Counters>,
    pub stopping: Stopping,
    pub clock: Clock,
}

impl<W: WorkerTransport> Dispatch<W> {
    pub fn new(config: &Config, dependencies: DispatchDependencies<W>) -> Self {
        let DispatchDependencies {
            exchange,
            transport,
            worker_list,
            peer_process,
            pending_settings,
            counters,
            stopping,
            clock,
        } = dependencies;
        let settings = config.settings.clone();
        let dropped_stay = settings.rules.unlisted_stay_open;
        Dispatch {
            balancer: mr::Balancer::new(settings, config.seed),
            names: config.names.clone(),
            jobs: Jobs::default(),
            workers: WorkerTable::new(dropped_stay),
            timers: Timers::default(),
            queued: VecDeque::new(),
            exchange,
            transport,
            worker_list,
            generation: None,
            peer_process,
            pending_settings,
            dropped: Dropped::default(),
            counters,
            stopping,
            clock,
        }
    }

    /// Runs until a stop is asked for and nothing is owed any more.
    ///
    /// `legacy`: a predecessor's, of whose map `known` is the copy.
    pub fn run(mut self, inbox: &Inbox, known: Option<WorkerListUpdate>, handover: Option<&HandoverState>) {
        self.begin(known, handover);
        while !self.is_done() {
            if let Ok(message) = inbox.recv_timeout(self.timers.wait(self.clock.now())) {
                self.take(message);
                while let Ok(message) = inbox.try_recv() {
                    self.take(message);
                }
            }
            self.fire_due();
        }
    }

    fn begin(&mut self, known: Option<WorkerListUpdate>, handover: Option<&HandoverState>) {
        let known = known.unwrap_or(WorkerListUpdate { whole: true, generation: None, entries: Vec::new() });
        self.on_map(known, mr::ListKind::Restored);
        handover.into_iter().for_each(|handover| self.inherit(handover));
        if self.lists_are_pushed() {
            self.worker_list.ask(Call::Watch);
        }
        self.timers.arm(self.clock.now() + TIDY_MS, Due::Tidy);
        self.timers.arm(self.clock.now() + OVERLOOK_MS, Due::Overlook);
    }

    /// Lists come unasked, as the module sees it: the watch is held here, and the module is told of no failure.
    fn lists_are_pushed(&self) -> bool {
        !self.balancer.settings().list_by_call
    }

    fn fire_due(&mut self) {
        let now = self.clock.now();
        while let Some(due) = self.timers.due(now) {
            self.fire(due);
        }
    }

    fn is_done(&self) -> bool {
        let now = self.clock.now();
        self.stopping.grace_is_over(now) && self.jobs.owed() == 0
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Submitted { ticket, job, reply } => self.on_submitted(ticket, job, reply),
            Message::Withdrawn { ticket } => self.on_withdrawn(ticket),
            Message::News(news) => self.on_news(news),
            Message::Accepted { attempt } => self.on_accepted(attempt),
            Message::Ended { attempt, end, load } => self.on_ended(attempt, end, load.as_ref()),
            Message::CalledOff { attempt } => self.on_called_off(attempt),
            Message::Probed { worker, end, latency, load } => {
                let outcome = end.map_or(mr::Outcome::Ok, translate::outcome);
                let load = load.map(|l| translate::load(&self.names, &l));
                self.feed(mr::Event::Probed { worker, outcome, latency, load });
            }
            Message::WorkerList(news) => {
                let kind = if news.whole { mr::ListKind::Replace } else { mr::ListKind::Update };
                self.on_map(news, kind);
            }
            Message::WorkerListUnavailable if self.lists_are_pushed() => {
                self.timers.arm(self.clock.now() + PUSHED_AGAIN_MS, Due::Watch);
            }
            Message::WorkerListUnavailable => {
                self.feed(mr::Event::List { kind: mr::ListKind::Unavailable, entries: Vec::new() });
            }
            Message::Retuned => self.on_settings(),
            Message::Discovery(address) => self.worker_list.turn_to(address),
            Message::Stop => self.on_stop(),
            Message::Ordered(asked) => asked.carry_out(|order| self.on_order(order)),
            Message::PeerRequest(ask) => self.on_ask(ask),
            Message::Nudge => {}
        }
    }

    fn inherit(&mut self, handover: &HandoverState) {
        let memory = handover.memory(&self.names, |name| self.workers.number(name));
        let names = self.workers.names();
        match self.balancer.import(&memory) {
            Ok(()) => self.counters.legacies.add(),
            // To start afresh is safe; bans are not for the module to lose.
            Err(_) => self.counters.legacies_bad.add(),
        }
        for (worker, _) in &memory.banned {
            self.workers.ban(&names[*worker as usize], true);
            self.feed(mr::Event::Ban { worker: *worker, on: true });
        }
    }

    /// Jobs from now on are under the new settings; those that are here keep theirs.
    fn on_settings(&mut self) {
        let Some(ReloadedSettings { mut settings, mut names, conn_idle }) = self.pending_settings.take()
        else {
            return;
        };
        self.transport.retime(settings.limits.connect_timeout, conn_idle);
        let classes = (&self.names.classes, self.balancer.settings());
        let from = self.dropped.merge(classes, &mut names, &mut settings, self.clock.now());
        self.names = names;
        self.workers.dropped_stay = settings.rules.unlisted_stay_open;
        self.feed(mr::Event::Settings { settings: Box::new(settings), from });
    }

    fn on_ask(&mut self, ask: PeerRequest) {
        match ask {
            PeerRequest::Export(give) => {
                let (map, workers) = (self.workers.lines(), self.workers.names());
                let handover =
                    HandoverState::new(self.generation, map, workers, &self.names, self.balancer.export());
                let _ = give.send(handover.encode());
            }
            PeerRequest::UnderWay(give) => {
                let _ = give.send((self.jobs.ids(), self.transport.keep_a_part()));
            }
            PeerRequest::Landed { worker: name, job, attempt } => {
                let Some(worker) = self.workers.find(&name) else { return };
                let mut actions = Vec::new();
                self.balancer.foreign_ended(worker, job, attempt, &mut actions);
                self.act_all(actions);
            }
            PeerRequest::Gone => {
                let mut actions = Vec::new();
                self.balancer.foreign_gone(&mut actions);
                self.act_all(actions);
            }
        }
    }

    fn act_all(&mut self, actions: Vec<mr::Action>) {
        actions.into_iter().for_each(|action| self.act(action));
        self.feed_queued();
    }

    fn on_map(&mut self, news: WorkerListUpdate, kind: mr::ListKind) {
        if news.whole {
            self.workers.expect_all();
        }
        self.generation = news.generation.or(self.generation);
        let entries = news.entries.iter().map(|entry| self.workers.entry(&self.names, entry)).collect();
        self.feed(mr::Event::List { kind, entries });
    }

    fn on_order(&mut self, order: &Order) -> OrderResult {
        let (name, on) = match order {
            Order::Disable(name) => (name, true),
            Order::Enable(name) => (name, false),
        };
        let worker = self.workers.ban(name, on).ok_or("no list has ever named it")?;
        if on { &self.counters.bans } else { &self.counters.bans_ended }.add();
        self.feed(mr::Event::Ban { worker, on });
        Ok(())
    }

    fn on_submitted(&mut self, ticket: Ticket, job: Arc<Job>, reply: Reply) {
        if self.jobs.find(&job.trace_id).is_some() || self.peer_process.is_theirs(&job.trace_id) {
            // Two live jobs of one id could not be told apart in call-backs.
            self.counters.answered_failed.add();
            reply.give(Answer::Failed(Failure::Repeated));
            return;
        }
        if self.clock.now() >= self.stopping.last_moment() {
            // All that is owed has been answered for the last time, and this one was on its way here.
            self.counters.answered_deferred.add();
            reply.give(Answer::Defer { retry_after: None });
            return;
        }
        self.counters.taken.add();
        self.tell_neighbour(|| Transfer::Began(job.trace_id.clone()));
        let request = translate::request(&self.names, ticket, &job);
        self.timers.arm(job.deadline, Due::Deadline(ticket));
        reply.note(|progress| progress.accepted = true);
        self.jobs.insert(ticket, Entry::new(job, reply, &self.balancer.settings().limits));
        self.feed(mr::Event::Request(request));
    }

    fn on_withdrawn(&mut self, ticket: Ticket) {
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        if entry.reply.take_owed().is_some() {
            let job = entry.job.clone();
            self.tell_neighbour(|| Transfer::Ended(job.trace_id.clone()));
            self.counters.withdrawn.add();
            self.queued.push_back(mr::Event::Lapsed { id: ticket });
            self.hold_back(ticket);
            self.jobs.forget_if_over(ticket);
            self.feed_queued();
        }
    }

    /// A call-back: matched by the job's id and the worker's name, and dropped if it fits no live attempt.
    fn on_news(&mut self, news: JobNews) {
        self.counters.news.add();
        if self.peer_process.is_open() && self.jobs.find(&news.trace_id).is_none() {
            let passed = news.body.map(|body| self.peer_process.put(Transfer::News(body)));
            if matches!(passed, Some(Ok(()))) {
                self.counters.news_passed_on.add();
            } else {
                self.counters.news_stale.add();
            }
            return;
        }
        let worker = self.workers.find(&news.from);
        let Some(attempt) = worker.and_then(|worker| self.jobs.attempt_at(&news.trace_id, worker)) else {
            self.counters.news_stale.add();
            return;
        };
        let (id, number) = (attempt.ticket, attempt.number);
        match news.state {
            JobState::Started => {
                if self.jobs.note_start(attempt) {
                    self.tell(id, |progress| {
                        progress.starts += 1;
                        progress.share = 0.0;
                    });
                    self.feed(mr::Event::Started { id, attempt: number });
                }
            }
            JobState::Running { share } => {
                self.tell(id, |progress| progress.share = share.clamp(0.0, 1.0));
                self.feed(mr::Event::Progress { id, attempt: number, share });
            }
            JobState::Done { result } => {
                self.answer(id, Answer::Served { result });
                self.settle(attempt, mr::Outcome::Ok, news.load.as_ref());
            }
            JobState::Failed => self.settle(attempt, mr::Outcome::Failed, news.load.as_ref()),
            JobState::Returned => self.settle(attempt, mr::Outcome::QueueFull, news.load.as_ref()),
            JobState::Lost => self.settle(attempt, mr::Outcome::ResetByPeer, news.load.as_ref()),
        }
    }

    fn on_accepted(&mut self, attempt: AttemptId) {
        self.counters.attempts_accepted.add();
        self.jobs.accept(attempt);
    }

    fn on_ended(&mut self, attempt: AttemptId, end: AttemptEnd, load: Option<&LoadReport>) {
        match end {
            // Its call-back came before the 202, which no longer matters.
            AttemptEnd::Silent if self.jobs.has_started(attempt) => return self.jobs.accept(attempt),
            // Its 202 may be lost, and then no close of the connection gives it up: where no two may be out it is called off
            // as if it had been accepted, or, where that is not allowed, waited for.
            AttemptEnd::Silent if self.jobs.is_alone(attempt.ticket) => {
                if !self.balancer.settings().limits.cancel {
                    return self.jobs.accept(attempt);
                }
                self.give_up(attempt, mr::Outcome::TimedOut);
                return self.feed_queued();
            }
            AttemptEnd::Refused => drop(self.answer(attempt.ticket, Answer::Failed(Failure::Refused))),
            _ => {}
        }
        self.settle(attempt, translate::outcome(end), load);
    }

    /// The worker holds a given-up attempt no more: one of the same job that waited for that may go.
    fn on_called_off(&mut self, attempt: AttemptId) {
        if let Some(outcome) = self.jobs.owing(attempt) {
            return self.settle(attempt, outcome, None);
        }
        let Some((parked, worker)) = self.jobs.called_off(attempt) else { return };
        if self.workers.is_active(worker) {
            self.deliver(parked, worker);
        } else {
            // Told meanwhile that it leaves: a send now would come too late (rule 3).
            self.settle(parked, mr::Outcome::Ignored, None);
        }
    }

    /// Books the one outcome of an attempt; whatever comes later for it is dropped.
    fn settle(&mut self, attempt: AttemptId, outcome: mr::Outcome, load: Option<&LoadReport>) {
        let Some(settled) = self.jobs.settle(attempt, outcome) else { return };
        self.jobs.forget_if_over(attempt.ticket);
        let load = load.map(|l| translate::load(&self.names, l));
        self.book(attempt, &settled, outcome, load);
        self.feed_queued();
    }

    /// Counts an outcome and queues it for the module.
    fn book(&mut self, attempt: AttemptId, settled: &Settled, outcome: mr::Outcome, load: Option<mr::Load>) {
        translate::count(&self.counters, outcome);
        self.tell_neighbour(|| Transfer::Landed {
            worker: self.workers.name(settled.worker),
            job: attempt.ticket,
            attempt: attempt.number,
        });
        self.queued.push_back(mr::Event::Outcome {
            id: attempt.ticket,
            attempt: attempt.number,
            worker: settled.worker,
            outcome,
            latency: self.clock.now() - settled.sent,
            closed: settled.answered,
            load,
        });
    }

    /// Of what both processes of an upgrade have to know. It may be lost with the other process, never delay this one.
    fn tell_neighbour(&self, parcel: impl FnOnce() -> Transfer) {
        if self.peer_process.is_open() {
            let _ = self.peer_process.put(parcel());
        }
    }

    /// Whoever follows the job sees how far it has come.
    fn tell(&mut self, ticket: Ticket, change: impl FnOnce(&mut Progress)) {
        if let Some(reply) = self.jobs.get_mut(ticket).and_then(|entry| entry.reply.owed()) {
            reply.note(change);
        }
    }

    /// Gives the one answer; false if it was given before or the client has gone.
    fn answer(&mut self, ticket: Ticket, answer: Answer) -> bool {
        let Some(entry) = self.jobs.get_mut(ticket) else { return false };
        let Some(reply) = entry.reply.take_owed() else { return false };
        let job = entry.job.clone();
        self.tell_neighbour(|| Transfer::Ended(job.trace_id.clone()));
        match answer {
            Answer::Served { .. } => self.counters.answered_served.add(),
            Answer::Defer { .. } => self.counters.answered_deferred.add(),
            Answer::Failed(_) => self.counters.answered_failed.add(),
        }
        reply.give(answer);
        self.hold_back(ticket);
        self.jobs.forget_if_over(ticket);
        true
    }

    /// Nothing is owed for a job any more: what has not been sent of it ends as never sent, by whatever path it was on
    /// its way. What a worker may have is called off only as the module says.
    fn hold_back(&mut self, ticket: Ticket) {
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        let live = entry.live().into_iter().map(|number| (number, entry.attempts[number].state));
        for (number, state) in live.collect::<Vec<_>>() {
            let attempt = AttemptId { ticket, number };
            match state {
                AttemptState::Sent => self.transport.hold_back(attempt),
                AttemptState::Parked => {
                    if let Some(settled) = self.jobs.settle(attempt, mr::Outcome::Ignored) {
                        self.book(attempt, &settled, mr::Outcome::Ignored, None);
                    }
                }
                AttemptState::CallingOff => self.give_up(attempt, mr::Outcome::Canceled),
                _ => {}
            }
        }
    }

    /// Gives the module an event, then those that its actions caused, and carries out what it says to each.
    fn feed(&mut self, event: mr::Event) {
        self.queued.push_back(event);
        self.feed_queued();
    }

    fn feed_queued(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.queued.pop_front() {
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: mr::Action) {
        match action {
            mr::Action::Send { id, worker, timeout } => self.send(id, worker, timeout),
            mr::Action::Refuse { id, retry_after } => {
                let retry_after = (retry_after > 0.0).then_some(retry_after);
                self.answer(id, Answer::Defer { retry_after });
            }
            mr::Action::Fail { id } => {
                let late = self.jobs.get_mut(id).is_some_and(|e| self.clock.now() >= e.job.deadline);
                let failure = if late { Failure::Late } else { Failure::Attempts };
                self.answer(id, Answer::Failed(failure));
            }
            mr::Action::Cancel { id, attempt } => {
                self.give_up(AttemptId { ticket: id, number: attempt }, mr::Outcome::Canceled);
            }
            mr::Action::Probe { worker } => match self.workers.locate(worker) {
                Some(worker) => self.transport.probe(worker),
                None => self.queued.push_back(mr::Event::Probed {
                    worker,
                    outcome: mr::Outcome::ConnectError,
                    latency: 0.0,
                    load: None,
                }),
            },
            mr::Action::Release { worker } => self.transport.release(worker),
            mr::Action::Timer { token, delay } => {
                self.timers.arm(self.clock.now() + delay.max(0.0), Due::Module(token));
            }
            mr::Action::Watch => self.worker_list.ask(Call::Watch),
            mr::Action::Fetch => self.worker_list.ask(Call::Fetch),
        }
    }

    fn send(&mut self, ticket: Ticket, worker: WorkerId, timeout: f64) {
        let now = self.clock.now();
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        let until = match timeout {
            cap if cap != 0.0 => entry.job.deadline.min(now + cap),
            _ => entry.job.deadline,
        };
        let attempt = AttemptId { ticket, number: entry.attempts.len() };
        let answered = entry.reply.is_settled();
        let over = answered || until <= now || attempt.number >= entry.most_attempts;
        // A worker gets one attempt of a job at a time.
        let state = match entry.at(worker) {
            _ if over => AttemptState::Over,
            None => AttemptState::Sent,
            Some(AttemptState::CallingOff) => AttemptState::Parked,
            Some(_) => AttemptState::Over,
        };
        entry.add(worker, now, until, state);
        if until < entry.job.deadline {
            self.timers.arm(until, Due::Attempt(attempt));
        }
        match state {
            AttemptState::Over => {
                let nothing_sent =
                    Settled { worker, sent: now, answered, was_sent: false, was_accepted: false };
                self.book(attempt, &nothing_sent, mr::Outcome::Ignored, None);
            }
            AttemptState::Sent => self.deliver(attempt, worker),
            _ => {}
        }
    }

    fn deliver(&mut self, attempt: AttemptId, worker: WorkerId) {
        let Some(entry) = self.jobs.get_mut(attempt.ticket) else { return };
        let (job, until) = (entry.job.clone(), entry.attempts[attempt.number].until);
        self.counters.attempts_sent.add();
        match self.workers.locate(worker) {
            Some(place) => self.transport.deliver(attempt, place, job, until),
            // The map named it without an address: it cannot be connected to.
            None => self.end_later(attempt, AttemptEnd::NotConnected),
        }
    }

    /// Reports an end through the exchange, as workers do: the module must not be called from its own actions.
    fn end_later(&self, attempt: AttemptId, end: AttemptEnd) {
        self.exchange.put(Message::Ended { attempt, end, load: None });
    }

    /// Stops waiting for an attempt and tells its worker so, where the settings allow that: elsewhere what is not sent
    /// yet stays so, and the rest takes its course.
    fn give_up(&mut self, attempt: AttemptId, outcome: mr::Outcome) {
        let told = self.balancer.settings().limits.cancel;
        let Some(entry) = self.jobs.get_mut(attempt.ticket) else { return };
        let job = entry.job.clone();
        // Where no two may be out together, the module hears of it once the worker has.
        let later = told && entry.alone && !entry.reply.is_settled() && self.clock.now() < job.deadline;
        let Some(gone) = entry.give_up(attempt.number, told, later.then_some(outcome)) else { return };
        let worker = self.workers.locate(gone.worker).filter(|_| gone.was_sent);
        let waits = later && worker.is_some();
        match worker {
            Some(worker) if told => self.transport.call_off(attempt, worker, job, gone.was_accepted, later),
            _ => self.transport.hold_back(attempt),
        }
        if !waits {
            self.jobs.forget_if_over(attempt.ticket);
            self.book(attempt, &gone, outcome, None);
        }
    }

    fn fire(&mut self, due: Due) {
        match due {
            Due::Module(token) => self.feed(mr::Event::Timer { token }),
            Due::Deadline(ticket) => self.on_deadline(ticket),
            Due::Overdue(ticket) => self.on_overdue(ticket),
            Due::Attempt(attempt) => {
                self.give_up(attempt, mr::Outcome::TimedOut);
                self.feed_queued();
            }
            Due::Tidy => {
                self.transport.tidy();
                self.timers.arm(self.clock.now() + TIDY_MS, Due::Tidy);
            }
            Due::Overlook => {
                self.transport.cut_overdue();
                self.worker_list.tidy();
                self.timers.arm(self.clock.now() + OVERLOOK_MS, Due::Overlook);
            }
            Due::Watch => self.worker_list.ask(Call::Watch),
            Due::StopHard => self.fail_all(),
        }
    }

    /// The client's time is up: every attempt that is still out has timed out.
    fn on_deadline(&mut self, ticket: Ticket) {
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        for number in entry.live() {
            self.give_up(AttemptId { ticket, number }, mr::Outcome::TimedOut);
        }
        self.feed_queued();
        self.timers.arm(self.clock.now() + OVERDUE_MS, Due::Overdue(ticket));
    }

    fn on_overdue(&mut self, ticket: Ticket) {
        if self.answer(ticket, Answer::Failed(Failure::Late)) {
            self.counters.answered_overdue.add();
            self.feed(mr::Event::Lapsed { id: ticket });
        }
        self.jobs.forget(ticket);
    }

    fn on_stop(&mut self) {
        if self.stopping.begin(self.clock.now()) {
            self.timers.arm(self.stopping.last_moment(), Due::StopHard);
        }
    }

    /// The platform is about to kill this process: a failed answer beats none.
    fn fail_all(&mut self) {
        for ticket in self.jobs.tickets_owed() {
            if self.answer(ticket, Answer::Failed(Failure::Late)) {
                self.feed(mr::Event::Lapsed { id: ticket });
            }
        }
    }
}
