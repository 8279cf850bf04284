//! Whether a service answers at all, and how long a message that was not run there waits.

use fastrand::Rng;

/// Attempts in a row without any answer after which a service counts as dark ...
const UNANSWERED_THRESHOLD: u32 = 6;
/// ... provided that they lie this far apart (ms), or that none was connected: many attempts are reset together when
/// one worker dies, but the module goes elsewhere after a connection that fails.
const MIN_UNANSWERED_SPAN_MS: u64 = 200;
/// So it does after this many answers in a row that neither succeed nor say that the message failed (all full, all
/// strange), so far apart (ms): each would cost its store a record.
const INCONCLUSIVE_THRESHOLD: u32 = 20;
const MIN_INCONCLUSIVE_SPAN_MS: u64 = 1000;
/// Attempts that may be out at a dark service.
const MAX_PROBES: usize = 1;
/// Pause between two probes, as a part of the time since its last answer, and its bounds (ms).
const PROBE_INTERVAL_DIVISOR: u64 = 4;
const MIN_PROBE_INTERVAL_MS: u64 = 150;
const MAX_PROBE_INTERVAL_MS: u64 = 1000;
/// A message that was not run waits this part of the time since the service last succeeded, within bounds (ms):
/// another worker may take it at once, and nobody may for long.
const RETRY_DELAY_DIVISOR: u64 = 2;
const MIN_RETRY_DELAY_MS: u64 = 20;
const MAX_RETRY_DELAY_MS: u64 = 2000;
/// Waits are spread over this share more, so that what failed together does not come back together.
const JITTER_SHARE: f64 = 0.5;

/// What the latest attempts at one service say of it.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Latest attempts in a row that told nothing of their message, when the first and the last of them ended.
    inconclusive: u32,
    first_inconclusive_ms: u64,
    last_inconclusive_ms: u64,
    /// Of the latest of them, those in a row that got no answer at all, and since when.
    unanswered: u32,
    first_unanswered_ms: u64,
    /// Of the latest of these, those in a row that were not connected.
    connect_failures: u32,
    /// Since when no attempt succeeded, from the first that did not.
    no_success_since_ms: Option<u64>,
}

impl Health {
    pub fn on_success(&mut self) {
        self.on_conclusive();
        self.no_success_since_ms = None;
    }

    /// A worker told that its message failed, for now or for good.
    pub fn on_conclusive(&mut self) {
        self.inconclusive = 0;
        self.unanswered = 0;
        self.connect_failures = 0;
    }

    /// A worker answered something that says nothing of the message, or that it was not run.
    pub fn on_inconclusive(&mut self, now: u64) {
        self.count_inconclusive(now);
        self.unanswered = 0;
        self.connect_failures = 0;
    }

    /// An attempt ended without any answer.
    pub fn on_no_answer(&mut self, now: u64, connected: bool) {
        self.count_inconclusive(now);
        if self.unanswered == 0 {
            self.first_unanswered_ms = now;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        self.connect_failures = if connected { 0 } else { self.connect_failures.saturating_add(1) };
    }

    fn count_inconclusive(&mut self, now: u64) {
        if self.inconclusive == 0 {
            self.first_inconclusive_ms = now;
        }
        self.inconclusive = self.inconclusive.saturating_add(1);
        self.last_inconclusive_ms = now;
        self.on_no_success(now);
    }

    /// An attempt ended without success, or could not be placed.
    pub fn on_no_success(&mut self, now: u64) {
        self.no_success_since_ms.get_or_insert(now);
    }

    /// Nothing useful comes from there.
    pub fn is_unavailable(&self) -> bool {
        let unanswered_span_ms = self.last_inconclusive_ms.saturating_sub(self.first_unanswered_ms);
        let unanswered =
            self.unanswered >= UNANSWERED_THRESHOLD && unanswered_span_ms >= MIN_UNANSWERED_SPAN_MS;
        let inconclusive = self.inconclusive >= INCONCLUSIVE_THRESHOLD
            && self.inconclusive_span_ms() >= MIN_INCONCLUSIVE_SPAN_MS;
        unanswered || inconclusive || self.connect_failures >= UNANSWERED_THRESHOLD
    }

    fn inconclusive_span_ms(&self) -> u64 {
        self.last_inconclusive_ms - self.first_inconclusive_ms
    }

    /// Earliest time of the next probe of a dark service.
    pub fn next_probe_ms(&self) -> u64 {
        self.last_inconclusive_ms
            + (self.inconclusive_span_ms() / PROBE_INTERVAL_DIVISOR)
                .clamp(MIN_PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS)
    }

    /// One more attempt may go out beside those that are.
    pub fn may_send(&self, now: u64, in_flight: usize) -> bool {
        !self.is_unavailable() || in_flight < MAX_PROBES && now >= self.next_probe_ms()
    }

    /// How long a message waits that was not run, or of which nothing is known (ms).
    pub fn retry_after_ms(&self, now: u64, rng: &mut Rng) -> u32 {
        let without_success_ms = self.no_success_since_ms.map_or(0, |since| now.saturating_sub(since));
        let delay_ms =
            (without_success_ms / RETRY_DELAY_DIVISOR).clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
        jittered(delay_ms, rng)
    }
}

/// A wait of at least `wait` (ms), spread upwards.
pub(crate) fn jittered(delay_ms: u64, rng: &mut Rng) -> u32 {
    let spread = delay_ms as f64 * (1.0 + JITTER_SHARE * rng.f64());
    spread as u32
}
