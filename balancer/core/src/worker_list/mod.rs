//! Discovery's list of workers: following its changes.

mod watch;

pub use watch::{ListRequest, WorkerListWatcher};
