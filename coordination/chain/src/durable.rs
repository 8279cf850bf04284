//! The durable state of a node: its records, its snapshots, and the state that results from replaying them. The order
//! of fields and variants is part of the on-disk format.

use millrudder_lease::{LeaseRecord, VoterState};
use millrudder_view::{Epoch, NodeId, View, ViewRecord, ViewState};
use speedy::{Readable, Writable};

use crate::replies::Replies;
use crate::{Entry, Log, Position, Sequence};

/// The replicated state up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Snapshot {
    /// Position of the last command contained.
    pub position: Position,
    /// Output of [`Machine::snapshot`](crate::Machine::snapshot); empty if no command was ever applied.
    pub machine: Vec<u8>,
    pub(crate) replies: Replies,
}

/// A change of a node's durable state, to be appended to its journal.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// The node has generated its identity.
    Identity {
        /// The identity.
        id: NodeId,
    },
    /// A step of the agreement on views.
    View(ViewRecord),
    /// Commands were appended to the log.
    Appended {
        /// The commands.
        entries: Vec<Entry>,
        /// The last command that is known to be committed.
        committed: Sequence,
        /// Whether the node holds every command committed in earlier views.
        complete: bool,
    },
    /// The replicated state was replaced by a snapshot.
    SnapshotInstalled {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the node holds every command committed in earlier views.
        complete: bool,
    },
    /// The uncommitted commands were dropped, since the chain may hold different ones at their positions.
    UncommittedDropped {
        /// The last command that is known to be committed.
        committed: Sequence,
    },
    /// The node no longer takes part in the chain of this epoch, so that no command missing from its log can be
    /// committed in it.
    Sealed {
        /// The epoch.
        epoch: Epoch,
    },
    /// A step of the voter for leases.
    Lease(LeaseRecord),
}

/// Durable state of a node: the last checkpoint with the later records applied to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct DurableState {
    /// Identity of the disk.
    pub id: NodeId,
    pub(crate) view: ViewState,
    pub(crate) lease: VoterState,
    pub(crate) snapshot: Snapshot,
    pub(crate) log: Log,
    pub(crate) committed: Sequence,
    pub(crate) complete: bool,
    /// The newest epoch that this node has sealed.
    pub(crate) sealed: Epoch,
}

impl DurableState {
    /// Applies one record. Records must be applied in the order in which they were issued.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Identity { id } => self.id = *id,
            Record::View(record) => self.view.apply(record),
            Record::Appended { entries, committed, complete } => self.append(entries, *committed, *complete),
            Record::SnapshotInstalled { snapshot, complete } => self.install(snapshot, *complete),
            Record::UncommittedDropped { committed } => self.drop_uncommitted(*committed),
            Record::Sealed { epoch } => self.sealed = *epoch,
            Record::Lease(record) => self.lease.apply(record),
        }
    }

    /// Commands after the last checkpoint.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The last command known to be committed.
    pub fn committed(&self) -> Sequence {
        self.committed
    }

    /// The newest decided view.
    pub fn view(&self) -> Option<&View> {
        self.view.view()
    }

    fn append(&mut self, entries: &[Entry], committed: Sequence, complete: bool) {
        for entry in entries {
            self.log.append(entry.clone());
        }
        self.committed = self.committed.max(committed);
        self.complete |= complete;
    }

    fn install(&mut self, snapshot: &Snapshot, complete: bool) {
        self.snapshot = snapshot.clone();
        self.log = Log::after(snapshot.position);
        self.committed = snapshot.position.sequence;
        self.complete |= complete;
    }

    fn drop_uncommitted(&mut self, committed: Sequence) {
        self.committed = self.committed.max(committed);
        self.log.truncate_after(self.committed);
        self.complete = false;
    }
}
