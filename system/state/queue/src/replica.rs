//! As replica of a shard that another store is primary of: writes what that sends, promised_terms the shard to a new
//! primary and tells that what is known.

use crate::api::{DiskRecord, Output, Ticket};
use crate::disk::SyncAction;
use crate::entry::message_bytes;
use crate::node::StoreNode;
use crate::timers::Timer;
use millrudder_protocol::control::FilledShard;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{Epoch, MessageId, RequestNumber, ShardId, StoreId};
use std::time::Duration;

/// States of a shard on their way to its new primary.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    term: Epoch,
    next: MessageId,
}

impl StoreNode {
    fn promised_term(&self, shard: ShardId) -> Epoch {
        self.promised_terms.get(&shard).copied().unwrap_or_default()
    }

    /// Notes a promise and appends it.
    pub(crate) fn append_promise(&mut self, shard: ShardId, term: Epoch, on_synced: SyncAction) {
        self.promised_terms.insert(shard, term);
        self.disk.append(DiskRecord::Promised { shard, term }, on_synced, self.now, &mut self.outputs);
    }

    /// A primary's write.
    pub(crate) fn handle_write(
        &mut self,
        from: StoreId,
        number: RequestNumber,
        shard: ShardId,
        term: Epoch,
        records: Vec<Record>,
    ) {
        if self.disk.failed {
            return;
        }
        let promised = self.promised_term(shard);
        if term < promised {
            self.send_to_store(from, BetweenStores::Fenced { number, shard, term: promised });
            return;
        }
        if term > promised {
            self.yield_to(shard, term);
            self.append_promise(shard, term, SyncAction::Nothing);
        }
        let last = records.len().saturating_sub(1);
        for (at, record) in records.into_iter().enumerate() {
            let on_synced =
                if at == last { SyncAction::Write { store: from, number } } else { SyncAction::Nothing };
            self.apply_replicated_record(record.clone());
            self.disk.append(DiskRecord::Message { record }, on_synced, self.now, &mut self.outputs);
        }
    }

    fn apply_replicated_record(&mut self, record: Record) {
        let id = record.id();
        self.apply_received_record(record, Duration::ZERO);
        self.set_expiry(id);
    }

    /// Adds a record to what is known; a change of a message that is not known says nothing.
    pub(crate) fn apply_received_record(&mut self, record: Record, age: Duration) {
        let (now, id) = (self.now, record.id());
        let is_full_state = matches!(record, Record::State { .. });
        if is_full_state || self.table.get(id).is_some() {
            self.table.change(id, now, |entry| entry.apply(record, now, age));
        }
    }

    /// Stops to be the shard's primary in an epoch below `since`.
    fn yield_to(&mut self, shard: ShardId, term: Epoch) {
        if self.primary_terms.get(&shard).is_some_and(|primary_term| primary_term.number < term) {
            self.step_down(shard);
        }
    }

    /// A store refused a write, as the shard is promised to a later primary.
    pub(crate) fn handle_fenced(&mut self, shard: ShardId, term: Epoch) {
        self.yield_to(shard, term);
    }

    /// A new primary wants the shard.
    pub(crate) fn handle_prepare(&mut self, from: StoreId, shard: ShardId, term: Epoch) {
        if self.disk.failed {
            return;
        }
        let promised = self.promised_term(shard);
        if term < promised {
            self.send_to_store(
                from,
                BetweenStores::Fenced { number: RequestNumber(0), shard, term: promised },
            );
            return;
        }
        self.yield_to(shard, term);
        self.append_promise(shard, term, SyncAction::Promise { store: from, shard, term });
    }

    /// Everything up to `ticket` is on the local disk.
    pub(crate) fn handle_local_synced(&mut self, ticket: Ticket) {
        let mut written: Vec<(StoreId, RequestNumber)> = Vec::new();
        for synced in self.disk.synced(ticket) {
            match synced {
                SyncAction::Nothing => {}
                SyncAction::Own(sent) => self.handle_own_synced(sent),
                SyncAction::Write { store, number } => merge_ack(&mut written, store, number),
                SyncAction::OwnPromise { shard, term } => self.handle_own_promise_synced(shard, term),
                SyncAction::Promise { store, shard, term } => {
                    self.start_snapshot_transfer(store, shard, term)
                }
            }
        }
        for (store, number) in written {
            self.send_to_store(store, BetweenStores::Written { number });
        }
    }

    fn start_snapshot_transfer(&mut self, store: StoreId, shard: ShardId, term: Epoch) {
        if self.promised_term(shard) == term {
            let next = MessageId { shard, unique: 0 };
            self.snapshot_transfers.insert((store, shard), SnapshotTransfer { term, next });
            self.send_snapshot_chunk(store, shard);
        }
    }

    /// Sends the next piece of a shard's states.
    pub(crate) fn send_snapshot_chunk(&mut self, store: StoreId, shard: ShardId) {
        let Some(transfer) = self.snapshot_transfers.remove(&(store, shard)) else { return };
        let term = transfer.term;
        if self.promised_term(shard) != term {
            return;
        }
        let (mut states, mut bytes, mut next) = (Vec::<MessageState>::new(), 0, None);
        for entry in self.table.of_shard_from(transfer.next) {
            if bytes >= self.config.snapshot_chunk_bytes {
                next = Some(entry.id);
                break;
            }
            let state = entry.state(self.now);
            bytes += entry.message.as_deref().map_or(0, message_bytes) + size_of::<MessageState>();
            states.push(state);
        }
        self.send_to_store(store, BetweenStores::Promise { shard, term, states, last: next.is_none() });
        if let Some(next) = next {
            self.snapshot_transfers.insert((store, shard), SnapshotTransfer { term, next });
            self.timers
                .set(self.now + self.config.snapshot_chunk_interval, Timer::SnapshotChunk(store, shard));
        }
    }

    /// The shard's primary says that this learner lacks nothing.
    pub(crate) fn handle_filled(&mut self, shard: ShardId, term: Epoch, change: Epoch) {
        if term >= self.promised_term(shard) && !self.disk.failed {
            self.outputs.push(Output::CaughtUp { filled: FilledShard { shard, change } });
        }
    }
}

/// Answers of one sync to one store become one, with the highest number.
fn merge_ack(written: &mut Vec<(StoreId, RequestNumber)>, store: StoreId, number: RequestNumber) {
    match written.iter_mut().find(|(known, _)| *known == store) {
        Some((_, highest)) => *highest = number.max(*highest),
        None => written.push((store, number)),
    }
}
