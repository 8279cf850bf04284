//! The jobs that are here, and their delivery attempts.

use millrudder::{Limits, Outcome};
use millrudder_exchange::{AttemptId, HopId, Job, Reply, Ticket};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Waits until an earlier attempt at the same next hop has been called off there.
    Parked,
    Sent,
    Accepted,
    /// Given up; the next hop has not yet said that it knows.
    CallingOff,
    /// Its outcome is booked, and its next hop may have it all the same: it gets no other attempt of the job.
    Unheard,
    Over,
}

pub struct Attempt {
    pub hop: HopId,
    pub sent: f64,
    /// Clock time at which we stop waiting.
    pub until: f64,
    pub state: AttemptState,
    started: bool,
    /// Its outcome once the next hop knows that it is given up: where a job may not have two attempts out, the module
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
    pub hop: HopId,
    pub sent: f64,
    pub answered: bool,
    /// It had left for its next hop ...
    pub was_sent: bool,
    /// ... which is known to hold it.
    pub was_accepted: bool,
}

impl Entry {
    pub fn new(job: Arc<Job>, reply: Reply, limits: &Limits) -> Self {
        let (most_attempts, alone) = (limits.max_attempts.max(1), !limits.second_copies);
        Entry { job, reply: Owed(Some(reply)), attempts: Vec::new(), most_attempts, alone }
    }

    pub fn add(&mut self, hop: HopId, sent: f64, until: f64, state: AttemptState) {
        self.attempts.push(Attempt { hop, sent, until, state, started: false, owes: None });
    }

