//! Exchange of differing parts of two lists: joining, repair of lost news, and finding each other after a cut.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::events::Output;
use crate::identity::MemberName;
use crate::member::Status;
use crate::wire::{Message, Packet, Record};
use crate::Membership;

/// Longest wait between attempts to join, as a multiple of the first.
const MAX_JOIN_WAIT_FACTOR: u32 = 8;

/// What is known of how far the others' lists differ, and when this process last asked for the difference.
#[derive(Clone, Debug)]
pub(crate) struct SyncPace {
    /// Datagrams in succession with a digest like the own one, since there was news.
    agreements: u32,
    requested_at: Option<Duration>,
    /// A member that has more to send, and when to ask it again.
    next: Option<(Duration, SocketAddr)>,
}

impl SyncPace {
    pub const fn new() -> Self {
        Self { agreements: 0, requested_at: None, next: None }
    }

    pub fn expect_disagreement(&mut self) {
        self.agreements = 0;
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.next.map(|(due, _)| due)
    }
}

impl Membership {
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let own = self.local().address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.timers.join = Some(self.now());
        self.timers.join_wait = self.config.join_interval;
    }

    /// Asks all seeds, again and again until some member is known.
    pub(crate) fn join_if_due(&mut self, outputs: &mut Vec<Output>) {
        if self.timers.join.is_none_or(|due| due > self.now()) {
            return;
        }
        for seed in self.seeds.clone() {
            self.request_sync(seed, None, false, outputs);
        }
        let is_joined = !self.order.is_empty();
        self.timers.join = (!is_joined).then(|| self.now() + self.timers.join_wait);
        let longest = self.config.join_interval * MAX_JOIN_WAIT_FACTOR;
        self.timers.join_wait = (self.timers.join_wait * 2).min(longest);
    }

    /// Asks one dead member or one seed that nobody live is known at: a cut may have healed.
    pub(crate) fn reconnect_if_due(&mut self, outputs: &mut Vec<Output>) {
        if self.timers.reconnect > self.now() {
            return;
        }
        self.timers.reconnect = self.now() + self.config.reconnect_interval;
        let Some((address, name)) = self.absent_address() else { return };
        self.request_sync(address, name.as_ref(), false, outputs);
    }

    fn absent_address(&mut self) -> Option<(SocketAddr, Option<MemberName>)> {
        let dead = self.table.iter().filter(|member| member.status == Status::Dead);
        let dead = dead.map(|member| (member.address, Some(member.name().clone())));
        let seeds = self.seeds.iter().map(|seed| (*seed, None));
        let mut candidates: Vec<_> = dead.chain(seeds).collect();
        self.random.shuffle(&mut candidates);
        candidates.into_iter().find(|(address, _)| self.table.live_at(*address).next().is_none())
    }

    /// Compares the digest that came with a datagram, and asks for the difference.
    pub(crate) fn note_digest(&mut self, from: SocketAddr, digest: u64, outputs: &mut Vec<Output>) {
        if digest == self.digest() {
            self.count_agreement();
            return;
        }
        self.sync.agreements = 0;
        if self.should_ask_for_difference() {
            self.request_sync(from, None, false, outputs);
        }
    }

    /// A pending suspicion makes it urgent: the difference may be its refutation.
    fn should_ask_for_difference(&self) -> bool {
        let spacing =
            if self.suspicions.is_empty() { self.config.sync_interval } else { self.config.gossip_interval };
        self.sync.requested_at.is_none_or(|last| self.now() >= last + spacing)
    }

    /// After as many equal digests in succession as news is sent times, the others are taken to know it; one that does
    /// not will ask for the difference.
    fn count_agreement(&mut self) {
        self.sync.agreements = self.sync.agreements.saturating_add(1);
        if self.sync.agreements == self.transmission_limit() {
            self.end_known_news();
        }
    }

    /// Sends the own digests; the receiver answers with records of the parts that differ.
    fn request_sync(
        &mut self,
        to: SocketAddr,
        receiver: Option<&MemberName>,
        answer: bool,
        outputs: &mut Vec<Output>,
    ) {
        self.sync.requested_at = Some(self.now());
        let digests = self.table.digest().to_vec();
        let mut packet = self.packet(Message::SyncRequest { answer, digests });
        packet.records.push(Record::full(self.local()));
        packet.records.extend(self.accusation_of(receiver));
        outputs.push(Output::Send { to, bytes: packet.encode() });
    }

    pub(crate) fn on_sync_request(
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
        let mut packets = self.pack(records);
        let more = packets.len() > self.config.sync_datagrams;
        packets.truncate(self.config.sync_datagrams);
        for mut packet in packets {
            packet.message = Message::SyncRecords { more };
            outputs.push(Output::Send { to, bytes: packet.encode() });
        }
    }

    fn pack(&self, records: Vec<Record>) -> Vec<Packet> {
        let empty = self.packet(Message::SyncRecords { more: false });
        let limit = self.config.max_datagram_bytes.saturating_sub(empty.encoded_bytes());
        let mut packets: Vec<Packet> = Vec::new();
        let mut room = 0;
        for record in records {
            let size = record.encoded_bytes();
            let fits = packets.last().is_some_and(Packet::has_room_for_record) && size <= room;
            if !fits {
                packets.push(empty.clone());
                room = limit;
            }
            room = room.saturating_sub(size);
            if let Some(packet) = packets.last_mut() {
                packet.records.push(record);
            }
        }
        packets
    }

    /// Asks again soon where the answer was cut short.
    pub(crate) fn on_sync_records(&mut self, from: SocketAddr, more: bool) {
        if more {
            self.sync.next = Some((self.now() + self.config.gossip_interval, from));
        }
    }

    pub(crate) fn continue_sync_if_due(&mut self, outputs: &mut Vec<Output>) {
        let Some((due, address)) = self.sync.next else { return };
        if due <= self.now() {
            self.sync.next = None;
            self.request_sync(address, None, false, outputs);
        }
    }
}
