//! The jobs that the dispatch coroutine holds, and their delivery attempts.

use millrudder::{Limits, Outcome};
use millrudder_exchange::{AttemptId, Job, Reply, Ticket, WorkerId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Not sent yet: waits until the worker has confirmed the cancel of an earlier attempt of the same job.
    AwaitingCancel,
    /// Handed to the transport; no 202 has come.
    Sent,
    /// The worker has answered 202.
    Accepted,
    /// Given up; the worker has not yet confirmed the cancel.
    Cancelling,
    /// Timed out without an answer. The outcome is recorded, but the worker may still hold the attempt and
    /// therefore gets no other attempt of the job.
    Unresolved,
    /// Over; its worker may get another attempt of the job.
    Ended,
}

/// One delivery attempt of a job.
pub struct Attempt {
    pub worker: WorkerId,
    /// Clock time (ms).
    pub sent_at: f64,
    /// Clock time (ms) at which the dispatcher stops waiting for it.
    pub expires_at: f64,
    pub state: AttemptState,
    /// A call-back has reported that it runs.
    started: bool,
    /// The outcome that the attempt will get once the worker confirms its cancel. Used where a job must not
    /// have two attempts at once: the module must not send the next one before the worker has dropped this
    /// one.
    deferred_outcome: Option<Outcome>,
}

impl Attempt {
    /// The attempt has no outcome yet.
    fn is_live(&self) -> bool {
        self.state == AttemptState::AwaitingCancel || self.is_outstanding()
    }

    /// The attempt has been sent and its outcome is still awaited.
    fn is_outstanding(&self) -> bool {
        matches!(self.state, AttemptState::Sent | AttemptState::Accepted) || self.deferred_outcome.is_some()
    }
}

/// The channel to a job's client until the job is answered; it can be taken once.
pub struct PendingReply(Option<Reply>);

impl PendingReply {
    pub fn take(&mut self) -> Option<Reply> {
        self.0.take()
    }

    pub fn get(&self) -> Option<&Reply> {
        self.0.as_ref()
    }

    /// The job is answered, or its client has gone.
    pub fn is_closed(&self) -> bool {
        self.0.is_none()
    }
}

/// A job and its attempts.
pub struct JobEntry {
    pub job: Arc<Job>,
    pub reply: PendingReply,
    pub attempts: Vec<Attempt>,
    /// By the settings in force when the job was submitted.
    pub max_attempts: usize,
    /// The job must not have two attempts at once, by the settings in force when it was submitted.
    pub exclusive: bool,
}

/// What is known of an attempt at the moment when it ends.
pub struct EndedAttempt {
    pub worker: WorkerId,
    pub sent_at: f64,
    /// The job was already answered or withdrawn.
    pub answered: bool,
    /// The attempt had been handed to the transport.
    pub was_sent: bool,
    /// The worker was known to hold it, by its 202 or by a call-back.
    pub was_accepted: bool,
}

impl JobEntry {
    pub fn new(job: Arc<Job>, reply: Reply, limits: &Limits) -> Self {
        let (max_attempts, exclusive) = (limits.max_attempts.max(1), !limits.hedging);
        JobEntry { job, reply: PendingReply(Some(reply)), attempts: Vec::new(), max_attempts, exclusive }
    }

    pub fn add_attempt(&mut self, worker: WorkerId, sent_at: f64, expires_at: f64, state: AttemptState) {
        self.attempts.push(Attempt {
            worker,
            sent_at,
            expires_at,
            state,
            started: false,
            deferred_outcome: None,
        });
    }

    /// The state of the job's latest attempt that this worker may still hold, if any.
    pub fn state_at(&self, worker: WorkerId) -> Option<AttemptState> {
        let held = |a: &&Attempt| a.worker == worker && a.state != AttemptState::Ended;
        self.attempts.iter().rev().find(held).map(|a| a.state)
    }

    /// Numbers of the attempts that have no outcome yet.
    pub fn live_attempts(&self) -> Vec<usize> {
        (0..self.attempts.len()).filter(|i| self.attempts[*i].is_live()).collect()
    }

    /// Gives an attempt up. `cancel`: the worker is asked to cancel it. `deferred`: the outcome that it will
    /// get when the worker confirms the cancel; `None` if it ends now. Returns `None` if there is nothing to
    /// do, also if its outcome is already deferred.
    pub fn give_up(
        &mut self,
        number: usize,
        cancel: bool,
        deferred: Option<Outcome>,
    ) -> Option<EndedAttempt> {
        let answered = self.reply.is_closed();
        let attempt = self.attempts.get_mut(number).filter(|a| a.is_live())?;
        if deferred.is_some() && attempt.deferred_outcome.is_some() {
            return None;
        }
        let was_sent = matches!(attempt.state, AttemptState::Sent | AttemptState::Accepted);
        let was_accepted = attempt.started || attempt.state == AttemptState::Accepted;
        attempt.deferred_outcome = deferred.filter(|_| was_sent);
        if attempt.state != AttemptState::Cancelling {
            attempt.state = if was_sent && cancel { AttemptState::Cancelling } else { AttemptState::Ended };
        }
        Some(EndedAttempt {
            worker: attempt.worker,
            sent_at: attempt.sent_at,
            answered,
            was_sent,
            was_accepted,
        })
    }

