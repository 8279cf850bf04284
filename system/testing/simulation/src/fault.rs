//! Faults that a plan injects, and when.

use crate::machine_id::MachineId;
use millrudder_clock::Instant;
use std::time::Duration;

/// A fault of the simulated world.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed; an arbitrary suffix of the unsynced writes of a core machine is lost. It
    /// restarts after the downtime.
    Kill {
        /// The machine.
        machine_id: MachineId,
        /// How long the process is down.
        downtime: Duration,
    },
    /// The machine loses power, and with it all unsynced writes.
    PowerLoss {
        /// The machine.
        machine_id: MachineId,
        /// How long the process is down.
        downtime: Duration,
    },
    /// Every machine with a disk loses power.
    PowerLossOfAll {
        /// How long the process is down.
        downtime: Duration,
    },
    /// The disk is lost; the machine restarts with an empty one.
    Wipe {
        /// The machine.
        machine_id: MachineId,
        /// How long the process is down.
        downtime: Duration,
    },
    /// The disk is lost while every other machine, dispatchers included, loses power.
    WipeWithPowerLossOfOthers {
        /// The machine.
        machine_id: MachineId,
        /// How long the process is down.
        downtime: Duration,
    },
    /// The machine is replaced by one at another address with an empty disk.
    Replace {
        /// The machine.
        machine_id: MachineId,
        /// How long the process is down.
        downtime: Duration,
    },
    /// SIGTERM: the process announces that it leaves, continues to serve for a while, and ends.
    Shutdown {
        /// The machine.
        machine_id: MachineId,
        /// How long the process is down.
        downtime: Duration,
    },
    /// The process does not run; the machine's steady clock continues.
    Freeze {
        /// The machine.
        machine_id: MachineId,
        /// How long the fault lasts.
        duration: Duration,
    },
    /// The machine is suspended; its steady clock stalls.
    Suspend {
        /// The machine.
        machine_id: MachineId,
        /// How long the fault lasts.
        duration: Duration,
    },
    /// A machine is partitioned from all others; operators still reach it.
    Isolate {
        /// The machine.
        machine_id: MachineId,
        /// How long the fault lasts.
        duration: Duration,
    },
    /// These machines are partitioned from all others, and can communicate among each other.
    Partition {
        /// The machines.
        machine_ids: Vec<MachineId>,
        /// How long the fault lasts.
        duration: Duration,
    },
    /// These machines are partitioned from the other machines with disks; dispatchers reach both sides.
    PartitionDisks {
        /// The machines.
        machine_ids: Vec<MachineId>,
        /// How long the fault lasts.
        duration: Duration,
    },
    /// Messages in one direction are blocked.
    PartitionOneWay {
        /// The sender.
        from: MachineId,
        /// The receiver.
        to: MachineId,
        /// How long the fault lasts.
        duration: Duration,
    },
    /// Messages from this machine are blocked, while it receives those of the others.
    BlockOutbound {
        /// The machine.
        machine_id: MachineId,
        /// How long the fault lasts.
        duration: Duration,
    },
    /// All connections of a machine are reset.
    ResetConnections {
        /// The machine.
        machine_id: MachineId,
    },
    /// Syncs are slow.
    SlowDisk {
        /// The machine.
        machine_id: MachineId,
        /// How long the fault lasts.
        duration: Duration,
    },
    /// Responses to operators are lost.
    LoseResponses {
        /// How long the fault lasts.
        duration: Duration,
    },
}

impl Fault {
    /// Whether a disk is lost.
    pub fn takes_disk(&self) -> bool {
        matches!(self, Fault::Wipe { .. } | Fault::WipeWithPowerLossOfOthers { .. } | Fault::Replace { .. })
    }

    /// How long the fault lasts.
    pub fn duration(&self) -> Duration {
        match self {
            Fault::Kill { downtime, .. }
            | Fault::PowerLoss { downtime, .. }
            | Fault::PowerLossOfAll { downtime }
            | Fault::Wipe { downtime, .. }
            | Fault::WipeWithPowerLossOfOthers { downtime, .. }
            | Fault::Replace { downtime, .. }
            | Fault::Shutdown { downtime, .. } => *downtime,
            Fault::Freeze { duration, .. }
            | Fault::Suspend { duration, .. }
            | Fault::Isolate { duration, .. }
            | Fault::Partition { duration, .. }
            | Fault::PartitionDisks { duration, .. }
            | Fault::PartitionOneWay { duration, .. }
            | Fault::BlockOutbound { duration, .. }
            | Fault::SlowDisk { duration, .. }
            | Fault::LoseResponses { duration } => *duration,
            Fault::ResetConnections { .. } => Duration::ZERO,
        }
    }
}

/// When a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trigger {
    /// At a true time.
    At(Instant),
    /// Directly after the n-th delivery or sync.
    Step(u64),
    /// As soon as, from a true time on, all machines are members and every replica is complete.
    OnceComplete(Instant),
}

/// A fault and when it is injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When the fault is injected.
    pub trigger: Trigger,
    /// The fault.
    pub fault: Fault,
}
