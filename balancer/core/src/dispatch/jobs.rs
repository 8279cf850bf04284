//! The jobs that are here, and their delivery attempts.

use millrudder::{Limits, Outcome};
use millrudder_exchange::{AttemptId, Job, Reply, Ticket, WorkerId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Waits until an earlier attempt at the same worker has been called off there.
    AwaitingCancel,
    Sent,
    Accepted,
    /// Given up; the worker has not yet said that it knows.
    Cancelling,
    /// Its outcome is booked, and its worker may have it all the same: it gets no other attempt of the job.
    Unresolved,
    Ended,
}

pub struct Attempt {
    pub worker: WorkerId,
    pub sent_at: f64,
    /// Clock time at which we stop waiting.
    pub expires_at: f64,
    pub state: AttemptState,
    started: bool,
    /// Its outcome once the worker knows that it is given up: where a job may not have two attempts out, the module
    /// must not send again before that.
    deferred_outcome: Option<Outcome>,
}

impl Attempt {
    /// Its outcome is still to come.
    fn is_live(&self) -> bool {
        self.state == AttemptState::AwaitingCancel || self.is_outstanding()
    }

    fn is_outstanding(&self) -> bool {
        matches!(self.state, AttemptState::Sent | AttemptState::Accepted) || self.deferred_outcome.is_some()
    }
}

/// The answer that is owed: given once at the most.
pub struct PendingReply(Option<Reply>);

impl PendingReply {
    pub fn take(&mut self) -> Option<Reply> {
        self.0.take()
    }

    /// Where the answer will go.
    pub fn get(&self) -> Option<&Reply> {
        self.0.as_ref()
    }

    /// Answered, or the client has gone.
    pub fn is_closed(&self) -> bool {
        self.0.is_none()
    }
}

pub struct JobEntry {
    pub job: Arc<Job>,
    pub reply: PendingReply,
    pub attempts: Vec<Attempt>,
    /// By the settings under which it was taken.
    pub max_attempts: usize,
    /// No two attempts out together, by the same settings.
    pub exclusive: bool,
}

/// An attempt as it was when its outcome came.
pub struct EndedAttempt {
    pub worker: WorkerId,
    pub sent_at: f64,
    pub answered: bool,
    /// It had left for its worker ...
    pub was_sent: bool,
    /// ... which is known to hold it.
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

    /// The attempt that this worker may still hold.
    pub fn state_at(&self, worker: WorkerId) -> Option<AttemptState> {
        let held = |a: &&Attempt| a.worker == worker && a.state != AttemptState::Ended;
        self.attempts.iter().rev().find(held).map(|a| a.state)
    }

    pub fn live_attempts(&self) -> Vec<usize> {
        (0..self.attempts.len()).filter(|i| self.attempts[*i].is_live()).collect()
    }

    /// `told`: its worker is called off. `later`: the outcome that `called_off` gives out in the end, if this is not yet
    /// the attempt's end.
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

    /// The attempt of this job that is out at this worker.
    pub fn attempt_at(&self, trace_id: &str, worker: WorkerId) -> Option<AttemptId> {
        let ticket = self.find(trace_id)?;
        let attempts = &self.entries.get(&ticket)?.attempts;
        let number = attempts.iter().rposition(|a| a.worker == worker && a.is_outstanding())?;
        Some(AttemptId { ticket, number })
    }

    fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.entries.get_mut(&id.ticket)?.attempts.get_mut(id.number)
    }

    /// True at the first note of a start: call-backs repeat.
    pub fn record_start(&mut self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(|a| !std::mem::replace(&mut a.started, true))
    }

    /// No two attempts of this job may be out together, and its answer is still owed.
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

    /// Books the end of an attempt; none if it has had one. Of a worker that said nothing it is not known that it does not
    /// have the job, unless it has been called off.
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

    /// The outcome that waits for this attempt's call-off.
    pub fn deferred_outcome(&self, id: AttemptId) -> Option<Outcome> {
        self.entries.get(&id.ticket)?.attempts.get(id.number)?.deferred_outcome
    }

    /// A call-off is through; gives the attempt that waited for it, now sent.
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

    /// Ids of the jobs that are here.
    pub fn ids(&self) -> Vec<String> {
        self.by_trace_id.keys().cloned().collect()
    }

    pub fn unanswered(&self) -> usize {
        self.entries.values().filter(|e| !e.reply.is_closed()).count()
    }
}

#[cfg(test)]
mod tests;
