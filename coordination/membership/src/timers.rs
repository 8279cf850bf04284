//! Next times of what recurs, in active time.

use std::time::Duration;

use fastrand::Rng;
use millrudder_clock::Instant;

use crate::config::Config;

/// Longest backoff between attempts to join, as a multiple of the first.
const MAX_JOIN_BACKOFF_FACTOR: u32 = 8;

/// Timers of probes, gossip, reconnection and joining.
#[derive(Clone, Debug)]
pub(crate) struct Timers {
    probe: Instant,
    gossip: Option<Instant>,
    reconnect: Instant,
    join: Option<Instant>,
    /// Backoff after the next attempt to join.
    join_backoff: Duration,
}

impl Timers {
    /// The first probe and reconnection are due after random fractions of their intervals, so that the members of a
    /// group do not act in step.
    pub fn new(config: &Config, now: Instant, random: &mut Rng) -> Self {
        Self {
            probe: now + random_fraction(config.probe_period, random),
            gossip: None,
            reconnect: now + config.reconnect_interval + random_fraction(config.reconnect_interval, random),
            join: None,
            join_backoff: config.join_interval,
        }
    }

    /// All deadlines.
    pub fn deadlines(&self) -> [Option<Instant>; 4] {
        [Some(self.probe), Some(self.reconnect), self.gossip, self.join]
    }

    /// When the next gossip is due, if there is anything to spread.
    pub fn gossip(&self) -> Option<Instant> {
        self.gossip
    }

    /// Whether a probe is due; the next one follows after `period`.
    pub fn take_due_probe(&mut self, now: Instant, period: Duration) -> bool {
        let is_due = self.probe <= now;
        if is_due {
            self.probe = now + period;
        }
        is_due
    }

    /// Whether a reconnection is due; the next one follows after `interval`.
    pub fn take_due_reconnect(&mut self, now: Instant, interval: Duration) -> bool {
        let is_due = self.reconnect <= now;
        if is_due {
            self.reconnect = now + interval;
        }
        is_due
    }

    /// Gossip is due now, unless it is planned already.
    pub fn request_gossip(&mut self, now: Instant) {
        self.gossip.get_or_insert(now);
    }

    /// Whether gossip is due.
    pub fn is_gossip_due(&self, now: Instant) -> bool {
        self.gossip.is_some_and(|due| due <= now)
    }

    /// Plans the next gossip, or none.
    pub fn set_gossip(&mut self, due: Option<Instant>) {
        self.gossip = due;
    }

    /// Attempts to join begin now, `interval` apart at first.
    pub fn start_joining(&mut self, now: Instant, interval: Duration) {
        self.join = Some(now);
        self.join_backoff = interval;
    }

    /// Whether an attempt to join is due.
    pub fn is_join_due(&self, now: Instant) -> bool {
        self.join.is_some_and(|due| due <= now)
    }

    /// An attempt to join was made: ends the attempts, or plans the next one after a backoff that doubles.
    pub fn finish_join_attempt(&mut self, now: Instant, is_joined: bool, interval: Duration) {
        self.join = (!is_joined).then(|| now + self.join_backoff);
        self.join_backoff = (self.join_backoff * 2).min(interval * MAX_JOIN_BACKOFF_FACTOR);
    }
}

fn random_fraction(span: Duration, random: &mut Rng) -> Duration {
    span.mul_f64(random.f64())
}
