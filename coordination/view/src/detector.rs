//! Heartbeat-based failure detector for the members of a core.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_clock::Instant;
use thiserror::Error;

use crate::NodeId;

/// Configuration of the failure detector. All durations are whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Interval between two heartbeats to the same peer.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a peer is suspected.
    pub suspect_after: Duration,
    /// Time of uninterrupted contact after which a peer counts as stable.
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
    /// With an interval of zero, heartbeats would be sent in an endless loop.
    #[error("the heartbeat interval is zero")]
    NoHeartbeatInterval,
    /// A peer would be suspected after less than two heartbeat intervals, so a single lost heartbeat would suffice.
    #[error("the suspicion time-out {suspect_after:?} is shorter than two heartbeat intervals of {heartbeat_interval:?}")]
    SuspectsTooEarly {
        /// [`DetectorConfig::heartbeat_interval`].
        heartbeat_interval: Duration,
        /// [`DetectorConfig::suspect_after`].
        suspect_after: Duration,
    },
}

impl DetectorConfig {
    /// Checks that the durations are consistent with each other.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the durations violate.
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

/// State of the contact with one peer.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Arrival of the peer's last heartbeat.
    last_heartbeat_at: Instant,
    /// Arrival of the peer's last heartbeat that listed this node among the peers it receives heartbeats from.
    last_listed_at: Instant,
    /// Start of the current period of uninterrupted contact.
    stable_since: Instant,
    /// Whether the peer has announced its shutdown.
    is_leaving: bool,
}

/// Detects peers that are unreachable in at least one direction.
///
/// Each heartbeat lists the peers whose heartbeats its sender receives. If a partition drops messages in one direction
/// only, both sides therefore suspect each other.
#[derive(Clone, Debug)]
pub struct Detector {
    suspect_after: Duration,
    stable_after: Duration,
    contacts: BTreeMap<NodeId, Contact>,
    last_poll: Instant,
}

impl Detector {
    /// Creates a detector without peers that starts at `now`, a reading of the steady clock.
    pub fn new(config: &DetectorConfig, now: Instant) -> Detector {
        Detector {
            suspect_after: config.suspect_after,
            stable_after: config.stable_after,
            contacts: BTreeMap::new(),
            last_poll: now,
        }
    }

    /// Must be called regularly. If the last call was at least half of [`DetectorConfig::suspect_after`] ago, this process
    /// was paused and may have missed heartbeats, so all contacts are treated as if they had just begun.
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

    /// Starts to monitor a peer. Its first heartbeat is due within [`DetectorConfig::suspect_after`].
    pub fn watch(&mut self, now: Instant, peer: NodeId) {
        self.contacts.entry(peer).or_insert_with(|| Contact::starting_at(now));
    }

    /// Handles a heartbeat from `peer`. `lists_local_node` states whether the heartbeat lists this node among the peers its
    /// sender receives heartbeats from.
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

    /// Handles the announcement of a peer that it shuts down: the peer is suspected until its next heartbeat.
    pub fn mark_leaving(&mut self, peer: NodeId) {
        if let Some(contact) = self.contacts.get_mut(&peer) {
            contact.is_leaving = true;
        }
    }

    /// Returns whether a monitored peer is unreachable or has announced its shutdown.
    pub fn is_suspect(&self, now: Instant, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.is_suspect(now, self.suspect_after))
    }

    /// Returns whether heartbeats from or to a monitored peer do not arrive. The announcement of a shutdown alone does not
    /// make a peer unreachable.
    pub fn is_unreachable(&self, now: Instant, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.is_unreachable(now, self.suspect_after))
    }

    /// Returns the earliest future time at which one of `peers` becomes unreachable if no heartbeat arrives.
    pub fn next_timeout(&self, now: Instant, peers: impl Iterator<Item = NodeId>) -> Option<Instant> {
        let contacts = peers.filter_map(|peer| self.contacts.get(&peer));
        let deadline = contacts
            .map(|contact| contact.last_heartbeat_at.min(contact.last_listed_at) + self.suspect_after);
        deadline.filter(|deadline| *deadline > now).min()
    }

    /// Returns whether a peer has announced its shutdown.
    pub fn is_leaving(&self, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.is_leaving)
    }

    /// Returns whether a peer is not suspected and contact with it has been uninterrupted for at least
    /// [`DetectorConfig::stable_after`].
    pub fn is_stable(&self, now: Instant, peer: NodeId) -> bool {
        let Some(contact) = self.contacts.get(&peer) else {
            return false;
        };
        let is_long_enough = now - contact.stable_since >= self.stable_after;
        is_long_enough && !contact.is_suspect(now, self.suspect_after)
    }

    /// Returns the peers whose heartbeats arrive, to be listed in this node's own heartbeats.
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
