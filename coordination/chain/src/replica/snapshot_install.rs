//! Sending and installing snapshots, which replace the whole state of a node that is too far behind.

use millrudder_clock::Instant;
use millrudder_view::NodeId;

use super::{Replica, ReplicaOutput};
use crate::replication_progress::ReplicationProgress;
use crate::transfer::{IncomingSnapshot, OutgoingSnapshot, MAX_SNAPSHOT_BYTES};
use crate::{CoreMessage, InstallSnapshotChunk, Machine, Record, Sequence, Snapshot, SnapshotId};

impl<M: Machine> Replica<M> {
    /// Starts the transfer of a snapshot: the one already sent to others if it is not older than the receiver's log,
    /// otherwise a new one.
    pub(super) fn begin_transfer(&mut self, progress: &mut ReplicationProgress) {
        self.drop_unusable_snapshot();
        let reusable = self.outgoing.as_ref().filter(|outgoing| outgoing.id().position >= progress.acked());
        let id = match reusable {
            Some(outgoing) => outgoing.id(),
            None => self.take_snapshot(),
        };
        progress.start_transfer(id);
    }

    fn take_snapshot(&mut self) -> SnapshotId {
        let outgoing = OutgoingSnapshot::new(&self.store.snapshot());
        let id = outgoing.id();
        self.outgoing = Some(outgoing);
        id
    }

    /// Drops the outgoing snapshot if the log no longer contains its position, so that no entries could follow it.
    pub(super) fn drop_unusable_snapshot(&mut self) {
        let log = self.store.log();
        self.outgoing = self.outgoing.take().filter(|outgoing| log.contains(outgoing.id().position));
    }

    /// Sends as many chunks as may be in flight. A transfer whose snapshot was dropped restarts.
    pub(super) fn send_chunks(&mut self, to: NodeId, progress: &mut ReplicationProgress) {
        let current = |outgoing: &&OutgoingSnapshot| {
            progress.transfer().is_some_and(|transfer| transfer.id() == outgoing.id())
        };
        if self.outgoing.as_ref().filter(current).is_none() {
            self.begin_transfer(progress);
        }
        let Some(mut transfer) = progress.transfer() else {
            return;
        };
        while transfer.can_send(self.limits.batch_bytes) {
            let Some(outgoing) = &self.outgoing else {
                return;
            };
            let chunk = outgoing.chunk(transfer.sent(), self.limits.batch_bytes);
            transfer.record_sent(chunk.bytes.len() as u64);
            let install = InstallSnapshotChunk {
                epoch: self.epoch(),
                chunk,
                complete_at: self.complete_at(),
                sealed: self.is_sealed(),
                conflict_at: self.conflict_at(progress.acked()),
            };
            self.send(to, CoreMessage::InstallSnapshot(install));
        }
        progress.set_transfer(transfer);
    }

    /// Handles a receiver's report that it has the first `received` bytes of a snapshot.
    pub(crate) fn handle_snapshot_received(
        &mut self,
        now: Instant,
        from: NodeId,
        id: SnapshotId,
        received: u64,
    ) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if progress.handle_snapshot_received(now, id, received) {
            self.replicate_to_all(now);
        }
    }

    /// Adds a chunk of a snapshot, and installs the snapshot once all of its chunks have arrived.
    pub(crate) fn handle_install(&mut self, now: Instant, from: NodeId, install: InstallSnapshotChunk) {
        let InstallSnapshotChunk { chunk, complete_at, sealed, conflict_at, .. } = install;
        if !self.accepts_from(from, sealed) {
            return;
        }
        self.adopt_seal(sealed);
        let position = chunk.id.position;
        self.drop_conflicting(conflict_at);
        let is_known = self.store.log().contains(position);
        let is_older = position.sequence < self.committed();
        if is_known || is_older || chunk.id.length > MAX_SNAPSHOT_BYTES {
            self.incoming = None;
            return self.acknowledge(from);
        }
        let same = self.incoming.take().filter(|incoming| incoming.id() == chunk.id);
        let mut incoming = same.unwrap_or_else(|| IncomingSnapshot::new(chunk.id));
        incoming.add_chunk(chunk);
        if incoming.is_complete() {
            return self.install_snapshot(now, from, incoming.decode(), complete_at);
        }
        let (epoch, id, received) = (self.epoch(), incoming.id(), incoming.received());
        self.incoming = Some(incoming);
        self.send(from, CoreMessage::SnapshotReceived { epoch, id, received });
    }

    fn install_snapshot(
        &mut self,
        now: Instant,
        from: NodeId,
        snapshot: Option<Snapshot>,
        complete_at: Sequence,
    ) {
        // If the digest does not match or the snapshot cannot be restored, the sender restarts the transfer after its
        // retry time-out.
        let Some(snapshot) = snapshot.filter(|snapshot| self.store.install(snapshot).is_ok()) else {
            return self.acknowledge(from);
        };
        self.durability.handle_log_replaced();
        let sequence = snapshot.position.sequence;
        self.persist(Record::SnapshotInstalled { snapshot, complete: self.durability.is_complete() });
        self.outputs.push(ReplicaOutput::SnapshotInstalled { sequence });
        self.record_entries(now, Vec::new(), complete_at);
        self.replicate_to_all(now);
        self.acknowledge(from);
    }
}
