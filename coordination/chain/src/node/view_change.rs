//! Decides when this node proposes another view, and enters views once they are decided.

use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{Step, TargetView};

use super::{CoreNode, Output};
use crate::{CoreMessage, Machine, Record};

/// The member at index `n` of the target waits `n` times this long before its first proposal, so that proposals of
/// different members rarely collide.
const PROPOSAL_STAGGER: Duration = Duration::from_millis(60);
/// Lower bound of the first backoff before the next attempt of the same node.
const MIN_INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Upper bound of the first backoff (exclusive).
const MAX_INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Upper bound on the number of doublings of the backoff. It grows because an attempt aborts the previous one, and
/// voters with slow disks need time for both phases.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Interval between checks whether the nodes that are catching up before the view change are complete.
const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Schedules attempts to change the view, with a random backoff between them.
#[derive(Clone, Debug)]
pub(super) struct ProposalTimer {
    due: Option<Instant>,
    /// When the unanswered messages of the current attempt are resent.
    retransmission_due: Option<Instant>,
    /// Attempts since the last reset, capped at [`MAX_BACKOFF_DOUBLINGS`]; the exponent of the backoff.
    attempts: u32,
    random: fastrand::Rng,
}

impl ProposalTimer {
    /// A timer with nothing due.
    pub(super) fn new(random: fastrand::Rng) -> ProposalTimer {
        ProposalTimer { due: None, retransmission_due: None, attempts: 0, random }
    }

    /// When the next attempt, check or retransmission is due.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.due.into_iter().chain(self.retransmission_due).min()
    }

    /// Clears the timer, because the view matches the target or has changed.
    fn reset(&mut self) {
        self.due = None;
        self.retransmission_due = None;
        self.attempts = 0;
    }

    /// Whether an attempt is due. The first one after a reset becomes due after `initial_delay`.
    fn is_due(&mut self, now: Instant, initial_delay: Duration) -> bool {
        match self.due {
            Some(due) => now >= due,
            None => {
                self.due = Some(now + initial_delay);
                false
            }
        }
    }

    /// Records the start of an attempt and schedules the next one after a backoff that doubles with each attempt.
    /// Unanswered messages of this attempt are resent every `retry_after`.
    fn start_attempt(&mut self, now: Instant, retry_after: Duration) {
        let range = MIN_INITIAL_BACKOFF.as_micros() as u64..MAX_INITIAL_BACKOFF.as_micros() as u64;
        let backoff = Duration::from_micros(self.random.u64(range) << self.attempts);
        self.attempts = (self.attempts + 1).min(MAX_BACKOFF_DOUBLINGS);
        self.due = Some(now + backoff);
        self.retransmission_due = Some(now + retry_after);
    }

    /// Whether a retransmission is due; if so, schedules the next one.
    fn take_retransmission(&mut self, now: Instant, retry_after: Duration) -> bool {
        let is_due = self.retransmission_due.is_some_and(|due| now >= due);
        if is_due {
            self.retransmission_due = Some(now + retry_after);
        }
        is_due
    }

    /// Postpones the attempt, because nodes have to catch up first.
    fn defer_attempt(&mut self, now: Instant) {
        self.due = Some(now + CATCH_UP_CHECK_INTERVAL);
        self.retransmission_due = None;
    }
}

impl<M: Machine> CoreNode<M> {
    /// Issues the record and messages of a step of the view agreement, and enters a newer view if one was decided.
    pub(super) fn apply_agreement_step(&mut self, now: Instant, step: Step) {
        if let Some(record) = step.record {
            self.outbox.persist(Record::View(record));
        }
        for envelope in step.messages {
            self.send(envelope.to, CoreMessage::View(envelope.message));
        }
        if self.agreement.epoch() > self.replica.epoch() {
            self.enter_view(now);
        }
    }

    /// Starts to operate in the newest decided view.
    pub(super) fn enter_view(&mut self, now: Instant) {
        let Some(view) = self.agreement.view().cloned() else {
            return;
        };
        self.replica.activate(now, &view);
        self.contact.enter_epoch(view.epoch);
        for id in view.voter_ids().filter(|id| *id != self.id) {
            self.detector.watch(now, id);
        }
        self.leases.enter_view(now, &view);
        self.proposals.reset();
        self.take_replica_outputs();
        self.restart_requests(now);
        self.announce_view(now);
        self.outbox.push(Output::ViewChanged(view));
    }

    /// Proposes another view when members are unreachable or leave, or when a learner can be admitted.
    pub(super) fn propose_view_if_needed(&mut self, now: Instant) {
        let Some(view) = self.agreement.view().cloned().filter(|_| self.agreement.is_member()) else {
            return;
        };
        let target = self.target_view(now, &view);
        let is_reached =
            target.matches(&view) && !self.agreement.has_accepted_next_view() && !self.replica.is_sealed();
        if is_reached || target.members.len() < self.config.minimum_members {
            self.proposals.reset();
            return self.agreement.abandon();
        }
        let initial_delay = self.initial_proposal_delay(&target);
        if !self.proposals.is_due(now, initial_delay) {
            return self.retransmit_if_due(now);
        }
        if self.has_enough_complete_members(&target) {
            self.proposals.start_attempt(now, self.config.retry_after);
            let step = self.agreement.propose(target);
            return self.apply_agreement_step(now, step);
        }
        self.proposals.defer_attempt(now);
        self.catch_up_before_view_change(now, &target);
    }

    /// Resends unanswered messages, so that one lost message does not fail the whole attempt: each failed attempt
    /// delays the next one further.
    fn retransmit_if_due(&mut self, now: Instant) {
        if self.proposals.take_retransmission(now, self.config.retry_after) {
            let step = self.agreement.retransmit();
            self.apply_agreement_step(now, step);
        }
    }

    /// Delay before the first proposal: by index among the target's members. Nodes that are not in the target come
    /// last.
    fn initial_proposal_delay(&self, target: &TargetView) -> Duration {
        let index = target.members.iter().position(|member| member.id == self.id);
        PROPOSAL_STAGGER * index.unwrap_or(target.members.len()) as u32
    }
}
