//! Known peers: their heartbeats and addresses, and the bootstrap of the first view.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::{Epoch, Member, NodeId, ViewMessage};

use super::CoreNode;
use crate::{CoreMessage, Heartbeat, Machine};

/// A peer that is no voter is removed when it was not seen for this long; it announces itself when it returns.
const PEER_EXPIRY: Duration = Duration::from_secs(60);

/// Status of a peer, from its last heartbeat.
#[derive(Clone, Debug)]
struct PeerStatus {
    address: String,
    /// The nodes from which the peer receives heartbeats.
    receives_from: Vec<NodeId>,
    /// The epoch in which the peer reported that it has caught up with its predecessor.
    caught_up_in: Option<Epoch>,
    /// The epoch in which the peer reported that it holds every command committed in earlier views.
    complete_in: Option<Epoch>,
    is_disk_lagging: bool,
    last_seen: Instant,
}

/// The known peers by identity.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<NodeId, PeerStatus>,
}

impl PeerTable {
    pub(super) fn contains(&self, id: NodeId) -> bool {
        self.peers.contains_key(&id)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.peers.keys().copied()
    }

    pub(super) fn address(&self, id: NodeId) -> Option<&str> {
        self.peers.get(&id).map(|peer| peer.address.as_str())
    }

    /// The peers with their addresses, as members of a view.
    pub(super) fn as_members(&self) -> impl Iterator<Item = Member> + '_ {
        self.peers.iter().map(|(id, peer)| Member { id: *id, address: peer.address.clone() })
    }

    /// Whether a peer has reported that it has caught up in `epoch`.
    pub(super) fn is_caught_up_in(&self, id: NodeId, epoch: Epoch) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.caught_up_in == Some(epoch))
    }

    /// Whether a peer has reported that it is complete in `epoch`.
    pub(super) fn is_complete_in(&self, id: NodeId, epoch: Epoch) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.complete_in == Some(epoch))
    }

    /// Whether a peer has reported that its disk is too slow for a member.
    pub(super) fn is_disk_lagging(&self, id: NodeId) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.is_disk_lagging)
    }

    /// Whether `from` has reported that it receives heartbeats from `to`.
    pub(super) fn receives_from(&self, from: NodeId, to: NodeId) -> bool {
        self.peers.get(&from).is_some_and(|peer| peer.receives_from.contains(&to))
    }

    /// Records the address at which a peer was reached. Returns whether the peer is new.
    fn observe(&mut self, now: Instant, id: NodeId, address: String) -> bool {
        let is_new = !self.contains(id);
        let peer = self.peers.entry(id).or_insert_with(|| PeerStatus {
            address: String::new(),
            receives_from: Vec::new(),
            caught_up_in: None,
            complete_in: None,
            is_disk_lagging: false,
            last_seen: now,
        });
        peer.address = address;
        peer.last_seen = now;
        is_new
    }

    fn handle_heartbeat(&mut self, from: NodeId, heartbeat: &Heartbeat) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.caught_up_in = heartbeat.is_caught_up.then_some(heartbeat.epoch);
            peer.is_disk_lagging = heartbeat.is_disk_lagging;
            peer.complete_in = heartbeat.is_complete.then_some(heartbeat.epoch);
            peer.receives_from = heartbeat.timestamp_echoes.iter().map(|echo| echo.peer).collect();
        }
    }

    /// Removes peers not seen for [`PEER_EXPIRY`], except those for which `retain` returns true.
    fn remove_stale(&mut self, now: Instant, retain: impl Fn(NodeId) -> bool) {
        self.peers.retain(|id, peer| retain(*id) || now - peer.last_seen < PEER_EXPIRY);
    }
}

impl<M: Machine> CoreNode<M> {
    pub(super) fn handle_peer_seen(&mut self, now: Instant, id: NodeId, address: String) {
        // Ignore this node itself, and an earlier disk of this machine that other nodes still list at this address.
        if id == self.id || address == self.config.address {
            return;
        }
        self.bootstrap.add_peer(id, &address);
        if self.peers.observe(now, id, address) {
            self.send_heartbeat(now, id);
            self.poll_bootstrap(now);
        }
    }

