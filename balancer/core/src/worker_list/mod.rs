//! The worker list: fetched from discovery and kept up to date by a watch.

mod watch;

pub use watch::{ListRequest, WorkerListWatcher};
