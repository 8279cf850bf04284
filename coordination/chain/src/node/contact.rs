//! Whether this node may speak for the core: contact with a majority, and a state that is not older.

use std::time::Duration;

use millrudder_view::NodeId;

use super::{CoreNode, Output};
use crate::quorum_contact::Own;
use crate::{Heartbeat, Machine};

impl<M: Machine> CoreNode<M> {
    /// Whether a majority of the voters answered of late to what this node sent, in the view that it knows, and its
    /// state is known to hold all that was committed until a moment ago.
    ///
    /// To be asked directly before each act that rests on it: a process that did not run for a while finds here that
    /// its contact has expired, before [`Output::QuorumContactLost`] tells.
    pub fn has_majority_contact(&self, now: u64) -> bool {
        self.contact_expires().is_some_and(|until| now < until)
    }

    /// How long ago it was proven that no later view had been decided; none if never.
    pub fn contact_age(&self, now: u64) -> Option<Duration> {
        let as_of = self.contact.view_as_of()?;
        Some(Duration::from_micros(now.saturating_sub(as_of)))
    }

    /// How old [`CoreNode::machine`] can be at most: all that was committed earlier is in it. None if not known.
    pub fn state_age(&self, now: u64) -> Option<Duration> {
        let as_of = self.contact.state_as_of()?;
        Some(Duration::from_micros(now.saturating_sub(as_of)))
    }

    /// When the present contact expires unless it is renewed; none if there never was any.
    fn contact_expires(&self) -> Option<u64> {
        let view = self.contact.view_as_of()? + self.config.contact_within.as_micros() as u64;
        let state = self.contact.state_as_of()? + self.config.state_within.as_micros() as u64;
        Some(view.min(state))
    }

    pub(super) fn note_contact(&mut self, from: NodeId, heartbeat: &Heartbeat) {
        if let Some(view) = self.agreement.view() {
            self.contact.heartbeat(self.id, view, from, heartbeat);
        }
    }

    /// Reports contact that has expired, before anything rests on it.
    pub(super) fn check_contact(&mut self, now: u64) {
        if self.contact_until.is_some_and(|until| now >= until) {
            self.contact_until = None;
            self.outbox.push(Output::QuorumContactLost);
        }
    }

    /// Nothing that rests on the steady clock holds any more. Heartbeats go out at once, so that it is proven anew.
    pub(super) fn on_stood_still(&mut self, now: u64) {
        self.contact.stood_still(now);
        if self.contact_until.take().is_some() {
            self.outbox.push(Output::QuorumContactLost);
        }
        self.release_leases(now);
        self.send_heartbeats(now);
    }

    /// Draws conclusions from what has come, and reports contact that was gained.
    pub(super) fn renew_contact(&mut self, now: u64) {
        let Some(view) = self.agreement.view() else {
            return;
        };
        let own = Own {
            id: self.id,
            vouches: self.may_vouch(),
            commits: self.replica.is_tail() && self.replica.is_synced(),
            committed: self.replica.committed(),
        };
        self.contact.conclude(now, view, own);
        let until = self.contact_expires().filter(|until| now < *until);
        if until.is_some() && self.contact_until.is_none() {
            self.outbox.push(Output::QuorumContactGained);
        }
        self.contact_until = until;
    }
}
