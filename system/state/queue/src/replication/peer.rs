//! One other store: its writes in flight, its usual latency, and its queue of messages to catch up with.

use crate::config::Config;
use crate::primary_entry::SentVersion;
use crate::time::millis;
use crate::time::Instant;
use millrudder_protocol::{MessageId, RequestNumber, ShardId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Weight of the latest sample in the moving average of a store's write latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;
/// A write is overdue after this multiple of the store's average latency.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Assumed latency in milliseconds of a store that has not acknowledged anything yet.
const INITIAL_LATENCY_MS: f64 = 6.0;
/// Time without a sample after which the average is halved, so that a store that was slow is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);
/// Maximum number of halvings; the average is negligible by then.
const MAX_HALVINGS: i32 = 64;
/// Latency in milliseconds. A store whose latency is below twice this is not considered slow, see
/// [`Peer::slowness`].
const SIGNIFICANT_LATENCY_MS: f64 = 8.0;

/// A `Write` that has not been acknowledged yet.
#[derive(Clone, Debug)]
struct Outstanding {
    number: RequestNumber,
    sent_at: Instant,
    messages: Vec<SentVersion>,
    repair_bytes: usize,
}

/// One other store.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    is_connected: bool,
    next_number: u64,
    outstanding: VecDeque<Outstanding>,
    /// Number of outstanding writes that are overdue; they are the oldest ones.
    overdue: usize,
    latency_ms: f64,
    latency_at: Instant,
    /// Messages whose full state is to be sent to the store, as the repair window allows.
    catch_up: BTreeSet<MessageId>,
    /// Bytes of repair writes in flight.
    repair_bytes: usize,
    /// Shards of which the store is a learner. Once everything that it lacked was sent, the value is the number
    /// of the last write that it must acknowledge.
    learner_shards: BTreeMap<ShardId, Option<RequestNumber>>,
}

impl Peer {
    /// `first_number` is the number of the first write. It is random, so that no acknowledgement of a write of
    /// a former incarnation of this process matches one of this incarnation.
    pub fn new(now: Instant, first_number: u64) -> Self {
        Peer {
            is_connected: false,
            next_number: first_number,
            outstanding: VecDeque::new(),
            overdue: 0,
            latency_ms: INITIAL_LATENCY_MS,
            latency_at: now,
            catch_up: BTreeSet::new(),
            repair_bytes: 0,
            learner_shards: BTreeMap::new(),
        }
    }

    /// Records that a connection to the store is open.
    pub fn connect(&mut self) {
        self.is_connected = true;
    }

    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Messages whose full state is to be sent to the store, in ascending order.
    pub fn catch_up(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.catch_up.iter().copied()
    }

    /// Queues messages whose full state is to be sent to the store.
    pub fn add_catch_up(&mut self, ids: impl IntoIterator<Item = MessageId>) {
        self.catch_up.extend(ids);
    }

    /// Removes a message from the queue, because the store was sent its full state or does not need it.
    pub fn remove_catch_up(&mut self, id: MessageId) {
        self.catch_up.remove(&id);
    }

    pub fn is_catching_up_with(&self, id: MessageId) -> bool {
        self.catch_up.contains(&id)
    }

    /// Removes and returns the first message whose full state is to be sent.
    pub fn next_catch_up(&mut self) -> Option<MessageId> {
        self.catch_up.pop_first()
    }

    /// Whether the store is connected and has queued messages or is the learner of a shard.
    pub fn has_catch_up(&self) -> bool {
        self.is_connected && !(self.catch_up.is_empty() && self.learner_shards.is_empty())
    }

    /// Bytes of repair writes that may be sent to the store now.
    pub fn repair_window(&self, config: &Config) -> usize {
        config.repair_window_bytes.saturating_sub(self.repair_bytes)
    }

    /// Records that the store is a learner of the shard; the caller queues the messages that it lacks.
    pub fn begin_catch_up_of(&mut self, shard: ShardId) {
        self.learner_shards.insert(shard, None);
    }

    /// Registers a `Write` that is being sent, and returns its number.
    pub fn register_write(
        &mut self,
        now: Instant,
        messages: Vec<SentVersion>,
        repair_bytes: usize,
    ) -> RequestNumber {
        let number = RequestNumber(self.next_number);
        self.next_number += 1;
        self.repair_bytes += repair_bytes;
        self.outstanding.push_back(Outstanding { number, sent_at: now, messages, repair_bytes });
        number
    }

