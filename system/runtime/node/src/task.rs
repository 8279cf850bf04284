//! Owner of a background task.

use std::future::Future;
use tokio::task::JoinHandle;

/// Ends a task together with its owner.
#[must_use = "the task ends when its guard is dropped"]
pub struct TaskGuard(JoinHandle<()>);

impl TaskGuard {
    /// Starts a task on the present thread's task set.
    pub fn spawn_local(task: impl Future<Output = ()> + 'static) -> Self {
        TaskGuard(tokio::task::spawn_local(task))
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
