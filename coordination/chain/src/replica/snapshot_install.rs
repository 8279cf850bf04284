//! Replacing the whole state of a node that is too far behind, in parts.

use millrudder_view::NodeId;

use super::{Replica, ReplicaOutput};
use crate::replication_progress::Link;
use crate::transfer::{IncomingSnapshot, OutgoingSnapshot, Transfer, MAX_SNAPSHOT_BYTES};
use crate::{CoreMessage, InstallSnapshotChunk, Machine, Record, Sequence, Snapshot, SnapshotId};

impl<M: Machine> Replica<M> {
    /// Begins to send a snapshot: the one that is under way to others if the log goes on from it, else a new one.
    pub(super) fn begin_transfer(&mut self, link: &mut Link) {
        self.drop_useless_snapshot();
        let at_hand = self.outgoing.as_ref().filter(|outgoing| outgoing.id.position >= link.end);
        let id = match at_hand {
            Some(outgoing) => outgoing.id,
            None => self.take_snapshot(),
        };
        link.transfer = Some(Transfer::new(id));
    }

    fn take_snapshot(&mut self) -> SnapshotId {
        let outgoing = OutgoingSnapshot::new(&self.store.snapshot());
        let id = outgoing.id;
        self.outgoing = Some(outgoing);
        id
    }

    /// Forgets the snapshot at hand once the log does not go on from it any more.
    pub(super) fn drop_useless_snapshot(&mut self) {
        let log = &self.store.log;
        self.outgoing = self.outgoing.take().filter(|outgoing| log.contains(outgoing.id.position));
    }

    /// Sends as many parts as may be under way. A transfer whose snapshot is not at hand any more begins anew.
    pub(super) fn send_parts(&mut self, to: NodeId, link: &mut Link) {
        let current = |outgoing: &&OutgoingSnapshot| link.transfer.is_some_and(|it| it.id == outgoing.id);
        if self.outgoing.as_ref().filter(current).is_none() {
            self.begin_transfer(link);
        }
        let Some(mut transfer) = link.transfer else {
            return;
        };
        while transfer.may_send(self.limits.batch_bytes) {
            let Some(outgoing) = &self.outgoing else {
                return;
            };
            let part = outgoing.part(transfer.sent, self.limits.batch_bytes);
            transfer.sent += part.bytes.len() as u64;
            let install = InstallSnapshotChunk {
                epoch: self.epoch(),
                part,
                complete_at: self.complete_at(),
                sealed: self.is_sealed(),
                differs_at: self.differs_at(link.end),
            };
            self.send(to, CoreMessage::Install(install));
        }
        link.transfer = Some(transfer);
    }

    /// A fed node holds the first bytes of a snapshot.
    pub(crate) fn install_received(&mut self, now: u64, from: NodeId, id: SnapshotId, received: u64) {
        let Some(link) = self.links.get_mut(&from) else {
            return;
        };
        let Some(transfer) = link.transfer.as_mut().filter(|transfer| transfer.id == id) else {
            return;
        };
        if transfer.received(received) {
            link.progress_at = now;
            self.feed_all(now);
        }
    }

    /// Takes a part of the whole state from the node that feeds this one.
    pub(crate) fn install(&mut self, now: u64, from: NodeId, install: InstallSnapshotChunk) {
        let InstallSnapshotChunk { part, complete_at, sealed, differs_at, .. } = install;
        if !self.takes_from(from, sealed) {
            return;
        }
        self.join_seal(sealed);
        let position = part.id.position;
        self.drop_what_differs(differs_at);
        let held = self.store.log.contains(position);
        let older = position.sequence < self.committed();
        if held || older || part.id.length > MAX_SNAPSHOT_BYTES {
            self.incoming = None;
            return self.acknowledge(from);
        }
        let same = self.incoming.take().filter(|incoming| incoming.id == part.id);
        let mut incoming = same.unwrap_or_else(|| IncomingSnapshot::new(part.id));
        incoming.take(part);
        if incoming.is_whole() {
            return self.install_whole(now, from, incoming.decode(), complete_at);
        }
        let (epoch, id, received) = (self.epoch(), incoming.id, incoming.received());
        self.incoming = Some(incoming);
        self.send(from, CoreMessage::InstallReceived { epoch, id, received });
    }

    fn install_whole(&mut self, now: u64, from: NodeId, snapshot: Option<Snapshot>, complete_at: Sequence) {
        // Bytes that are not what was promised are sent anew after a pause without progress.
        let Some(snapshot) = snapshot.filter(|snapshot| self.store.install(snapshot).is_ok()) else {
            return self.acknowledge(from);
        };
        self.generation += 1;
        self.persisted = Sequence::default();
        let sequence = snapshot.position.sequence;
        self.persist(Record::Installed { snapshot, complete: self.complete });
        self.outputs.push(ReplicaOutput::Replaced { sequence });
        self.reach(now, Vec::new(), complete_at);
        self.feed_all(now);
        self.acknowledge(from);
    }
}
