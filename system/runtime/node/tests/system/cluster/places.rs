//! How many systems run at a time: with more, their processes would keep each other waiting, and be taken for dead.

use std::sync::{Arc, LazyLock};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Of nine processes each.
const MOST_CLUSTERS: usize = 4;

static FREE: LazyLock<Arc<Semaphore>> = LazyLock::new(|| Arc::new(Semaphore::new(MOST_CLUSTERS)));

/// The right to run a system, until it is dropped.
pub struct Place {
    _permit: OwnedSemaphorePermit,
}

impl Place {
    /// Waits until there is one.
    pub async fn take() -> Self {
        let permit = FREE.clone().acquire_owned().await;
        Place { _permit: permit.expect("places are never closed") }
    }
}
