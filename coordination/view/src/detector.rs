//! Failure detection among the members of a core by heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_clock::Instant;
use thiserror::Error;

use crate::NodeId;

/// Durations of the failure detector, in whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Interval between two heartbeats to the same peer.
    pub heartbeat_interval: Duration,
    /// A peer without a heartbeat for so long is suspected.
    pub suspect_after: Duration,
    /// Contact without an interruption for so long makes a peer stable again.
    pub stable_after: Duration,
}

impl Default for DetectorConfig {
    fn default() -> DetectorConfig {
        DetectorConfig {
            heartbeat_interval: Duration::from_millis(100),
            suspect_after: Duration::from_millis(600),
            stable_after: Duration::from_secs(1),
        }
    }
}

/// Why a [`DetectorConfig`] is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DetectorConfigError {
    /// Without an interval heartbeats would be sent without end.
    #[error("the interval between heartbeats is zero")]
    NoHeartbeatInterval,
    /// A single lost heartbeat must not make a peer suspect.
    #[error("a peer would be suspected after {suspect_after:?}, less than two heartbeats of {heartbeat_interval:?}")]
    SuspectsTooEarly {
        /// [`DetectorConfig::heartbeat_interval`].
        heartbeat_interval: Duration,
        /// [`DetectorConfig::suspect_after`].
        suspect_after: Duration,
    },
}

impl DetectorConfig {
    /// Checks that the durations fit together.
    ///
    /// # Errors
    ///
    /// Says which rule the durations break.
    pub fn check(&self) -> Result<(), DetectorConfigError> {
        let DetectorConfig { heartbeat_interval, suspect_after, .. } = *self;
        if heartbeat_interval.is_zero() {
            return Err(DetectorConfigError::NoHeartbeatInterval);
        }
        if suspect_after < heartbeat_interval * 2 {
            return Err(DetectorConfigError::SuspectsTooEarly { heartbeat_interval, suspect_after });
        }
        Ok(())
    }
}

/// What is known of the contact with one peer.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// When its last heartbeat came.
    last_heartbeat_at: Instant,
    /// When the last heartbeat came that named this node among those its sender hears.
    last_listed_at: Instant,
    /// Since when contact has not been interrupted.
    stable_since: Instant,
    /// The peer has said that it shuts down.
    is_leaving: bool,
}

/// Tells which peers are unreachable in one direction or the other.
///
/// Each heartbeat names the peers that its sender hears, so that a partition which lets messages pass in one direction
/// only makes both ends suspect each other.
#[derive(Clone, Debug)]
pub struct Detector {
    suspect_after: Duration,
    stable_after: Duration,
    contacts: BTreeMap<NodeId, Contact>,
    last_poll: Instant,
}

impl Detector {
    /// A detector that starts at `now`, a reading of the steady clock.
    pub fn new(config: &DetectorConfig, now: Instant) -> Detector {
        Detector {
            suspect_after: config.suspect_after,
            stable_after: config.stable_after,
            contacts: BTreeMap::new(),
            last_poll: now,
        }
    }

    /// Notes the passing of time. After a gap in which this process itself did not run, all contacts start afresh.
    pub fn poll(&mut self, now: Instant) {
        let since_last_poll = now - self.last_poll;
        self.last_poll = now;
        if since_last_poll < self.suspect_after / 2 {
            return;
        }
        for contact in self.contacts.values_mut() {
            *contact = Contact::starting_at(now);
        }
    }

    /// Starts to watch a peer, which has [`DetectorConfig::suspect_after`] to be heard for the first time.
    pub fn watch(&mut self, now: Instant, peer: NodeId) {
        self.contacts.entry(peer).or_insert_with(|| Contact::starting_at(now));
    }

    /// A heartbeat came from `peer`; `lists_local_node` tells whether it names this node among those its sender hears.
    pub fn handle_heartbeat(&mut self, now: Instant, peer: NodeId, lists_local_node: bool) {
        let suspect_after = self.suspect_after;
        let contact = self.contacts.entry(peer).or_insert_with(|| Contact::starting_at(now));
        if contact.is_suspect(now, suspect_after) {
            contact.stable_since = now;
        }
        contact.last_heartbeat_at = now;
        contact.is_leaving = false;
        if lists_local_node {
            contact.last_listed_at = now;
        }
    }

    /// A peer has said that it shuts down; it is suspected until its next heartbeat.
    pub fn mark_leaving(&mut self, peer: NodeId) {
        if let Some(contact) = self.contacts.get_mut(&peer) {
            contact.is_leaving = true;
        }
    }

    /// Whether a watched peer is unreachable or shuts down.
    pub fn is_suspect(&self, now: Instant, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.is_suspect(now, self.suspect_after))
    }

    /// Whether a watched peer is not heard, or does not hear this node. One that shuts down is still reachable.
    pub fn is_unreachable(&self, now: Instant, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.is_unreachable(now, self.suspect_after))
    }

    /// When the next of `peers` becomes suspect unless it is heard.
    pub fn next_timeout(&self, now: Instant, peers: impl Iterator<Item = NodeId>) -> Option<Instant> {
        let contacts = peers.filter_map(|peer| self.contacts.get(&peer));
        let deadline = contacts
            .map(|contact| contact.last_heartbeat_at.min(contact.last_listed_at) + self.suspect_after);
        deadline.filter(|deadline| *deadline > now).min()
    }

    /// Whether a peer has said that it shuts down.
    pub fn is_leaving(&self, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.is_leaving)
    }

    /// Whether contact with a peer has not been interrupted for [`DetectorConfig::stable_after`].
    pub fn is_stable(&self, now: Instant, peer: NodeId) -> bool {
        let Some(contact) = self.contacts.get(&peer) else {
            return false;
        };
        let is_long_enough = now - contact.stable_since >= self.stable_after;
        is_long_enough && !contact.is_suspect(now, self.suspect_after)
    }

    /// Peers whose heartbeats arrive, to be named in heartbeats.
    pub fn heard_peers(&self, now: Instant) -> Vec<NodeId> {
        let heard = self.contacts.iter().filter(|(_, contact)| contact.is_heard(now, self.suspect_after));
        heard.map(|(id, _)| *id).collect()
    }
}

impl Contact {
    fn starting_at(now: Instant) -> Contact {
        Contact { last_heartbeat_at: now, last_listed_at: now, stable_since: now, is_leaving: false }
    }

    fn is_heard(&self, now: Instant, suspect_after: Duration) -> bool {
        now - self.last_heartbeat_at < suspect_after
    }

    fn is_suspect(&self, now: Instant, suspect_after: Duration) -> bool {
        self.is_leaving || self.is_unreachable(now, suspect_after)
    }

    fn is_unreachable(&self, now: Instant, suspect_after: Duration) -> bool {
        !self.is_heard(now, suspect_after) || now - self.last_listed_at >= suspect_after
    }
}
