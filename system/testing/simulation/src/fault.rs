//! Faults that a plan lets happen.

use crate::place::Place;

/// A fault of the simulated world; times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends; what was written may or may not be there. It starts again after a while.
    Kill { place: Place, down: u64 },
    /// Power is lost: only what was synced is kept.
    PowerLoss { place: Place, down: u64 },
    /// Every machine with a disk loses power.
    PowerLossOfAll { down: u64 },
    /// The disk is lost; the machine starts with an empty one.
    Wipe { place: Place, down: u64 },
    /// The disk is lost while every other machine, dispatchers included, loses power.
    WipeInDarkness { place: Place, down: u64 },
    /// The machine is replaced by another at another address, with an empty disk.
    Replace { place: Place, down: u64 },
    /// SIGTERM: the process tells the others, serves on for a while, and ends.
    Stop { place: Place, down: u64 },
    /// The process does not run for a while; its steady clock goes on.
    Freeze { place: Place, micros: u64 },
    /// The whole machine stands still for a while, its steady clock with it.
    Suspend { place: Place, micros: u64 },
    /// A machine is cut off from all others; operators still reach it.
    Isolate { place: Place, micros: u64 },
    /// These are cut off from all others, and talk among each other.
    Split { places: Vec<Place>, micros: u64 },
    /// These machines with disks are cut off from the others with disks; all other machines reach both.
    Halves { places: Vec<Place>, micros: u64 },
    /// Nothing passes in one direction.
    CutOneWay { from: Place, to: Place, micros: u64 },
    /// Nothing that this machine sends arrives, while it hears the others.
    Mute { place: Place, micros: u64 },
    /// All connections of a machine are reset.
    Reset { place: Place },
    /// Syncs take long.
    SlowDisk { place: Place, micros: u64 },
    /// No answer reaches an operator.
    LoseAnswers { micros: u64 },
}

impl Fault {
    /// Whether the fault takes a disk.
    pub fn takes_disk(&self) -> bool {
        matches!(self, Fault::Wipe { .. } | Fault::WipeInDarkness { .. } | Fault::Replace { .. })
    }

    /// How long the fault lasts (microseconds).
    pub fn micros(&self) -> u64 {
        match self {
            Fault::Kill { down, .. }
            | Fault::PowerLoss { down, .. }
            | Fault::PowerLossOfAll { down }
            | Fault::Wipe { down, .. }
            | Fault::WipeInDarkness { down, .. }
            | Fault::Replace { down, .. }
            | Fault::Stop { down, .. } => *down,
            Fault::Freeze { micros, .. }
            | Fault::Suspend { micros, .. }
            | Fault::Isolate { micros, .. }
            | Fault::Split { micros, .. }
            | Fault::Halves { micros, .. }
            | Fault::CutOneWay { micros, .. }
            | Fault::Mute { micros, .. }
            | Fault::SlowDisk { micros, .. }
            | Fault::LoseAnswers { micros } => *micros,
            Fault::Reset { .. } => 0,
        }
    }
}

/// When a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum When {
    /// At a true time (microseconds).
    At(u64),
    /// Directly after the n-th delivery or sync.
    Step(u64),
    /// At the first moment from a true time on at which all machines are members and every replica is filled.
    WhenWhole(u64),
}

/// A fault with its moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    pub when: When,
    pub fault: Fault,
}
