//! A store's records on disk: a segmented log that tracks which records are live, and compacts itself.
//!
//! Guaranteed: records for which [`RecordLog::sync`] returned are recovered until they are superseded or their message
//! is released, and a released message that has ended is never recovered without its end. Compaction may append the
//! records of one message again in any order; they are recovered with the states of messages first, and the other
//! records merge in any order.
//!
//! Capacity is allotted in three parts. States of messages use the ordinary capacity; changes of messages and promises
//! may use the reserve as well, except its last segment, which compaction needs. What does not fit is rejected with
//! [`RecordLogError::Full`], and the log remains usable: [`RecordLog::release`] and [`RecordLog::reclaim`] free
//! capacity. [`LogWriter`] defers what does not fit and writes it as soon as it does.
//!
//! The embedder calls from one thread, as calls block, and gives the time of day; after any error but
//! [`RecordLogError::Full`] it must stop using the log.

mod error;
mod live_records;
mod log;
mod record_effect;
mod tombstones;
mod writer;

pub use error::RecordLogError;
pub use log::{Opened, RecordLog};
pub use writer::LogWriter;
