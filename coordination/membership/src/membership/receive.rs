//! Datagrams as they come in.

use std::net::SocketAddr;

use crate::events::{Event, Output};
use crate::membership::local::Phase;
use crate::membership::merge::Source;
use crate::wire::{Message, Packet};
use crate::Membership;

impl Membership {
    pub(crate) fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8], outputs: &mut Vec<Output>) {
        if self.phase == Phase::Ended {
            return;
        }
        // What cannot be decoded is noise on an open port: there is nobody to tell.
        let Ok(packet) = Packet::decode(bytes) else { return };
        if packet.group != self.config.group || packet.sender == self.me {
            return;
        }
        self.note_contact(outputs);
        self.on_packet(from, packet, outputs);
    }

    fn on_packet(&mut self, from: SocketAddr, packet: Packet, outputs: &mut Vec<Output>) {
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
        self.note_digest(from, digest, outputs);
        match message {
            Message::Ping { sequence, target } => {
                self.on_ping(from, &sender.name, sequence, &target, outputs);
            }
            Message::Ack { sequence } => self.on_ack(&sender, sequence, outputs),
            Message::WrongTarget { sequence } => self.on_wrong_target(sequence, outputs),
            Message::IndirectPing { sequence, target, address } => {
                self.on_indirect_ping(from, sequence, target, address.into(), outputs);
            }
            Message::SyncRequest { answer, digests } => {
                self.on_sync_request(from, &sender.name, answer, &digests, outputs);
            }
            Message::SyncRecords { more } => self.on_sync_records(from, more),
            // Both are heard for what they carry, and as a sign that this process can be reached.
            Message::Nack { .. } | Message::Gossip => {}
        }
    }

    fn note_contact(&mut self, outputs: &mut Vec<Output>) {
        self.contact.last = Some(self.now());
        self.contact.last_steady = Some(self.clock.steady(self.now()));
        if self.contact.silent_probes > 0 {
            self.contact.silent_probes = 0;
            self.probes.excuse_all();
        }
        if self.contact.lost {
            self.contact.lost = false;
            outputs.push(Output::Event(Event::ContactRestored));
        }
    }
}
