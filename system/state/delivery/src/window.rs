//! How many attempts of a service this dispatcher has out at one time: as many as its workers take without turning
//! some away. All dispatchers find their shares so, as connections on one link do (additive increase, multiplicative
//! decrease).

/// Bounds, and what is assumed at first.
const LEAST: f64 = 1.0;
const MOST: f64 = 1024.0;
const FIRST: f64 = 64.0;
/// Share that stays when a worker is full.
const SHRINK: f64 = 0.9;
/// Full workers within so long (ms) after a cut are the same shortage.
const SHRINK_EACH_MS: u64 = 100;
/// Growth with as many successes as the window holds, soon after a shortage; by one with each success once none was
/// met for so long (ms).
const GROWTH: f64 = 2.0;
const CALM_MS: u64 = 1000;

/// The window of one service.
#[derive(Debug)]
pub(crate) struct Window {
    size: f64,
    shrunk_at: Option<u64>,
}

impl Default for Window {
    fn default() -> Self {
        Window { size: FIRST, shrunk_at: None }
    }
}

impl Window {
    /// A success came with `out` attempts out, itself included.
    pub fn on_success(&mut self, now: u64, out: usize) {
        if (out as f64) < self.size / 2.0 {
            return;
        }
        let calm = self.shrunk_at.is_none_or(|at| now >= at + CALM_MS);
        let growth = if calm { 1.0 } else { (GROWTH / self.size).min(1.0) };
        self.size = (self.size + growth).min(MOST);
    }

    /// A worker was full with `out` attempts out, itself included.
    pub fn on_full(&mut self, now: u64, out: usize) {
        if self.shrunk_at.is_some_and(|at| now < at + SHRINK_EACH_MS) {
            return;
        }
        self.shrunk_at = Some(now);
        self.size = (self.size.min(out as f64) * SHRINK).max(LEAST);
    }

    pub fn has_room(&self, out: usize) -> bool {
        out < self.size as usize
    }
}
