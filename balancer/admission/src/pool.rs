//! One shared resource: a number of units, of which each front uses some and claims some.

/// How long a refusal counts as a claim (ms). Longer than the retry time that a refusal advises, so that the
/// claim still counts when the client retries as advised; short, so that units do not stay unused for clients
/// that do not retry.
pub const CLAIM_LIFE_MS: f64 = 1_000.0;
/// Divisor of a front's unused share: one part in this many is never lent, so that the front's next jobs find
/// room at once while the jobs that borrowed the rest still run.
pub const KEPT_PART: u64 = 8;

#[derive(Clone, Debug)]
struct Stake {
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
    stakes: Vec<Stake>,
}

impl Pool {
    /// A weight of 0 counts as 1.
    pub fn new(capacity: u64, weights: &[u32]) -> Self {
        let stake = |weight: &u32| Stake {
            weight: u64::from((*weight).max(1)),
            used: 0,
            claimed: 0,
            claimed_until: f64::NEG_INFINITY,
        };
        Pool { capacity, stakes: weights.iter().map(stake).collect() }
    }

    /// The new weights apply to later requests; nothing that is in use is taken back.
    pub fn set_weights(&mut self, weights: &[u32]) {
        for (stake, weight) in self.stakes.iter_mut().zip(weights) {
            stake.weight = u64::from((*weight).max(1));
        }
    }

    pub fn used(&self, front: usize) -> u64 {
        self.stakes[front].used
    }

    fn free(&self) -> u64 {
        self.capacity - self.stakes.iter().map(|s| s.used).sum::<u64>()
    }

    /// Units that this front can claim by its weight, however much the others ask for.
    pub fn share(&self, front: usize) -> u64 {
        let weights: u64 = self.stakes.iter().map(|s| s.weight).sum();
        self.capacity * self.stakes[front].weight / weights
    }

    /// Whether this front may take `amount` more units now.
    pub fn has_room(&self, front: usize, amount: u64, now: f64) -> bool {
        let wanted = self.stakes[front].used + amount;
        let mut needed = amount;
        for other in (0..self.stakes.len()).filter(|other| *other != front) {
            needed += self.kept_for(other, front, wanted, now);
        }
        needed <= self.free()
    }

    /// Units that must stay free for `other` if `front` is to use `wanted` units in total.
    fn kept_for(&self, other: usize, front: usize, wanted: u64, now: f64) -> u64 {
        let (asker, stake) = (&self.stakes[front], &self.stakes[other]);
        // As many as lift it to the level that the asker would reach.
        let behind = (wanted * stake.weight / asker.weight).saturating_sub(stake.used);
        let claimed = if now < stake.claimed_until { stake.claimed.min(behind) } else { 0 };
        // One within its own share is never refused for what another might want.
        let lent = wanted > self.share(front);
        let kept = self.share(other).saturating_sub(stake.used).div_ceil(KEPT_PART);
        claimed.max(if lent { kept } else { 0 })
    }

    /// Takes units; the caller has checked `has_room`.
    pub fn take(&mut self, front: usize, amount: u64) {
        let stake = &mut self.stakes[front];
        stake.used += amount;
        stake.claimed = stake.claimed.saturating_sub(amount);
    }

    pub fn give_back(&mut self, front: usize, amount: u64) {
        let stake = &mut self.stakes[front];
        debug_assert!(stake.used >= amount, "given back twice");
        stake.used = stake.used.saturating_sub(amount);
    }

    /// Records a refusal as a claim. At most the whole capacity can be claimed.
    pub fn claim(&mut self, front: usize, amount: u64, now: f64) {
        let capacity = self.capacity;
        let stake = &mut self.stakes[front];
        if now >= stake.claimed_until {
            stake.claimed = 0;
        }
        stake.claimed = (stake.claimed + amount).min(capacity);
        stake.claimed_until = now + CLAIM_LIFE_MS;
    }

    /// Units claimed by all fronts whose claims still count.
    pub fn claims(&self, now: f64) -> u64 {
        self.stakes.iter().filter(|s| now < s.claimed_until).map(|s| s.claimed).sum()
    }
}
