//! Writes with tickets: what does not fit waits, in the order of its message's records, until releases make room.

use crate::error::RecordLogError;
use crate::fact::{Fact, Subject};
use crate::log::RecordLog;
use millrudder_checkpoint_store::Folder;
use millrudder_protocol::MessageId;
use millrudder_queue::{DiskRecord, Ticket};
use std::collections::{BTreeSet, VecDeque};

/// A record that did not fit yet.
struct Waiting {
    ticket: Ticket,
    written_ms: u64,
    record: DiskRecord,
}

/// Which records are worth trying: once one did not fit, those like it wait as well, until room was given back.
#[derive(Clone, Copy)]
struct Fitting {
    messages: bool,
    changes: bool,
}

impl Fitting {
    const ALL: Self = Self { messages: true, changes: true };

    fn of(&mut self, record: &DiskRecord) -> &mut bool {
        match Fact::of(record).is_state() {
            true => &mut self.messages,
            false => &mut self.changes,
        }
    }
}

/// A log that holds what does not fit.
pub struct LogWriter<F: Folder> {
    log: RecordLog<F>,
    waiting: VecDeque<Waiting>,
    /// Subjects of the records that wait.
    waiting_subjects: BTreeSet<Subject>,
    fitting: Fitting,
    last: Ticket,
    told: Ticket,
}

impl<F: Folder> LogWriter<F> {
    /// Writes to `log`, with tickets that are above the default one.
    #[must_use]
    pub fn new(log: RecordLog<F>) -> Self {
        let (last, told) = (Ticket::default(), Ticket::default());
        Self {
            log,
            waiting: VecDeque::new(),
            waiting_subjects: BTreeSet::new(),
            fitting: Fitting::ALL,
            last,
            told,
        }
    }

    /// Takes a record, written at `now_ms` by the time of day. Tickets rise.
    ///
    /// # Errors
    /// The disk fails. Never [`RecordLogError::Full`]: the record waits then.
    pub fn append(&mut self, now_ms: u64, ticket: Ticket, record: DiskRecord) -> Result<(), RecordLogError> {
        self.last = ticket;
        self.write(Waiting { ticket, written_ms: now_ms, record })
    }

    /// Writes a record or holds it.
    fn write(&mut self, waiting: Waiting) -> Result<(), RecordLogError> {
        let record = &waiting.record;
        // A change that came before its message would say nothing.
        let follows = self.waiting_subjects.contains(&Subject::of(record));
        if follows || !*self.fitting.of(record) {
            self.hold(waiting);
            return Ok(());
        }
        match self.log.append(waiting.written_ms, record) {
            Err(error) if error.is_full() => {
                *self.fitting.of(record) = false;
                self.hold(waiting);
                Ok(())
            }
            appended => appended,
        }
    }

    fn hold(&mut self, waiting: Waiting) {
        self.waiting_subjects.insert(Subject::of(&waiting.record));
        self.waiting.push_back(waiting);
    }

    /// Nothing about this message is needed any more but that it has ended; what of it waits is not written.
    pub fn release(&mut self, id: MessageId) {
        let released = Subject::Message(id);
        if self.waiting_subjects.remove(&released) {
            self.waiting.retain(|waiting| Subject::of(&waiting.record) != released);
        }
        self.log.release(id);
    }

    /// Waits until all records written are on the disk. Returns the highest ticket up to which all is, if it has risen
    /// since the last call.
    ///
    /// # Errors
    /// The disk fails.
    pub fn sync(&mut self) -> Result<Option<Ticket>, RecordLogError> {
        self.log.sync()?;
        let reached = self.waiting.front().map_or(self.last, |waiting| Ticket(waiting.ticket.0 - 1));
        if reached <= self.told {
            return Ok(None);
        }
        self.told = reached;
        Ok(Some(reached))
    }

    /// Gives space back, and writes what waited and fits now; it is told by the next [`LogWriter::sync`].
    ///
    /// # Errors
    /// The disk fails.
    pub fn give_back(&mut self) -> Result<(), RecordLogError> {
        self.log.give_back()?;
        if self.waiting.is_empty() {
            return Ok(());
        }
        self.write_waiting()?;
        // Who is told that room is short sends nothing that would lead to the next call.
        self.log.give_back()
    }

    fn write_waiting(&mut self) -> Result<(), RecordLogError> {
        self.fitting = Fitting::ALL;
        self.waiting_subjects.clear();
        for waiting in std::mem::take(&mut self.waiting) {
            self.write(waiting)?;
        }
        Ok(())
    }

    /// Records that wait for room.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Room is short: no new messages should be taken.
    #[must_use]
    pub fn is_short(&self) -> bool {
        !self.waiting.is_empty() || self.log.is_short()
    }

    /// The log.
    #[must_use]
    pub const fn log(&self) -> &RecordLog<F> {
        &self.log
    }
}