    fn is_finished(&self) -> bool {
        self.reply.is_closed() && !self.attempts.iter().any(Attempt::is_live)
    }
}

/// All jobs, by ticket and by the id that the client gave.
#[derive(Default)]
pub struct Jobs {
    entries: BTreeMap<Ticket, JobEntry>,
    by_trace_id: HashMap<String, Ticket>,
}

impl Jobs {
    pub fn insert(&mut self, ticket: Ticket, entry: JobEntry) {
        self.by_trace_id.insert(entry.job.trace_id.clone(), ticket);
        self.entries.insert(ticket, entry);
    }

    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut JobEntry> {
        self.entries.get_mut(&ticket)
    }

    pub fn find(&self, trace_id: &str) -> Option<Ticket> {
        self.by_trace_id.get(trace_id).copied()
    }

    /// The outstanding attempt of this job at this worker.
    pub fn attempt_at(&self, trace_id: &str, worker: WorkerId) -> Option<AttemptId> {
        let ticket = self.find(trace_id)?;
        let attempts = &self.entries.get(&ticket)?.attempts;
        let number = attempts.iter().rposition(|a| a.worker == worker && a.is_outstanding())?;
        Some(AttemptId { ticket, number })
    }

    fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.entries.get_mut(&id.ticket)?.attempts.get_mut(id.number)
    }

    /// Records that an attempt runs. True only the first time, because workers repeat call-backs.
    pub fn record_start(&mut self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(|a| !std::mem::replace(&mut a.started, true))
    }

    /// The job must not have two attempts at once and is not answered yet.
    pub fn is_exclusive(&self, ticket: Ticket) -> bool {
        self.entries.get(&ticket).is_some_and(|entry| entry.exclusive && !entry.reply.is_closed())
    }

    pub fn has_started(&mut self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(|a| a.started)
    }

    pub fn accept(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt(id).filter(|a| a.state == AttemptState::Sent) {
            attempt.state = AttemptState::Accepted;
        }
    }

    /// Ends an attempt; `None` if it already has an outcome. After a time-out the worker may still hold the
    /// attempt, since nothing was heard from it, unless it has confirmed a cancel: the state is `Unresolved`
    /// then, not `Ended`.
    pub fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) -> Option<EndedAttempt> {
        let entry = self.entries.get_mut(&id.ticket)?;
        let answered = entry.reply.is_closed();
        let attempt = entry.attempts.get_mut(id.number).filter(|a| a.is_live())?;
        let unresolved = outcome == Outcome::TimedOut && attempt.state != AttemptState::Cancelling;
        attempt.state = if unresolved { AttemptState::Unresolved } else { AttemptState::Ended };
        attempt.deferred_outcome = None;
        Some(EndedAttempt {
            worker: attempt.worker,
            sent_at: attempt.sent_at,
            answered,
            was_sent: true,
            was_accepted: true,
        })
    }

    /// The outcome that this attempt gets once its worker has confirmed the cancel.
    pub fn deferred_outcome(&self, id: AttemptId) -> Option<Outcome> {
        self.entries.get(&id.ticket)?.attempts.get(id.number)?.deferred_outcome
    }

    /// The worker no longer holds this cancelled attempt. Returns the attempt that waited for that, now in
    /// the state `Sent`, with its worker.
    pub fn cancelled(&mut self, id: AttemptId) -> Option<(AttemptId, WorkerId)> {
        let entry = self.entries.get_mut(&id.ticket)?;
        let attempt = entry.attempts.get_mut(id.number).filter(|a| a.state == AttemptState::Cancelling)?;
        attempt.state = AttemptState::Ended;
        let worker = attempt.worker;
        let waits = |a: &Attempt| a.worker == worker && a.state == AttemptState::AwaitingCancel;
        let number = entry.attempts.iter().position(waits)?;
        entry.attempts[number].state = AttemptState::Sent;
        Some((AttemptId { ticket: id.ticket, number }, worker))
    }

    /// Forgets a job that is answered or withdrawn and has no live attempts.
    pub fn forget_if_finished(&mut self, ticket: Ticket) {
        if self.entries.get(&ticket).is_some_and(JobEntry::is_finished) {
            self.forget(ticket);
        }
    }

    pub fn forget(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.remove(&ticket) {
            self.by_trace_id.remove(&entry.job.trace_id);
        }
    }

    pub fn unanswered_tickets(&self) -> Vec<Ticket> {
        self.entries.iter().filter(|(_, e)| !e.reply.is_closed()).map(|(t, _)| *t).collect()
    }

    /// The clients' ids of all jobs.
    pub fn ids(&self) -> Vec<String> {
        self.by_trace_id.keys().cloned().collect()
    }

    /// How many jobs are neither answered nor withdrawn.
    pub fn unanswered(&self) -> usize {
        self.entries.values().filter(|e| !e.reply.is_closed()).count()
    }
}

#[cfg(test)]
mod tests;
