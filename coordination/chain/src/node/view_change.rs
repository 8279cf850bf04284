//! When a node proposes another view, and what it does when one is decided.

use millrudder_view::TargetView;

use super::{CoreNode, Output};
use crate::Machine;

/// The n-th survivor in chain order waits n times this long before it proposes, so that attempts rarely collide.
const PROPOSAL_STEP_MICROS: u64 = 60_000;
/// Shortest and longest pause before the next attempt of the same node, the second in a row.
const PROPOSAL_PAUSE_MICROS: std::ops::Range<u64> = 150_000..400_000;
/// The pause doubles so often at most. An attempt ends the one before: voters whose disks are slow need time for both
/// phases.
const PROPOSAL_DOUBLINGS: u32 = 3;

impl<M: Machine> CoreNode<M> {
    /// Takes part in the newest decided view.
    pub(super) fn enter_view(&mut self, now: u64) {
        let Some(view) = self.agreement.view().cloned() else {
            return;
        };
        self.replica.activate(now, &view);
        self.contact.view_changed(view.epoch);
        for id in view.voter_ids().filter(|id| *id != self.id) {
            self.detector.watch(now, id);
        }
        self.enter_voters(now, &view);
        self.proposal_due = None;
        self.attempts = 0;
        self.take_replica_outputs();
        self.restart_requests(now);
        self.announce_view(now);
        self.outbox.push(Output::ViewChanged(view));
    }

    /// Proposes another view when members are silent or about to go, or when the tail can admit a learner.
    pub(super) fn consider_view(&mut self, now: u64) {
        let Some(view) = self.agreement.view().cloned().filter(|_| self.agreement.is_member()) else {
            return;
        };
        let wanted = self.wanted_view(now, &view);
        let settled = wanted.is(&view) && !self.agreement.is_fenced() && !self.replica.is_sealed();
        if settled || wanted.members.len() < self.config.minimum_members {
            self.proposal_due = None;
            self.attempts = 0;
            return self.agreement.abandon();
        }
        let Some(due) = self.proposal_due else {
            self.proposal_due = Some(now + self.first_pause(&wanted));
            return;
        };
        if now < due {
            return;
        }
        if self.has_enough_complete(&wanted) {
            self.proposal_due = Some(now + self.next_pause());
            let step = self.agreement.propose(wanted);
            return self.take_step(now, step);
        }
        self.fill_ahead(now, &wanted);
    }

    /// Attempts that lead to nothing follow each other less and less often.
    fn next_pause(&mut self) -> u64 {
        let pause = self.random.u64(PROPOSAL_PAUSE_MICROS) << self.attempts;
        self.attempts = (self.attempts + 1).min(PROPOSAL_DOUBLINGS);
        pause
    }

    /// Whoever is to go proposes last.
    fn first_pause(&self, wanted: &TargetView) -> u64 {
        let place = wanted.members.iter().position(|member| member.id == self.id);
        place.unwrap_or(wanted.members.len()) as u64 * PROPOSAL_STEP_MICROS
    }
}
