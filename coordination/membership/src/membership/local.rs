//! This process' own record: refutation, changes, leaving, and another process under the same name.

use crate::events::{Event, Metadata, Output};
use crate::identity::{Incarnation, ProcessStart};
use crate::member::{Member, Status};
use crate::wire::{Message, Record};
use crate::Membership;

/// Claims of a rival to the own name, each after an own claim, that show it to be running now.
const RIVAL_CLAIMS: u32 = 3;

/// Part that this process takes in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Active,
    /// Tells the others that it leaves.
    Leaving,
    Ended,
}

impl Membership {
    pub(crate) fn on_record_of_own_name(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        if self.phase != Phase::Active || record.incarnation < self.local().incarnation {
            return;
        }
        if record.id == self.me {
            self.on_own_record(record);
        } else {
            self.on_rival_record(record, outputs);
        }
    }

    fn on_own_record(&mut self, record: &Record) {
        let is_echo = record.status == Status::Alive && record.incarnation == self.local().incarnation;
        if is_echo {
            return;
        }
        if record.status == Status::Suspect {
            self.health.worsen();
        }
        self.raise_incarnation(record.incarnation);
    }

    /// An earlier process of this name that others remember, or one that runs at the same time.
    fn on_rival_record(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        let claims = self.rivals.count_claim(record);
        if claims >= RIVAL_CLAIMS && record.id.start > self.me.start {
            self.phase = Phase::Ended;
            outputs.push(Output::Event(Event::Superseded { by: record.id.start }));
            return;
        }
        self.raise_incarnation(record.incarnation);
    }

    /// Makes the own record later than a claimed one.
    fn raise_incarnation(&mut self, claimed: Incarnation) {
        let local = self.local().clone();
        let incarnation = claimed.max(local.incarnation).next();
        self.put_local(Member { incarnation, ..local });
    }

    pub(crate) fn update_metadata(&mut self, metadata: Metadata) {
        if self.phase != Phase::Active {
            return;
        }
        let local = self.local().clone();
        let incarnation = local.incarnation.next();
        self.put_local(Member { incarnation, metadata: metadata.into_bytes(), ..local });
    }

    /// Tells as many members at once as the record may be sent times; rounds of gossip tell the rest.
    pub(crate) fn leave(&mut self, outputs: &mut Vec<Output>) {
        if self.phase != Phase::Active {
            return;
        }
        self.phase = Phase::Leaving;
        let local = self.local().clone();
        let incarnation = local.incarnation.next();
        self.put_local(Member { incarnation, status: Status::Left, ..local });
        let count = usize::try_from(self.transmission_limit()).unwrap_or(usize::MAX);
        let told_at_once = count.saturating_sub(self.config.gossip_fanout * 2);
        for name in self.order.sample(told_at_once, None, &mut self.random) {
            self.send_to_member(&name, Message::Gossip, outputs);
        }
    }

    fn put_local(&mut self, member: Member) {
        self.table.put(member);
        self.broadcast(self.me.name.clone());
    }
}

/// Claims of one other process to the own name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rivals {
    current: Option<ProcessStart>,
    claims: u32,
}

impl Rivals {
    /// Counts a record that is later than the own one; only a running process can make several.
    fn count_claim(&mut self, record: &Record) -> u32 {
        if self.current != Some(record.id.start) {
            self.current = Some(record.id.start);
            self.claims = 0;
        }
        if record.status == Status::Alive {
            self.claims += 1;
        }
        self.claims
    }
}
