//! Limits how many systems run at one time: with more, their processes would delay each other and be taken for lost.

use std::sync::{Arc, LazyLock};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Systems of nine processes each.
const MAX_CLUSTERS: usize = 4;

static FREE: LazyLock<Arc<Semaphore>> = LazyLock::new(|| Arc::new(Semaphore::new(MAX_CLUSTERS)));

/// The permit to run a system, until it is dropped.
pub struct ClusterPermit {
    _permit: OwnedSemaphorePermit,
}

impl ClusterPermit {
    /// Waits until one is free.
    pub async fn acquire() -> Self {
        let permit = FREE.clone().acquire_owned().await;
        ClusterPermit { _permit: permit.expect("the semaphore is never closed") }
    }
}
