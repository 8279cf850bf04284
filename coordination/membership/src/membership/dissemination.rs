//! Dissemination of updates: piggybacked on every message, and by gossip messages while any are pending.

use std::net::SocketAddr;

use super::local::Phase;
use super::Membership;
use crate::events::{Event, Output};
use crate::identity::MemberName;
use crate::member::{Member, Status};
use crate::wire::{Message, Packet, Record};

impl Membership {
    /// Queues a member's record for dissemination.
    pub(super) fn broadcast(&mut self, name: MemberName) {
        self.broadcasts.push(name);
        self.sync.reset_agreements();
        let now = self.now();
        self.timers.request_gossip(now);
    }

    pub(super) fn gossip_if_due(&mut self, outputs: &mut Vec<Output>) {
        if !self.timers.is_gossip_due(self.now()) {
            return;
        }
        for name in self.probe_order.sample(self.config.gossip_fanout, None, &mut self.random) {
            if self.broadcasts.is_empty() {
                break;
            }
            self.send_to_member(&name, Message::Gossip, outputs);
        }
        let is_alone = self.probe_order.is_empty();
        let is_done = self.broadcasts.is_empty() || is_alone;
        let next = (!is_done).then(|| self.now() + self.config.gossip_interval);
        self.timers.set_gossip(next);
        if self.phase == Phase::Leaving && (is_alone || !self.broadcasts.contains(&self.local_id.name)) {
            self.phase = Phase::Ended;
            outputs.push(Output::Event(Event::LeaveCompleted));
        }
    }

    pub(super) fn send_to_member(&mut self, name: &MemberName, message: Message, outputs: &mut Vec<Output>) {
        if let Some(address) = self.table.get(name).map(|member| member.address) {
            self.send(address, Some(name), message, outputs);
        }
    }

    /// Sends a message with as many updates as fit. If the receiver is suspected or dead, its own record comes first, so that it
    /// can refute it.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        receiver: Option<&MemberName>,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let mut packet = self.packet(message);
        packet.records.extend(self.record_to_refute(receiver));
        self.piggyback_updates(&mut packet);
        outputs.push(Output::Send { to, bytes: packet.encode() });
    }

    /// Returns the record of the receiver if it is suspected or dead, so that it can refute it.
    pub(super) fn record_to_refute(&self, receiver: Option<&MemberName>) -> Option<Record> {
        let member = self.table.get(receiver?)?;
        must_refute(member).then(|| Record::update(member))
    }

    /// Sends a message with the record of this process, for a receiver that may not know it.
    pub(super) fn send_with_own_record(
        &mut self,
        to: SocketAddr,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let mut packet = self.packet(message);
        packet.records.push(Record::full(self.local()));
        outputs.push(Output::Send { to, bytes: packet.encode() });
    }

    pub(super) fn packet(&self, message: Message) -> Packet {
        Packet {
            group: self.config.group,
            sender: self.local_id.clone(),
            digest: self.digest(),
            message,
            records: Vec::new(),
        }
    }

    /// Drops pending updates that other members were found to know by comparing digests. Suspicions are kept, since digests do
    /// not cover them.
    pub(super) fn drop_known_updates(&mut self) {
        let table = &self.table;
        self.broadcasts.retain(|name| table.get(name).is_some_and(|member| member.status == Status::Suspect));
    }

    fn piggyback_updates(&mut self, packet: &mut Packet) {
        let mut remaining = self.config.max_datagram_bytes.saturating_sub(packet.encoded_bytes());
        let mut sent = Vec::new();
        for name in self.broadcasts.iter() {
            let Some(member) = self.table.get(name) else { continue };
            let record = Record::update(member);
            let size = record.encoded_bytes();
            if size > remaining || !packet.has_capacity_for_record() {
                break;
            }
            remaining -= size;
            packet.records.push(record);
            sent.push(name.clone());
        }
        let limit = self.transmission_limit();
        for name in sent {
            self.broadcasts.record_transmission(&name, limit);
        }
    }

    /// Returns the number of transmissions after which a record has reached all members with high probability.
    pub(super) fn transmission_limit(&self) -> u32 {
        let size = u32::try_from(self.table.live_count()).unwrap_or(u32::MAX);
        let logarithm = size.saturating_add(1).next_power_of_two().trailing_zeros();
        self.config.retransmit_multiplier * logarithm.max(1)
    }
}

const fn must_refute(member: &Member) -> bool {
    matches!(member.status, Status::Suspect | Status::Dead)
}
