//! Peers of a node: heartbeats, addresses, and the foundation.

use millrudder_view::{Epoch, Member, NodeId, ViewMessage};

use super::CoreNode;
use crate::{CoreMessage, Heartbeat, Machine};

/// A peer outside the view is forgotten after this silence (microseconds); it makes itself known when it returns.
const FORGET_AFTER_MICROS: u64 = 60_000_000;

/// What a peer last said of itself.
#[derive(Clone, Debug)]
pub(super) struct PeerStatus {
    pub(super) address: String,
    pub(super) heard: Vec<NodeId>,
    /// The epoch in which it said that it has caught up with its predecessor.
    pub(super) synced_in: Option<Epoch>,
    /// The epoch in which it said that it holds every command that was committed before.
    pub(super) complete_in: Option<Epoch>,
    /// Its disk is too slow for a member, as it said.
    pub(super) lagging: bool,
    pub(super) last_seen: u64,
}

impl<M: Machine> CoreNode<M> {
    pub(super) fn on_peer_seen(&mut self, now: u64, id: NodeId, address: String) {
        // An earlier disk of this machine may still be told of under this node's address.
        if id == self.id || address == self.config.address {
            return;
        }
        self.foundation.peer_seen(id, &address);
        let is_new = !self.peers.contains_key(&id);
        let peer = self.peers.entry(id).or_insert_with(|| PeerStatus {
            address: String::new(),
            heard: Vec::new(),
            synced_in: None,
            complete_in: None,
            lagging: false,
            last_seen: now,
        });
        peer.address = address;
        peer.last_seen = now;
        if is_new {
            self.send_heartbeat(now, id);
            self.poll_foundation(now);
        }
    }

    pub(super) fn poll_foundation(&mut self, now: u64) {
        let step = self.foundation.poll(&mut self.agreement);
        self.take_step(now, step);
    }

    pub(super) fn on_founding_agreed(&mut self, now: u64, from: NodeId, members: Vec<Member>) {
        let step = self.foundation.handle(&mut self.agreement, from, members);
        self.take_step(now, step);
    }

    /// Sends a heartbeat to everybody, whether or not the disk keeps up.
    pub(super) fn send_heartbeats(&mut self, now: u64) {
        for id in self.heartbeat_targets() {
            self.send_heartbeat(now, id);
        }
    }

    /// Tells everybody of a view that was just entered, once it is recorded: others have heard of it then, too, and
    /// count what is said within it.
    pub(super) fn announce_view(&mut self, now: u64) {
        for id in self.heartbeat_targets() {
            let heartbeat = self.heartbeat(now);
            self.send(id, CoreMessage::Heartbeat(heartbeat));
        }
    }

    fn heartbeat_targets(&self) -> Vec<NodeId> {
        let voters = self.voters().into_iter();
        let mut targets: Vec<NodeId> = voters.chain(self.peers.keys().copied()).collect();
        targets.sort();
        targets.dedup();
        targets.retain(|id| *id != self.id);
        targets
    }

    /// What the disk is still to be told of is said later, as it were to be unsaid after a crash.
    fn send_heartbeat(&mut self, now: u64, to: NodeId) {
        let heartbeat = CoreMessage::Heartbeat(self.heartbeat(now));
        match self.replica.end_on_disk() {
            Some(_) => self.send_at_once(to, heartbeat),
            None => self.send(to, heartbeat),
        }
    }

    fn heartbeat(&self, now: u64) -> Heartbeat {
        Heartbeat {
            epoch: self.agreement.epoch(),
            address: self.config.address.clone(),
            stamp: self.contact.stamp(now),
            heard: self.contact.echo(self.detector.heard(now)),
            end: self.replica.end_on_disk().unwrap_or_else(|| self.replica.end()),
            committed: self.replica.committed(),
            synced: self.replica.is_synced(),
            complete: self.replica.is_complete_on_disk(),
            vouches: self.may_vouch(),
            leaving: self.leaving,
            lagging: self.lag.is_lagging(now),
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: u64, from: NodeId, heartbeat: Heartbeat) {
        let hears_us = heartbeat.heard.iter().any(|heard| heard.peer == self.id);
        self.detector.heartbeat(now, from, hears_us);
        self.note_contact(from, &heartbeat);
        if heartbeat.leaving {
            self.detector.leaving(from);
        }
        self.on_peer_seen(now, from, heartbeat.address);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.synced_in = heartbeat.synced.then_some(heartbeat.epoch);
            peer.lagging = heartbeat.lagging;
            peer.complete_in = heartbeat.complete.then_some(heartbeat.epoch);
            peer.heard = heartbeat.heard.iter().map(|heard| heard.peer).collect();
        }
        if heartbeat.leaving {
            self.consider_view(now);
        }
        let epoch = self.agreement.epoch();
        if heartbeat.epoch < epoch {
            let step = self.agreement.on_query(from, heartbeat.epoch);
            self.take_step(now, step);
        } else if heartbeat.epoch > epoch {
            self.send(from, CoreMessage::View(ViewMessage::Query { known: epoch }));
        } else if epoch != Epoch::NONE {
            self.replica.acknowledged(now, from, heartbeat.end, heartbeat.committed);
            if !heartbeat.synced {
                self.replica.sync(from);
            }
        }
    }

    pub(super) fn forget_peers(&mut self, now: u64) {
        let view = self.agreement.view();
        let in_view = |id: &NodeId| view.is_some_and(|view| view.is_voter(*id));
        self.peers.retain(|id, peer| in_view(id) || now.saturating_sub(peer.last_seen) < FORGET_AFTER_MICROS);
        let peers = &self.peers;
        self.contact.forget(|id| !peers.contains_key(&id));
    }
}
