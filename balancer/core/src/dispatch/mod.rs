//! The dispatch coroutine: the only owner of the decision module's `Balancer`, of the jobs, and of all
//! deadlines and timers. It passes events to the module in the order in which they happen and carries out the
//! module's actions in the order in which they are returned.

mod handover_state;
mod jobs;
#[cfg(test)]
mod random_order_tests;
mod settings_reload;
mod timers;
mod translate;

use crate::worker_list::{ListRequest, WorkerListWatcher};
use crate::worker_transport::{HttpTransport, WorkerTransport};
pub use handover_state::{HandoverState, HandoverStateError};
use jobs::{AttemptState, EndedAttempt, JobEntry, Jobs};
use millrudder as mr;
use millrudder_config::{Config, Names};
use millrudder_exchange::clock::Clock;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::{
    Answer, AttemptEnd, AttemptId, Exchange, Failure, Inbox, Job, JobState, LoadReport, Message, Order,
    OrderResult, PeerProcess, PeerRequest, Progress, Reply, Ticket, Transfer, WorkerCallBack, WorkerId,
    WorkerListUpdate,
};
use settings_reload::DroppedClasses;
pub use settings_reload::{PendingSettings, ReloadedSettings};
use std::collections::VecDeque;
use std::sync::Arc;
use timers::{Due, Timers};
use translate::WorkerTable;

/// At a job's deadline the module answers that it timed out. A job that is still unanswered this long after
/// its deadline is answered as failed (ms; shorter than the setting `answer_slack`).
const ANSWER_OVERDUE_MS: f64 = 5.0;
/// How often idle connections are checked for those to be closed (ms).
const CLOSE_STALE_INTERVAL_MS: f64 = 500.0;
/// How often requests to workers and to discovery are checked for overdue answers (ms).
const ABORT_OVERDUE_INTERVAL_MS: f64 = 50.0;

/// How soon a failed watch is reopened where the site pushes worker lists (ms). Discovery is then a local
/// agent of this dispatcher alone, so no other dispatcher's load has to be considered; and whatever the agent
/// knows counts as known to this dispatcher, so the delay must be short.
const REOPEN_WATCH_DELAY_MS: f64 = 50.0;

/// The state of the dispatch coroutine; `W` sends requests to workers.
pub struct Dispatch<W = HttpTransport> {
    balancer: mr::Balancer,
    names: Names,
    jobs: Jobs,
    workers: WorkerTable,
    timers: Timers,
    /// Events caused by the module's own actions. The module gets them only after all actions of the event
    /// before have been carried out.
    queued: VecDeque<mr::Event>,
    exchange: Exchange,
    transport: W,
    worker_list: WorkerListWatcher,
    /// Discovery's generation number of the worker list that is in force.
    generation: Option<u64>,
    peer_process: PeerProcess,
    pending_settings: PendingSettings,
    dropped_classes: DroppedClasses,
    counters: Arc<Counters>,
    stopping: Stopping,
    clock: Clock,
}

