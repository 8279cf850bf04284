//! Leases of the roles for which a node campaigns.

use millrudder_lease::{HolderEvent, HolderId, LeaseAnswer, LeaseRelease, Role, VoterId};
use millrudder_view::{Epoch, NodeId, View};

use super::{CoreNode, Output};
use crate::{CoreMessage, Machine};

impl<M: Machine> CoreNode<M> {
    /// Counts votes of the voters of `view` from now on.
    ///
    /// Voters that stay the same remember whom they have granted a role, so that nothing need be withheld. This is
    /// known only from one epoch to the next: in between others may have voted.
    pub(super) fn enter_voters(&mut self, now: u64, view: &View) {
        let same = self
            .entered
            .as_ref()
            .is_some_and(|before| before.epoch.next() == view.epoch && before.has_voters_of(view));
        if view.epoch > Epoch::FOUNDING && !same {
            self.voter.voters_changed(now);
        }
        self.entered = Some(view.clone());
        for holder in &mut self.holders {
            holder.voters_changed(view.majority(), view.epoch.0);
        }
    }

    /// Renews what is held. A role is claimed anew only by a node that holds what its chain holds: a member that has
    /// just come back would lead with old state.
    pub(super) fn poll_leases(&mut self, now: u64) {
        for index in 0..self.holders.len() {
            let step = self.holders[index].poll(now);
            let role = self.holders[index].role().clone();
            self.lease_event(&role, step.event);
            let campaigns = self.may_campaign(now, index);
            let Some(request) = step.request.filter(|_| campaigns) else {
                continue;
            };
            let epoch = self.agreement.epoch();
            for to in self.voters() {
                self.send_at_once(to, CoreMessage::LeaseRequest { epoch, request: request.clone() });
            }
        }
    }

    /// Whoever has not caught up would act on old state; a holder goes on while it catches up after a change of view.
    fn may_campaign(&self, now: u64, index: usize) -> bool {
        let ready = self.is_in_step() || self.holders[index].is_held(now);
        self.agreement.is_voter() && !self.leaving && ready
    }

    /// Gives every lease back, so that others need not wait for its end.
    pub(super) fn release_leases(&mut self, now: u64) {
        for index in 0..self.holders.len() {
            let Some(release) = self.holders[index].release(now) else {
                continue;
            };
            let (role, fencing) = (release.role.clone(), release.fencing);
            self.outbox.push(Output::LeaseLost { role, fencing });
            for to in self.voters() {
                self.send(to, CoreMessage::LeaseReleased { release: release.clone() });
            }
        }
    }

    pub(super) fn on_lease_released(&mut self, now: u64, from: NodeId, release: &LeaseRelease) {
        self.voter.release(HolderId(from.0), release);
        let concerned = self.holders.iter_mut().filter(|holder| *holder.role() == release.role);
        concerned.for_each(|holder| holder.released(now));
    }

    pub(super) fn on_lease_answer(&mut self, now: u64, from: VoterId, answer: &LeaseAnswer) {
        let Some(holder) = self.holders.iter_mut().find(|holder| holder.role() == answer.role()) else {
            return;
        };
        let event = holder.answer(now, from, answer).event;
        self.lease_event(&answer.role().clone(), event);
    }

    pub(super) fn voters(&self) -> Vec<NodeId> {
        self.agreement.view().into_iter().flat_map(View::voter_ids).collect()
    }

    fn lease_event(&mut self, role: &Role, event: Option<HolderEvent>) {
        let role = role.clone();
        match event {
            Some(HolderEvent::Granted { fencing }) => {
                self.outbox.push(Output::LeaseGranted { role, fencing })
            }
            Some(HolderEvent::Lost { fencing }) => self.outbox.push(Output::LeaseLost { role, fencing }),
            None => {}
        }
    }
}
