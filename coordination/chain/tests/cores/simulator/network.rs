//! Links with loss, delay, reordering, doubling and partitions.

use std::collections::BTreeSet;

/// Fault rates of a network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Fraction of messages that are delivered twice.
    pub duplicated: f64,
    /// Fraction of messages that are delayed for up to two seconds.
    pub delayed: f64,
}

/// Shortest and longest ordinary delay of a message, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 300..3_000;
/// Longest delay of a message that is delayed, in microseconds.
const DELAYED_MICROS: std::ops::Range<u64> = 3_000..2_000_000;

/// The network between machines, which are numbered.
pub struct Network {
    pub faults: NetworkFaults,
    partitions: BTreeSet<(usize, usize)>,
}

impl Network {
    pub fn new(faults: NetworkFaults) -> Network {
        Network { faults, partitions: BTreeSet::new() }
    }

    /// Interrupts one direction.
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.contains(&(from, to))
    }

    /// Delays of the copies of a message that arrive.
    pub fn delays(&self, random: &mut fastrand::Rng, from: usize, to: usize) -> Vec<u64> {
        if self.is_partitioned(from, to) || random.f64() < self.faults.loss {
            return Vec::new();
        }
        let copies = if random.f64() < self.faults.duplicated { 2 } else { 1 };
        (0..copies).map(|_| self.delay(random)).collect()
    }

    fn delay(&self, random: &mut fastrand::Rng) -> u64 {
        let range = if random.f64() < self.faults.delayed { DELAYED_MICROS } else { DELAY_MICROS };
        random.u64(range)
    }
}
