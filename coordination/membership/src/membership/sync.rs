//! Exchange of the differing parts of two lists (anti-entropy). It serves joining, the repair of lost updates, and
//! reconnection after a partition.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Membership;
use crate::events::Output;
use crate::identity::MemberName;
use crate::member::Status;
use crate::wire::{Message, Packet, Record};

impl Membership {
    pub(super) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let own = self.local().address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.timers.start_joining(self.now(), self.config.join_interval);
    }

    /// Sends sync requests to all seeds if an attempt to join is due. Attempts end once another member is known.
    pub(super) fn join_if_due(&mut self, outputs: &mut Vec<Output>) {
        if !self.timers.is_join_due(self.now()) {
            return;
        }
        for seed in self.seeds.clone() {
            self.request_sync(seed, None, false, outputs);
        }
        let is_joined = !self.probe_order.is_empty();
        self.timers.finish_join_attempt(self.now(), is_joined, self.config.join_interval);
    }

    /// Sends a sync request to one dead member, or to one seed at which no live member is known, since a partition may have
    /// healed.
    pub(super) fn reconnect_if_due(&mut self, outputs: &mut Vec<Output>) {
        if !self.timers.take_due_reconnect(self.now(), self.config.reconnect_interval) {
            return;
        }
        let Some((address, name)) = self.choose_reconnect_target() else { return };
        self.request_sync(address, name.as_ref(), false, outputs);
    }

    fn choose_reconnect_target(&mut self) -> Option<(SocketAddr, Option<MemberName>)> {
        let dead = self.table.iter().filter(|member| member.status == Status::Dead);
        let dead = dead.map(|member| (member.address, Some(member.name().clone())));
        let seeds = self.seeds.iter().map(|seed| (*seed, None));
        let mut candidates: Vec<_> = dead.chain(seeds).collect();
        self.random.shuffle(&mut candidates);
        candidates.into_iter().find(|(address, _)| self.table.live_at(*address).next().is_none())
    }

    /// Compares the digest of a datagram with the local one, and requests the differing records.
    pub(super) fn compare_digests(&mut self, from: SocketAddr, digest: u64, outputs: &mut Vec<Output>) {
        if digest == self.digest() {
            self.count_agreement();
            return;
        }
        self.sync.reset_agreements();
        if self.is_sync_request_due() {
            self.request_sync(from, None, false, outputs);
        }
    }

    /// Returns whether enough time has passed since the last sync request. The spacing is shorter while a suspicion is pending,
    /// because the differing records may contain its refutation.
    fn is_sync_request_due(&self) -> bool {
        let spacing =
            if self.suspicions.is_empty() { self.config.sync_interval } else { self.config.gossip_interval };
        self.sync.requested_at().is_none_or(|last| self.now() >= last + spacing)
    }

    /// Counts a datagram with an equal digest. Once their consecutive number reaches the transmission limit, all members are
    /// assumed to know all updates. A member that does not will request the differing records.
    fn count_agreement(&mut self) {
        if self.sync.count_agreement() == self.transmission_limit() {
            self.drop_known_updates();
        }
    }

    /// Sends the digests of this process's list. The receiver answers with the records of the buckets that differ.
    fn request_sync(
        &mut self,
        to: SocketAddr,
        receiver: Option<&MemberName>,
        answer: bool,
        outputs: &mut Vec<Output>,
    ) {
        self.sync.set_requested_at(self.now());
        let digests = self.table.digest().to_vec();
        let mut packet = self.packet(Message::SyncRequest { answer, digests });
        packet.records.push(Record::full(self.local()));
        packet.records.extend(self.record_to_refute(receiver));
        outputs.push(Output::Send { to, bytes: packet.encode() });
    }

    pub(super) fn handle_sync_request(
        &mut self,
        from: SocketAddr,
        sender: &MemberName,
        answer: bool,
        digests: &[u64],
        outputs: &mut Vec<Output>,
    ) {
        let buckets = self.table.digest().differing(digests);
        self.send_buckets(from, &buckets, outputs);
        if !answer && !buckets.is_empty() {
            self.request_sync(from, Some(sender), true, outputs);
        }
    }

    fn send_buckets(&self, to: SocketAddr, buckets: &BTreeSet<usize>, outputs: &mut Vec<Output>) {
        let records: Vec<Record> = self.table.in_buckets(buckets).map(Record::full).collect();
        let mut packets = self.pack_records(records);
        let more = packets.len() > self.config.sync_datagrams;
        packets.truncate(self.config.sync_datagrams);
        for mut packet in packets {
            packet.message = Message::SyncRecords { more };
            outputs.push(Output::Send { to, bytes: packet.encode() });
        }
    }

    fn pack_records(&self, records: Vec<Record>) -> Vec<Packet> {
        let empty = self.packet(Message::SyncRecords { more: false });
        let limit = self.config.max_datagram_bytes.saturating_sub(empty.encoded_bytes());
        let mut packets: Vec<Packet> = Vec::new();
        let mut remaining = 0;
        for record in records {
            let size = record.encoded_bytes();
            let fits = packets.last().is_some_and(Packet::has_capacity_for_record) && size <= remaining;
            if !fits {
                packets.push(empty.clone());
                remaining = limit;
            }
            remaining = remaining.saturating_sub(size);
            if let Some(packet) = packets.last_mut() {
                packet.records.push(record);
            }
        }
        packets
    }

    /// Schedules another request if the answer was truncated.
    pub(super) fn handle_sync_records(&mut self, from: SocketAddr, more: bool) {
        if more {
            self.sync.schedule_continuation(self.now() + self.config.gossip_interval, from);
        }
    }

    pub(super) fn continue_sync_if_due(&mut self, outputs: &mut Vec<Output>) {
        if let Some(address) = self.sync.take_due(self.now()) {
            self.request_sync(address, None, false, outputs);
        }
    }
}
