//! Merging of received records into the table.

use std::net::SocketAddr;

use super::Membership;
use crate::events::{Event, Output};
use crate::identity::MemberName;
use crate::member::{Member, Status, Version};
use crate::wire::{Details, Record};

/// Origin of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Sent by the process that the record describes.
    Subject { from: SocketAddr },
    /// Disseminated by another member.
    Gossip,
    /// Sent by another member as part of its list.
    Sync,
}

impl Record {
    const fn version(&self) -> Version {
        Version { incarnation: self.incarnation, start: self.id.start }
    }

    const fn rank(&self) -> (Version, Status) {
        (self.version(), self.status)
    }

    fn into_member(self) -> Option<Member> {
        let Details { address, zone, metadata } = self.details?;
        let Self { id, incarnation, status, .. } = self;
        Some(Member { id, address: address.into(), zone, metadata, incarnation, status })
    }
}

impl Membership {
    pub(super) fn merge(&mut self, record: Record, source: Source, outputs: &mut Vec<Output>) {
        let name = record.id.name.clone();
        if name == self.local_id.name {
            self.handle_record_of_own_name(&record, outputs);
            return;
        }
        let before = self.table.get(&name).map(Member::rank);
        if before.is_some_and(|known| record.rank() <= known) {
            return;
        }
        match record.status {
            Status::Alive => self.merge_alive(record, source, outputs),
            Status::Suspect => self.merge_suspect(record, outputs),
            Status::Dead => self.merge_dead(&record, outputs),
            Status::Left => self.merge_left(&record, outputs),
        }
        let after = self.table.get(&name).map(Member::rank);
        if before != after && source != Source::Sync {
            self.broadcast(name);
        }
    }

    fn merge_alive(&mut self, record: Record, source: Source, outputs: &mut Vec<Output>) {
        let version = record.version();
        let Some(member) = record.into_member() else { return };
        let name = member.name().clone();
        match self.table.get(&name).cloned() {
            None => self.add(member.clone(), outputs),
            Some(known) if version > known.version() => self.replace(&known, member.clone(), outputs),
            Some(_) => return,
        }
        if source == (Source::Subject { from: member.address }) {
            self.replace_others_at_address(&member, outputs);
        }
    }

    fn add(&mut self, member: Member, outputs: &mut Vec<Output>) {
        if self.table.len() >= self.config.max_members {
            return;
        }
        self.table.put(member.clone());
        self.probe_order.insert(member.name().clone(), &mut self.random);
        outputs.push(Output::Event(Event::MemberUp(member)));
    }

    /// Replaces a record by a later one of a live process.
    fn replace(&mut self, known: &Member, member: Member, outputs: &mut Vec<Output>) {
        let name = member.name().clone();
        self.suspicions.clear(&name);
        self.removals.clear(&name);
        self.probe_order.insert(name.clone(), &mut self.random);
        self.table.put(member.clone());
        if known.is_live() && known.id != member.id {
            self.probes.remove_target(&name);
            let down = Member { status: Status::Dead, ..known.clone() };
            outputs.push(Output::Event(Event::MemberDown(down)));
        }
        if !known.is_live() || known.id != member.id {
            outputs.push(Output::Event(Event::MemberUp(member)));
            return;
        }
        if known.status == Status::Suspect {
            outputs.push(Output::Event(Event::MemberRefuted(member.clone())));
        }
        if !known.has_details_of(&member) {
            outputs.push(Output::Event(Event::MemberUpdated(member)));
        }
    }

    /// Declares dead every other live member with the address of `member`, which has just sent a datagram from there.
    fn replace_others_at_address(&mut self, member: &Member, outputs: &mut Vec<Output>) {
        let others: Vec<MemberName> = self
            .table
            .live_at(member.address)
            .filter(|other| other.name() != member.name() && other.id != self.local_id)
            .map(|other| other.name().clone())
            .collect();
        for name in others {
            self.declare_dead(&name, outputs);
        }
    }

    fn merge_suspect(&mut self, record: Record, outputs: &mut Vec<Output>) {
        let name = record.id.name.clone();
        let is_of_known = self.table.get(&name).is_some_and(|known| known.version() == record.version());
        if is_of_known {
            self.suspect(&name, outputs);
        } else if record.details.is_some() {
            // A newer record is adopted before its suspicion. A newer record without details cannot be adopted; it arrives with
            // details through an exchange of lists.
            self.merge_alive(Record { status: Status::Alive, ..record }, Source::Gossip, outputs);
            self.suspect(&name, outputs);
        }
    }

    /// Adopts the report of a death if the member is already suspected here. A member that is alive is only probed, so that one
    /// process with a bad connection cannot remove members that answer others.
    fn merge_dead(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        let Some(known) = self.table.get(&record.id.name).cloned() else { return };
        match known.status {
            Status::Alive => self.probe_out_of_turn(known.name(), outputs),
            Status::Suspect => self.remove_live_member(known, record, outputs),
            Status::Dead | Status::Left => self.put_dead_or_left(known, record),
        }
    }

    fn merge_left(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        let Some(known) = self.table.get(&record.id.name).cloned() else { return };
        if known.is_live() {
            self.remove_live_member(known, record, outputs);
        } else {
            self.put_dead_or_left(known, record);
        }
    }

    /// Removes a live member. `record` may concern a later process with the same name.
    fn remove_live_member(&mut self, known: Member, record: &Record, outputs: &mut Vec<Output>) {
        let removed = Member { status: record.status, ..known };
        self.put_dead_or_left(removed.clone(), record);
        self.remove_from_group(&record.id.name);
        let event = match record.status {
            Status::Left => Event::MemberLeft(removed),
            _ => Event::MemberDown(removed),
        };
        outputs.push(Output::Event(event));
    }

    /// Stores process, incarnation and status of `record` for a member that is dead or has left, and keeps its known details.
    fn put_dead_or_left(&mut self, known: Member, record: &Record) {
        let Record { id, incarnation, status, .. } = record.clone();
        self.table.put(Member { id, incarnation, status, ..known });
    }
}
