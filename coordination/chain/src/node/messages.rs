//! Routes messages from other nodes to the parts of the node.

use millrudder_clock::Instant;
use millrudder_view::{Epoch, NodeId, ViewMessage};

use super::CoreNode;
use crate::read_confirmation::ReadIndexRequest;
use crate::{CoreMessage, Machine};

impl<M: Machine> CoreNode<M> {
    pub(super) fn handle_message(&mut self, now: Instant, from: NodeId, message: CoreMessage) {
        // Drop the message; the sender retransmits it, as it would a lost one.
        if self.outbox.is_full() && adds_records(&message) {
            return;
        }
        match message {
            CoreMessage::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, heartbeat),
            CoreMessage::View(ViewMessage::BootstrapAgreed { members }) => {
                self.handle_bootstrap_agreed(now, from, members)
            }
            CoreMessage::View(message) => self.handle_view_message(now, from, message),
            CoreMessage::Submit { request_id, command } => {
                self.replica.submit(now, from, request_id, command);
            }
            CoreMessage::LeaseReleased { release } => self.handle_lease_released(now, from, &release),
            CoreMessage::Reply { request_id, reply } => self.handle_reply(request_id, &reply),
            CoreMessage::ReadIndexed { request_id, sequence } => {
                self.handle_read_indexed(request_id, sequence)
            }
            other => self.handle_epoch_message(now, from, other),
        }
    }

    /// Handles messages that are valid only in the epoch in which they were sent.
    fn handle_epoch_message(&mut self, now: Instant, from: NodeId, message: CoreMessage) {
        if message.epoch() != Some(self.agreement.epoch()) || self.agreement.epoch() == Epoch::NONE {
            return;
        }
        match message {
            CoreMessage::Append(batch) => self.replica.handle_append(now, from, batch),
            CoreMessage::InstallSnapshot(install) => self.replica.handle_install(now, from, install),
            CoreMessage::SnapshotReceived { id, received, .. } => {
                self.replica.handle_snapshot_received(now, from, id, received)
            }
            CoreMessage::Appended { end, committed, .. } => {
                self.replica.handle_ack(now, from, end, committed)
            }
            CoreMessage::Gap { end, .. } => self.replica.handle_gap(now, from, end),
            CoreMessage::ReadIndex { request_id, .. } => {
                self.handle_read_index(ReadIndexRequest { origin: from, request_id })
            }
            CoreMessage::ConfirmEpoch { epoch, attempt } => self.handle_confirm_epoch(from, epoch, attempt),
            CoreMessage::EpochConfirmed { attempt, .. } => self.handle_epoch_confirmed(from, attempt),
            CoreMessage::LeaseRequest { epoch, request } => {
                self.handle_lease_request(now, from, epoch, &request)
            }
            CoreMessage::LeaseAnswer { answer, .. } => self.handle_lease_answer(now, from, &answer),
            // Handled by `handle_message`, as they are valid in any epoch.
            CoreMessage::Heartbeat(_)
            | CoreMessage::View(_)
            | CoreMessage::Submit { .. }
            | CoreMessage::Reply { .. }
            | CoreMessage::ReadIndexed { .. }
            | CoreMessage::LeaseReleased { .. } => {}
        }
    }

    fn handle_view_message(&mut self, now: Instant, from: NodeId, message: ViewMessage) {
        let complete = self.replica.is_complete();
        let step = match self.agreement.epoch() {
            Epoch::NONE => self.bootstrap.handle_vote(&mut self.agreement, from, message),
            _ => self.agreement.handle(from, message, complete),
        };
        self.apply_agreement_step(now, step);
    }
}

/// Whether handling the message may issue records to the disk.
fn adds_records(message: &CoreMessage) -> bool {
    matches!(
        message,
        CoreMessage::View(_)
            | CoreMessage::Submit { .. }
            | CoreMessage::Append(_)
            | CoreMessage::InstallSnapshot(_)
            | CoreMessage::LeaseRequest { .. }
    )
}
