//! A model of the store: what was appended to it, and which of it may and must be recovered.

use millrudder_checkpoint_store::{CheckpointStore, CrashModel, Recovered, SimulatedFolder, StorageError};

/// One checkpoint and the records appended after it.
#[derive(Clone, Debug, Default)]
struct Era {
    checkpoint: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
}

/// A point in the history: an era, and a count of records in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    era: usize,
    records: usize,
}

/// Everything that was appended to a store since it was empty.
#[derive(Clone, Debug)]
pub struct History {
    eras: Vec<Era>,
    synced: Point,
    next: u64,
}

/// An operation on a store.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Append a record with this many bytes beside its number.
    Append(usize),
    Sync,
    /// Write a checkpoint with this many bytes beside its number.
    Checkpoint(usize),
}

impl Default for History {
    fn default() -> Self {
        Self { eras: vec![Era::default()], synced: Point::default(), next: 0 }
    }
}

impl CrashModel for History {
    type Store = CheckpointStore<SimulatedFolder>;
    type Step = Step;
    type Error = StorageError;

    fn open(&mut self, folder: &SimulatedFolder) -> Result<Self::Store, StorageError> {
        let (store, recovered) = CheckpointStore::open(folder.clone())?;
        self.accept(&recovered);
        Ok(store)
    }

    fn run(&mut self, store: &mut Self::Store, step: Step) -> Result<(), StorageError> {
        match step {
            Step::Append(length) => {
                let record = self.unique_bytes(length);
                self.eras.last_mut().expect("an era").records.push(record.clone());
                store.append(&record)
            }
            Step::Sync => {
                store.sync()?;
                self.synced = self.end();
                Ok(())
            }
            Step::Checkpoint(length) => {
                let state = self.unique_bytes(length);
                self.eras.push(Era { checkpoint: Some(state.clone()), records: Vec::new() });
                store.checkpoint(&state)?;
                self.synced = self.end();
                Ok(())
            }
        }
    }
}

impl History {
    /// Bytes that never occur twice.
    fn unique_bytes(&mut self, length: usize) -> Vec<u8> {
        self.next += 1;
        let mut bytes = self.next.to_le_bytes().to_vec();
        bytes.resize(bytes.len() + length, self.next as u8);
        bytes
    }

    fn end(&self) -> Point {
        let era = self.eras.len() - 1;
        Point { era, records: self.eras[era].records.len() }
    }

    /// Checks that `recovered` is a point of the history, not before the last one that was synced, and continues from
    /// there.
    fn accept(&mut self, recovered: &Recovered) {
        let found = self.find(recovered);
        let point = found.unwrap_or_else(|| panic!("recovered {recovered:?}, never written in {self:?}"));
        assert!(point >= self.synced, "recovered only {point:?} of {:?}", self.synced);
        self.eras.truncate(point.era + 1);
        self.eras[point.era].records.truncate(point.records);
        // What was recovered once must be recovered again.
        self.synced = point;
    }

    fn find(&self, recovered: &Recovered) -> Option<Point> {
        let era = self.eras.iter().rposition(|era| era.checkpoint == recovered.checkpoint)?;
        let records = recovered.records.len();
        let appended = self.eras[era].records.get(..records)?;
        (appended == recovered.records).then_some(Point { era, records })
    }
}
