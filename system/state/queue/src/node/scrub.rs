//! Scrubbing: compares the replicas in the background. A primary sends digests of the copies that it expects
//! the replicas to have, a few messages at a time, and writes again the messages that a replica lacks or has in
//! a different state.

use super::StoreNode;
use crate::entry::Entry;
use crate::timers::Timer;
use millrudder_protocol::message::End;
use millrudder_protocol::store::{BetweenStores, ScrubEntry};
use millrudder_protocol::{Epoch, MessageId, ShardId, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Messages that expire within this time are not compared, because a replica whose clock is ahead may have
/// removed them already.
const SOON_FORGOTTEN: Duration = Duration::from_secs(30);
/// Multiplier that mixes a number into a digest: an odd constant with an irregular bit pattern.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash of the state of a message, without its times and its content.
fn digest(entry: &Entry) -> u64 {
    let (kind, signature) = match &entry.end {
        None => (0, ""),
        Some(End::Completed { signature }) => (1, signature.as_str()),
        Some(End::DeadLetter) => (2, ""),
        Some(End::Withdrawn) => (3, ""),
    };
    let grant = entry.grant.map_or(0, |grant| grant.token.0);
    let numbers = [
        entry.sequence.0,
        u64::from(entry.failed_attempts),
        entry.resolved_through.0,
        grant,
        kind,
        xxh3_64(signature.as_bytes()),
        u64::from(entry.callback_done),
    ];
    numbers
        .iter()
        .fold(entry.id.unique, |sum, number| (sum ^ number).wrapping_mul(HASH_MULTIPLIER).rotate_left(31))
}

impl StoreNode {
    pub(super) fn set_scrub_timer(&mut self) {
        if !self.context.config.scrub_interval.is_zero() {
            self.context.timers.set(self.context.now + self.context.config.scrub_interval, Timer::Scrub);
        }
    }

    /// Compares the next messages of every served shard with the replicas' copies.
    pub(super) fn scrub(&mut self) {
        self.set_scrub_timer();
        for shard in self.primary_terms.serving_shards() {
            self.scrub_shard(shard);
        }
    }

    fn scrub_shard(&mut self, shard: ShardId) {
        let Some(primary_term) = self.primary_terms.get(shard) else { return };
        let (term, first) = (primary_term.number(), MessageId { shard, unique: primary_term.scrub_from() });
        let mut by_store: BTreeMap<StoreId, Vec<ScrubEntry>> = BTreeMap::new();
        let mut next = 0;
        for (count, entry) in self.table.of_shard_from(first).enumerate() {
            if count >= self.context.config.scrub_messages {
                next = entry.id.unique;
                break;
            }
            for store in self.fully_acked_replicas(entry) {
                let scrubbed = ScrubEntry { unique: entry.id.unique, digest: digest(entry) };
                by_store.entry(store).or_default().push(scrubbed);
            }
        }
        if let Some(primary_term) = self.primary_terms.get_mut(shard) {
            primary_term.set_scrub_from(next);
        }
        for (store, entries) in by_store {
            self.context.send_to_store(store, BetweenStores::Scrub { shard, term, entries });
        }
    }

    /// The other replicas that have acknowledged the latest version of a message.
    fn fully_acked_replicas(&self, entry: &Entry) -> Vec<StoreId> {
        let is_retained = entry.expiry.is_some_and(|expiry| expiry > self.context.now + SOON_FORGOTTEN);
        let Some(primary) = entry.primary.as_ref().filter(|_| is_retained) else { return Vec::new() };
        let Some(primary_term) = self.primary_terms.get(entry.id.shard) else { return Vec::new() };
        primary
            .up_to_date_stores()
            .filter(|store| {
                *store != self.context.local_id
                    && primary_term.is_replica(*store)
                    && self.replication.is_connected(*store)
            })
            .collect()
    }

    /// Compares the digests sent by a primary with the local copies.
    pub(super) fn handle_scrub(
        &mut self,
        from: StoreId,
        shard: ShardId,
        term: Epoch,
        entries: &[ScrubEntry],
    ) {
        if self.replication.is_disk_failed() || self.promises.term_of(shard) > term {
            return;
        }
        let differs = |entry: &&ScrubEntry| {
            let known = self.table.get(MessageId { shard, unique: entry.unique });
            known.map(digest) != Some(entry.digest)
        };
        let differing = entries.iter().filter(differs).map(|entry| MessageId { shard, unique: entry.unique });
        let differing: Vec<MessageId> = differing.collect();
        if !differing.is_empty() {
            self.context.send_to_store(from, BetweenStores::Scrubbed { shard, term, differing });
        }
    }

    /// Handles a replica's report on messages that it lacks or has in a different state: they are replicated to
    /// it from scratch.
    pub(super) fn handle_scrubbed(
        &mut self,
        from: StoreId,
        shard: ShardId,
        term: Epoch,
        differing: &[MessageId],
    ) {
        let is_own = self
            .primary_terms
            .get(shard)
            .is_some_and(|primary_term| primary_term.is_serving() && primary_term.number() == term);
        for id in differing.iter().filter(|id| is_own && id.shard == shard) {
            let Some(primary) = self.table.primary_mut(*id) else {
                continue;
            };
            primary.reset_progress(from);
            // A new version is needed, so that the acknowledgement of a change in flight to that replica does
            // not count for the full state.
            self.mark_full_state_changed(*id);
        }
    }
}
