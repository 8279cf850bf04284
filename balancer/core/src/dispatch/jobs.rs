//! The jobs that are here, and their delivery attempts.

use millrudder::{Limits, Outcome};
use millrudder_exchange::{AttemptId, Job, Reply, Ticket, WorkerId};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Waits until an earlier attempt at the same worker has been called off there.
    Parked,
    Sent,
    Accepted,
    /// Given up; the worker has not yet said that it knows.
    CallingOff,
    /// Its outcome is booked, and its worker may have it all the same: it gets no other attempt of the job.
    Unheard,
    Over,
}

pub struct Attempt {
    pub worker: WorkerId,
    pub sent: f64,
    /// Clock time at which we stop waiting.
    pub until: f64,
    pub state: AttemptState,
    started: bool,
    /// Its outcome once the worker knows that it is given up: where a job may not have two attempts out, the module
    /// must not send again before that.
    owes: Option<Outcome>,
}

impl Attempt {
    /// Its outcome is still to come.
    fn is_live(&self) -> bool {
        self.state == AttemptState::Parked || self.is_out()
    }

    fn is_out(&self) -> bool {
        matches!(self.state, AttemptState::Sent | AttemptState::Accepted) || self.owes.is_some()
    }
}

/// The answer that is owed: given once at the most.
pub struct Owed(Option<Reply>);

impl Owed {
    pub fn take_owed(&mut self) -> Option<Reply> {
        self.0.take()
    }

    /// Where the answer will go.
    pub fn owed(&self) -> Option<&Reply> {
        self.0.as_ref()
    }

    /// Answered, or the client has gone.
    pub fn is_settled(&self) -> bool {
        self.0.is_none()
    }
}

pub struct Entry {
    pub job: Arc<Job>,
    pub reply: Owed,
    pub attempts: Vec<Attempt>,
    /// By the settings under which it was taken.
    pub most_attempts: usize,
    /// No two attempts out together, by the same settings.
    pub alone: bool,
}

/// An attempt as it was when its outcome came.
pub struct Settled {
    pub worker: WorkerId,
    pub sent: f64,
    pub answered: bool,
    /// It had left for its worker ...
    pub was_sent: bool,
    /// ... which is known to hold it.
    pub was_accepted: bool,
}

impl Entry {
    pub fn new(job: Arc<Job>, reply: Reply, limits: &Limits) -> Self {
        let (most_attempts, alone) = (limits.max_attempts.max(1), !limits.hedging);
        Entry { job, reply: Owed(Some(reply)), attempts: Vec::new(), most_attempts, alone }
    }

    pub fn add(&mut self, worker: WorkerId, sent: f64, until: f64, state: AttemptState) {
        self.attempts.push(Attempt { worker, sent, until, state, started: false, owes: None });
    }

    /// The attempt that this worker may still hold.
    pub fn at(&self, worker: WorkerId) -> Option<AttemptState> {
        let held = |a: &&Attempt| a.worker == worker && a.state != AttemptState::Over;
        self.attempts.iter().rev().find(held).map(|a| a.state)
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.attempts.len()).filter(|i| self.attempts[*i].is_live()).collect()
    }

    /// `told`: its worker is called off. `later`: the outcome that `called_off` gives out in the end, if this is not yet
    /// the attempt's end.
    pub fn give_up(&mut self, number: usize, told: bool, later: Option<Outcome>) -> Option<Settled> {
        let answered = self.reply.is_settled();
        let attempt = self.attempts.get_mut(number).filter(|a| a.is_live())?;
        if later.is_some() && attempt.owes.is_some() {
            return None;
        }
        let was_sent = matches!(attempt.state, AttemptState::Sent | AttemptState::Accepted);
        let was_accepted = attempt.started || attempt.state == AttemptState::Accepted;
        attempt.owes = later.filter(|_| was_sent);
        if attempt.state != AttemptState::CallingOff {
            attempt.state = if was_sent && told { AttemptState::CallingOff } else { AttemptState::Over };
        }
        Some(Settled { worker: attempt.worker, sent: attempt.sent, answered, was_sent, was_accepted })
    }

    fn is_over(&self) -> bool {
        self.reply.is_settled() && !self.attempts.iter().any(Attempt::is_live)
    }
}

