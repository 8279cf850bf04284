//! Health of a service as this dispatcher sees it: whether the service is available, when an unavailable one is probed
//! next, and how long a message that was not run there waits before it is granted again.

use fastrand::Rng;

/// A service counts as unavailable after this many consecutive attempts without any answer, if the first and the last
/// of them ended at least [`MIN_UNANSWERED_SPAN_MS`] apart or if none of them could connect.
const UNANSWERED_THRESHOLD: u32 = 6;
/// Minimum time (ms) between the first and the last of [`UNANSWERED_THRESHOLD`] attempts. When one worker dies, many
/// connected attempts are reset together, which says nothing of the other workers. Failed connects need no such span:
/// the balancer chooses another worker after each, so several in a row concern several workers.
const MIN_UNANSWERED_SPAN_MS: u64 = 200;
/// A service also counts as unavailable after this many consecutive attempts that ended neither in success nor in an
/// answer that the message failed (for example when all workers are full or answer with unexpected statuses), if they
/// span at least [`MIN_INCONCLUSIVE_SPAN_MS`]: the store writes a record for each of them.
const INCONCLUSIVE_THRESHOLD: u32 = 20;
/// Minimum time (ms) between the first and the last of [`INCONCLUSIVE_THRESHOLD`] attempts.
const MIN_INCONCLUSIVE_SPAN_MS: u64 = 1000;
/// Maximum number of attempts in flight at an unavailable service; each serves as a probe.
const MAX_PROBES: usize = 1;
/// The interval between two probes is the length of the current run of inconclusive attempts divided by this, within
/// [`MIN_PROBE_INTERVAL_MS`] and [`MAX_PROBE_INTERVAL_MS`].
const PROBE_INTERVAL_DIVISOR: u64 = 4;
/// Minimum time (ms) between two probes.
const MIN_PROBE_INTERVAL_MS: u64 = 150;
/// Maximum time (ms) between two probes.
const MAX_PROBE_INTERVAL_MS: u64 = 1000;
/// A message that was not run waits for the time that the service has been without success, divided by this, within
/// [`MIN_RETRY_DELAY_MS`] and [`MAX_RETRY_DELAY_MS`]: after a single failure another worker may take it at once, while
/// a long outage is likely to last.
const RETRY_DELAY_DIVISOR: u64 = 2;
/// Minimum backoff (ms) before jitter.
const MIN_RETRY_DELAY_MS: u64 = 20;
/// Maximum backoff (ms) before jitter.
const MAX_RETRY_DELAY_MS: u64 = 2000;
/// Delays are lengthened at random by up to this share of themselves, so that messages that failed together are not
/// retried together.
const JITTER_SHARE: f64 = 0.5;

/// Health of one service, judged by its latest attempts. All times are milliseconds on the caller's steady clock.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Number of consecutive latest attempts that did not settle their message: no answer, or one that says nothing of
    /// the message or that it was not run.
    inconclusive: u32,
    /// End of the first attempt counted in `inconclusive`.
    first_inconclusive_ms: u64,
    /// End of the last attempt counted in `inconclusive`.
    last_inconclusive_ms: u64,
    /// Number of consecutive latest attempts without any answer; at most `inconclusive`.
    unanswered: u32,
    /// End of the first attempt counted in `unanswered`.
    first_unanswered_ms: u64,
    /// Number of consecutive latest attempts that could not connect; at most `unanswered`.
    connect_failures: u32,
    /// End of the first attempt without success since the last successful one.
    no_success_since_ms: Option<u64>,
}

impl Health {
    /// An attempt succeeded.
    pub fn on_success(&mut self) {
        self.on_conclusive();
        self.no_success_since_ms = None;
    }

    /// A worker answered that its message failed (500) or is refused permanently (422): the service is available.
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

    /// Whether the service is taken to be down, so that only probes are sent to it.
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

    /// Earliest time (ms) of the next probe of an unavailable service.
    pub fn next_probe_ms(&self) -> u64 {
        self.last_inconclusive_ms
            + (self.inconclusive_span_ms() / PROBE_INTERVAL_DIVISOR)
                .clamp(MIN_PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS)
    }

    /// Whether one more attempt may be sent beside the `in_flight` ones.
    pub fn may_send(&self, now: u64, in_flight: usize) -> bool {
        !self.is_unavailable() || in_flight < MAX_PROBES && now >= self.next_probe_ms()
    }

    /// Backoff (ms) of a message that was not run or whose result is unknown.
    pub fn retry_after_ms(&self, now: u64, rng: &mut Rng) -> u32 {
        let without_success_ms = self.no_success_since_ms.map_or(0, |since| now.saturating_sub(since));
        let delay_ms =
            (without_success_ms / RETRY_DELAY_DIVISOR).clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
        jittered(delay_ms, rng)
    }
}

/// Returns `delay_ms` lengthened at random by up to [`JITTER_SHARE`].
pub(crate) fn jittered(delay_ms: u64, rng: &mut Rng) -> u32 {
    let spread = delay_ms as f64 * (1.0 + JITTER_SHARE * rng.f64());
    spread as u32
}
