//! One shared resource: a number of units, of which each front uses some and claims some.

/// How long a refusal counts as a claim (ms). Longer than the retry time that a refusal advises, so that the
/// claim still counts when the client retries as advised; short, so that units do not stay unused for clients
/// that do not retry.
pub const CLAIM_LIFE_MS: f64 = 1_000.0;
/// Divisor of a front's unused share: one part in this many is never lent, so that the front's next jobs find
/// room at once while the jobs that borrowed the rest still run.
pub const KEPT_PART: u64 = 8;

#[derive(Clone, Debug)]
struct FrontState {
    weight: u64,
    used: u64,
    /// Units that were refused and have not been granted since.
    claimed: u64,
    /// Time until which `claimed` counts (ms).
    claimed_until: f64,
}

/// The units of one resource, shared among fronts by weight.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    capacity: u64,
    fronts: Vec<FrontState>,
}

impl Pool {
    /// A weight of 0 counts as 1.
    pub fn new(capacity: u64, weights: &[u32]) -> Self {
        let front = |weight: &u32| FrontState {
            weight: u64::from((*weight).max(1)),
            used: 0,
            claimed: 0,
            claimed_until: f64::NEG_INFINITY,
        };
        Pool { capacity, fronts: weights.iter().map(front).collect() }
    }

    /// The new weights apply to later requests; nothing that is in use is taken back.
    pub fn set_weights(&mut self, weights: &[u32]) {
        for (state, weight) in self.fronts.iter_mut().zip(weights) {
            state.weight = u64::from((*weight).max(1));
        }
    }

    pub fn used(&self, front: usize) -> u64 {
        self.fronts[front].used
    }

    fn free(&self) -> u64 {
        self.capacity - self.fronts.iter().map(|s| s.used).sum::<u64>()
    }

    /// Units that this front can claim by its weight, however much the others ask for.
    pub fn share(&self, front: usize) -> u64 {
        let weights: u64 = self.fronts.iter().map(|s| s.weight).sum();
        proportion(self.capacity, self.fronts[front].weight, weights)
    }

    /// Whether this front may take `amount` more units now.
    pub fn has_room(&self, front: usize, amount: u64, now: f64) -> bool {
        let wanted = self.fronts[front].used + amount;
        let mut needed = amount;
        for other in (0..self.fronts.len()).filter(|other| *other != front) {
            needed += self.kept_for(other, front, wanted, now);
        }
        needed <= self.free()
    }

    /// Units that must stay free for `other` if `front` is to use `wanted` units in total.
    fn kept_for(&self, other: usize, front: usize, wanted: u64, now: f64) -> u64 {
        let (asker, other_front) = (&self.fronts[front], &self.fronts[other]);
        // As many as bring `other` to the same use per weight that `front` would reach.
        let behind = proportion(wanted, other_front.weight, asker.weight).saturating_sub(other_front.used);
        let claimed = if now < other_front.claimed_until { other_front.claimed.min(behind) } else { 0 };
        // A front within its own share is never refused for what another has not asked for yet.
        let is_borrowing = wanted > self.share(front);
        let kept = self.share(other).saturating_sub(other_front.used).div_ceil(KEPT_PART);
        claimed.max(if is_borrowing { kept } else { 0 })
    }

    /// Takes units; the caller has checked `has_room`.
    pub fn take(&mut self, front: usize, amount: u64) {
        let state = &mut self.fronts[front];
        state.used += amount;
        state.claimed = state.claimed.saturating_sub(amount);
    }

    pub fn give_back(&mut self, front: usize, amount: u64) {
        let state = &mut self.fronts[front];
        debug_assert!(state.used >= amount, "given back twice");
        state.used = state.used.saturating_sub(amount);
    }

    /// Records a refusal as a claim. At most the whole capacity can be claimed.
    pub fn claim(&mut self, front: usize, amount: u64, now: f64) {
        let capacity = self.capacity;
        let state = &mut self.fronts[front];
        if now >= state.claimed_until {
            state.claimed = 0;
        }
        state.claimed = (state.claimed + amount).min(capacity);
        state.claimed_until = now + CLAIM_LIFE_MS;
    }

    /// Units claimed by all fronts whose claims still count.
    pub fn claims(&self, now: f64) -> u64 {
        self.fronts.iter().filter(|s| now < s.claimed_until).map(|s| s.claimed).sum()
    }
}

/// `amount * weight / of`, with the product in full; the greatest number if the result does not fit.
fn proportion(amount: u64, weight: u64, of: u64) -> u64 {
    let product = u128::from(amount) * u128::from(weight);
    u64::try_from(product / u128::from(of)).unwrap_or(u64::MAX)
}
