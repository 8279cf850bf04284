//! Probes that this process relays for other members (indirect probes of SWIM).

use std::collections::VecDeque;
use std::net::SocketAddr;

use millrudder_clock::Instant;

use crate::wire::Sequence;

/// Number of relayed probes that are remembered. Older ones have been answered or are no longer expected to be.
const MAX_REMEMBERED: usize = 64;

/// A ping that was sent on behalf of another member, the requester.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedProbe {
    pub requester: SocketAddr,
    pub requester_sequence: Sequence,
    /// Time at which the requester is told that there is no answer yet; `None` once it has been told.
    pub nack_at: Option<Instant>,
}

/// Relayed probes with the sequence numbers of this process's pings, the latest last.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayedProbes {
    probes: VecDeque<(Sequence, RelayedProbe)>,
}

impl RelayedProbes {
    pub fn insert(&mut self, sequence: Sequence, probe: RelayedProbe) {
        if self.probes.len() == MAX_REMEMBERED {
            self.probes.pop_front();
        }
        self.probes.push_back((sequence, probe));
    }

    pub fn remove(&mut self, sequence: Sequence) -> Option<RelayedProbe> {
        let position = self.probes.iter().position(|(own_sequence, _)| *own_sequence == sequence)?;
        self.probes.remove(position).map(|(_, probe)| probe)
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.probes.iter().filter_map(|(_, probe)| probe.nack_at).min()
    }

    /// Returns a probe that must be reported as unanswered now. It stays in the list, since an answer may still arrive.
    pub fn take_unanswered(&mut self, now: Instant) -> Option<RelayedProbe> {
        let probes = self.probes.iter_mut().map(|(_, probe)| probe);
        let probe = probes.into_iter().find(|probe| probe.nack_at.is_some_and(|due| due <= now))?;
        probe.nack_at = None;
        Some(*probe)
    }
}
