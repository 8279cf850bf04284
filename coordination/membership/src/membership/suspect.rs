//! Suspicion and death of members.

use std::time::Duration;

use super::Membership;
use crate::events::{Event, Output};
use crate::identity::MemberName;
use crate::member::Status;

/// Group size up to which the configured suspicion time-out applies. In larger groups it grows with the logarithm of the size
/// (SWIM, section 4.2).
const SMALL_GROUP: f64 = 10.0;

impl Membership {
    /// Suspects a member that is alive, and disseminates the suspicion unless contact with the group is lost.
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

    /// Declares a live member dead, and disseminates that unless contact with the group is lost.
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

    /// Ends the probes and the suspicion of a member that died or left, and schedules its removal from the table.
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
        // The conversion is exact: group sizes are far below 2^53.
        let size = self.table.live_count() as f64;
        let growth = size.max(SMALL_GROUP).log(SMALL_GROUP);
        self.config.suspicion_timeout.mul_f64(growth) * self.health.multiplier()
    }
}
