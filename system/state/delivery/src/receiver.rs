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
const FIRST: f64 = 2.0;
const LEAST: f64 = 1.0;
const MOST: f64 = 16.0;
/// Share that stays after a reset.
const SHRINK: f64 = 0.5;
/// Pause after the first failure in a row, doubled with each further one, and the longest (ms).
const PAUSE_FIRST_MS: u64 = 200;
const PAUSE_MOST_MS: u64 = 3200;
/// Pause after the first reset in a row, doubled with each further one (ms).
const RESET_PAUSE_MS: u64 = 50;
/// With more resets in a row the receiver counts as down.
const RESETS_MOST: u32 = 4;

/// What a reset means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResetSign {
    /// Too many connections: the same call-back may be sent again after the pause.
    Crowded,
    /// One of many in a row.
    Down,
}

/// One receiver.
#[derive(Debug)]
pub(crate) struct Receiver {
    pub out: usize,
    pub waiting: VecDeque<MessageId>,
    window: f64,
    resets: u32,
    /// Nothing is sent before, but what waits stays here.
    paused_until: u64,
    failures: u32,
    /// Nothing is sent before, and what waits is given back.
    closed_until: u64,
}

impl Default for Receiver {
    fn default() -> Self {
        Receiver {
            out: 0,
            waiting: VecDeque::new(),
            window: FIRST,
            resets: 0,
            paused_until: 0,
            failures: 0,
            closed_until: 0,
        }
    }
}

fn pause(failures: u32) -> u64 {
    (PAUSE_FIRST_MS << failures.saturating_sub(1).min(8)).min(PAUSE_MOST_MS)
}

impl Receiver {
    /// Nothing is known of it that must be remembered.
    pub fn is_idle(&self, now: u64) -> bool {
        self.out == 0 && self.waiting.is_empty() && self.closed_until <= now
    }

    /// For how long (ms) it is left alone because it seems to be down.
    pub fn closed_for(&self, now: u64) -> Option<u64> {
        self.closed_until.checked_sub(now).filter(|left| *left > 0)
    }

    /// Another call-back may go now.
    pub fn has_room(&self, now: u64) -> bool {
        // After a failure, one alone shows whether it is back.
        let most = if self.failures > 0 { 1 } else { self.window as usize };
        now >= self.paused_until && self.out < most
    }

    /// When what waits may be sent after a pause.
    pub fn resumes_at(&self) -> Option<u64> {
        (self.paused_until > 0 && !self.waiting.is_empty()).then_some(self.paused_until)
    }

    /// The pause is over.
    pub fn resume(&mut self, now: u64) -> bool {
        let is_over = self.paused_until > 0 && now >= self.paused_until;
        if is_over {
            self.paused_until = 0;
        }
        is_over
    }

    pub fn on_taken(&mut self) {
        self.on_answer();
        if !self.waiting.is_empty() {
            self.window = (self.window + 1.0 / self.window).min(MOST);
        }
    }

    /// It answered, though it did not take the call-back.
    pub fn on_answer(&mut self) {
        self.failures = 0;
        self.resets = 0;
    }

    pub fn on_reset(&mut self, now: u64, dice: &mut Rng) -> ResetSign {
        self.resets = self.resets.saturating_add(1);
        if self.resets > RESETS_MOST {
            return ResetSign::Down;
        }
        self.window = (self.window * SHRINK).max(LEAST);
        let wait = jittered(RESET_PAUSE_MS << (self.resets - 1), dice);
        self.paused_until = self.paused_until.max(now + u64::from(wait));
        ResetSign::Crowded
    }

    /// It seems to be down; returns the pause (ms).
    pub fn on_failure(&mut self, now: u64, dice: &mut Rng) -> u32 {
        self.failures = self.failures.saturating_add(1);
        self.window = LEAST;
        let wait = jittered(pause(self.failures), dice);
        self.closed_until = self.closed_until.max(now + u64::from(wait));
        wait
    }
}
