//! A simulated network with loss, delay, reordering, duplication and partitions.

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

/// Range of the normal message delay, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 300..3_000;
/// Range of the delay of messages chosen by [`NetworkFaults::delayed`], in microseconds.
const DELAYED_MICROS: std::ops::Range<u64> = 3_000..2_000_000;

/// The network between the machines, which are identified by index.
pub struct Network {
    pub faults: NetworkFaults,
    partitions: BTreeSet<(usize, usize)>,
}

impl Network {
    pub fn new(faults: NetworkFaults) -> Network {
        Network { faults, partitions: BTreeSet::new() }
    }

    /// Drops all messages in one direction until [`Network::heal`].
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.contains(&(from, to))
    }

    /// Delay of each delivered copy of a message; empty if the message is lost.
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
