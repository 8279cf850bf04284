//! Messages from other nodes.

use millrudder_lease::{HolderId, VoterId};
use millrudder_view::{Epoch, NodeId, ViewMessage};

use super::CoreNode;
use crate::read_confirmation::Reader;
use crate::{CoreMessage, Machine, Record};

impl<M: Machine> CoreNode<M> {
    pub(super) fn on_message(&mut self, now: u64, from: NodeId, message: CoreMessage) {
        match message {
            CoreMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            CoreMessage::View(ViewMessage::BootstrapAgreed { members }) => {
                self.on_founding_agreed(now, from, members)
            }
            CoreMessage::View(message) => self.on_view_message(now, from, message),
            CoreMessage::Submit { request_id, command } => {
                self.replica.submit(now, from, request_id, command);
            }
            CoreMessage::LeaseReleased { release } => self.on_lease_released(now, from, &release),
            CoreMessage::Answer { request_id, reply } => self.on_answer(request_id, &reply),
            CoreMessage::ReadIndexed { request_id, sequence } => self.on_read_indexed(request_id, sequence),
            other => self.on_epoch_message(now, from, other),
        }
    }

    /// Messages that count only within the epoch in which they were sent.
    fn on_epoch_message(&mut self, now: u64, from: NodeId, message: CoreMessage) {
        if message.epoch() != Some(self.agreement.epoch()) || self.agreement.epoch() == Epoch::NONE {
            return;
        }
        match message {
            CoreMessage::Append(batch) => self.replica.append(now, from, batch),
            CoreMessage::Install(install) => self.replica.install(now, from, install),
            CoreMessage::InstallReceived { id, received, .. } => {
                self.replica.install_received(now, from, id, received)
            }
            CoreMessage::Appended { end, committed, .. } => {
                self.replica.acknowledged(now, from, end, committed)
            }
            CoreMessage::Gap { end, .. } => self.replica.gap(now, from, end),
            CoreMessage::ReadIndex { request_id, .. } => {
                self.on_read_index(Reader { origin: from, request_id })
            }
            CoreMessage::ConfirmEpoch { epoch, round } => self.on_confirm_epoch(from, epoch, round),
            CoreMessage::EpochConfirmed { round, .. } => self.on_epoch_confirmed(from, round),
            CoreMessage::LeaseRequest { epoch, request } if self.may_vouch() => {
                let vote = self.voter.request(now, HolderId(from.0), &request);
                if let Some(record) = vote.record {
                    self.outbox.persist(Record::Lease(record));
                }
                self.send(from, CoreMessage::LeaseAnswer { epoch, answer: vote.answer });
            }
            CoreMessage::LeaseAnswer { answer, .. } => self.on_lease_answer(now, VoterId(from.0), &answer),
            _ => {}
        }
    }

    fn on_view_message(&mut self, now: u64, from: NodeId, message: ViewMessage) {
        let complete = self.replica.is_complete();
        let step = self.agreement.handle(from, message, complete);
        self.take_step(now, step);
    }

    /// Whether this node may vouch for the present view: it votes, and has accepted no next view.
    pub(super) fn may_vouch(&self) -> bool {
        self.agreement.is_voter() && !self.agreement.is_fenced()
    }
}
