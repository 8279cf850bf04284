//! The complete list.

use crate::difference::WorkerChange;
use crate::instance::{Instance, InstanceId, InstanceState};
use speedy::{Context, Readable, Reader, Writable, Writer};
use std::collections::BTreeMap;

/// All workers at one time, by id. It is encoded as the sequence of its workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerList {
    workers: BTreeMap<InstanceId, Instance>,
}

impl WorkerList {
    /// Number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// The worker with that id.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.workers.get(id)
    }

    /// All workers, in the order of their ids.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Instance> {
        self.workers.values()
    }

    /// Adds a worker, or replaces the one with the same id.
    pub fn insert(&mut self, instance: Instance) {
        self.workers.insert(instance.id.clone(), instance);
    }

    /// Applies a change as [`difference`](crate::difference) returns it. A change of an unknown worker has no effect.
    pub fn apply(&mut self, change: &WorkerChange) {
        match change {
            WorkerChange::Gone(id) => {
                self.workers.remove(id);
            }
            WorkerChange::Draining(id) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.state = InstanceState::Draining;
                }
            }
            WorkerChange::Changed(instance) | WorkerChange::Added(instance) => self.insert(instance.clone()),
        }
    }
}

impl FromIterator<Instance> for WorkerList {
    fn from_iter<I: IntoIterator<Item = Instance>>(instances: I) -> Self {
        let mut list = Self::default();
        list.extend(instances);
        list
    }
}

impl Extend<Instance> for WorkerList {
    fn extend<I: IntoIterator<Item = Instance>>(&mut self, instances: I) {
        instances.into_iter().for_each(|instance| self.insert(instance));
    }
}

impl<'a, C: Context> Readable<'a, C> for WorkerList {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let instances = Vec::<Instance>::read_from(reader)?;
        Ok(Self::from_iter(instances))
    }

    fn minimum_bytes_needed() -> usize {
        <Vec<Instance> as Readable<'a, C>>::minimum_bytes_needed()
    }
}

impl<C: Context> Writable<C> for WorkerList {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        let count = self.workers.len() as u32;
        count.write_to(writer)?;
        self.iter().try_for_each(|instance| instance.write_to(writer))
    }
}
