//! A model of the log: what was appended, synced and released, and what must be recovered by that.

use super::{id, node, Log, NOW_MS};
use millrudder_protocol::message::{End, MessageState};
use millrudder_protocol::store::Record;
use millrudder_protocol::{Epoch, LeaseToken, MessageId, ShardId};
use millrudder_queue::{DiskRecord, Recovered, StoreNode};
use millrudder_record_log::RecordLogError;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The merged state of some records of one message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedState {
    pub has_state: bool,
    pub failed_attempts: u32,
    pub settled: LeaseToken,
    pub granted: LeaseToken,
    pub end: Option<End>,
    pub callback_done: bool,
}

impl MergedState {
    fn of<'a>(records: impl Iterator<Item = &'a Record> + Clone) -> Self {
        let mut known = MergedState::default();
        records.for_each(|record| known.add(record));
        known
    }

    fn of_state(state: &MessageState) -> Self {
        MergedState {
            has_state: true,
            failed_attempts: state.failed_attempts,
            settled: state.resolved_through,
            granted: state.grant.map(|grant| grant.token).unwrap_or_default(),
            end: state.end.clone(),
            callback_done: state.callback_done,
        }
    }

    fn add(&mut self, record: &Record) {
        match record {
            Record::State { state } => self.merge(MergedState::of_state(state)),
            Record::Granted { grant, .. } => self.granted = self.granted.max(grant.token),
            Record::Failed { token, failed_attempts, .. } => {
                self.settled = self.settled.max(*token);
                self.failed_attempts = self.failed_attempts.max(*failed_attempts);
            }
            Record::Ended { end, .. } => self.end = Some(end.clone()),
            Record::CallbackDone { .. } => self.callback_done = true,
            Record::Forgotten { .. } => {}
        }
    }

    fn merge(&mut self, other: MergedState) {
        self.has_state |= other.has_state;
        self.failed_attempts = self.failed_attempts.max(other.failed_attempts);
        self.settled = self.settled.max(other.settled);
        self.granted = self.granted.max(other.granted);
        self.end = self.end.take().or(other.end);
        self.callback_done |= other.callback_done;
    }

    /// Whether merging `other` would change nothing.
    fn includes(&self, other: &MergedState) -> bool {
        let mut merged = self.clone();
        merged.merge(other.clone());
        merged == *self
    }
}

#[derive(Clone, Debug, Default)]
struct MessageModel {
    /// Records since the message was first appended; changes of an unknown message have no effect.
    records: Vec<Record>,
    synced: usize,
    released: bool,
    /// A sync covered its end while it was known: it must never be recovered without one again.
    has_ended: bool,
}

/// A model of one log.
#[derive(Clone, Debug, Default)]
pub struct Model {
    messages: BTreeMap<MessageId, MessageModel>,
    promises: BTreeMap<ShardId, Vec<Epoch>>,
    synced_promises: BTreeMap<ShardId, Epoch>,
    /// All records that were ever appended.
    appended: Vec<DiskRecord>,
}

impl Model {
    /// Appends to the log; returns whether it accepted the record, which a full one does not.
    pub fn append(&mut self, log: &mut Log, record: DiskRecord) -> Result<bool, RecordLogError> {
        let appended = log.append(NOW_MS, &record);
        self.appended.push(record.clone());
        match appended {
            Err(error) if error.is_full() => {
                self.appended.pop();
                return Ok(false);
            }
            appended => appended?,
        }
        match record {
            DiskRecord::Promised { shard, term } => self.promises.entry(shard).or_default().push(term),
            DiskRecord::Message { record } => self.message_appended(record),
        }
        Ok(true)
    }

    fn message_appended(&mut self, record: Record) {
        let (id, is_state) = (record.id(), matches!(record, Record::State { .. }));
        let message = self.messages.entry(id).or_default();
        if message.released && is_state {
            // The log has discarded it with its end: it counts as another message.
            *message = MessageModel::default();
        }
        let is_known = !message.released && !message.records.is_empty();
        if is_state || is_known {
            message.records.push(record);
        }
    }

    pub fn sync(&mut self, log: &mut Log) -> Result<(), RecordLogError> {
        log.sync()?;
        for message in self.messages.values_mut() {
            message.synced = message.records.len();
            message.has_ended |= MergedState::of(message.records.iter()).end.is_some();
        }
        for (shard, promises) in &self.promises {
            let highest = promises.iter().copied().max().unwrap_or_default();
            let synced = self.synced_promises.entry(*shard).or_default();
            *synced = highest.max(*synced);
        }
        Ok(())
    }

    pub fn release(&mut self, log: &mut Log, id: MessageId) {
        log.release(id);
        if let Some(message) = self.messages.get_mut(&id) {
            message.released = true;
        }
    }

    pub fn release_all(&mut self, log: &mut Log) {
        let ids: Vec<MessageId> = self.messages.keys().copied().collect();
        for id in ids {
            self.release(log, id);
        }
    }

    /// Checks what a reopened log recovered, and continues from there.
    pub fn accept(&mut self, records: &[Recovered]) {
        for recovered in records {
            assert!(self.appended.contains(&recovered.record), "never appended: {recovered:?}");
            assert_eq!(recovered.age, Duration::ZERO);
        }
        let node = node(records);
        let found = by_message(records);
        let ids: BTreeSet<MessageId> = self.messages.keys().chain(found.keys()).copied().collect();
        for id in ids {
            let records = found.get(&id).cloned().unwrap_or_default();
            self.accept_message(&node, id, records);
        }
        self.accept_promises(&node);
    }

    fn accept_message(&mut self, node: &StoreNode, id: MessageId, records: Vec<Record>) {
        let known = MergedState::of(records.iter());
        let in_node = node.state_of(id).map(|state| MergedState::of_state(&state));
        assert_eq!(in_node.unwrap_or_default(), known, "the store merges {id} differently");
        let message = self.messages.entry(id).or_default();
        let synced = MergedState::of(message.records[..message.synced].iter());
        if !message.released {
            assert!(known.includes(&synced), "{id} lost synced state: {known:?} after {synced:?}");
        }
        let is_live = known.has_state && known.end.is_none();
        assert!(!(message.has_ended && is_live), "{id} was resurrected");
        message.released = !known.has_state;
        message.has_ended |= known.end.is_some();
        message.synced = records.len();
        message.records = records;
    }

    fn accept_promises(&mut self, node: &StoreNode) {
        let found: BTreeMap<ShardId, Epoch> = node.promised_terms().into_iter().filter_map(promise).collect();
        for (shard, synced) in &self.synced_promises {
            assert!(found.get(shard) >= Some(synced), "the promise of {shard:?} regressed");
        }
        self.synced_promises.clone_from(&found);
        self.promises = found.into_iter().map(|(shard, term)| (shard, vec![term])).collect();
    }

    /// Whether the message is in the log and not released.
    pub fn is_known(&self, unique: u64) -> bool {
        self.messages.get(&id(unique)).is_some_and(|message| !message.released && !message.records.is_empty())
    }
}

fn promise(record: DiskRecord) -> Option<(ShardId, Epoch)> {
    match record {
        DiskRecord::Promised { shard, term } => Some((shard, term)),
        DiskRecord::Message { .. } => None,
    }
}

fn by_message(records: &[Recovered]) -> BTreeMap<MessageId, Vec<Record>> {
    let mut found: BTreeMap<MessageId, Vec<Record>> = BTreeMap::new();
    for recovered in records {
        if let DiskRecord::Message { record } = &recovered.record {
            found.entry(record.id()).or_default().push(record.clone());
        }
    }
    found
}
