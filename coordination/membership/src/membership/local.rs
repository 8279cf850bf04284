//! The record of this process: refutation, changes, leaving, and conflicts with another process of the same name.

use super::Membership;
use crate::events::{Event, Metadata, Output};
use crate::identity::{Incarnation, ProcessStart};
use crate::member::{Member, Status};
use crate::wire::{Message, Record};

/// Number of claims to the name of this process by another process that show that the other process is running now. Each of
/// them answers a preceding claim of this process, so they cannot all be old records.
const CLAIMS_OF_RUNNING_PROCESS: u32 = 3;

/// Participation of this process in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The process participates.
    Active,
    /// The process disseminates its departure.
    Leaving,
    /// The process has left or was superseded.
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

    /// Handles a record of another process with this name: an earlier one that others remember, or one that runs at the same
    /// time.
    fn handle_record_of_other_process(&mut self, record: &Record, outputs: &mut Vec<Output>) {
        let claims = self.name_claims.count_claim(record);
        if claims >= CLAIMS_OF_RUNNING_PROCESS && record.id.start > self.local_id.start {
            self.phase = Phase::Ended;
            outputs.push(Output::Event(Event::Superseded { by: record.id.start }));
            return;
        }
        self.raise_incarnation(record.incarnation);
    }

    /// Raises the incarnation of this process above `claimed`.
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

    /// Leaves the group. The record is sent immediately to as many members as the transmission limit allows, less the
    /// transmissions of two rounds of gossip, which reach the other members.
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

/// Counts the claims of another process to the name of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct NameClaims {
    claimant: Option<ProcessStart>,
    claims: u32,
}

impl NameClaims {
    /// Counts a record that is at least as new as the record of this process. Only a running process can produce several.
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
