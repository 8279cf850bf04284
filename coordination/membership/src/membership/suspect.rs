//! Suspicion and death of members.

use std::time::Duration;

use super::Membership;
use crate::events::{Event, Output};
use crate::identity::MemberName;
use crate::member::Status;

/// Group size up to which the configured time-out applies; beyond, it grows with the logarithm (SWIM, section 4.2).
const SMALL_GROUP: f64 = 10.0;

impl Membership {
    /// Suspects a live member, and disseminates that unless this process may be isolated itself.
    pub(super) fn suspect(&mut self, name: &MemberName, outputs: &mut Vec<Output>) {
        let Some(mut member) = self.table.get(name).cloned() else { return };
        if member.status != Status::Alive {
            return;
        }
        member.status = Status::Suspect;
        self.table.put(member.clone());
        self.begin_suspicion(name);
        self.disseminate(name);
        outputs.push(Output::Event(Event::MemberSuspect(member)));
    }

    /// Restarts the time-out of a suspect.
    pub(super) fn extend_suspicion(&mut self, name: &MemberName) {
        let is_suspect = self.table.get(name).is_some_and(|member| member.status == Status::Suspect);
        if is_suspect {
            self.begin_suspicion(name);
        }
    }

    fn begin_suspicion(&mut self, name: &MemberName) {
        let timeout = self.suspicion_timeout();
        self.suspicions.begin(name.clone(), self.now(), timeout);
    }

    /// Declares a live member dead.
    pub(super) fn declare_dead(&mut self, name: &MemberName, outputs: &mut Vec<Output>) {
        let Some(mut member) = self.table.get(name).cloned() else { return };
        if !member.is_live() {
            return;
        }
        member.status = Status::Dead;
        self.table.put(member.clone());
        self.remove_from_group(name);
        self.disseminate(name);
        outputs.push(Output::Event(Event::MemberDown(member)));
    }

    /// Ends all that concerns a live member once it is dead or has left, and schedules its removal from the table.
    pub(super) fn remove_from_group(&mut self, name: &MemberName) {
        self.probe_order.remove(name);
        self.probes.remove_target(name);
        self.suspicions.clear(name);
        self.removals.set(name.clone(), self.now() + self.config.dead_retention);
    }

    pub(super) fn expire_suspicions(&mut self, outputs: &mut Vec<Output>) {
        let timeout = self.suspicion_timeout();
        while let Some(name) = self.suspicions.pop_due(self.now(), timeout) {
            self.declare_dead(&name, outputs);
        }
    }

    fn disseminate(&mut self, name: &MemberName) {
        if !self.contact.is_lost() {
            self.broadcast(name.clone());
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        // Sizes of groups are far below the integers that f64 represents exactly.
        let size = self.table.live_count() as f64;
        let growth = size.max(SMALL_GROUP).log(SMALL_GROUP);
        self.config.suspicion_timeout.mul_f64(growth) * self.health.multiplier()
    }
}
