//! What a record from another member changes.

use std::net::SocketAddr;

use crate::events::{Event, Output};
use crate::identity::MemberName;
use crate::member::{Member, Status, Version};
use crate::wire::{Details, Record};
use crate::Membership;

/// How a record came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// From the process that it is about.
    Subject { from: SocketAddr },
    /// Told on by another member as news.
    Gossip,
    /// Out of another member's list.
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
    pub(crate) fn merge(&mut self, record: Record, source: Source, outputs: &mut Vec<Output>) {
        let name = record.id.name.clone();
        if name == self.me.name {
            self.on_record_of_own_name(&record, outputs);
            return;
        }
        let before = self.table.get(&name).map(Member::rank);
        if before.is_some_and(|held| record.rank() <= held) {
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
            Some(held) if version > held.version() => self.replace(&held, member.clone(), outputs),
            Some(_) => return,
        }
        if source == (Source::Subject { from: member.address }) {
            self.take_over_address(&member, outputs);
        }
    }

    fn add(&mut self, member: Member, outputs: &mut Vec<Output>) {
        if self.table.len() >= self.config.max_members {
            return;
        }
        self.table.put(member.clone());
        self.order.insert(member.name().clone(), &mut self.random);
        outputs.push(Output::Event(Event::MemberUp(member)));
    }

    /// Replaces a record by a later one of a live process.
    fn replace(&mut self, held: &Member, member: Member, outputs: &mut Vec<Output>) {
        let name = member.name().clone();
        self.suspicions.clear(&name);
        self.forget.clear(&name);
        self.order.insert(name.clone(), &mut self.random);
        self.table.put(member.clone());
        if held.is_live() && held.id != member.id {
            self.probes.drop_target(&name);
            let down = Member { status: Status::Dead, ..held.clone() };
            outputs.push(Output::Event(Event::MemberDown(down)));
        }
        if !held.is_live() || held.id != member.id {
            outputs.push(Output::Event(Event::MemberUp(member)));
            return;
        }
        if held.status == Status::Suspect {
            outputs.push(Output::Event(Event::MemberRefuted(member.clone())));
        }
        if !held.has_details_of(&member) {
            outputs.push(Output::Event(Event::MemberUpdated(member)));
        }
    }

    /// A process that was heard at an address ends every other that was said to be there.
    fn take_over_address(&mut self, member: &Member, outputs: &mut Vec<Output>) {
        let others: Vec<MemberName> = self
            .table
            .live_at(member.address)
            .filter(|other| other.name() != member.name() && other.id != self.me)
            .map(|other| other.name().clone())
            .collect();
        for name in others {
            self.declare_dead(&name, outputs);
        }
    }

    fn merge_suspect(&mut self, record: Record, outputs: &mut Vec<Output>) {
        let name = record.id.name.clone();
        let is_of_held = self.table.get(&name).is_some_and(|held| held.version() == record.version());
        if is_of_held {
            self.suspect(&name, outputs);
        } else if record.details.is_some() {
            // A later record is taken over first; one without details will come by an exchange of lists.
            self.merge_alive(Record { status: Status::Alive, ..record }, Source::Gossip, outputs);
            self.suspect(&name, outputs);
        }
    }

    /// Death is believed of a member under suspicion. Of another it is only a reason to probe it, so that one process
    /// with a bad connection cannot end others that answer.
    fn merge_dead(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        let Some(held) = self.table.get(&record.id.name).cloned() else { return };
        match held.status {
            Status::Alive => self.verify_name(held.name(), outputs),
            Status::Suspect => self.end(held, record, outputs),
            Status::Dead | Status::Left => self.put_gone(held, record),
        }
    }

    fn merge_left(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        let Some(held) = self.table.get(&record.id.name).cloned() else { return };
        if held.is_live() {
            self.end(held, record, outputs);
        } else {
            self.put_gone(held, record);
        }
    }

    /// Ends the live process that was held; the record may be about a later one under the same name.
    fn end(&mut self, held: Member, record: &Record, outputs: &mut Vec<Output>) {
        let gone = Member { status: record.status, ..held };
        self.put_gone(gone.clone(), record);
        self.retire(&record.id.name);
        let event = match record.status {
            Status::Left => Event::MemberLeft(gone),
            _ => Event::MemberDown(gone),
        };
        outputs.push(Output::Event(event));
    }

    /// Keeps the later of two records of a member that is gone in both.
    fn put_gone(&mut self, held: Member, record: &Record) {
        let Record { id, incarnation, status, .. } = record.clone();
        self.table.put(Member { id, incarnation, status, ..held });
    }
}
