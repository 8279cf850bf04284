//! Contact with a quorum as it is reported: whether this node may act for the core.

use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{Epoch, NodeId, View};

use super::{CoreNode, Output};
use crate::quorum_contact::{LocalStatus, QuorumContact};
use crate::{CoreConfig, Heartbeat, Machine, ProcessTimestamp, TimestampEcho};

/// A change of the contact that is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ContactChange {
    Gained,
    Lost,
}

/// Proofs of contact, for how long they count, and what was reported of them.
#[derive(Clone, Debug)]
pub(super) struct ContactMonitor {
    proofs: QuorumContact,
    quorum_contact_timeout: Duration,
    max_state_age: Duration,
    /// When the contact that was reported expires unless it is renewed.
    reported_until: Option<Instant>,
}

impl ContactMonitor {
    /// No contact yet. `process` is drawn at random by each process.
    pub(super) fn new(config: &CoreConfig, process: u64) -> ContactMonitor {
        ContactMonitor {
            proofs: QuorumContact::new(process),
            quorum_contact_timeout: config.quorum_contact_timeout,
            max_state_age: config.max_state_age,
            reported_until: None,
        }
    }

    /// When the reported contact expires.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.reported_until
    }

    /// The timestamp for a heartbeat that is made now.
    pub(super) fn timestamp(&self, now: Instant) -> ProcessTimestamp {
        self.proofs.timestamp(now)
    }

    /// The newest timestamps of `peers`.
    pub(super) fn echoes(&self, peers: Vec<NodeId>) -> Vec<TimestampEcho> {
        self.proofs.echoes(peers)
    }

    pub(super) fn retain_peers(&mut self, is_known: impl Fn(NodeId) -> bool) {
        self.proofs.retain_peers(is_known);
    }

    pub(super) fn enter_epoch(&mut self, epoch: Epoch) {
        self.proofs.enter_epoch(epoch);
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        local_id: NodeId,
        view: &View,
        from: NodeId,
        heartbeat: &Heartbeat,
    ) {
        self.proofs.handle_heartbeat(local_id, view, from, heartbeat);
    }

    /// Reports contact that has expired.
    pub(super) fn poll(&mut self, now: Instant) -> Option<ContactChange> {
        self.reported_until.take_if(|until| now >= *until).map(|_| ContactChange::Lost)
    }

    /// Nothing that rests on the steady clock is valid any more.
    pub(super) fn handle_clock_stall(&mut self, now: Instant) -> Option<ContactChange> {
        self.proofs.handle_clock_stall(now);
        self.reported_until.take().map(|_| ContactChange::Lost)
    }

    /// Draws conclusions from the heartbeats since the last call, and reports contact that was gained.
    pub(super) fn update(&mut self, now: Instant, view: &View, local: LocalStatus) -> Option<ContactChange> {
        self.proofs.update(now, view, local);
        let until = self.expires_at().filter(|until| now < *until);
        let is_gained = until.is_some() && self.reported_until.is_none();
        self.reported_until = until;
        is_gained.then_some(ContactChange::Gained)
    }

    fn has_contact(&self, now: Instant) -> bool {
        self.expires_at().is_some_and(|until| now < until)
    }

    fn quorum_contact_age(&self, now: Instant) -> Option<Duration> {
        self.proofs.view_as_of().map(|as_of| now - as_of)
    }

    fn state_age(&self, now: Instant) -> Option<Duration> {
        self.proofs.state_as_of().map(|as_of| now - as_of)
    }

    /// When the present contact expires unless it is renewed; none if there never was any.
    fn expires_at(&self) -> Option<Instant> {
        let view = self.proofs.view_as_of()? + self.quorum_contact_timeout;
        let state = self.proofs.state_as_of()? + self.max_state_age;
        Some(view.min(state))
    }
}

impl<M: Machine> CoreNode<M> {
    /// Whether a majority of the voters has recently answered to this node, in the view that it knows, and its state is
    /// known to contain all that was committed until recently.
    ///
    /// To be asked directly before each act that rests on it: a process that was paused finds here that its contact has
    /// expired, before [`Output::QuorumContactLost`] tells.
    pub fn has_quorum_contact(&self, now: Instant) -> bool {
        self.contact.has_contact(now)
    }

    /// How long ago it was proven that no later view had been decided; none if never.
    pub fn quorum_contact_age(&self, now: Instant) -> Option<Duration> {
        self.contact.quorum_contact_age(now)
    }

    /// How old [`CoreNode::machine`] can be at most: all that was committed earlier is in it. None if not known.
    pub fn state_age(&self, now: Instant) -> Option<Duration> {
        self.contact.state_age(now)
    }

    pub(super) fn collect_contact_evidence(&mut self, from: NodeId, heartbeat: &Heartbeat) {
        if let Some(view) = self.agreement.view() {
            self.contact.handle_heartbeat(self.id, view, from, heartbeat);
        }
    }

    /// Reports contact that has expired, before anything rests on it.
    pub(super) fn expire_contact(&mut self, now: Instant) {
        let change = self.contact.poll(now);
        self.report_contact(change);
    }

    /// Expires contact and leases. Heartbeats are sent at once, so that contact is proven anew.
    pub(super) fn handle_clock_stall(&mut self, now: Instant) {
        let change = self.contact.handle_clock_stall(now);
        self.report_contact(change);
        self.release_leases(now);
        self.send_heartbeats(now);
    }

    pub(super) fn update_contact(&mut self, now: Instant) {
        let Some(view) = self.agreement.view() else {
            return;
        };
        let local = LocalStatus {
            id: self.id,
            confirms_epoch: self.confirms_epoch(),
            is_caught_up_tail: self.replica.is_tail() && self.replica.is_caught_up(),
            committed: self.replica.committed(),
        };
        let change = self.contact.update(now, view, local);
        self.report_contact(change);
    }

    fn report_contact(&mut self, change: Option<ContactChange>) {
        match change {
            Some(ContactChange::Gained) => self.outbox.push(Output::QuorumContactGained),
            Some(ContactChange::Lost) => self.outbox.push(Output::QuorumContactLost),
            None => {}
        }
    }
}
