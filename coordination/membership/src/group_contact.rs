//! Tracks the contact of this process with its group, to detect that the process itself may be isolated.

use millrudder_clock::Instant;

/// Number of consecutive probes without any datagram from the group that this process attributes to its own isolation rather
/// than to the failure of their targets.
const MAX_EXCUSED_PROBES: u32 = 3;

/// Result of a probe that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MissedProbe {
    /// Whether the target must not be suspected, because this process may be isolated.
    pub is_excused: bool,
    /// Whether the loss of contact must be reported now.
    pub is_contact_lost: bool,
}

/// Result of the receipt of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ContactUpdate {
    /// Whether nothing had been received during at least one probe before this datagram.
    pub ends_missed_probes: bool,
    /// Whether contact had been reported as lost and is now restored.
    pub is_contact_restored: bool,
}

/// State of the contact with the group as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupContact {
    /// Arrival of the last datagram, in active time.
    last_datagram_at: Option<Instant>,
    /// Arrival of the last datagram, on the steady clock.
    last_datagram_steady: Option<Instant>,
    /// Number of consecutive probes during which no datagram arrived.
    missed_probes: u32,
    is_lost: bool,
}

impl GroupContact {
    /// Returns the arrival of the last datagram of the group, on the steady clock.
    pub const fn last_datagram_steady(&self) -> Option<Instant> {
        self.last_datagram_steady
    }

    /// Returns whether the loss of contact has been reported and contact is not restored yet.
    pub const fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Records the receipt of a datagram of the group.
    pub fn handle_datagram(&mut self, now: Instant, steady: Instant) -> ContactUpdate {
        self.last_datagram_at = Some(now);
        self.last_datagram_steady = Some(steady);
        let ends_missed_probes = std::mem::take(&mut self.missed_probes) > 0;
        let is_contact_restored = std::mem::take(&mut self.is_lost);
        ContactUpdate { ends_missed_probes, is_contact_restored }
    }

    /// Records a probe that got no answer. Its last pings, direct and indirect, were sent at `asked_at`.
    pub fn handle_missed_probe(&mut self, asked_at: Instant) -> MissedProbe {
        if self.last_datagram_at.is_some_and(|last| last >= asked_at) {
            return MissedProbe { is_excused: false, is_contact_lost: false };
        }
        self.missed_probes += 1;
        let is_excused = self.missed_probes <= MAX_EXCUSED_PROBES;
        let is_contact_lost = !is_excused && !self.is_lost;
        self.is_lost |= is_contact_lost;
        MissedProbe { is_excused, is_contact_lost }
    }
}
