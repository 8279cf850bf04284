//! Failure detection among core members by heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use crate::NodeId;

/// Times of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Pause between two heartbeats to the same peer.
    pub heartbeat: Duration,
    /// Silence after which a peer is suspected.
    pub suspect_after: Duration,
    /// Unbroken contact after which a peer counts as steady again.
    pub steady_after: Duration,
}

impl Default for DetectorConfig {
    fn default() -> DetectorConfig {
        DetectorConfig {
            heartbeat: Duration::from_millis(100),
            suspect_after: Duration::from_millis(600),
            steady_after: Duration::from_secs(1),
        }
    }
}

/// Why a [`DetectorConfig`] cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DetectorConfigError {
    /// Heartbeats cost processor time; a pause of zero would never rest.
    #[error("the pause between heartbeats is zero")]
    NoHeartbeatPause,
    /// A single lost heartbeat must not make a peer suspect.
    #[error("a peer would be suspected after {suspect_after:?}, less than two heartbeats of {heartbeat:?}")]
    SuspectsTooEarly { heartbeat: Duration, suspect_after: Duration },
}

impl DetectorConfig {
    /// Checks that the times fit together.
    pub fn check(&self) -> Result<(), DetectorConfigError> {
        let DetectorConfig { heartbeat, suspect_after, .. } = *self;
        if heartbeat.is_zero() {
            return Err(DetectorConfigError::NoHeartbeatPause);
        }
        if suspect_after < heartbeat * 2 {
            return Err(DetectorConfigError::SuspectsTooEarly { heartbeat, suspect_after });
        }
        Ok(())
    }
}

/// What is known of the contact with one peer, in microseconds of the own steady clock.
#[derive(Clone, Copy, Debug)]
struct Contact {
    last_heard: u64,
    last_heard_us: u64,
    steady_since: u64,
    /// The peer said that it is about to end.
    leaving: bool,
}

/// Tells which peers are silent, or do not hear this node.
///
/// A cut that lets messages pass in one direction only makes both ends suspect each other, since each heartbeat
/// names the peers that its sender hears.
#[derive(Clone, Debug)]
pub struct Detector {
    suspect_after: u64,
    steady_after: u64,
    contacts: BTreeMap<NodeId, Contact>,
    last_poll: u64,
}

impl Detector {
    /// A detector that starts at `now` (microseconds of the steady clock).
    pub fn new(config: &DetectorConfig, now: u64) -> Detector {
        Detector {
            suspect_after: config.suspect_after.as_micros() as u64,
            steady_after: config.steady_after.as_micros() as u64,
            contacts: BTreeMap::new(),
            last_poll: now,
        }
    }

    /// Notes the passing of time. After a gap in which this node itself did not run, all contacts start afresh.
    pub fn poll(&mut self, now: u64) {
        let gap = now.saturating_sub(self.last_poll);
        self.last_poll = now;
        if gap < self.suspect_after / 2 {
            return;
        }
        for contact in self.contacts.values_mut() {
            *contact = Contact::fresh(now);
        }
    }

    /// Starts to watch a peer, which has `suspect_after` to be heard for the first time.
    pub fn watch(&mut self, now: u64, peer: NodeId) {
        self.contacts.entry(peer).or_insert_with(|| Contact::fresh(now));
    }

    /// A heartbeat came from `peer`; `hears_us` tells whether it names this node among those it hears.
    pub fn heartbeat(&mut self, now: u64, peer: NodeId, hears_us: bool) {
        let suspect_after = self.suspect_after;
        let contact = self.contacts.entry(peer).or_insert_with(|| Contact::fresh(now));
        if contact.is_broken(now, suspect_after) {
            contact.steady_since = now;
        }
        contact.last_heard = now;
        contact.leaving = false;
        if hears_us {
            contact.last_heard_us = now;
        }
    }

    /// A peer said that it is about to end; it is suspected until its next heartbeat.
    pub fn leaving(&mut self, peer: NodeId) {
        if let Some(contact) = self.contacts.get_mut(&peer) {
            contact.leaving = true;
        }
    }

    /// Whether a watched peer is silent or does not hear this node.
    pub fn is_suspect(&self, now: u64, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.is_broken(now, self.suspect_after))
    }

    /// Whether a watched peer is silent or does not hear this node; one that is about to end is still there.
    pub fn is_lost(&self, now: u64, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.is_lost(now, self.suspect_after))
    }

    /// When the next of these peers becomes suspect unless it is heard.
    pub fn next_loss(&self, now: u64, peers: impl Iterator<Item = NodeId>) -> Option<u64> {
        let contacts = peers.filter_map(|peer| self.contacts.get(&peer));
        let due = contacts.map(|contact| contact.last_heard.min(contact.last_heard_us) + self.suspect_after);
        due.filter(|due| *due > now).min()
    }

    /// Whether a peer said that it is about to end.
    pub fn is_leaving(&self, peer: NodeId) -> bool {
        self.contacts.get(&peer).is_some_and(|contact| contact.leaving)
    }

    /// Whether contact with a peer has been unbroken for the configured time.
    pub fn is_steady(&self, now: u64, peer: NodeId) -> bool {
        let Some(contact) = self.contacts.get(&peer) else {
            return false;
        };
        let long_enough = now.saturating_sub(contact.steady_since) >= self.steady_after;
        long_enough && !contact.is_broken(now, self.suspect_after)
    }

    /// Peers heard of late, to be named in heartbeats.
    pub fn heard(&self, now: u64) -> Vec<NodeId> {
        let heard = self.contacts.iter().filter(|(_, contact)| !contact.is_silent(now, self.suspect_after));
        heard.map(|(id, _)| *id).collect()
    }
}

impl Contact {
    fn fresh(now: u64) -> Contact {
        Contact { last_heard: now, last_heard_us: now, steady_since: now, leaving: false }
    }

    fn is_silent(&self, now: u64, suspect_after: u64) -> bool {
        now.saturating_sub(self.last_heard) >= suspect_after
    }

    fn is_broken(&self, now: u64, suspect_after: u64) -> bool {
        self.leaving || self.is_lost(now, suspect_after)
    }

    fn is_lost(&self, now: u64, suspect_after: u64) -> bool {
        self.is_silent(now, suspect_after) || now.saturating_sub(self.last_heard_us) >= suspect_after
    }
}
