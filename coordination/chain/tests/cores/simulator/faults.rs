//! Faults of the simulated world.

/// Maximum duration of a graceful shutdown, in microseconds.
pub const STOP_MICROS: u64 = 5_000_000;

/// A fault of the simulated world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed, and restarts later. A random prefix of the pending writes becomes durable.
    Kill { machine: usize, down_micros: u64 },
    /// The machine loses power: all pending writes are lost.
    PowerLoss { machine: usize, down_micros: u64 },
    /// The process shuts down gracefully: it announces that it leaves, and ends later.
    Stop { machine: usize, down_micros: u64 },
    /// Every process is killed at the same moment.
    KillAll { down_micros: u64 },
    /// Every machine loses power.
    PowerLossOfAll { down_micros: u64 },
    /// The disk is lost; the machine starts with an empty one.
    WipeDisk { machine: usize, down_micros: u64 },
    /// The disk is lost if the core tolerates that at this moment; otherwise nothing happens.
    WipeDiskIfTolerated { machine: usize, down_micros: u64 },
    /// The disk is lost and every other machine loses power.
    WipeDiskWithPowerLossOfOthers { machine: usize, down_micros: u64 },
    /// Two disks are lost; only for cores that tolerate two failures.
    WipeTwoDisks { machines: [usize; 2], down_micros: u64 },
    /// The process is paused.
    Freeze { machine: usize, micros: u64 },
    /// Messages in one direction are lost.
    PartitionOneWay { from: usize, to: usize, micros: u64 },
    /// Messages in both directions are lost.
    PartitionBothWays { one: usize, other: usize, micros: u64 },
    /// A machine is partitioned from all others.
    Isolate { machine: usize, micros: u64 },
    /// Disk writes are slow.
    SlowDisk { machine: usize, micros: u64 },
}

impl Fault {
    /// Whether the fault always destroys a disk, which is tolerated only while all other machines are healthy.
    pub fn loses_disk(&self) -> bool {
        matches!(
            self,
            Fault::WipeDisk { .. } | Fault::WipeTwoDisks { .. } | Fault::WipeDiskWithPowerLossOfOthers { .. }
        )
    }

    /// Whether the fault destroys a disk, or loses pending writes at every machine.
    pub fn loses_writes(&self) -> bool {
        self.loses_disk() || matches!(self, Fault::PowerLossOfAll { .. } | Fault::KillAll { .. })
    }

    /// Maximum time until the fault has ended, in microseconds.
    pub fn ends_within(&self) -> u64 {
        match self {
            Fault::Stop { .. } => self.micros() + STOP_MICROS,
            _ => self.micros(),
        }
    }

    /// Duration of the fault in microseconds; for a shutdown, counted from the end of the process.
    pub fn micros(&self) -> u64 {
        match self {
            Fault::Kill { down_micros, .. }
            | Fault::Stop { down_micros, .. }
            | Fault::PowerLoss { down_micros, .. }
            | Fault::KillAll { down_micros }
            | Fault::PowerLossOfAll { down_micros }
            | Fault::WipeDisk { down_micros, .. }
            | Fault::WipeDiskIfTolerated { down_micros, .. }
            | Fault::WipeTwoDisks { down_micros, .. }
            | Fault::WipeDiskWithPowerLossOfOthers { down_micros, .. } => *down_micros,
            Fault::Freeze { micros, .. }
            | Fault::PartitionOneWay { micros, .. }
            | Fault::PartitionBothWays { micros, .. }
            | Fault::Isolate { micros, .. }
            | Fault::SlowDisk { micros, .. } => *micros,
        }
    }
}