    /// Handles the acknowledgement of all writes up to `number`, and returns the versions in them. A number
    /// that is not outstanding is ignored.
    pub fn handle_written(&mut self, number: RequestNumber, now: Instant) -> Vec<SentVersion> {
        let mut messages = Vec::new();
        if self.outstanding.binary_search_by_key(&number, |sent| sent.number).is_err() {
            return messages;
        }
        while self.outstanding.front().is_some_and(|oldest| oldest.number <= number) {
            let Some(oldest) = self.outstanding.pop_front() else { break };
            self.overdue = self.overdue.saturating_sub(1);
            self.repair_bytes = self.repair_bytes.saturating_sub(oldest.repair_bytes);
            self.update_latency(now.saturating_duration_since(oldest.sent_at), now);
            messages.extend(oldest.messages);
        }
        messages
    }

    fn update_latency(&mut self, latest: Duration, now: Instant) {
        let latest_ms = millis(latest) as f64;
        self.latency_ms =
            self.decayed_latency(now) * (1.0 - LATENCY_SAMPLE_WEIGHT) + latest_ms * LATENCY_SAMPLE_WEIGHT;
        self.latency_at = now;
    }

    /// The moving average of the latency in milliseconds, decayed by the time since the latest sample.
    fn decayed_latency(&self, now: Instant) -> f64 {
        let halvings = millis(now.saturating_duration_since(self.latency_at)) / millis(LATENCY_HALF_LIFE);
        let halved =
            self.latency_ms * 0.5_f64.powi(i32::try_from(halvings).unwrap_or(MAX_HALVINGS).min(MAX_HALVINGS));
        halved.max(INITIAL_LATENCY_MS.min(self.latency_ms))
    }

    fn timeout(&self, config: &Config) -> Duration {
        let timeout = Duration::from_millis((self.latency_ms * TIMEOUT_FACTOR) as u64);
        timeout.clamp(config.min_write_timeout, config.max_write_timeout)
    }

    /// Time at which the oldest write that is not overdue becomes overdue.
    pub fn deadline(&self, config: &Config) -> Option<Instant> {
        let next = self.outstanding.get(self.overdue)?;
        Some(next.sent_at + self.timeout(config))
    }

    /// Versions whose writes have become overdue since the last call.
    pub fn take_overdue(&mut self, now: Instant, config: &Config) -> Vec<SentVersion> {
        let mut messages = Vec::new();
        while self.deadline(config).is_some_and(|deadline| deadline <= now) {
            messages.extend(self.outstanding[self.overdue].messages.iter().copied());
            self.overdue += 1;
        }
        messages
    }

    pub fn is_overdue(&self) -> bool {
        self.overdue > 0
    }

    /// How slow the store is: the binary logarithm of its latency in units of [`SIGNIFICANT_LATENCY_MS`],
    /// rounded down, so that small differences do not count.
    pub fn slowness(&self, now: Instant) -> u32 {
        let doublings = (self.decayed_latency(now) / SIGNIFICANT_LATENCY_MS).max(1.0).log2();
        doublings as u32
    }

    /// Handles the end of the connection. Returns the versions in flight, which may not have arrived.
    pub fn disconnect(&mut self) -> Vec<SentVersion> {
        self.is_connected = false;
        self.overdue = 0;
        self.repair_bytes = 0;
        self.catch_up.clear();
        self.learner_shards.clear();
        self.outstanding.drain(..).flat_map(|outstanding| outstanding.messages).collect()
    }

    /// Removes and returns the shards that the store has caught up with as a learner: all that it lacked is on
    /// its disk.
    pub fn take_caught_up(&mut self) -> Vec<ShardId> {
        let last = RequestNumber(self.next_number.saturating_sub(1));
        for (shard, sent) in &mut self.learner_shards {
            let first = MessageId { shard: *shard, unique: 0 };
            let end = MessageId { shard: *shard, unique: u64::MAX };
            let is_sent = self.catch_up.range(first..=end).next().is_none();
            if sent.is_none() && is_sent {
                *sent = Some(last);
            }
        }
        let oldest = self.outstanding.front().map(|oldest| oldest.number);
        let is_written =
            |sent: &Option<RequestNumber>| sent.is_some_and(|sent| oldest.is_none_or(|oldest| oldest > sent));
        let caught_up: Vec<ShardId> = self
            .learner_shards
            .iter()
            .filter(|(_, sent)| is_written(sent))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in &caught_up {
            self.learner_shards.remove(shard);
        }
        caught_up
    }

    /// Cancels the repair of a shard of which this store is no longer the primary.
    pub fn drop_shard(&mut self, shard: ShardId) {
        self.learner_shards.remove(&shard);
        self.catch_up.retain(|id| id.shard != shard);
    }
}
