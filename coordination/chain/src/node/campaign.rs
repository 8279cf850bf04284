//! Leases of the roles for which a node campaigns.

use millrudder_lease::{HolderEvent, LeaseAnswer, Role, VoterId};
use millrudder_view::NodeId;

use super::{CoreNode, Output};
use crate::{CoreMessage, Machine};

impl<M: Machine> CoreNode<M> {
    /// Renews what is held. A role is claimed anew only by a node that holds what its chain holds: a member that has
    /// just come back would lead with old state.
    pub(super) fn poll_leases(&mut self, now: u64) {
        let in_step = self.is_in_step();
        for index in 0..self.holders.len() {
            let step = self.holders[index].poll(now);
            let role = self.holders[index].role().clone();
            self.lease_event(&role, step.event);
            let Some(request) = step.request.filter(|request| request.held || in_step) else {
                continue;
            };
            let epoch = self.agreement.epoch();
            for to in self.voters() {
                self.send(to, CoreMessage::LeaseRequest { epoch, request: request.clone() });
            }
        }
    }

    pub(super) fn on_lease_answer(&mut self, now: u64, from: VoterId, answer: &LeaseAnswer) {
        let Some(holder) = self.holders.iter_mut().find(|holder| holder.role() == answer.role()) else {
            return;
        };
        let event = holder.answer(now, from, answer).event;
        self.lease_event(&answer.role().clone(), event);
    }

    fn voters(&self) -> Vec<NodeId> {
        self.agreement.view().into_iter().flat_map(|view| view.ids()).collect()
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
