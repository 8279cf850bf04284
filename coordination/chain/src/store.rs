//! The replicated state of one node: machine, retained replies and log.

use millrudder_view::NodeId;
use speedy::{Readable, Writable};

use crate::replies::Replies;
use crate::{Entry, Log, Machine, Position, RequestId, RestoreError, Sequence, Snapshot};

/// A committed command with its reply.
#[derive(Clone, Debug)]
pub(crate) struct Applied<M: Machine> {
    pub(crate) sequence: Sequence,
    pub(crate) request_id: RequestId,
    pub(crate) origin: NodeId,
    pub(crate) command: M::Command,
    pub(crate) reply: M::Reply,
    pub(crate) encoded_reply: Vec<u8>,
}

/// Machine, replies and log. The machine has applied exactly the committed commands.
#[derive(Clone, Debug)]
pub(crate) struct Store<M: Machine> {
    machine: M,
    replies: Replies,
    applied: Position,
    log: Log,
    /// Bytes of the committed commands in the log.
    committed_bytes: usize,
    retention: LogRetention,
    /// Commands after this one are retained for the receiver that is furthest behind; `None` if there is none.
    peer_needs_after: Option<Sequence>,
}

/// While a peer is catching up, this many times the usual amount of the log is retained in memory.
const PEER_RETENTION_FACTOR: usize = 8;

/// How much of the committed log is retained in memory, so that peers can catch up without a snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogRetention {
    pub(crate) entries: usize,
    pub(crate) bytes: usize,
}

impl LogRetention {
    fn allows(self, entries: u64, bytes: usize) -> bool {
        entries <= self.entries as u64 && bytes <= self.bytes
    }

    fn scaled(self, numerator: usize, denominator: usize) -> LogRetention {
        let scale = |number: usize| number.saturating_mul(numerator) / denominator;
        LogRetention { entries: scale(self.entries), bytes: scale(self.bytes) }
    }
}

impl<M: Machine> Store<M> {
    /// Rebuilds the state from a snapshot, the log after it, and the last command known to be committed.
    pub(crate) fn new(
        snapshot: &Snapshot,
        log: &Log,
        committed: Sequence,
        retention: LogRetention,
    ) -> Result<Store<M>, RestoreError> {
        let mut store = Store {
            machine: restore_machine(snapshot)?,
            replies: snapshot.replies.clone(),
            applied: snapshot.position,
            log: log.clone(),
            committed_bytes: 0,
            retention,
            peer_needs_after: None,
        };
        store.commit(committed);
        Ok(store)
    }

    pub(crate) fn machine(&self) -> &M {
        &self.machine
    }

    /// The last committed command.
    pub(crate) fn applied(&self) -> Position {
        self.applied
    }

    /// The log.
    pub(crate) fn log(&self) -> &Log {
        &self.log
    }

    /// Appends an entry to the log.
    pub(crate) fn append(&mut self, entry: Entry) {
        self.log.append(entry);
    }

    /// The encoded reply to a committed request, while it is retained.
    pub(crate) fn reply(&self, request_id: RequestId) -> Option<&[u8]> {
        self.replies.get(request_id)
    }

    /// Takes a snapshot of the committed state.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let untouched = self.applied == Position::default();
        let machine = if untouched { Vec::new() } else { self.machine.snapshot() };
        Snapshot { position: self.applied, machine, replies: self.replies.clone() }
    }

    /// The log after the committed state.
    pub(crate) fn uncommitted(&self) -> Log {
        let mut log = Log::after(self.applied);
        for entry in self.log.entries_after(self.applied.sequence) {
            log.append(entry.clone());
        }
        log
    }

    /// Bytes of the commands after the committed state.
    pub(crate) fn uncommitted_bytes(&self) -> usize {
        self.log.entries_after(self.applied.sequence).map(Entry::encoded_bytes).sum()
    }

    /// Replaces machine, replies and log with a snapshot.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) -> Result<(), RestoreError> {
        self.machine = restore_machine(snapshot)?;
        self.replies = snapshot.replies.clone();
        self.applied = snapshot.position;
        self.log = Log::after(snapshot.position);
        self.committed_bytes = 0;
        self.peer_needs_after = None;
        Ok(())
    }

    /// Drops the uncommitted entries.
    pub(crate) fn drop_uncommitted(&mut self) {
        self.log.truncate_after(self.applied.sequence);
    }

    /// Applies the commands up to `sequence`, or up to the end of the log.
    pub(crate) fn commit(&mut self, sequence: Sequence) -> Vec<Applied<M>> {
        let mut results = Vec::new();
        while self.applied.sequence < sequence {
            let Some(entry) = self.log.get(self.applied.sequence.next()).cloned() else {
                break;
            };
            self.applied = entry.position;
            self.committed_bytes += entry.command.len();
            results.extend(self.apply(entry));
        }
        self.trim();
        results
    }

    /// Applies one command, unless a reply to the same request is retained; that reply is then returned again.
    fn apply(&mut self, entry: Entry) -> Option<Applied<M>> {
        let command = M::Command::read_from_buffer(&entry.command).ok()?;
        let sequence = entry.position.sequence;
        let earlier = self.replies.get(entry.request_id).map(<[u8]>::to_vec);
        let reply = match &earlier {
            Some(encoded) => M::Reply::read_from_buffer(encoded).ok()?,
            None => self.machine.apply(sequence, &command),
        };
        let encoded_reply = earlier.unwrap_or_else(|| reply.write_to_vec().unwrap_or_default());
        self.replies.insert(entry.request_id, encoded_reply.clone());
        let Entry { request_id, origin, .. } = entry;
        Some(Applied { sequence, request_id, origin, command, reply, encoded_reply })
    }

    /// Retains the commands after `sequence` for a peer that is catching up, up to [`PEER_RETENTION_FACTOR`] times the
    /// retention limit.
    pub(crate) fn retain_after(&mut self, sequence: Option<Sequence>) {
        self.peer_needs_after = sequence;
    }

    /// Drops the oldest committed commands once the log exceeds its retention limit. Commands that a peer lacks are
    /// retained up to [`PEER_RETENTION_FACTOR`] times the limit; beyond that a snapshot is cheaper.
    ///
    /// Trims to three quarters of the limit, so that the amortized cost of a commit is constant.
    fn trim(&mut self) {
        let first = self.log.base().sequence.0;
        let mut remaining = self.applied.sequence.0.saturating_sub(first);
        if self.retention.allows(remaining, self.committed_bytes) {
            return;
        }
        let trim_target = self.retention.scaled(3, 4);
        if !self.retention.scaled(PEER_RETENTION_FACTOR, 1).allows(remaining, self.committed_bytes) {
            self.peer_needs_after = None;
        }
        let end =
            self.peer_needs_after.map_or(self.applied.sequence, |needed| needed.min(self.applied.sequence));
        let mut through = first;
        while through < end.0 && !trim_target.allows(remaining, self.committed_bytes) {
            let Some(entry) = self.log.get(Sequence(through + 1)) else {
                break;
            };
            self.committed_bytes = self.committed_bytes.saturating_sub(entry.command.len());
            through += 1;
            remaining = remaining.saturating_sub(1);
        }
        if through > first {
            self.log.trim_to(Sequence(through));
        }
    }
}

fn restore_machine<M: Machine>(snapshot: &Snapshot) -> Result<M, RestoreError> {
    if snapshot.position == Position::default() {
        return Ok(M::default());
    }
    M::restore(&snapshot.machine)
}
