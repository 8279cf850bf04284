//! Pings sent for other members.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::wire::Sequence;

/// Pings for others that are remembered; what is older has been answered or will not be.
const MAX_OPEN: usize = 64;

/// A ping on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    pub requester: SocketAddr,
    pub requested: Sequence,
    /// When the requester is told that there is no answer yet; nothing once it has been.
    pub nack_at: Option<Duration>,
}

/// Pings for others by the sequence number of the own ping, the latest last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relays {
    open: VecDeque<(Sequence, Relay)>,
}

impl Relays {
    pub fn open(&mut self, sequence: Sequence, relay: Relay) {
        if self.open.len() == MAX_OPEN {
            self.open.pop_front();
        }
        self.open.push_back((sequence, relay));
    }

    pub fn close(&mut self, sequence: Sequence) -> Option<Relay> {
        let position = self.open.iter().position(|(open, _)| *open == sequence)?;
        self.open.remove(position).map(|(_, relay)| relay)
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.open.iter().filter_map(|(_, relay)| relay.nack_at).min()
    }

    /// A ping that is to be reported as unanswered; it may be answered still.
    pub fn take_unanswered(&mut self, now: Duration) -> Option<Relay> {
        let relays = self.open.iter_mut().map(|(_, relay)| relay);
        let relay = relays.into_iter().find(|relay| relay.nack_at.is_some_and(|due| due <= now))?;
        relay.nack_at = None;
        Some(*relay)
    }
}
