//! Faults of the simulated world.

/// A process that shuts down ends after this many microseconds at the latest.
pub const STOP_MICROS: u64 = 5_000_000;

/// A fault of the simulated world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends; what was written may or may not be there. It starts again after a while.
    Kill { machine: usize, down_micros: u64 },
    /// Power is lost: only what is durable survives.
    PowerLoss { machine: usize, down_micros: u64 },
    /// The process shuts down: it announces that it leaves, and ends a little later.
    Stop { machine: usize, down_micros: u64 },
    /// Every process ends at the same moment.
    KillAll { down_micros: u64 },
    /// Every machine loses power.
    PowerLossOfAll { down_micros: u64 },
    /// The disk is lost; the machine starts with an empty one.
    WipeDisk { machine: usize, down_micros: u64 },
    /// The same if the core tolerates it at that moment; else nothing happens.
    WipeDiskIfTolerated { machine: usize, down_micros: u64 },
    /// The disk is lost and every other machine loses power.
    WipeDiskWithPowerLossOfOthers { machine: usize, down_micros: u64 },
    /// Two disks are lost; only for cores that tolerate the loss of two machines.
    WipeTwoDisks { machines: [usize; 2], down_micros: u64 },
    /// The process does not run for a while.
    Freeze { machine: usize, micros: u64 },
    /// Messages in one direction are lost.
    PartitionOneWay { from: usize, to: usize, micros: u64 },
    /// Messages in both directions are lost.
    PartitionBothWays { one: usize, other: usize, micros: u64 },
    /// A machine is partitioned from all others.
    Isolate { machine: usize, micros: u64 },
    /// Writes take long.
    SlowDisk { machine: usize, micros: u64 },
}

impl Fault {
    /// Whether the fault takes a disk, which is tolerated only while everything else is healthy.
    pub fn loses_disk(&self) -> bool {
        matches!(
            self,
            Fault::WipeDisk { .. } | Fault::WipeTwoDisks { .. } | Fault::WipeDiskWithPowerLossOfOthers { .. }
        )
    }

    /// Whether the fault takes writes that are not durable, at every machine or with a disk.
    pub fn loses_writes(&self) -> bool {
        self.loses_disk() || matches!(self, Fault::PowerLossOfAll { .. } | Fault::KillAll { .. })
    }

    /// After how many microseconds all runs again at the latest.
    pub fn ends_within(&self) -> u64 {
        match self {
            Fault::Stop { .. } => self.micros() + STOP_MICROS,
            _ => self.micros(),
        }
    }

    /// How long the fault lasts, from the moment at which the process ends.
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
