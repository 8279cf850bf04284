//! Suspected members, and how long each may refute.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::deadlines::Deadlines;
use crate::events::{Event, Output};
use crate::identity::MemberName;
use crate::member::Status;
use crate::Membership;

/// Group size up to which the configured time holds.
const SMALL_GROUP: f64 = 10.0;

/// Time between the end of a suspect's time and its death. What came in while this process was not running, its stalls
/// being noticed only when they pass the tolerance, is read meanwhile.
const LAST_CALL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    began: Duration,
    /// Whether the time to refute has passed.
    is_over: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Suspicions {
    expiries: Deadlines<MemberName>,
    open: BTreeMap<MemberName, Suspicion>,
    /// Until then this process believes no silence, since it was absent itself.
    withheld_until: Duration,
}

impl Suspicions {
    pub const fn new() -> Self {
        Self { expiries: Deadlines::new(), open: BTreeMap::new(), withheld_until: Duration::ZERO }
    }

    pub fn withhold_until(&mut self, until: Duration) {
        self.withheld_until = self.withheld_until.max(until);
    }

    pub fn are_withheld(&self, now: Duration) -> bool {
        now < self.withheld_until
    }

    pub fn clear(&mut self, name: &MemberName) {
        self.expiries.clear(name);
        self.open.remove(name);
    }

    fn begin(&mut self, name: MemberName, now: Duration, timeout: Duration) {
        self.expiries.set(name.clone(), now + timeout);
        self.open.insert(name, Suspicion { began: now, is_over: false });
    }

    pub fn is_empty(&self) -> bool {
        self.expiries.next().is_none()
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.expiries.next().map(|expiry| expiry.max(self.withheld_until))
    }

    /// Takes out a suspect whose time is over, also by the time that is allowed now.
    fn pop_due(&mut self, now: Duration, timeout: Duration) -> Option<MemberName> {
        if self.are_withheld(now) {
            return None;
        }
        while let Some(name) = self.expiries.pop_due(now) {
            let Some(suspicion) = self.open.get_mut(&name) else { continue };
            let expiry = suspicion.began + timeout;
            if expiry > now {
                self.expiries.set(name, expiry);
            } else if !suspicion.is_over {
                suspicion.is_over = true;
                self.expiries.set(name, now + LAST_CALL);
            } else {
                self.open.remove(&name);
                return Some(name);
            }
        }
        None
    }
}

impl Membership {
    /// Suspects a live member, and tells the others unless this process may be the one that is cut off.
    pub(crate) fn suspect(&mut self, name: &MemberName, outputs: &mut Vec<Output>) {
        let Some(mut member) = self.table.get(name).cloned() else { return };
        if member.status != Status::Alive {
            return;
        }
        member.status = Status::Suspect;
        self.table.put(member.clone());
        self.begin_suspicion(name);
        self.announce(name);
        outputs.push(Output::Event(Event::MemberSuspect(member)));
    }

    /// Gives a suspect the full time to refute again.
    pub(crate) fn extend_suspicion(&mut self, name: &MemberName) {
        let is_suspect = self.table.get(name).is_some_and(|member| member.status == Status::Suspect);
        if is_suspect {
            self.begin_suspicion(name);
        }
    }

    fn begin_suspicion(&mut self, name: &MemberName) {
        let timeout = self.suspicion_timeout();
        self.suspicions.begin(name.clone(), self.now(), timeout);
    }

    /// Takes a live member for dead.
    pub(crate) fn declare_dead(&mut self, name: &MemberName, outputs: &mut Vec<Output>) {
        let Some(mut member) = self.table.get(name).cloned() else { return };
        if !member.is_live() {
            return;
        }
        member.status = Status::Dead;
        self.table.put(member.clone());
        self.retire(name);
        self.announce(name);
        outputs.push(Output::Event(Event::MemberDown(member)));
    }

    /// Ends all that is done with a live member once it is dead or has left.
    pub(crate) fn retire(&mut self, name: &MemberName) {
        self.order.remove(name);
        self.probes.drop_target(name);
        self.suspicions.clear(name);
        self.forget.set(name.clone(), self.now() + self.config.dead_retention);
    }

    pub(crate) fn expire_suspicions(&mut self, outputs: &mut Vec<Output>) {
        let timeout = self.suspicion_timeout();
        while let Some(name) = self.suspicions.pop_due(self.now(), timeout) {
            self.declare_dead(&name, outputs);
        }
    }

    fn announce(&mut self, name: &MemberName) {
        if !self.contact.lost {
            self.broadcast(name.clone());
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        // A group's size is far below what f64 holds exactly.
        let size = self.table.live() as f64;
        let growth = size.max(SMALL_GROUP).log(SMALL_GROUP);
        self.config.suspicion_timeout.mul_f64(growth) * self.health.multiplier()
    }
}
