//! Timers of recurring actions, in active time.

use std::time::Duration;

use fastrand::Rng;
use millrudder_clock::Instant;

use crate::config::Config;

/// Maximum backoff between attempts to join, as a multiple of the initial backoff.
const MAX_JOIN_BACKOFF_FACTOR: u32 = 8;

/// Next times of probes, gossip, reconnection and joining.
#[derive(Clone, Debug)]
pub(crate) struct Timers {
    probe: Instant,
    gossip: Option<Instant>,
    reconnect: Instant,
    join: Option<Instant>,
    /// Backoff that follows the next attempt to join.
    join_backoff: Duration,
}

impl Timers {
    /// Schedules the first probe and reconnection with a random fraction of their intervals, so that the members of a group
    /// do not act at the same times.
    pub fn new(config: &Config, now: Instant, random: &mut Rng) -> Self {
        Self {
            probe: now + random_fraction(config.probe_period, random),
            gossip: None,
            reconnect: now + config.reconnect_interval + random_fraction(config.reconnect_interval, random),
            join: None,
            join_backoff: config.join_interval,
        }
    }

    /// Returns the deadlines of all timers.
    pub fn deadlines(&self) -> [Option<Instant>; 4] {
        [Some(self.probe), Some(self.reconnect), self.gossip, self.join]
    }

    /// Returns the time of the next gossip, or `None` if no updates are pending.
    pub fn gossip(&self) -> Option<Instant> {
        self.gossip
    }

    /// Returns whether a probe is due. If it is, schedules the next one after `period`.
    pub fn take_due_probe(&mut self, now: Instant, period: Duration) -> bool {
        let is_due = self.probe <= now;
        if is_due {
            self.probe = now + period;
        }
        is_due
    }

    /// Returns whether a reconnection is due. If it is, schedules the next one after `interval`.
    pub fn take_due_reconnect(&mut self, now: Instant, interval: Duration) -> bool {
        let is_due = self.reconnect <= now;
        if is_due {
            self.reconnect = now + interval;
        }
        is_due
    }

    /// Schedules gossip for now, unless it is scheduled already.
    pub fn request_gossip(&mut self, now: Instant) {
        self.gossip.get_or_insert(now);
    }

    /// Returns whether gossip is due.
    pub fn is_gossip_due(&self, now: Instant) -> bool {
        self.gossip.is_some_and(|due| due <= now)
    }

    /// Schedules the next gossip, or cancels it.
    pub fn set_gossip(&mut self, due: Option<Instant>) {
        self.gossip = due;
    }

    /// Starts attempts to join, with an initial backoff of `interval`.
    pub fn start_joining(&mut self, now: Instant, interval: Duration) {
        self.join = Some(now);
        self.join_backoff = interval;
    }

    /// Returns whether an attempt to join is due.
    pub fn is_join_due(&self, now: Instant) -> bool {
        self.join.is_some_and(|due| due <= now)
    }

    /// Handles the end of an attempt to join: stops the attempts if this process has joined, or else schedules the next one
    /// after a backoff that doubles each time.
    pub fn finish_join_attempt(&mut self, now: Instant, is_joined: bool, interval: Duration) {
        self.join = (!is_joined).then(|| now + self.join_backoff);
        self.join_backoff = (self.join_backoff * 2).min(interval * MAX_JOIN_BACKOFF_FACTOR);
    }
}

fn random_fraction(span: Duration, random: &mut Rng) -> Duration {
    span.mul_f64(random.f64())
}
