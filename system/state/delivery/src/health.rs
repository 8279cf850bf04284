//! Whether a service answers at all, and how long a message that was not run there waits.

use fastrand::Rng;

/// Attempts in a row without any answer after which a service counts as dark ...
const SILENT_MOST: u32 = 6;
/// ... provided that they lie this far apart (ms), or that none was connected: many attempts are reset together when
/// one worker dies, but the module goes elsewhere after a connection that fails.
const SILENT_AFTER_MS: u64 = 200;
/// So it does after this many answers in a row that neither succeed nor say that the message failed (all full, all
/// strange), so far apart (ms): each would cost its store a record.
const USELESS_MOST: u32 = 20;
const USELESS_AFTER_MS: u64 = 1000;
/// Attempts that may be out at a dark service.
const PROBES: usize = 1;
/// Pause between two probes, as a part of the time since its last answer, and its bounds (ms).
const PROBE_SHARE: u64 = 4;
const PROBE_LEAST_MS: u64 = 150;
const PROBE_MOST_MS: u64 = 1000;
/// A message that was not run waits this part of the time since the service last succeeded, within bounds (ms):
/// another worker may take it at once, and nobody may for long.
const RETRY_SHARE: u64 = 2;
const RETRY_LEAST_MS: u64 = 20;
const RETRY_MOST_MS: u64 = 2000;
/// Waits are spread over this share more, so that what failed together does not come back together.
const RETRY_JITTER: f64 = 0.5;

/// What the latest attempts at one service say of it.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Latest attempts in a row that told nothing of their message, when the first and the last of them ended.
    useless: u32,
    useless_since: u64,
    useless_last: u64,
    /// Of the latest of them, those in a row that got no answer at all, and since when.
    silent: u32,
    silent_since: u64,
    /// Of the latest of these, those in a row that were not connected.
    unconnected: u32,
    /// Since when no attempt succeeded, from the first that did not.
    fruitless_since: Option<u64>,
}

impl Health {
    pub fn on_success(&mut self) {
        self.on_useful();
        self.fruitless_since = None;
    }

    /// A worker told that its message failed, for now or for good.
    pub fn on_useful(&mut self) {
        self.useless = 0;
        self.silent = 0;
        self.unconnected = 0;
    }

    /// A worker answered something that says nothing of the message, or that it was not run.
    pub fn on_useless(&mut self, now: u64) {
        self.count_useless(now);
        self.silent = 0;
        self.unconnected = 0;
    }

    /// An attempt ended without any answer.
    pub fn on_silence(&mut self, now: u64, connected: bool) {
        self.count_useless(now);
        if self.silent == 0 {
            self.silent_since = now;
        }
        self.silent = self.silent.saturating_add(1);
        self.unconnected = if connected { 0 } else { self.unconnected.saturating_add(1) };
    }

    fn count_useless(&mut self, now: u64) {
        if self.useless == 0 {
            self.useless_since = now;
        }
        self.useless = self.useless.saturating_add(1);
        self.useless_last = now;
        self.on_fruitless(now);
    }

    /// An attempt ended without success, or could not be placed.
    pub fn on_fruitless(&mut self, now: u64) {
        self.fruitless_since.get_or_insert(now);
    }

    /// Nothing useful comes from there.
    pub fn is_dark(&self) -> bool {
        let silent_for = self.useless_last.saturating_sub(self.silent_since);
        let silent = self.silent >= SILENT_MOST && silent_for >= SILENT_AFTER_MS;
        let useless = self.useless >= USELESS_MOST && self.dark_for() >= USELESS_AFTER_MS;
        silent || useless || self.unconnected >= SILENT_MOST
    }

    fn dark_for(&self) -> u64 {
        self.useless_last - self.useless_since
    }

    /// Earliest time of the next probe of a dark service.
    pub fn next_probe(&self) -> u64 {
        self.useless_last + (self.dark_for() / PROBE_SHARE).clamp(PROBE_LEAST_MS, PROBE_MOST_MS)
    }

    /// One more attempt may go out beside those that are.
    pub fn may_send(&self, now: u64, out: usize) -> bool {
        !self.is_dark() || out < PROBES && now >= self.next_probe()
    }

    /// How long a message waits that was not run, or of which nothing is known (ms).
    pub fn retry_after(&self, now: u64, dice: &mut Rng) -> u32 {
        let fruitless = self.fruitless_since.map_or(0, |since| now.saturating_sub(since));
        let wait = (fruitless / RETRY_SHARE).clamp(RETRY_LEAST_MS, RETRY_MOST_MS);
        jittered(wait, dice)
    }
}

/// A wait of at least `wait` (ms), spread upwards.
pub(crate) fn jittered(wait: u64, dice: &mut Rng) -> u32 {
    let spread = wait as f64 * (1.0 + RETRY_JITTER * dice.f64());
    spread as u32
}