/// The parts of the program that [`Dispatch`] uses.
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
        let keep_dropped_open = settings.rules.unlisted_stay_open;
        Dispatch {
            balancer: mr::Balancer::new(settings, config.seed),
            names: config.names.clone(),
            jobs: Jobs::default(),
            workers: WorkerTable::new(keep_dropped_open),
            timers: Timers::default(),
            queued: VecDeque::new(),
            exchange,
            transport,
            worker_list,
            generation: None,
            peer_process,
            pending_settings,
            dropped_classes: DroppedClasses::default(),
            counters,
            stopping,
            clock,
        }
    }

    /// Runs until the program has been told to stop and every job is answered.
    ///
    /// `known` is the worker list to start with. With a `handover` state, received from the old process of an
    /// upgrade, it is the list of that state.
    pub fn run(mut self, inbox: &Inbox, known: Option<WorkerListUpdate>, handover: Option<&HandoverState>) {
        self.begin(known, handover);
        while !self.is_done() {
            if let Ok(message) = inbox.recv_timeout(self.timers.time_to_next(self.clock.now())) {
                self.handle_message(message);
                while let Ok(message) = inbox.try_recv() {
                    self.handle_message(message);
                }
            }
            self.run_due_timers();
        }
    }

    fn begin(&mut self, known: Option<WorkerListUpdate>, handover: Option<&HandoverState>) {
        let known = known.unwrap_or(WorkerListUpdate { whole: true, generation: None, entries: Vec::new() });
        self.on_worker_list(known, mr::ListKind::Restored);
        handover.into_iter().for_each(|handover| self.import_handover_state(handover));
        if self.lists_are_pushed() {
            self.worker_list.request(ListRequest::Watch);
        }
        self.timers.set(self.clock.now() + CLOSE_STALE_INTERVAL_MS, Due::CloseStale);
        self.timers.set(self.clock.now() + ABORT_OVERDUE_INTERVAL_MS, Due::AbortOverdue);
    }

    /// Whether the site pushes worker lists. The module then does not ask for lists: this coroutine keeps the
    /// watch open, and failures of the watch are not reported to the module.
    fn lists_are_pushed(&self) -> bool {
        !self.balancer.settings().list_by_call
    }

    fn run_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some(due) = self.timers.pop_due(now) {
            self.on_due(due);
        }
    }

    fn is_done(&self) -> bool {
        let now = self.clock.now();
        self.stopping.grace_is_over(now) && self.jobs.unanswered() == 0
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Submitted { ticket, job, reply } => self.on_submitted(ticket, job, reply),
            Message::Withdrawn { ticket } => self.on_withdrawn(ticket),
            Message::CallBack(news) => self.on_call_back(news),
            Message::Accepted { attempt } => self.on_accepted(attempt),
            Message::Ended { attempt, end, load } => self.on_ended(attempt, end, load.as_ref()),
            Message::CancelFinished { attempt } => self.on_cancelled(attempt),
            Message::Probed { worker, end, latency, load } => {
                let outcome = end.map_or(mr::Outcome::Ok, translate::outcome);
                let load = load.map(|l| translate::load(&self.names, &l));
                self.handle_event(mr::Event::Probed { worker, outcome, latency, load });
            }
            Message::WorkerList(news) => {
                let kind = if news.whole { mr::ListKind::Replace } else { mr::ListKind::Update };
                self.on_worker_list(news, kind);
            }
            Message::WorkerListUnavailable if self.lists_are_pushed() => {
                self.timers.set(self.clock.now() + REOPEN_WATCH_DELAY_MS, Due::ReopenWatch);
            }
            Message::WorkerListUnavailable => {
                self.handle_event(mr::Event::List { kind: mr::ListKind::Unavailable, entries: Vec::new() });
            }
            Message::SettingsChanged => self.on_settings(),
            Message::Discovery(address) => self.worker_list.switch_to(address),
            Message::Stop => self.on_stop(),
            Message::Ordered(pending) => pending.carry_out(|order| self.on_order(order)),
            Message::PeerRequest(request) => self.on_peer_request(request),
            Message::WakeUp => {}
        }
    }

    fn import_handover_state(&mut self, handover: &HandoverState) {
        let learned = handover.learned_state(&self.names, |name| self.workers.assign_id(name));
        let names = self.workers.names();
        match self.balancer.import(&learned) {
            Ok(()) => self.counters.legacies.add(),
            // Starting without learned values is safe. Bans are operators' orders and are restored below in
            // any case.
            Err(_) => self.counters.legacies_bad.add(),
        }
        for (worker, _) in &learned.banned {
            self.workers.ban(&names[*worker as usize], true);
            self.handle_event(mr::Event::Ban { worker: *worker, on: true });
        }
    }

    /// Applies reloaded settings. They hold for jobs submitted from now on; present jobs keep their limits.
    fn on_settings(&mut self) {
        let Some(ReloadedSettings { mut settings, mut names, conn_idle }) = self.pending_settings.take()
        else {
            return;
        };
        self.transport.set_timeouts(settings.limits.connect_timeout, conn_idle);
        let classes = (&self.names.classes, self.balancer.settings());
        let from = self.dropped_classes.merge(classes, &mut names, &mut settings, self.clock.now());
        self.names = names;
        self.workers.keep_dropped_open = settings.rules.unlisted_stay_open;
        self.handle_event(mr::Event::Settings { settings: Box::new(settings), from });
    }

    fn on_peer_request(&mut self, request: PeerRequest) {
        match request {
            PeerRequest::Export(reply) => {
                let (worker_list, worker_names) = (self.workers.entries(), self.workers.names());
                let handover = HandoverState::new(
                    self.generation,
                    worker_list,
                    worker_names,
                    &self.names,
                    self.balancer.export(),
                );
                let _ = reply.send(handover.encode());
            }
            PeerRequest::UnfinishedJobs(reply) => {
                let _ = reply.send((self.jobs.ids(), self.transport.share_connections()));
            }
            PeerRequest::AttemptEnded { worker: name, job, attempt } => {
                let Some(worker) = self.workers.id_of(&name) else { return };
                let mut actions = Vec::new();
                self.balancer.predecessor_attempt_ended(worker, job, attempt, &mut actions);
                self.execute_all(actions);
            }
            PeerRequest::PeerEnded => {
                let mut actions = Vec::new();
                self.balancer.predecessor_gone(&mut actions);
                self.execute_all(actions);
            }
        }
    }

    fn execute_all(&mut self, actions: Vec<mr::Action>) {
        actions.into_iter().for_each(|action| self.execute(action));
        self.handle_queued_events();
    }

    fn on_worker_list(&mut self, news: WorkerListUpdate, kind: mr::ListKind) {
        if news.whole {
            self.workers.begin_full_list();
        }
        self.generation = news.generation.or(self.generation);
        let entries = news.entries.iter().map(|entry| self.workers.apply(&self.names, entry)).collect();
        self.handle_event(mr::Event::List { kind, entries });
    }

    fn on_order(&mut self, order: &Order) -> OrderResult {
        let (name, on) = match order {
            Order::Disable(name) => (name, true),
            Order::Enable(name) => (name, false),
        };
        let worker = self.workers.ban(name, on).ok_or("no list has ever named it")?;
        if on { &self.counters.bans } else { &self.counters.bans_ended }.add();
        self.handle_event(mr::Event::Ban { worker, on });
        Ok(())
    }

    fn on_submitted(&mut self, ticket: Ticket, job: Arc<Job>, reply: Reply) {
        if self.jobs.find(&job.trace_id).is_some() || self.peer_process.is_peer_job(&job.trace_id) {
            // Call-backs carry only the job's id, so two live jobs with one id could not be distinguished.
            self.counters.answered_failed.add();
            reply.give(Answer::Failed(Failure::Repeated));
            return;
        }
        if self.clock.now() >= self.stopping.last_moment() {
            // `fail_unanswered` has answered all jobs for the last time, and this one was still in the
            // exchange's queue.
            self.counters.answered_deferred.add();
            reply.give(Answer::Defer { retry_after: None });
            return;
        }
        self.counters.taken.add();
        self.notify_peer_process(|| Transfer::JobStarted(job.trace_id.clone()));
        let request = translate::request(&self.names, ticket, &job);
        self.timers.set(job.deadline, Due::Deadline(ticket));
        reply.update_progress(|progress| progress.accepted = true);
        self.jobs.insert(ticket, JobEntry::new(job, reply, &self.balancer.settings().limits));
        self.handle_event(mr::Event::Request(request));
    }

    /// The client has gone.
    fn on_withdrawn(&mut self, ticket: Ticket) {
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        if entry.reply.take().is_some() {
            let job = entry.job.clone();
            self.notify_peer_process(|| Transfer::JobEnded(job.trace_id.clone()));
            self.counters.withdrawn.add();
            self.queued.push_back(mr::Event::Lapsed { id: ticket });
            self.withhold_unsent(ticket);
            self.jobs.forget_if_finished(ticket);
            self.handle_queued_events();
        }
    }

    /// Handles a worker's call-back. It is matched to an attempt by the job's id and the worker's name and
    /// dropped if no attempt there is outstanding. During an upgrade, a call-back for an unknown job goes to
    /// the other process.
    fn on_call_back(&mut self, news: WorkerCallBack) {
        self.counters.news.add();
        if self.peer_process.is_open() && self.jobs.find(&news.trace_id).is_none() {
            let passed_on = news.body.map(|body| self.peer_process.put(Transfer::CallBack(body)));
            if matches!(passed_on, Some(Ok(()))) {
                self.counters.news_passed_on.add();
            } else {
                self.counters.news_stale.add();
            }
            return;
        }
        let worker = self.workers.id_of(&news.from);
        let Some(attempt) = worker.and_then(|worker| self.jobs.attempt_at(&news.trace_id, worker)) else {
            self.counters.news_stale.add();
            return;
        };
        let (id, number) = (attempt.ticket, attempt.number);
        match news.state {
            JobState::Started => {
                if self.jobs.record_start(attempt) {
                    self.note_progress(id, |progress| {
                        progress.starts += 1;
                        progress.share = 0.0;
                    });
                    self.handle_event(mr::Event::Started { id, attempt: number });
                }
            }
            JobState::Running { share } => {
                self.note_progress(id, |progress| progress.share = share.clamp(0.0, 1.0));
                self.handle_event(mr::Event::Progress { id, attempt: number, share });
            }
            JobState::Done { result } => {
                self.answer(id, Answer::Served { result });
                self.end_attempt(attempt, mr::Outcome::Ok, news.load.as_ref());
            }
            JobState::Failed => self.end_attempt(attempt, mr::Outcome::Failed, news.load.as_ref()),
            JobState::Returned => self.end_attempt(attempt, mr::Outcome::QueueFull, news.load.as_ref()),
            JobState::Lost => self.end_attempt(attempt, mr::Outcome::ResetByPeer, news.load.as_ref()),
        }
    }

    /// A worker has answered 202.
    fn on_accepted(&mut self, attempt: AttemptId) {
        self.counters.attempts_accepted.add();
        self.jobs.accept(attempt);
    }

    /// An attempt has ended without a 202.
    fn on_ended(&mut self, attempt: AttemptId, end: AttemptEnd, load: Option<&LoadReport>) {
        match end {
            // A call-back has reported that the job started, so the missing 202 does not matter.
            AttemptEnd::Silent if self.jobs.has_started(attempt) => return self.jobs.accept(attempt),
            // The worker may have sent a 202 that was lost. Closing the connection does not cancel the job
            // there then. If the job must not have two attempts at once, this attempt is cancelled as if it
            // had been accepted; where the site forbids cancels, it is waited for instead.
            AttemptEnd::Silent if self.jobs.is_exclusive(attempt.ticket) => {
                if !self.balancer.settings().limits.cancel {
                    return self.jobs.accept(attempt);
                }
                self.give_up(attempt, mr::Outcome::TimedOut);
                return self.handle_queued_events();
            }
            AttemptEnd::Refused => drop(self.answer(attempt.ticket, Answer::Failed(Failure::Refused))),
            _ => {}
        }
        self.end_attempt(attempt, translate::outcome(end), load);
    }

    /// The worker no longer holds a cancelled attempt. Ends the attempt if its outcome was deferred until
    /// now, or sends the attempt of the same job that waited to go to this worker.
    fn on_cancelled(&mut self, attempt: AttemptId) {
        if let Some(outcome) = self.jobs.deferred_outcome(attempt) {
            return self.end_attempt(attempt, outcome, None);
        }
        let Some((waiting, worker)) = self.jobs.cancelled(attempt) else { return };
        if self.workers.accepts_jobs(worker) {
            self.deliver(waiting, worker);
        } else {
            // The worker began to drain or was banned while the attempt waited, so sending now would be too
            // late (rule 3).
            self.end_attempt(waiting, mr::Outcome::Ignored, None);
        }
    }

    /// Ends an attempt with its outcome and passes that to the module. An attempt has one outcome: later ones
    /// are dropped.
    fn end_attempt(&mut self, attempt: AttemptId, outcome: mr::Outcome, load: Option<&LoadReport>) {
        let Some(ended) = self.jobs.end_attempt(attempt, outcome) else { return };
        self.jobs.forget_if_finished(attempt.ticket);
        let load = load.map(|l| translate::load(&self.names, l));
        self.record_outcome(attempt, &ended, outcome, load);
        self.handle_queued_events();
    }

    /// Counts an outcome, reports it to the other process of an upgrade and queues it for the module.
    fn record_outcome(
        &mut self,
        attempt: AttemptId,
        ended: &EndedAttempt,
        outcome: mr::Outcome,
        load: Option<mr::Load>,
    ) {
        translate::count(&self.counters, outcome);
        self.notify_peer_process(|| Transfer::AttemptEnded {
            worker: self.workers.name(ended.worker),
            job: attempt.ticket,
            attempt: attempt.number,
        });
        self.queued.push_back(mr::Event::Outcome {
            id: attempt.ticket,
            attempt: attempt.number,
            worker: ended.worker,
            outcome,
            latency: self.clock.now() - ended.sent_at,
            closed: ended.answered,
            load,
        });
    }

    /// Sends the other process of an upgrade something that both must know. Failures are ignored: the
    /// transfer may be lost if the other process ends, but must never delay this one.
    fn notify_peer_process(&self, transfer: impl FnOnce() -> Transfer) {
        if self.peer_process.is_open() {
            let _ = self.peer_process.put(transfer());
        }
    }

    /// Updates the progress that a front may show to the job's client.
    fn note_progress(&mut self, ticket: Ticket, change: impl FnOnce(&mut Progress)) {
        if let Some(reply) = self.jobs.get_mut(ticket).and_then(|entry| entry.reply.get()) {
            reply.update_progress(change);
        }
    }

    /// Answers a job. Returns false if it was answered before or its client has gone.
    fn answer(&mut self, ticket: Ticket, answer: Answer) -> bool {
        let Some(entry) = self.jobs.get_mut(ticket) else { return false };
        let Some(reply) = entry.reply.take() else { return false };
        let job = entry.job.clone();
        self.notify_peer_process(|| Transfer::JobEnded(job.trace_id.clone()));
        match answer {
            Answer::Served { .. } => self.counters.answered_served.add(),
            Answer::Defer { .. } => self.counters.answered_deferred.add(),
            Answer::Failed(_) => self.counters.answered_failed.add(),
        }
        reply.give(answer);
        self.withhold_unsent(ticket);
        self.jobs.forget_if_finished(ticket);
        true
    }

    /// The job is answered or its client has gone: attempts that are not yet fully sent end as never sent,
    /// whichever stage they have reached. Attempts that a worker may have received are cancelled only when
    /// the module says so.
    fn withhold_unsent(&mut self, ticket: Ticket) {
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        let live = entry.live_attempts().into_iter().map(|number| (number, entry.attempts[number].state));
        for (number, state) in live.collect::<Vec<_>>() {
            let attempt = AttemptId { ticket, number };
            match state {
                AttemptState::Sent => self.transport.withhold_unsent(attempt),
                AttemptState::AwaitingCancel => {
                    if let Some(ended) = self.jobs.end_attempt(attempt, mr::Outcome::Ignored) {
                        self.record_outcome(attempt, &ended, mr::Outcome::Ignored, None);
                    }
                }
                AttemptState::Cancelling => self.give_up(attempt, mr::Outcome::Canceled),
                _ => {}
            }
        }
    }

    /// Passes an event to the module, then the events that its actions cause, and carries out all resulting
    /// actions.
    fn handle_event(&mut self, event: mr::Event) {
        self.queued.push_back(event);
        self.handle_queued_events();
    }

    fn handle_queued_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.queued.pop_front() {
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: mr::Action) {
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
            mr::Action::Probe { worker } => match self.workers.endpoint(worker) {
                Some(worker) => self.transport.probe(worker),
                None => self.queued.push_back(mr::Event::Probed {
                    worker,
                    outcome: mr::Outcome::ConnectError,
                    latency: 0.0,
                    load: None,
                }),
            },
            mr::Action::CloseIdleConnections { worker } => self.transport.close_idle(worker),
            mr::Action::Timer { token, delay } => {
                self.timers.set(self.clock.now() + delay.max(0.0), Due::ModuleTimer(token));
            }
            mr::Action::Watch => self.worker_list.request(ListRequest::Watch),
            mr::Action::Fetch => self.worker_list.request(ListRequest::Fetch),
        }
    }

    /// Starts an attempt of a job as the module says. `timeout`: its own time limit (ms), 0 for none.
    fn send(&mut self, ticket: Ticket, worker: WorkerId, timeout: f64) {
        let now = self.clock.now();
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        let expires_at = match timeout {
            cap if cap != 0.0 => entry.job.deadline.min(now + cap),
            _ => entry.job.deadline,
        };
        let attempt = AttemptId { ticket, number: entry.attempts.len() };
        let answered = entry.reply.is_closed();
        let is_rejected = answered || expires_at <= now || attempt.number >= entry.max_attempts;
        // A worker may hold only one attempt of a job at a time.
        let state = match entry.state_at(worker) {
            _ if is_rejected => AttemptState::Ended,
            None => AttemptState::Sent,
            Some(AttemptState::Cancelling) => AttemptState::AwaitingCancel,
            Some(_) => AttemptState::Ended,
        };
        entry.add_attempt(worker, now, expires_at, state);
        if expires_at < entry.job.deadline {
            self.timers.set(expires_at, Due::AttemptTimeout(attempt));
        }
        match state {
            AttemptState::Ended => {
                let nothing_sent =
                    EndedAttempt { worker, sent_at: now, answered, was_sent: false, was_accepted: false };
                self.record_outcome(attempt, &nothing_sent, mr::Outcome::Ignored, None);
            }
            AttemptState::Sent => self.deliver(attempt, worker),
            _ => {}
        }
    }

    /// Hands an attempt to the transport.
    fn deliver(&mut self, attempt: AttemptId, worker: WorkerId) {
        let Some(entry) = self.jobs.get_mut(attempt.ticket) else { return };
        let (job, expires_at) = (entry.job.clone(), entry.attempts[attempt.number].expires_at);
        self.counters.attempts_sent.add();
        match self.workers.endpoint(worker) {
            Some(endpoint) => self.transport.deliver(attempt, endpoint, job, expires_at),
            // The worker list never gave an address for this worker.
            None => self.report_end(attempt, AttemptEnd::NotConnected),
        }
    }

    /// Reports an attempt's end through the exchange, as the transport does, because the module must not be
    /// called while one of its actions is being carried out.
    fn report_end(&self, attempt: AttemptId, end: AttemptEnd) {
        self.exchange.send(Message::Ended { attempt, end, load: None });
    }

    /// Stops waiting for an attempt. If the settings allow cancels, the worker is asked to cancel it.
    /// Otherwise an attempt that is not yet fully sent is withheld, and one that is sent runs on unobserved.
    fn give_up(&mut self, attempt: AttemptId, outcome: mr::Outcome) {
        let may_cancel = self.balancer.settings().limits.cancel;
        let Some(entry) = self.jobs.get_mut(attempt.ticket) else { return };
        let job = entry.job.clone();
        // If the job must not have two attempts at once, the module may send the next one only after the
        // worker has confirmed the cancel. The outcome is deferred until then.
        let wait_for_cancel =
            may_cancel && entry.exclusive && !entry.reply.is_closed() && self.clock.now() < job.deadline;
        let Some(ended) = entry.give_up(attempt.number, may_cancel, wait_for_cancel.then_some(outcome))
        else {
            return;
        };
        let worker = self.workers.endpoint(ended.worker).filter(|_| ended.was_sent);
        let is_waiting = wait_for_cancel && worker.is_some();
        match worker {
            Some(worker) if may_cancel => {
                self.transport.cancel(attempt, worker, job, ended.was_accepted, wait_for_cancel)
            }
            _ => self.transport.withhold_unsent(attempt),
        }
        if !is_waiting {
            self.jobs.forget_if_finished(attempt.ticket);
            self.record_outcome(attempt, &ended, outcome, None);
        }
    }

    fn on_due(&mut self, due: Due) {
        match due {
            Due::ModuleTimer(token) => self.handle_event(mr::Event::Timer { token }),
            Due::Deadline(ticket) => self.on_deadline(ticket),
            Due::AnswerOverdue(ticket) => self.on_answer_overdue(ticket),
            Due::AttemptTimeout(attempt) => {
                self.give_up(attempt, mr::Outcome::TimedOut);
                self.handle_queued_events();
            }
            Due::CloseStale => {
                self.transport.close_stale();
                self.timers.set(self.clock.now() + CLOSE_STALE_INTERVAL_MS, Due::CloseStale);
            }
            Due::AbortOverdue => {
                self.transport.abort_overdue();
                self.worker_list.abort_overdue();
                self.timers.set(self.clock.now() + ABORT_OVERDUE_INTERVAL_MS, Due::AbortOverdue);
            }
            Due::ReopenWatch => self.worker_list.request(ListRequest::Watch),
            Due::FailUnanswered => self.fail_unanswered(),
        }
    }

    /// The job's deadline has passed: every live attempt has timed out.
    fn on_deadline(&mut self, ticket: Ticket) {
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        for number in entry.live_attempts() {
            self.give_up(AttemptId { ticket, number }, mr::Outcome::TimedOut);
        }
        self.handle_queued_events();
        self.timers.set(self.clock.now() + ANSWER_OVERDUE_MS, Due::AnswerOverdue(ticket));
    }

    /// The module has not answered the job in time.
    fn on_answer_overdue(&mut self, ticket: Ticket) {
        if self.answer(ticket, Answer::Failed(Failure::Late)) {
            self.counters.answered_overdue.add();
            self.handle_event(mr::Event::Lapsed { id: ticket });
        }
        self.jobs.forget(ticket);
    }

    fn on_stop(&mut self) {
        if self.stopping.begin(self.clock.now()) {
            self.timers.set(self.stopping.last_moment(), Due::FailUnanswered);
        }
    }

    /// Answers all open jobs as failed: the platform is about to kill this process, and that answer is better
    /// than none.
    fn fail_unanswered(&mut self) {
        for ticket in self.jobs.unanswered_tickets() {
            if self.answer(ticket, Answer::Failed(Failure::Late)) {
                self.handle_event(mr::Event::Lapsed { id: ticket });
            }
        }
    }
}