#[derive(Default)]
pub struct Jobs {
    entries: BTreeMap<Ticket, Entry>,
    by_trace: HashMap<String, Ticket>,
}

impl Jobs {
    pub fn insert(&mut self, ticket: Ticket, entry: Entry) {
        self.by_trace.insert(entry.job.trace_id.clone(), ticket);
        self.entries.insert(ticket, entry);
    }

    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Entry> {
        self.entries.get_mut(&ticket)
    }

    pub fn find(&self, trace_id: &str) -> Option<Ticket> {
        self.by_trace.get(trace_id).copied()
    }

    /// The attempt of this job that is out at this worker.
    pub fn attempt_at(&self, trace_id: &str, worker: WorkerId) -> Option<AttemptId> {
        let ticket = self.find(trace_id)?;
        let attempts = &self.entries.get(&ticket)?.attempts;
        let number = attempts.iter().rposition(|a| a.worker == worker && a.is_out())?;
        Some(AttemptId { ticket, number })
    }

    fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.entries.get_mut(&id.ticket)?.attempts.get_mut(id.number)
    }

    /// True at the first note of a start: call-backs repeat.
    pub fn note_start(&mut self, id: AttemptId) -> bool {
        self.attempt(id).is_some_and(|a| !std::mem::replace(&mut a.started, true))
    }

    /// No two attempts of this job may be out together, and its answer is still owed.
    pub fn is_alone(&self, ticket: Ticket) -> bool {
        self.entries.get(&ticket).is_some_and(|entry| entry.alone && !entry.reply.is_settled())
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
    pub fn settle(&mut self, id: AttemptId, outcome: Outcome) -> Option<Settled> {
        let entry = self.entries.get_mut(&id.ticket)?;
        let answered = entry.reply.is_settled();
        let attempt = entry.attempts.get_mut(id.number).filter(|a| a.is_live())?;
        let unheard = outcome == Outcome::TimedOut && attempt.state != AttemptState::CallingOff;
        attempt.state = if unheard { AttemptState::Unheard } else { AttemptState::Over };
        attempt.owes = None;
        Some(Settled {
            worker: attempt.worker,
            sent: attempt.sent,
            answered,
            was_sent: true,
            was_accepted: true,
        })
    }

    /// The outcome that waits for this attempt's call-off.
    pub fn owing(&self, id: AttemptId) -> Option<Outcome> {
        self.entries.get(&id.ticket)?.attempts.get(id.number)?.owes
    }

    /// A call-off is through; gives the attempt that waited for it, now sent.
    pub fn called_off(&mut self, id: AttemptId) -> Option<(AttemptId, WorkerId)> {
        let entry = self.entries.get_mut(&id.ticket)?;
        let attempt = entry.attempts.get_mut(id.number).filter(|a| a.state == AttemptState::CallingOff)?;
        attempt.state = AttemptState::Over;
        let worker = attempt.worker;
        let waits = |a: &Attempt| a.worker == worker && a.state == AttemptState::Parked;
        let number = entry.attempts.iter().position(waits)?;
        entry.attempts[number].state = AttemptState::Sent;
        Some((AttemptId { ticket: id.ticket, number }, worker))
    }

    pub fn forget_if_over(&mut self, ticket: Ticket) {
        if self.entries.get(&ticket).is_some_and(Entry::is_over) {
            self.forget(ticket);
        }
    }

    pub fn forget(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.remove(&ticket) {
            self.by_trace.remove(&entry.job.trace_id);
        }
    }

    pub fn tickets_owed(&self) -> Vec<Ticket> {
        self.entries.iter().filter(|(_, e)| !e.reply.is_settled()).map(|(t, _)| *t).collect()
    }

    /// Ids of the jobs that are here.
    pub fn ids(&self) -> Vec<String> {
        self.by_trace.keys().cloned().collect()
    }

    pub fn owed(&self) -> usize {
        self.entries.values().filter(|e| !e.reply.is_settled()).count()
    }
}

#[cfg(test)]
mod tests;
