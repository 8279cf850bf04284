//! How news travels: on the back of every message, and in rounds of its own while there is any.

use std::net::SocketAddr;

use crate::events::{Event, Output};
use crate::identity::MemberName;
use crate::member::{Member, Status};
use crate::membership::local::Phase;
use crate::wire::{Message, Packet, Record};
use crate::Membership;

impl Membership {
    /// Makes a member's record news.
    pub(crate) fn broadcast(&mut self, name: MemberName) {
        self.broadcasts.push(name);
        self.sync.expect_disagreement();
        let now = self.now();
        self.timers.gossip.get_or_insert(now);
    }

    pub(crate) fn gossip_if_due(&mut self, outputs: &mut Vec<Output>) {
        if self.timers.gossip.is_none_or(|due| due > self.now()) {
            return;
        }
        for name in self.order.sample(self.config.gossip_fanout, None, &mut self.random) {
            if self.broadcasts.is_empty() {
                break;
            }
            self.send_to_member(&name, Message::Gossip, outputs);
        }
        let is_alone = self.order.is_empty();
        let is_done = self.broadcasts.is_empty() || is_alone;
        self.timers.gossip = (!is_done).then(|| self.now() + self.config.gossip_interval);
        if self.phase == Phase::Leaving && (is_alone || !self.broadcasts.contains(&self.me.name)) {
            self.phase = Phase::Ended;
            outputs.push(Output::Event(Event::LeaveCompleted));
        }
    }

    pub(crate) fn send_to_member(&mut self, name: &MemberName, message: Message, outputs: &mut Vec<Output>) {
        if let Some(address) = self.table.get(name).map(|member| member.address) {
            self.send(address, Some(name), message, outputs);
        }
    }

    /// Sends a message with as much news as fits. A receiver that is held for suspect or dead is told so first.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        receiver: Option<&MemberName>,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let mut packet = self.packet(message);
        packet.records.extend(self.accusation_of(receiver));
        self.fill_with_news(&mut packet);
        outputs.push(Output::Send { to, bytes: packet.encode() });
    }

    /// What a receiver must hear to refute it.
    pub(crate) fn accusation_of(&self, receiver: Option<&MemberName>) -> Option<Record> {
        let member = self.table.get(receiver?)?;
        is_accused(member).then(|| Record::news(member))
    }

    /// Sends a message that tells a receiver who may not know this process where and what it is.
    pub(crate) fn send_with_own_record(
        &mut self,
        to: SocketAddr,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let mut packet = self.packet(message);
        packet.records.push(Record::full(self.local()));
        outputs.push(Output::Send { to, bytes: packet.encode() });
    }

    pub(crate) fn packet(&self, message: Message) -> Packet {
        Packet {
            group: self.config.group,
            sender: self.me.clone(),
            digest: self.digest(),
            message,
            records: Vec::new(),
        }
    }

    /// Ends the news that a digest covers once enough others have been found to know it; suspicion is not covered.
    pub(crate) fn end_known_news(&mut self) {
        let table = &self.table;
        self.broadcasts.retain(|name| table.get(name).is_some_and(|member| member.status == Status::Suspect));
    }

    fn fill_with_news(&mut self, packet: &mut Packet) {
        let mut room = self.config.max_datagram_bytes.saturating_sub(packet.encoded_bytes());
        let mut sent = Vec::new();
        for name in self.broadcasts.iter() {
            let Some(member) = self.table.get(name) else { continue };
            let record = Record::news(member);
            let size = record.encoded_bytes();
            if size > room || !packet.has_room_for_record() {
                break;
            }
            room -= size;
            packet.records.push(record);
            sent.push(name.clone());
        }
        let limit = self.transmission_limit();
        for name in sent {
            self.broadcasts.sent(&name, limit);
        }
    }

    /// Transmissions after which a record has reached everyone with high probability.
    pub(crate) fn transmission_limit(&self) -> u32 {
        let size = u32::try_from(self.table.live()).unwrap_or(u32::MAX);
        let logarithm = size.saturating_add(1).next_power_of_two().trailing_zeros();
        self.config.retransmit_multiplier * logarithm.max(1)
    }
}

const fn is_accused(member: &Member) -> bool {
    matches!(member.status, Status::Suspect | Status::Dead)
}
