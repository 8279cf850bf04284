//! Probes relayed for other members (indirect probes of SWIM).

use std::collections::VecDeque;
use std::net::SocketAddr;

use millrudder_clock::Instant;

use crate::wire::Sequence;

/// Relayed probes that are remembered; older ones have been answered or will not be.
const MAX_REMEMBERED: usize = 64;

/// A ping on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedProbe {
    pub requester: SocketAddr,
    pub requester_sequence: Sequence,
    /// When the requester is notified that there is no answer yet; none once it has been.
    pub nack_at: Option<Instant>,
}

/// Relayed probes by the sequence number of the own ping, the latest last.
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

    /// A probe that is to be reported as unanswered; it may be answered still.
    pub fn take_unanswered(&mut self, now: Instant) -> Option<RelayedProbe> {
        let probes = self.probes.iter_mut().map(|(_, probe)| probe);
        let probe = probes.into_iter().find(|probe| probe.nack_at.is_some_and(|due| due <= now))?;
        probe.nack_at = None;
        Some(*probe)
    }
}
