//! Suspected members and the time that each has to refute the suspicion.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_clock::Instant;

use crate::deadlines::Deadlines;
use crate::identity::MemberName;

/// Time between the end of a suspect's time-out and the declaration of its death. It lets this process read datagrams, such as
/// a refutation, that arrived while the process was paused too briefly for the pause to be detected.
const GRACE_PERIOD: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    began_at: Instant,
    /// Whether the time-out has passed, so that the grace period is running.
    is_timeout_over: bool,
}

/// Suspected members with the ends of their time-outs.
#[derive(Clone, Debug)]
pub(crate) struct Suspicions {
    expiries: Deadlines<MemberName>,
    active: BTreeMap<MemberName, Suspicion>,
    /// No suspicion begins or expires before this time, because this process was paused.
    suspended_until: Instant,
}

impl Suspicions {
    pub const fn new() -> Self {
        Self { expiries: Deadlines::new(), active: BTreeMap::new(), suspended_until: Instant::ORIGIN }
    }

    /// Prevents suspicions from beginning or expiring before `until`.
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

    /// Begins a suspicion, or restarts its time-out.
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

    /// Removes and returns a suspect whose time-out and grace period have passed. If the current `timeout` is longer than the
    /// one that the suspicion began with, the suspect gets the additional time.
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
