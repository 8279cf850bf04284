//! Reports quorum contact to the embedder: whether this node may act for the core.

use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{Epoch, NodeId, View};

use super::{CoreNode, Output};
use crate::quorum_contact::{LocalStatus, QuorumContact};
use crate::{CoreConfig, Heartbeat, Machine, ProcessTimestamp, TimestampEcho};

/// A change of quorum contact, to be reported to the embedder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ContactChange {
    Gained,
    Lost,
}

/// Evidence of quorum contact, how long it stays valid, and what was last reported to the embedder.
#[derive(Clone, Debug)]
pub(super) struct ContactMonitor {
    proofs: QuorumContact,
    quorum_contact_timeout: Duration,
    max_state_age: Duration,
    /// When the reported contact expires unless it is renewed; `None` if the last report was a loss.
    reported_until: Option<Instant>,
}

impl ContactMonitor {
    /// Starts without contact. `process` is a random number that identifies this process.
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

    /// The timestamp for a heartbeat created now.
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

    /// Discards all evidence, since it was timed by a clock that has stalled.
    pub(super) fn handle_clock_stall(&mut self, now: Instant) -> Option<ContactChange> {
        self.proofs.handle_clock_stall(now);
        self.reported_until.take().map(|_| ContactChange::Lost)
    }

    /// Evaluates the heartbeats received since the last call, and reports contact that was gained.
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

    /// When the current contact expires unless it is renewed; `None` if there is no evidence.
    fn expires_at(&self) -> Option<Instant> {
        let view = self.proofs.view_as_of()? + self.quorum_contact_timeout;
        let state = self.proofs.state_as_of()? + self.max_state_age;
        Some(view.min(state))
    }
}

impl<M: Machine> CoreNode<M> {
    /// Whether a majority of the voters has recently confirmed the view that this node knows, and this node's state is
    /// known to contain everything committed until recently.
    ///
    /// Check it immediately before each action that depends on it: after a pause of the process it returns false even
    /// before [`Output::QuorumContactLost`] is delivered.
    pub fn has_quorum_contact(&self, now: Instant) -> bool {
        self.contact.has_contact(now)
    }

    /// Time since the last moment at which no later view is known to have been decided; `None` if never proven.
    pub fn quorum_contact_age(&self, now: Instant) -> Option<Duration> {
        self.contact.quorum_contact_age(now)
    }

    /// Upper bound on the age of [`CoreNode::machine`]: it contains everything committed earlier. `None` if unknown.
    pub fn state_age(&self, now: Instant) -> Option<Duration> {
        self.contact.state_age(now)
    }

    pub(super) fn collect_contact_evidence(&mut self, from: NodeId, heartbeat: &Heartbeat) {
        if let Some(view) = self.agreement.view() {
            self.contact.handle_heartbeat(self.id, view, from, heartbeat);
        }
    }

    /// Reports contact that has expired, before the current input is handled.
    pub(super) fn expire_contact(&mut self, now: Instant) {
        let change = self.contact.poll(now);
        self.report_contact(change);
    }

    /// Expires contact and leases. Sends heartbeats immediately, so that contact is re-established soon.
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
