//! When a node proposes another view, and what it does when one is decided.

use millrudder_view::{Epoch, Member, NodeId, View};

use super::{CoreNode, Output};
use crate::Machine;

/// The n-th survivor in chain order waits n times this long before it proposes, so that attempts rarely collide.
const PROPOSAL_STEP_MICROS: u64 = 60_000;
/// Shortest and longest pause before the next attempt of the same node.
const PROPOSAL_PAUSE_MICROS: std::ops::Range<u64> = 150_000..400_000;
/// A learner may be this many commands behind when it is admitted; the chain brings it up.
const ADMISSIBLE_LAG: u64 = 64;

impl<M: Machine> CoreNode<M> {
    /// Takes part in the newest decided view.
    pub(super) fn enter_view(&mut self, now: u64) {
        let Some(view) = self.agreement.view().cloned() else {
            return;
        };
        self.replica.activate(now, &view);
        self.contact.view_changed(view.epoch);
        for id in view.ids().filter(|id| *id != self.id) {
            self.detector.watch(now, id);
        }
        if view.epoch > Epoch::FOUNDING {
            self.voter.voters_changed(now);
        }
        for holder in &mut self.holders {
            holder.voters_changed(view.majority(), view.epoch.0);
        }
        self.proposal_due = None;
        self.take_replica_outputs();
        self.restart_requests(now);
        self.send_heartbeats(now);
        self.outbox.push(Output::ViewChanged(view));
    }

    /// Proposes another view when members are silent, or when the tail can admit a learner.
    pub(super) fn consider_view(&mut self, now: u64) {
        let Some(view) = self.agreement.view().cloned().filter(|_| self.may_propose()) else {
            return;
        };
        let wanted = self.wanted_members(now, &view);
        let unchanged = wanted == view.members;
        if wanted.len() < self.config.minimum_members || (unchanged && !self.agreement.is_fenced()) {
            self.proposal_due = None;
            return self.agreement.abandon();
        }
        let Some(due) = self.proposal_due else {
            self.proposal_due = Some(now + self.first_pause(&wanted));
            return;
        };
        if now >= due {
            self.proposal_due = Some(now + self.random.u64(PROPOSAL_PAUSE_MICROS));
            let step = self.agreement.propose(wanted);
            self.take_step(now, step);
        }
    }

    fn may_propose(&self) -> bool {
        self.agreement.is_member() && !self.leaving
    }

    fn first_pause(&self, wanted: &[Member]) -> u64 {
        let rank = wanted.iter().position(|member| member.id == self.id).unwrap_or_default();
        rank as u64 * PROPOSAL_STEP_MICROS
    }

    /// The members that are not suspected, if they make a majority, with the learners that can be admitted.
    fn wanted_members(&self, now: u64, view: &View) -> Vec<Member> {
        let trusted = |member: &&Member| member.id == self.id || !self.detector.is_suspect(now, member.id);
        let mut wanted: Vec<Member> = view.members.iter().filter(trusted).cloned().collect();
        if wanted.len() < view.majority() {
            return view.members.clone();
        }
        let room = self.config.maximum_members.saturating_sub(wanted.len());
        let learners = self.admissible_learners(now, view, &wanted);
        wanted.extend(learners.into_iter().take(room));
        wanted
    }

    /// Learners that follow this node closely and are in steady contact with all `members`.
    fn admissible_learners(&self, now: u64, view: &View, members: &[Member]) -> Vec<Member> {
        let outside = self.peers.iter().filter(|(id, _)| !view.contains(**id));
        let admissible = outside.filter(|(id, _)| self.is_admissible(now, **id, members));
        admissible.map(|(id, peer)| Member { id: *id, address: peer.address.clone() }).collect()
    }

    fn is_admissible(&self, now: u64, learner: NodeId, members: &[Member]) -> bool {
        let close = self.replica.lag_of(learner).is_some_and(|lag| lag <= ADMISSIBLE_LAG);
        close && self.detector.is_steady(now, learner) && self.is_connected(learner, members)
    }

    /// Whether `learner` and each of `members` say that they hear each other.
    fn is_connected(&self, learner: NodeId, members: &[Member]) -> bool {
        let hears =
            |from: NodeId, to: NodeId| self.peers.get(&from).is_some_and(|peer| peer.heard.contains(&to));
        let others = members.iter().map(|member| member.id).filter(|id| *id != self.id);
        let mut pairs = others.map(|id| hears(id, learner) && hears(learner, id));
        pairs.all(|connected| connected)
    }
}
