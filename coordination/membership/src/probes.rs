//! Probes sent by this process that are in flight, queued or expired.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use millrudder_clock::Instant;

use crate::identity::{MemberId, MemberName};
use crate::wire::Sequence;

/// Maximum number of probes in flight: the regular probe of the period, and probes that verify reports of others.
const MAX_IN_FLIGHT: usize = 4;

/// Number of expired probes that are remembered, so that a late answer is recognized.
const MAX_EXPIRED: usize = 16;

/// A probe that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub target: MemberId,
    pub sent_at: Instant,
    /// Time at which the last pings were sent, directly or through others.
    pub last_sent_at: Instant,
    /// Time at which indirect probes are due; `None` once they have been sent.
    pub indirect_at: Option<Instant>,
    pub ends_at: Instant,
    /// Whether other members were asked to probe the target.
    pub has_relays: bool,
    /// Whether a missing answer must not cause suspicion, because this process was paused or isolated meanwhile.
    pub is_excused: bool,
}

/// Action that is due for a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DueProbe {
    /// Send indirect probes.
    Indirect(Sequence),
    /// End the probe without an answer.
    Expire(Sequence),
}

/// The probes of this process.
#[derive(Clone, Debug)]
pub(crate) struct Probes {
    in_flight: BTreeMap<Sequence, Probe>,
    /// Members to probe as soon as fewer probes are in flight.
    queued: BTreeSet<MemberName>,
    /// Probes that expired without an answer, the latest last.
    expired: VecDeque<(Sequence, MemberId)>,
    next_sequence: u32,
}

impl Probes {
    pub const fn new(first_sequence: u32) -> Self {
        Self {
            in_flight: BTreeMap::new(),
            queued: BTreeSet::new(),
            expired: VecDeque::new(),
            next_sequence: first_sequence,
        }
    }

    pub fn allocate_sequence(&mut self) -> Sequence {
        let sequence = Sequence(self.next_sequence);
        self.next_sequence = self.next_sequence.wrapping_add(1);
        sequence
    }

    pub fn insert(&mut self, sequence: Sequence, probe: Probe) {
        self.queued.remove(&probe.target.name);
        self.in_flight.insert(sequence, probe);
    }

    pub fn get_mut(&mut self, sequence: Sequence) -> Option<&mut Probe> {
        self.in_flight.get_mut(&sequence)
    }

    pub fn remove(&mut self, sequence: Sequence) -> Option<Probe> {
        self.in_flight.remove(&sequence)
    }

    /// Removes a probe that got no answer in time, and remembers its target for a late answer.
    pub fn expire(&mut self, sequence: Sequence) -> Option<Probe> {
        let probe = self.in_flight.remove(&sequence)?;
        if self.expired.len() == MAX_EXPIRED {
            self.expired.pop_front();
        }
        self.expired.push_back((sequence, probe.target.clone()));
        Some(probe)
    }

    /// Returns the target of an expired probe whose answer came late, and forgets the probe.
    pub fn take_expired(&mut self, sequence: Sequence) -> Option<MemberId> {
        let position = self.expired.iter().position(|(expired, _)| *expired == sequence)?;
        self.expired.remove(position).map(|(_, target)| target)
    }

    /// Removes the probes of a member that is dead, has left or was replaced.
    pub fn remove_target(&mut self, name: &MemberName) {
        self.in_flight.retain(|_, probe| probe.target.name != *name);
        self.queued.remove(name);
    }

    pub fn has_capacity(&self) -> bool {
        self.in_flight.len() < MAX_IN_FLIGHT
    }

    pub fn is_probing(&self, name: &MemberName) -> bool {
        self.in_flight.values().any(|probe| probe.target.name == *name)
    }

    pub fn enqueue(&mut self, name: MemberName) {
        self.queued.insert(name);
    }

    pub fn pop_queued(&mut self) -> Option<MemberName> {
        self.queued.pop_first()
    }

    pub fn excuse_all(&mut self) {
        for probe in self.in_flight.values_mut() {
            probe.is_excused = true;
        }
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.in_flight.values().map(Probe::next_deadline).min()
    }

    pub fn due(&self, now: Instant) -> Option<DueProbe> {
        self.in_flight.iter().find_map(|(sequence, probe)| probe.due(*sequence, now))
    }
}

impl Probe {
    fn next_deadline(&self) -> Instant {
        self.indirect_at.map_or(self.ends_at, |indirect_at| indirect_at.min(self.ends_at))
    }

    fn due(&self, sequence: Sequence, now: Instant) -> Option<DueProbe> {
        if self.ends_at <= now {
            return Some(DueProbe::Expire(sequence));
        }
        let is_indirect_due = self.indirect_at.is_some_and(|indirect_at| indirect_at <= now);
        is_indirect_due.then_some(DueProbe::Indirect(sequence))
    }
}
