//! Suspected members, and how long each may refute.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_clock::Instant;

use crate::deadlines::Deadlines;
use crate::identity::MemberName;

/// Time between the end of a suspect's time-out and its death. Datagrams that arrived during a pause of this process too
/// short to be noticed are read meanwhile.
const GRACE_PERIOD: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    began_at: Instant,
    /// Whether the time to refute has passed.
    is_timeout_over: bool,
}

/// Members under suspicion with the ends of their time-outs.
#[derive(Clone, Debug)]
pub(crate) struct Suspicions {
    expiries: Deadlines<MemberName>,
    active: BTreeMap<MemberName, Suspicion>,
    /// No suspicion begins or expires before, since this process was paused itself.
    suspended_until: Instant,
}

impl Suspicions {
    pub const fn new() -> Self {
        Self { expiries: Deadlines::new(), active: BTreeMap::new(), suspended_until: Instant::ORIGIN }
    }

    /// Lets no suspicion begin or expire until then.
    pub fn suspend_until(&mut self, until: Instant) {
        self.suspended_until = self.suspended_until.max(until);
    }

    pub fn are_suspended(&self, now: Instant) -> bool {
        now < self.suspended_until
    }

    pub fn clear(&mut self, name: &MemberName) {
        self.expiries.clear(name);
        self.active.remove(name);
    }

    /// Begins a suspicion, or begins it anew.
    pub fn begin(&mut self, name: MemberName, now: Instant, timeout: Duration) {
        self.expiries.set(name.clone(), now + timeout);
        self.active.insert(name, Suspicion { began_at: now, is_timeout_over: false });
    }

    pub fn is_empty(&self) -> bool {
        self.expiries.next().is_none()
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.expiries.next().map(|expiry| expiry.max(self.suspended_until))
    }

    /// Removes a suspect whose time is over, also by the time-out that applies now.
    pub fn pop_due(&mut self, now: Instant, timeout: Duration) -> Option<MemberName> {
        if self.are_suspended(now) {
            return None;
        }
        while let Some(name) = self.expiries.pop_due(now) {
            let Some(suspicion) = self.active.get_mut(&name) else { continue };
            let expiry = suspicion.began_at + timeout;
            if expiry > now {
                self.expiries.set(name, expiry);
            } else if !suspicion.is_timeout_over {
                suspicion.is_timeout_over = true;
                self.expiries.set(name, now + GRACE_PERIOD);
            } else {
                self.active.remove(&name);
                return Some(name);
            }
        }
        None
    }
}
