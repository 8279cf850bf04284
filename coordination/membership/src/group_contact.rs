//! When this process last heard from its group, and whether it may be isolated.

use millrudder_clock::Instant;

/// Probes in succession without any datagram at all that this process blames on its own connection.
const MAX_EXCUSED_PROBES: u32 = 3;

/// What follows from a probe that nobody answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MissedProbe {
    /// Whether this process rather than the target may be isolated.
    pub is_excused: bool,
    /// Whether the loss of contact is to be reported.
    pub is_contact_lost: bool,
}

/// What follows from a datagram of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ContactUpdate {
    /// Whether probes had gone without an answer.
    pub ends_missed_probes: bool,
    /// Whether contact, which was reported as lost, is restored.
    pub is_contact_restored: bool,
}

/// Contact with the group as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupContact {
    /// In active time.
    last_datagram_at: Option<Instant>,
    /// On the steady clock.
    last_datagram_steady: Option<Instant>,
    /// Probes in succession during which nothing was heard.
    missed_probes: u32,
    is_lost: bool,
}

impl GroupContact {
    /// When a datagram of the group last came, on the steady clock.
    pub const fn last_datagram_steady(&self) -> Option<Instant> {
        self.last_datagram_steady
    }

    /// Whether nothing was heard for so long that the loss of contact was reported.
    pub const fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// A datagram of the group came.
    pub fn handle_datagram(&mut self, now: Instant, steady: Instant) -> ContactUpdate {
        self.last_datagram_at = Some(now);
        self.last_datagram_steady = Some(steady);
        let ends_missed_probes = std::mem::take(&mut self.missed_probes) > 0;
        let is_contact_restored = std::mem::take(&mut self.is_lost);
        ContactUpdate { ends_missed_probes, is_contact_restored }
    }

    /// A probe ended without an answer; others were asked at `asked_at` to probe the target too.
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
