//! Handling of received datagrams.

use std::net::SocketAddr;

use super::local::Phase;
use super::merge::Source;
use super::Membership;
use crate::events::{Event, Output};
use crate::wire::{Message, Packet};

impl Membership {
    pub(super) fn handle_datagram(&mut self, from: SocketAddr, bytes: &[u8], outputs: &mut Vec<Output>) {
        if self.phase == Phase::Ended {
            return;
        }
        // Any host can send datagrams to the port, so those that cannot be decoded are dropped without an answer.
        let Ok(packet) = Packet::decode(bytes) else { return };
        if packet.group != self.config.group || packet.sender == self.local_id {
            return;
        }
        self.record_contact(outputs);
        self.handle_packet(from, packet, outputs);
    }

    fn handle_packet(&mut self, from: SocketAddr, packet: Packet, outputs: &mut Vec<Output>) {
        let Packet { sender, digest, message, records, .. } = packet;
        let is_sync = matches!(message, Message::SyncRecords { .. });
        for record in records {
            let source = if record.id == sender {
                Source::Subject { from }
            } else if is_sync {
                Source::Sync
            } else {
                Source::Gossip
            };
            self.merge(record, source, outputs);
        }
        self.compare_digests(from, digest, outputs);
        match message {
            Message::Ping { sequence, target } => {
                self.handle_ping(from, &sender.name, sequence, &target, outputs);
            }
            Message::Ack { sequence } => self.handle_ack(&sender, sequence, outputs),
            Message::WrongTarget { sequence } => self.handle_wrong_target(sequence, outputs),
            Message::IndirectPing { sequence, target, address } => {
                self.handle_indirect_ping(from, sequence, target, address.into(), outputs);
            }
            Message::SyncRequest { answer, digests } => {
                self.handle_sync_request(from, &sender.name, answer, &digests, outputs);
            }
            Message::SyncRecords { more } => self.handle_sync_records(from, more),
            // Both only carry records and show that this process is reachable. Both were evaluated above.
            Message::Nack { .. } | Message::Gossip => {}
        }
    }

    fn record_contact(&mut self, outputs: &mut Vec<Output>) {
        let now = self.now();
        let update = self.contact.handle_datagram(now, self.clock.to_steady(now));
        if update.ends_missed_probes {
            self.probes.excuse_all();
        }
        if update.is_contact_restored {
            outputs.push(Output::Event(Event::ContactRestored));
        }
    }
}
