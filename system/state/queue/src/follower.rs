//! As replica of a shard that another store is primary of: writes what that sends, promises the shard to a new
//! primary and tells that what is known.

use crate::api::{DiskRecord, Output, Ticket};
use crate::disk::Synced;
use crate::entry::message_bytes;
use crate::node::StoreNode;
use crate::timers::Timer;
use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::store::{BetweenStores, Record};
use millrudder_protocol::{Epoch, MessageId, RequestNumber, ShardId, StoreId};

/// States of a shard on their way to its new primary.
#[derive(Clone, Debug)]
pub(crate) struct Dump {
    since: Epoch,
    next: MessageId,
}

impl StoreNode {
    fn promised_epoch(&self, shard: ShardId) -> Epoch {
        self.promises.get(&shard).copied().unwrap_or_default()
    }

    /// Notes a promise and appends it.
    pub(crate) fn note_promise(&mut self, shard: ShardId, since: Epoch, then: Synced) {
        self.promises.insert(shard, since);
        self.disk.append(DiskRecord::Promised { shard, term: since }, then, self.now, &mut self.out);
    }

    /// A primary's write.
    pub(crate) fn write(
        &mut self,
        from: StoreId,
        number: RequestNumber,
        shard: ShardId,
        since: Epoch,
        records: Vec<Record>,
    ) {
        if self.disk.failed {
            return;
        }
        let promised = self.promised_epoch(shard);
        if since < promised {
            self.tell_store(from, BetweenStores::Fenced { number, shard, term: promised });
            return;
        }
        if since > promised {
            self.yield_to(shard, since);
            self.note_promise(shard, since, Synced::Nothing);
        }
        let last = records.len().saturating_sub(1);
        for (at, record) in records.into_iter().enumerate() {
            let then = if at == last { Synced::Write { store: from, number } } else { Synced::Nothing };
            self.learn_now(record.clone());
            self.disk.append(DiskRecord::Message { record }, then, self.now, &mut self.out);
        }
    }

    fn learn_now(&mut self, record: Record) {
        let id = record.id();
        self.learn(record, 0);
        self.set_expiry(id);
    }

    /// Adds a record to what is known; a change of a message that is not known says nothing.
    pub(crate) fn learn(&mut self, record: Record, age_ms: u64) {
        let (now, id) = (self.now, record.id());
        let is_whole = matches!(record, Record::State { .. });
        if is_whole || self.table.get(id).is_some() {
            self.table.change(id, now, |entry| entry.apply(record, now, age_ms));
        }
    }

    /// Stops to be the shard's primary in an epoch below `since`.
    fn yield_to(&mut self, shard: ShardId, since: Epoch) {
        if self.reigns.get(&shard).is_some_and(|reign| reign.since < since) {
            self.step_down(shard);
        }
    }

    /// A store refused a write, as the shard is promised to a later primary.
    pub(crate) fn fenced(&mut self, shard: ShardId, since: Epoch) {
        self.yield_to(shard, since);
    }

    /// A new primary wants the shard.
    pub(crate) fn promise(&mut self, from: StoreId, shard: ShardId, since: Epoch) {
        if self.disk.failed {
            return;
        }
        let promised = self.promised_epoch(shard);
        if since < promised {
            self.tell_store(from, BetweenStores::Fenced { number: RequestNumber(0), shard, term: promised });
            return;
        }
        self.yield_to(shard, since);
        self.note_promise(shard, since, Synced::Promise { store: from, shard, since });
    }

    /// Everything up to `ticket` is on the local disk.
    pub(crate) fn local_synced(&mut self, ticket: Ticket) {
        let mut written: Vec<(StoreId, RequestNumber)> = Vec::new();
        for synced in self.disk.synced(ticket) {
            match synced {
                Synced::Nothing => {}
                Synced::Own(sent) => self.own_synced(sent),
                Synced::Write { store, number } => note_written(&mut written, store, number),
                Synced::OwnPromise { shard, since } => self.own_promise_synced(shard, since),
                Synced::Promise { store, shard, since } => self.start_dump(store, shard, since),
            }
        }
        for (store, number) in written {
            self.tell_store(store, BetweenStores::Written { number });
        }
    }

    fn start_dump(&mut self, store: StoreId, shard: ShardId, since: Epoch) {
        if self.promised_epoch(shard) == since {
            let next = MessageId { shard, unique: 0 };
            self.dumps.insert((store, shard), Dump { since, next });
            self.send_piece(store, shard);
        }
    }

    /// Sends the next piece of a shard's states.
    pub(crate) fn send_piece(&mut self, store: StoreId, shard: ShardId) {
        let Some(dump) = self.dumps.remove(&(store, shard)) else { return };
        let since = dump.since;
        if self.promised_epoch(shard) != since {
            return;
        }
        let (mut states, mut bytes, mut next) = (Vec::<MessageState>::new(), 0, None);
        for entry in self.table.of_shard_from(dump.next) {
            if bytes >= self.config.piece_bytes {
                next = Some(entry.id);
                break;
            }
            let state = entry.state(self.now);
            bytes += entry.message.as_deref().map_or(0, message_bytes) + size_of::<MessageState>();
            states.push(state);
        }
        self.tell_store(store, BetweenStores::Promise { shard, term: since, states, last: next.is_none() });
        if let Some(next) = next {
            self.dumps.insert((store, shard), Dump { since, next });
            self.timers.set(self.now.plus(self.config.piece_interval_ms), Timer::Piece(store, shard));
        }
    }

    /// The shard's primary says that this learner lacks nothing.
    pub(crate) fn filled(&mut self, shard: ShardId, since: Epoch, change: Epoch) {
        if since >= self.promised_epoch(shard) && !self.disk.failed {
            self.out.push(Output::CaughtUp { filled: CaughtUpShard { shard, change } });
        }
    }
}

/// Answers of one sync to one store become one, with the highest number.
fn note_written(written: &mut Vec<(StoreId, RequestNumber)>, store: StoreId, number: RequestNumber) {
    match written.iter_mut().find(|(known, _)| *known == store) {
        Some((_, highest)) => *highest = number.max(*highest),
        None => written.push((store, number)),
    }
}
