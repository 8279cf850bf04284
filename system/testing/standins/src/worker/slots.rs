//! The slots of a worker and the few places to wait for one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The slots of a worker and the places to wait for one.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    capacity: usize,
    queue: usize,
    permits: Arc<Semaphore>,
    load: Arc<Mutex<Load>>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

impl Slots {
    pub(crate) fn new(capacity: usize, queue: usize) -> Self {
        Self { capacity, queue, permits: Arc::new(Semaphore::new(capacity)), load: Arc::default() }
    }

    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(crate) fn load(&self) -> Load {
        *self.lock()
    }

    /// Takes a place, to wait or to run; `None` if the worker is full.
    pub(crate) fn enter(&self) -> Option<Place> {
        let mut load = self.lock();
        if load.running + load.waiting >= self.capacity + self.queue {
            return None;
        }
        load.waiting += 1;
        Some(Place { slots: self.clone(), running: None })
    }

    fn lock(&self) -> MutexGuard<'_, Load> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place at a worker, given back when it is dropped.
pub(crate) struct Place {
    slots: Slots,
    running: Option<OwnedSemaphorePermit>,
}

impl Place {
    /// Waits for a slot and takes it.
    pub(crate) async fn run(&mut self) {
        // The semaphore is never closed, so this always brings a permit.
        let permit = self.slots.permits.clone().acquire_owned().await.ok();
        let mut load = self.slots.lock();
        load.waiting -= 1;
        load.running += 1;
        drop(load);
        self.running = permit;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut load = self.slots.lock();
        match self.running {
            Some(_) => load.running -= 1,
            None => load.waiting -= 1,
        }
    }
}
