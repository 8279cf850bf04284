//! What a store was told, and which of it may and must be recovered.

use millrudder_checkpoint_store::{CheckpointStore, Folder, Recovered, StorageError};

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

/// Everything that a store was told since it was empty.
#[derive(Clone, Debug)]
pub struct History {
    eras: Vec<Era>,
    synced: Point,
    next: u64,
}

/// Something to do with a store.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Append a record with this many bytes beside its number.
    Append(usize),
    Sync,
    /// Write a checkpoint with this many bytes beside its number.
    Checkpoint(usize),
}

impl History {
    pub fn new() -> Self {
        Self { eras: vec![Era::default()], synced: Point::default(), next: 0 }
    }

    /// Bytes that never come twice.
    fn fresh(&mut self, length: usize) -> Vec<u8> {
        self.next += 1;
        let mut bytes = self.next.to_le_bytes().to_vec();
        bytes.resize(bytes.len() + length, self.next as u8);
        bytes
    }

    fn end(&self) -> Point {
        let era = self.eras.len() - 1;
        Point { era, records: self.eras[era].records.len() }
    }

    /// Does one step with the store. The history holds it also when it fails: it may have been done.
    pub fn run<F: Folder>(&mut self, store: &mut CheckpointStore<F>, step: Step) -> Result<(), StorageError> {
        match step {
            Step::Append(length) => {
                let record = self.fresh(length);
                self.eras.last_mut().expect("an era").records.push(record.clone());
                store.append(&record)
            }
            Step::Sync => {
                store.sync()?;
                self.synced = self.end();
                Ok(())
            }
            Step::Checkpoint(length) => {
                let state = self.fresh(length);
                self.eras.push(Era { checkpoint: Some(state.clone()), records: Vec::new() });
                store.checkpoint(&state)?;
                self.synced = self.end();
                Ok(())
            }
        }
    }

    /// Checks that `recovered` is a point of the history, not before the last one that was synced, and goes on from
    /// there.
    pub fn accept(&mut self, recovered: &Recovered) {
        let found = self.find(recovered);
        let point = found.unwrap_or_else(|| panic!("recovered {recovered:?}, never told by {self:?}"));
        assert!(point >= self.synced, "recovered only {point:?} of {:?}", self.synced);
        self.eras.truncate(point.era + 1);
        self.eras[point.era].records.truncate(point.records);
        // What was recovered once must be recovered again.
        self.synced = point;
    }

    fn find(&self, recovered: &Recovered) -> Option<Point> {
        let era = self.eras.iter().rposition(|era| era.checkpoint == recovered.checkpoint)?;
        let records = recovered.records.len();
        let told = self.eras[era].records.get(..records)?;
        (told == recovered.records).then_some(Point { era, records })
    }
}
