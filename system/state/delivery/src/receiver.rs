//! State of one receiver of call-backs: how many call-backs may be in flight to it, and when the next may be sent.
//!
//! A receiver accepts few connections, from all dispatchers together, and resets those beyond. The number of call-backs
//! that may be in flight therefore grows while they are accepted and falls with each reset (additive increase,
//! multiplicative decrease). Resets do not show that a receiver is down, unless nothing else comes from it.

use crate::health::jittered;
use fastrand::Rng;
use millrudder_protocol::MessageId;
use std::collections::VecDeque;

/// Initial, minimum and maximum number of call-backs that may be in flight to one receiver.
const INITIAL_WINDOW: f64 = 2.0;
const MIN_WINDOW: f64 = 1.0;
const MAX_WINDOW: f64 = 16.0;
/// The window is multiplied by this after a reset.
const DECREASE_FACTOR: f64 = 0.5;
/// How long (ms) a receiver counts as down after a failure; doubled with each further consecutive one, up to
/// [`MAX_DOWN_MS`].
const INITIAL_DOWN_MS: u64 = 200;
/// Longest time (ms) that a receiver counts as down without another attempt.
const MAX_DOWN_MS: u64 = 3200;
/// Pause (ms) after a reset; doubled with each further consecutive one.
const INITIAL_RESET_PAUSE_MS: u64 = 50;
/// After more consecutive resets than this the receiver counts as down.
const MAX_RESETS: u32 = 4;

/// Probable cause of a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResetCause {
    /// Too many connections: the same call-back may be sent again after the pause.
    TooManyConnections,
    /// One of so many consecutive resets that the receiver counts as down.
    ReceiverDown,
}

/// State of one receiver. Times are milliseconds on the caller's steady clock.
#[derive(Debug)]
pub(crate) struct Receiver {
    /// Number of call-backs in flight.
    pub in_flight: usize,
    /// Call-backs that have not been sent, oldest first.
    pub waiting: VecDeque<MessageId>,
    /// How many call-backs may be in flight.
    window: f64,
    /// Consecutive resets.
    resets: u32,
    /// Nothing is sent before this because of a reset; waiting call-backs stay here. 0: no pause.
    paused_until_ms: u64,
    /// Consecutive failures.
    failures: u32,
    /// Nothing is sent before this because the receiver is down; waiting call-backs are given back.
    down_until_ms: u64,
}

impl Default for Receiver {
    fn default() -> Self {
        Receiver {
            in_flight: 0,
            waiting: VecDeque::new(),
            window: INITIAL_WINDOW,
            resets: 0,
            paused_until_ms: 0,
            failures: 0,
            down_until_ms: 0,
        }
    }
}

/// How long (ms) the receiver counts as down after the last of `failures` consecutive failures.
fn down_ms(failures: u32) -> u64 {
    (INITIAL_DOWN_MS << failures.saturating_sub(1).min(8)).min(MAX_DOWN_MS)
}

impl Receiver {
    /// Whether it has no call-backs here and does not count as down, so that it may be forgotten.
    pub fn is_idle(&self, now: u64) -> bool {
        self.in_flight == 0 && self.waiting.is_empty() && self.down_until_ms <= now
    }

    /// For how long (ms) it still counts as down, if it does.
    pub fn down_for_ms(&self, now: u64) -> Option<u64> {
        self.down_until_ms.checked_sub(now).filter(|left| *left > 0)
    }

    /// Whether another call-back may be sent now.
    pub fn has_room(&self, now: u64) -> bool {
        // After a failure, a single call-back probes whether the receiver is back.
        let max_in_flight = if self.failures > 0 { 1 } else { self.window as usize };
        now >= self.paused_until_ms && self.in_flight < max_in_flight
    }

    /// When waiting call-backs may be sent again after a reset.
    pub fn resumes_at_ms(&self) -> Option<u64> {
        (self.paused_until_ms > 0 && !self.waiting.is_empty()).then_some(self.paused_until_ms)
    }

    /// Ends the pause after a reset if it is over; returns whether it did.
    pub fn resume(&mut self, now: u64) -> bool {
        let is_over = self.paused_until_ms > 0 && now >= self.paused_until_ms;
        if is_over {
            self.paused_until_ms = 0;
        }
        is_over
    }

    /// The receiver accepted a call-back. The window grows only while more call-backs wait.
    pub fn on_accepted(&mut self) {
        self.on_answer();
        if !self.waiting.is_empty() {
            self.window = (self.window + 1.0 / self.window).min(MAX_WINDOW);
        }
    }

    /// The receiver answered, whether it accepted the call-back or not: it is not down.
    pub fn on_answer(&mut self) {
        self.failures = 0;
        self.resets = 0;
    }

    /// The receiver reset a connection without an answer. Returns the probable cause.
    pub fn on_reset(&mut self, now: u64, rng: &mut Rng) -> ResetCause {
        self.resets = self.resets.saturating_add(1);
        if self.resets > MAX_RESETS {
            return ResetCause::ReceiverDown;
        }
        self.window = (self.window * DECREASE_FACTOR).max(MIN_WINDOW);
        let wait = jittered(INITIAL_RESET_PAUSE_MS << (self.resets - 1), rng);
        self.paused_until_ms = self.paused_until_ms.max(now + u64::from(wait));
        ResetCause::TooManyConnections
    }

    /// The receiver seems to be down. Returns the backoff of the failed call-back (ms).
    pub fn on_failure(&mut self, now: u64, rng: &mut Rng) -> u32 {
        self.failures = self.failures.saturating_add(1);
        self.window = MIN_WINDOW;
        let wait = jittered(down_ms(self.failures), rng);
        self.down_until_ms = self.down_until_ms.max(now + u64::from(wait));
        wait
    }
}
