//! A store's records on disk: segments, what of them is still needed, compaction.
//!
//! Records of one message may be written again, and so stand in any order. They are read back with the messages
//! themselves first, and then what became known of them, which joins in any order.
//!
//! Room is given out in three parts. Messages take the ordinary room; changes of messages and promises may take the
//! reserve as well, but for its last segment, which compaction needs. What does not fit is refused by
//! [`RecordLogError::Full`], and the log goes on: releases and [`RecordLog::give_back`] make room again.
//! [`LogWriter`] holds what does not fit and writes it as soon as it does.

#![forbid(unsafe_code)]

mod error;
mod fact;
mod log;
mod remains;
mod space;
mod writer;

pub use error::RecordLogError;
pub use log::{Opened, RecordLog};
pub use writer::LogWriter;
