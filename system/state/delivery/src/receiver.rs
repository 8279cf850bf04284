//! One receiver of call-backs, as this dispatcher knows it: how many may be out there, and when the next may go.
//!
//! A receiver accepts few connections, from all dispatchers together, and resets those beyond. So the number that may be
//! out grows while call-backs are taken and falls with each reset (additive increase, multiplicative decrease); resets
//! are no sign of a receiver that is down, unless nothing else comes from it.

use crate::health::jittered;
use fastrand::Rng;
use millrudder_protocol::MessageId;
use std::collections::VecDeque;

/// Call-backs out at one receiver: at first, at the least and at the most.
const INITIAL_WINDOW: f64 = 2.0;
const MIN_WINDOW: f64 = 1.0;
const MAX_WINDOW: f64 = 16.0;
/// Share that stays after a reset.
const DECREASE_FACTOR: f64 = 0.5;
/// Pause after the first failure in a row, doubled with each further one, and the longest (ms).
const INITIAL_DOWN_MS: u64 = 200;
const MAX_DOWN_MS: u64 = 3200;
/// Pause after the first reset in a row, doubled with each further one (ms).
const INITIAL_RESET_PAUSE_MS: u64 = 50;
/// With more resets in a row the receiver counts as down.
const MAX_RESETS: u32 = 4;

/// What a reset means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResetCause {
    /// Too many connections: the same call-back may be sent again after the pause.
    TooManyConnections,
    /// One of many in a row.
    ReceiverDown,
}

/// One receiver.
#[derive(Debug)]
pub(crate) struct Receiver {
    pub in_flight: usize,
    pub waiting: VecDeque<MessageId>,
    window: f64,
    resets: u32,
    /// Nothing is sent before, but what waits stays here.
    paused_until_ms: u64,
    failures: u32,
    /// Nothing is sent before, and what waits is given back.
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

fn down_ms(failures: u32) -> u64 {
    (INITIAL_DOWN_MS << failures.saturating_sub(1).min(8)).min(MAX_DOWN_MS)
}

impl Receiver {
    /// Nothing is known of it that must be remembered.
    pub fn is_idle(&self, now: u64) -> bool {
        self.in_flight == 0 && self.waiting.is_empty() && self.down_until_ms <= now
    }

    /// For how long (ms) it is left alone because it seems to be down.
    pub fn down_for_ms(&self, now: u64) -> Option<u64> {
        self.down_until_ms.checked_sub(now).filter(|left| *left > 0)
    }

    /// Another call-back may go now.
    pub fn has_room(&self, now: u64) -> bool {
        // After a failure, one alone shows whether it is back.
        let max_in_flight = if self.failures > 0 { 1 } else { self.window as usize };
        now >= self.paused_until_ms && self.in_flight < max_in_flight
    }

    /// When what waits may be sent after a pause.
    pub fn resumes_at_ms(&self) -> Option<u64> {
        (self.paused_until_ms > 0 && !self.waiting.is_empty()).then_some(self.paused_until_ms)
    }

    /// The pause is over.
    pub fn resume(&mut self, now: u64) -> bool {
        let is_over = self.paused_until_ms > 0 && now >= self.paused_until_ms;
        if is_over {
            self.paused_until_ms = 0;
        }
        is_over
    }

    pub fn on_accepted(&mut self) {
        self.on_answer();
        if !self.waiting.is_empty() {
            self.window = (self.window + 1.0 / self.window).min(MAX_WINDOW);
        }
    }

    /// It answered, though it did not take the call-back.
    pub fn on_answer(&mut self) {
        self.failures = 0;
        self.resets = 0;
    }

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

    /// It seems to be down; returns the pause (ms).
    pub fn on_failure(&mut self, now: u64, rng: &mut Rng) -> u32 {
        self.failures = self.failures.saturating_add(1);
        self.window = MIN_WINDOW;
        let wait = jittered(down_ms(self.failures), rng);
        self.down_until_ms = self.down_until_ms.max(now + u64::from(wait));
        wait
    }
}
