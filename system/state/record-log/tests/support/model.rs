//! What a log must hold, told by what was appended, synced and released.

use super::{id, node, Log, NOW_MS};
use millrudder_protocol::message::{End, MessageState};
use millrudder_protocol::store::Record;
use millrudder_protocol::{Epoch, LeaseToken, MessageId, ShardId};
use millrudder_queue::{DiskRecord, Recovered, StoreNode};
use millrudder_record_log::RecordLogError;
use std::collections::{BTreeMap, BTreeSet};

/// The join of some records of one message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    pub is_there: bool,
    pub failed_attempts: u32,
    pub settled: LeaseToken,
    pub granted: LeaseToken,
    pub end: Option<End>,
    pub callback_done: bool,
}

impl Known {
    fn of<'a>(records: impl Iterator<Item = &'a Record> + Clone) -> Self {
        let mut known = Known::default();
        records.for_each(|record| known.add(record));
        known
    }

    fn of_state(state: &MessageState) -> Self {
        Known {
            is_there: true,
            failed_attempts: state.failed_attempts,
            settled: state.settled,
            granted: state.grant.map(|grant| grant.token).unwrap_or_default(),
            end: state.end.clone(),
            callback_done: state.callback_done,
        }
    }

    fn add(&mut self, record: &Record) {
        match record {
            Record::State { state } => self.join(Known::of_state(state)),
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

    fn join(&mut self, other: Known) {
        self.is_there |= other.is_there;
        self.failed_attempts = self.failed_attempts.max(other.failed_attempts);
        self.settled = self.settled.max(other.settled);
        self.granted = self.granted.max(other.granted);
        self.end = self.end.take().or(other.end);
        self.callback_done |= other.callback_done;
    }

    /// Nothing of `other` is missing.
    fn includes(&self, other: &Known) -> bool {
        let mut joined = self.clone();
        joined.join(other.clone());
        joined == *self
    }
}

#[derive(Clone, Debug, Default)]
struct Subject {
    /// Since the message was first appended; changes of an unknown message say nothing.
    records: Vec<Record>,
    synced: usize,
    released: bool,
    /// A sync covered its end while it was known: it must never be seen without one again.
    has_ended: bool,
}

/// What a log must hold.
#[derive(Clone, Debug, Default)]
pub struct Model {
    subjects: BTreeMap<MessageId, Subject>,
    promises: BTreeMap<ShardId, Vec<Epoch>>,
    synced_promises: BTreeMap<ShardId, Epoch>,
    /// All that was ever appended.
    appended: Vec<DiskRecord>,
}

impl Model {
    /// Appends to the log; one that is full refuses.
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
            DiskRecord::Promised { shard, term: since } => {
                self.promises.entry(shard).or_default().push(since)
            }
            DiskRecord::Message { record } => self.note(record),
        }
        Ok(true)
    }

    fn note(&mut self, record: Record) {
        let (id, is_state) = (record.id(), matches!(record, Record::State { .. }));
        let subject = self.subjects.entry(id).or_default();
        if subject.released && is_state {
            // The store had forgotten it, end and all: it is as good as another message.
            *subject = Subject::default();
        }
        let is_known = !subject.released && !subject.records.is_empty();
        if is_state || is_known {
            subject.records.push(record);
        }
    }

    pub fn sync(&mut self, log: &mut Log) -> Result<(), RecordLogError> {
        log.sync()?;
        for subject in self.subjects.values_mut() {
            subject.synced = subject.records.len();
            subject.has_ended |= Known::of(subject.records.iter()).end.is_some();
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
        if let Some(subject) = self.subjects.get_mut(&id) {
            subject.released = true;
        }
    }

    pub fn release_all(&mut self, log: &mut Log) {
        let ids: Vec<MessageId> = self.subjects.keys().copied().collect();
        for id in ids {
            self.release(log, id);
        }
    }

    /// Checks what a log holds that was opened again, and goes on from there.
    pub fn accept(&mut self, records: &[Recovered]) {
        for recovered in records {
            assert!(self.appended.contains(&recovered.record), "never appended: {recovered:?}");
            assert_eq!(recovered.age_ms, 0);
        }
        let node = node(records);
        let found = by_message(records);
        let ids: BTreeSet<MessageId> = self.subjects.keys().chain(found.keys()).copied().collect();
        for id in ids {
            let records = found.get(&id).cloned().unwrap_or_default();
            self.accept_message(&node, id, records);
        }
        self.accept_promises(&node);
    }

    fn accept_message(&mut self, node: &StoreNode, id: MessageId, records: Vec<Record>) {
        let known = Known::of(records.iter());
        let in_node = node.state_of(id).map(|state| Known::of_state(&state));
        assert_eq!(in_node.unwrap_or_default(), known, "{id} is known otherwise by the store");
        let subject = self.subjects.entry(id).or_default();
        let synced = Known::of(subject.records[..subject.synced].iter());
        if !subject.released {
            assert!(known.includes(&synced), "{id} lost something: {known:?} after {synced:?}");
        }
        let is_live = known.is_there && known.end.is_none();
        assert!(!(subject.has_ended && is_live), "{id} came back to life");
        subject.released = !known.is_there;
        subject.has_ended |= known.end.is_some();
        subject.synced = records.len();
        subject.records = records;
    }

    fn accept_promises(&mut self, node: &StoreNode) {
        let found: BTreeMap<ShardId, Epoch> = node.promises().into_iter().filter_map(promise).collect();
        for (shard, synced) in &self.synced_promises {
            assert!(found.get(shard) >= Some(synced), "the promise of {shard:?} went down");
        }
        self.synced_promises.clone_from(&found);
        self.promises = found.into_iter().map(|(shard, since)| (shard, vec![since])).collect();
    }

    /// The message is in the log, and not released.
    pub fn is_known(&self, unique: u64) -> bool {
        self.subjects.get(&id(unique)).is_some_and(|subject| !subject.released && !subject.records.is_empty())
    }
}

fn promise(record: DiskRecord) -> Option<(ShardId, Epoch)> {
    match record {
        DiskRecord::Promised { shard, term: since } => Some((shard, since)),
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
