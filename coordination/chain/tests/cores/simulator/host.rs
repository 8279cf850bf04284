//! A simulated machine with its disk, clock and process.

use millrudder_chain::{CoreNode, SimulatedDisk};
use millrudder_clock::Instant;

use super::value_table::ValueTable;

/// A simulated machine. `node` is `None` while its process is not running.
#[derive(Default)]
pub struct Host {
    pub node: Option<CoreNode<ValueTable>>,
    pub disk: SimulatedDisk,
    pub process: u64,
    pub clock_offset: u64,
    pub clock_rate_ppm: u64,
    pub frozen_until: u64,
    pub slow_disk_until: u64,
    pub disk_free_at: u64,
    pub tick_at: Option<u64>,
    pub wiped: bool,
}

impl Host {
    /// Reading of the machine's steady clock at simulated time `now`.
    pub fn clock(&self, now: u64) -> Instant {
        Instant::from_micros(self.clock_offset + now + now / 1_000_000 * self.clock_rate_ppm)
    }

    /// Simulated time at which the machine's steady clock has reached `local`.
    pub fn true_time(&self, now: u64, local: Instant) -> u64 {
        now + (local - self.clock(now)).as_micros() as u64
    }
}