    /// The attempt that this next hop may still hold.
    pub fn at(&self, hop: HopId) -> Option<AttemptState> {
        let held = |a: &&Attempt| a.hop == hop && a.state != AttemptState::Over;
        self.attempts.iter().rev().find(held).map(|a| a.state)
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.attempts.len()).filter(|i| self.attempts[*i].is_live()).collect()
    }

    /// `told`: its next hop is called off. `later`: the outcome that `called_off` gives out in the end, if this is not yet
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
        Some(Settled { hop: attempt.hop, sent: attempt.sent, answered, was_sent, was_accepted })
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

    /// The attempt of this job that is out at this next hop.
    pub fn attempt_at(&self, trace_id: &str, hop: HopId) -> Option<AttemptId> {
        let ticket = self.find(trace_id)?;
        let attempts = &self.entries.get(&ticket)?.attempts;
        let number = attempts.iter().rposition(|a| a.hop == hop && a.is_out())?;
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

    /// Books the end of an attempt; none if it has had one. Of a next hop that said nothing it is not known that it does not
    /// have the job, unless it has been called off.
    pub fn settle(&mut self, id: AttemptId, outcome: Outcome) -> Option<Settled> {
        let entry = self.entries.get_mut(&id.ticket)?;
        let answered = entry.reply.is_settled();
        let attempt = entry.attempts.get_mut(id.number).filter(|a| a.is_live())?;
        let unheard = outcome == Outcome::TimedOut && attempt.state != AttemptState::CallingOff;
        attempt.state = if unheard { AttemptState::Unheard } else { AttemptState::Over };
        attempt.owes = None;
        Some(Settled { hop: attempt.hop, sent: attempt.sent, answered, was_sent: true, was_accepted: true })
    }

    /// The outcome that waits for this attempt's call-off.
    pub fn owing(&self, id: AttemptId) -> Option<Outcome> {
        self.entries.get(&id.ticket)?.attempts.get(id.number)?.owes
    }

    /// A call-off is through; gives the attempt that waited for it, now sent.
    pub fn called_off(&mut self, id: AttemptId) -> Option<(AttemptId, HopId)> {
        let entry = self.entries.get_mut(&id.ticket)?;
        let attempt = entry.attempts.get_mut(id.number).filter(|a| a.state == AttemptState::CallingOff)?;
        attempt.state = AttemptState::Over;
        let hop = attempt.hop;
        let waits = |a: &Attempt| a.hop == hop && a.state == AttemptState::Parked;
        let number = entry.attempts.iter().position(waits)?;
        entry.attempts[number].state = AttemptState::Sent;
        Some((AttemptId { ticket: id.ticket, number }, hop))
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
mod tests {
    use super::*;
    use millrudder_exchange::{Answer, Failure, Front, Verbatim};

    fn entry() -> Entry {
        let verbatim = Verbatim {
            method: "POST".to_owned(),
            target: "/api".to_owned(),
            body: Vec::new(),
            idempotency_key: None,
            content_type: None,
        };
        let job = Job {
            front: Front::Http,
            trace_id: "t1".to_owned(),
            class: "c".to_owned(),
            slots: 1.0,
            memory: 0.0,
            deadline: 5000.0,
            verbatim,
        };
        Entry::new(Arc::new(job), Reply::new(|| {}), &Limits { max_attempts: 5, ..Limits::default() })
    }

    fn jobs() -> Jobs {
        let mut jobs = Jobs::default();
        jobs.insert(1, entry());
        jobs.get_mut(1).unwrap().add(7, 0.0, 5000.0, AttemptState::Sent);
        jobs
    }

    const FIRST: AttemptId = AttemptId { ticket: 1, number: 0 };

    #[test]
    fn an_attempt_has_one_outcome() {
        // Call-backs repeat and cross call-offs: a second outcome would be booked on the worker twice.
        let mut jobs = jobs();
        assert_eq!(jobs.attempt_at("t1", 7), Some(FIRST));
        assert!(jobs.settle(FIRST, Outcome::Ok).is_some());
        assert!(jobs.settle(FIRST, Outcome::Ok).is_none());
        assert!(jobs.get_mut(1).unwrap().give_up(0, true, None).is_none());
        assert_eq!(jobs.attempt_at("t1", 7), None);
    }

    #[test]
    fn a_second_attempt_waits_for_the_call_off_at_the_same_hop() {
        // A next hop gets one attempt of a job at a time, also while a DELETE is on its way.
        let mut jobs = jobs();
        jobs.accept(FIRST);
        let entry = jobs.get_mut(1).unwrap();
        assert_eq!(entry.at(7), Some(AttemptState::Accepted));
        assert!(entry.give_up(0, true, None).is_some_and(|s| s.was_sent));
        assert_eq!(entry.at(7), Some(AttemptState::CallingOff));
        entry.add(7, 1.0, 5000.0, AttemptState::Parked);
        let second = AttemptId { ticket: 1, number: 1 };
        assert_eq!(jobs.attempt_at("t1", 7), None, "the parked one has not been sent");
        assert_eq!(jobs.called_off(FIRST), Some((second, 7)));
        assert_eq!(jobs.attempt_at("t1", 7), Some(second));
        assert_eq!(jobs.called_off(FIRST), None, "once");
    }

    #[test]
    fn where_no_two_may_be_out_an_outcome_waits_for_the_call_off() {
        // Sent again while the DELETE could not reach a cut-off worker: a second copy, which the site did not allow.
        let mut jobs = jobs();
        jobs.accept(FIRST);
        let entry = jobs.get_mut(1).unwrap();
        assert!(entry.give_up(0, true, Some(Outcome::Canceled)).is_some_and(|s| s.was_sent));
        assert!(entry.give_up(0, true, Some(Outcome::Canceled)).is_none(), "it is told once");
        assert_eq!(jobs.owing(FIRST), Some(Outcome::Canceled));
        assert_eq!(jobs.attempt_at("t1", 7), Some(FIRST), "its result still counts");
        // The job's own end waits for nobody: nothing is sent after it.
        let entry = jobs.get_mut(1).unwrap();
        assert!(entry.give_up(0, true, None).is_some_and(|s| !s.was_sent), "and is not told again");
        assert_eq!((jobs.owing(FIRST), jobs.attempt_at("t1", 7)), (None, None));
    }

    #[test]
    fn one_that_was_silent_may_have_the_job_and_gets_it_no_second_time() {
        // Its 202 was lost: found by a random order, seed 22.
        let mut jobs = jobs();
        assert!(jobs.settle(FIRST, Outcome::TimedOut).is_some());
        let entry = jobs.get_mut(1).unwrap();
        assert_eq!((entry.at(7), entry.live().len()), (Some(AttemptState::Unheard), 0));
        assert_eq!(jobs.attempt_at("t1", 7), None, "its outcome is booked");
    }

    #[test]
    fn nothing_waits_for_a_call_off_that_is_not_made() {
        let mut jobs = jobs();
        jobs.accept(FIRST);
        let entry = jobs.get_mut(1).unwrap();
        assert!(entry.give_up(0, false, None).is_some_and(|s| s.was_sent));
        assert_eq!((entry.at(7), entry.live().len()), (None, 0));
        assert_eq!(jobs.attempt_at("t1", 7), None);
    }

    #[test]
    fn a_job_stays_until_answered_and_settled() {
        let mut jobs = jobs();
        jobs.get_mut(1).unwrap().reply.take_owed().unwrap().give(Answer::Failed(Failure::Late));
        jobs.forget_if_over(1);
        assert_eq!(jobs.find("t1"), Some(1), "an attempt is out");
        assert_eq!(jobs.owed(), 0);
        jobs.settle(FIRST, Outcome::Ok);
        jobs.forget_if_over(1);
        assert_eq!(jobs.find("t1"), None);
    }

    #[test]
    fn a_start_is_told_once() {
        let mut jobs = jobs();
        assert!(jobs.note_start(FIRST));
        assert!(!jobs.note_start(FIRST));
    }
}