    pub(super) fn poll_bootstrap(&mut self, now: Instant) {
        let step = self.bootstrap.poll(now, &mut self.agreement);
        self.apply_agreement_step(now, step);
    }

    pub(super) fn handle_bootstrap_agreed(&mut self, now: Instant, from: NodeId, members: Vec<Member>) {
        let step = self.bootstrap.handle(&mut self.agreement, from, members);
        self.apply_agreement_step(now, step);
    }

    /// Sends a heartbeat to every voter and known peer, usually without waiting for the disk.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        for id in self.heartbeat_targets() {
            self.send_heartbeat(now, id);
        }
    }

    /// Announces the view just entered, by heartbeats that are deferred until its record is durable. By then the other
    /// nodes have learned of the view as well, and accept messages of its epoch.
    pub(super) fn announce_view(&mut self, now: Instant) {
        for id in self.heartbeat_targets() {
            let heartbeat = self.heartbeat(now);
            self.send(id, CoreMessage::Heartbeat(heartbeat));
        }
    }

    fn heartbeat_targets(&self) -> Vec<NodeId> {
        let voters = self.voters().into_iter();
        let mut targets: Vec<NodeId> = voters.chain(self.peers.ids()).collect();
        targets.sort();
        targets.dedup();
        targets.retain(|id| *id != self.id);
        targets
    }

    /// While the log on disk is being replaced, a crash could invalidate the contents of a heartbeat; it is then
    /// deferred until all issued records are durable.
    fn send_heartbeat(&mut self, now: Instant, to: NodeId) {
        let heartbeat = CoreMessage::Heartbeat(self.heartbeat(now));
        match self.replica.durable_end() {
            Some(_) => self.send_immediately(to, heartbeat),
            None => self.send(to, heartbeat),
        }
    }

    fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            epoch: self.agreement.epoch(),
            address: self.config.address.clone(),
            timestamp: self.contact.timestamp(now),
            timestamp_echoes: self.contact.echoes(self.detector.heard_peers(now)),
            log_end: self.replica.durable_end().unwrap_or_else(|| self.replica.end()),
            committed: self.replica.committed(),
            is_caught_up: self.replica.is_caught_up(),
            is_complete: self.replica.is_durably_complete(),
            confirms_epoch: self.confirms_epoch(),
            is_leaving: self.departures.is_leaving(),
            is_disk_lagging: self.disk_lag.is_lagging(now),
        }
    }

    pub(super) fn handle_heartbeat(&mut self, now: Instant, from: NodeId, heartbeat: Heartbeat) {
        let receives_from_us = heartbeat.timestamp_echoes.iter().any(|echo| echo.peer == self.id);
        self.detector.handle_heartbeat(now, from, receives_from_us);
        self.collect_contact_evidence(from, &heartbeat);
        if heartbeat.is_leaving {
            self.detector.mark_leaving(from);
        }
        self.handle_peer_seen(now, from, heartbeat.address.clone());
        self.peers.handle_heartbeat(from, &heartbeat);
        if heartbeat.is_leaving {
            self.propose_view_if_needed(now);
        }
        self.compare_epochs(now, from, &heartbeat);
    }

    /// Sends the newer view to whichever side has the older one. In the same view, the heartbeat acts as an
    /// acknowledgement of the sender's log.
    fn compare_epochs(&mut self, now: Instant, from: NodeId, heartbeat: &Heartbeat) {
        let epoch = self.agreement.epoch();
        if heartbeat.epoch < epoch {
            let step = self.agreement.handle_query(from, heartbeat.epoch);
            self.apply_agreement_step(now, step);
        } else if heartbeat.epoch > epoch {
            self.send(from, CoreMessage::View(ViewMessage::Query { known: epoch }));
        } else if epoch != Epoch::NONE {
            self.replica.handle_ack(now, from, heartbeat.log_end, heartbeat.committed);
            if !heartbeat.is_caught_up {
                self.replica.confirm_caught_up(from);
            }
        }
    }

    pub(super) fn remove_stale_peers(&mut self, now: Instant) {
        let view = self.agreement.view();
        self.peers.remove_stale(now, |id| view.is_some_and(|view| view.is_voter(id)));
        let peers = &self.peers;
        self.contact.retain_peers(|id| peers.contains(id));
    }
}
