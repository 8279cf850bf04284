//! The record of this process: refutation, changes, leaving, and another process under the same name.

use super::Membership;
use crate::events::{Event, Metadata, Output};
use crate::identity::{Incarnation, ProcessStart};
use crate::member::{Member, Status};
use crate::wire::{Message, Record};

/// So many claims of another process to the own name, each after an own claim, show that it is running now.
const CLAIMS_OF_RUNNING_PROCESS: u32 = 3;

/// Whether this process takes part in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It does.
    Active,
    /// Disseminates that it leaves.
    Leaving,
    /// It has left, or was superseded.
    Ended,
}

impl Membership {
    pub(super) fn handle_record_of_own_name(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        if self.phase != Phase::Active || record.incarnation < self.local().incarnation {
            return;
        }
        if record.id == self.local_id {
            self.handle_own_record(record);
        } else {
            self.handle_record_of_other_process(record, outputs);
        }
    }

    fn handle_own_record(&mut self, record: &Record) {
        let is_echo = record.status == Status::Alive && record.incarnation == self.local().incarnation;
        if is_echo {
            return;
        }
        if record.status == Status::Suspect {
            self.health.record_degradation();
        }
        self.raise_incarnation(record.incarnation);
    }

    /// An earlier process of this name that others remember, or one that runs at the same time.
    fn handle_record_of_other_process(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        let claims = self.name_claims.count_claim(record);
        if claims >= CLAIMS_OF_RUNNING_PROCESS && record.id.start > self.local_id.start {
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

    pub(super) fn update_metadata(&mut self, metadata: Metadata) {
        if self.phase != Phase::Active {
            return;
        }
        let local = self.local().clone();
        let incarnation = local.incarnation.next();
        self.put_local(Member { incarnation, metadata: metadata.into_bytes(), ..local });
    }

    /// Sends the record to as many members at once as its transmissions allow; gossip reaches the rest.
    pub(super) fn leave(&mut self, outputs: &mut Vec<Output>) {
        if self.phase != Phase::Active {
            return;
        }
        self.phase = Phase::Leaving;
        let local = self.local().clone();
        let incarnation = local.incarnation.next();
        self.put_local(Member { incarnation, status: Status::Left, ..local });
        let count = usize::try_from(self.transmission_limit()).unwrap_or(usize::MAX);
        let notified_at_once = count.saturating_sub(self.config.gossip_fanout * 2);
        for name in self.probe_order.sample(notified_at_once, None, &mut self.random) {
            self.send_to_member(&name, Message::Gossip, outputs);
        }
    }

    fn put_local(&mut self, member: Member) {
        self.table.put(member);
        self.broadcast(self.local_id.name.clone());
    }
}

/// Claims of another process to the own name.
#[derive(Clone, Debug, Default)]
pub(super) struct NameClaims {
    claimant: Option<ProcessStart>,
    claims: u32,
}

impl NameClaims {
    /// Counts a record that is later than the own one; only a running process can make several.
    fn count_claim(&mut self, record: &Record) -> u32 {
        if self.claimant != Some(record.id.start) {
            self.claimant = Some(record.id.start);
            self.claims = 0;
        }
        if record.status == Status::Alive {
            self.claims += 1;
        }
        self.claims
    }
}
