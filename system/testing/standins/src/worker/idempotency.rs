//! The table of ids that the workers of an idempotent service share.

use crate::identity::RequestId;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The table of ids that the workers of an idempotent service share. Clones are the same table.
#[derive(Clone, Debug, Default)]
pub struct IdempotentTable {
    entries: Arc<Mutex<BTreeMap<RequestId, Entry>>>,
}

#[derive(Clone, Debug)]
enum Entry {
    Running,
    Succeeded(Success),
}

/// What a run that succeeded answers.
#[derive(Clone, Debug)]
pub(crate) struct Success {
    pub(crate) signature: String,
    pub(crate) body: Bytes,
}

/// What the table says to a delivery.
pub(crate) enum Claim {
    /// The delivery may run.
    Granted(ClaimGuard),
    /// The same request is running.
    Running,
    /// The request has succeeded before.
    Succeeded(Success),
}

impl IdempotentTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    pub(crate) fn claim(&self, request: &RequestId) -> Claim {
        let mut entries = self.lock();
        match entries.get(request) {
            Some(Entry::Running) => Claim::Running,
            Some(Entry::Succeeded(success)) => Claim::Succeeded(success.clone()),
            None => {
                entries.insert(request.clone(), Entry::Running);
                Claim::Granted(ClaimGuard { table: self.clone(), request: request.clone() })
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestId, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds an id while its request runs; a run that ends without success gives the id back.
pub(crate) struct ClaimGuard {
    table: IdempotentTable,
    request: RequestId,
}

impl ClaimGuard {
    pub(crate) fn succeed(&self, success: Success) {
        self.table.lock().insert(self.request.clone(), Entry::Succeeded(success));
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let mut entries = self.table.lock();
        if matches!(entries.get(&self.request), Some(Entry::Running)) {
            entries.remove(&self.request);
        }
    }
}
