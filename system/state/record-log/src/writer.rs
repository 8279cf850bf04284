//! Appends with tickets: records that do not fit are deferred, in the order of their message's records, until releases
//! free capacity.

use crate::error::RecordLogError;
use crate::log::RecordLog;
use crate::record_effect::{RecordEffect, RecordKey};
use millrudder_checkpoint_store::Folder;
use millrudder_protocol::MessageId;
use millrudder_queue::{DiskRecord, Ticket};
use std::collections::{BTreeSet, VecDeque};

/// A record, possibly deferred because it did not fit.
struct TicketedRecord {
    ticket: Ticket,
    written_ms: u64,
    record: DiskRecord,
}

/// Which kinds of records may fit: once one did not, others of its kind are deferred as well, until capacity is
/// reclaimed.
#[derive(Clone, Copy)]
struct FitHints {
    states: bool,
    changes: bool,
}

impl FitHints {
    const ALL: Self = Self { states: true, changes: true };

    fn of(&mut self, record: &DiskRecord) -> &mut bool {
        if RecordEffect::of(record).is_state() {
            &mut self.states
        } else {
            &mut self.changes
        }
    }
}

/// A record log that defers records which do not fit.
pub struct LogWriter<F: Folder> {
    log: RecordLog<F>,
    deferred: VecDeque<TicketedRecord>,
    /// Keys of the deferred records.
    deferred_keys: BTreeSet<RecordKey>,
    may_fit: FitHints,
    /// Ticket of the record appended last.
    last: Ticket,
    /// The ticket that [`LogWriter::sync`] returned last.
    reported: Ticket,
}

impl<F: Folder> LogWriter<F> {
    /// A writer on `log`; tickets are above the default one.
    #[must_use]
    pub fn new(log: RecordLog<F>) -> Self {
        Self {
            log,
            deferred: VecDeque::new(),
            deferred_keys: BTreeSet::new(),
            may_fit: FitHints::ALL,
            last: Ticket::default(),
            reported: Ticket::default(),
        }
    }

    /// Appends a record, written at the time of day `now_ms` (milliseconds since 1970). Tickets ascend.
    ///
    /// # Errors
    /// The disk fails. Never [`RecordLogError::Full`]: the record is deferred then.
    pub fn append(&mut self, now_ms: u64, ticket: Ticket, record: DiskRecord) -> Result<(), RecordLogError> {
        self.last = ticket;
        self.write_or_defer(TicketedRecord { ticket, written_ms: now_ms, record })
    }

    fn write_or_defer(&mut self, ticketed: TicketedRecord) -> Result<(), RecordLogError> {
        let record = &ticketed.record;
        // A change that was written before its message would have no effect.
        let follows_deferred = self.deferred_keys.contains(&RecordKey::of(record));
        if follows_deferred || !*self.may_fit.of(record) {
            self.defer(ticketed);
            return Ok(());
        }
        match self.log.append(ticketed.written_ms, record) {
            Err(error) if error.is_full() => {
                *self.may_fit.of(record) = false;
                self.defer(ticketed);
                Ok(())
            }
            appended => appended,
        }
    }

    fn defer(&mut self, ticketed: TicketedRecord) {
        self.deferred_keys.insert(RecordKey::of(&ticketed.record));
        self.deferred.push_back(ticketed);
    }

    /// Releases a message: its deferred records are dropped, and of the others only those of its end are retained.
    pub fn release(&mut self, id: MessageId) {
        let released = RecordKey::Message(id);
        if self.deferred_keys.remove(&released) {
            self.deferred.retain(|ticketed| RecordKey::of(&ticketed.record) != released);
        }
        self.log.release(id);
    }

    /// Waits until all written records are durable. Returns the highest ticket up to which all records are, if it has
    /// risen since the last call.
    ///
    /// # Errors
    /// The disk fails.
    pub fn sync(&mut self) -> Result<Option<Ticket>, RecordLogError> {
        self.log.sync()?;
        let reached = self.deferred.front().map_or(self.last, |ticketed| Ticket(ticketed.ticket.0 - 1));
        if reached <= self.reported {
            return Ok(None);
        }
        self.reported = reached;
        Ok(Some(reached))
    }

    /// Reclaims capacity, and writes the deferred records that fit then; the next [`LogWriter::sync`] covers them.
    ///
    /// # Errors
    /// The disk fails.
    pub fn reclaim(&mut self) -> Result<(), RecordLogError> {
        self.log.reclaim()?;
        if self.deferred.is_empty() {
            return Ok(());
        }
        self.write_deferred()?;
        // Clients of a nearly full store send no new messages, whose appends would lead to the next call.
        self.log.reclaim()
    }

    fn write_deferred(&mut self) -> Result<(), RecordLogError> {
        self.may_fit = FitHints::ALL;
        self.deferred_keys.clear();
        for ticketed in std::mem::take(&mut self.deferred) {
            self.write_or_defer(ticketed)?;
        }
        Ok(())
    }

    /// Number of records that are deferred until capacity is freed.
    #[must_use]
    pub fn deferred(&self) -> usize {
        self.deferred.len()
    }

    /// Whether the log is nearly full or records are deferred: no new messages should be accepted.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        !self.deferred.is_empty() || self.log.is_nearly_full()
    }

    /// The log.
    #[must_use]
    pub const fn log(&self) -> &RecordLog<F> {
        &self.log
    }
}
