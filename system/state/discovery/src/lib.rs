//! Worker discovery: the pages of the platform's list of workers, and a state machine that reads the complete list at a
//! limited rate.
//!
//! [`ListReader`] does no I/O. Its embedder passes inputs with readings of one steady clock, makes the calls that the reader
//! asks for, and gets a [`ListSnapshot`] after each read; [`difference`] compares two lists.
//!
//! ```
//! use millrudder_discovery::{CallResult, ListReader, PollSchedule, Page, ReaderInput, ReaderOutput};
//! use millrudder_clock::Instant;
//! use std::time::Duration;
//!
//! let schedule = PollSchedule {
//!     calls_per_second: 40.0,
//!     maximum_lag: Duration::from_millis(800),
//!     drain: Duration::from_secs(3),
//!     economy: 1.0,
//! };
//! let start = Instant::ORIGIN;
//! let mut reader = ListReader::new(schedule, 7, start);
//! let Some(ReaderOutput::Fetch(call)) = reader.handle(start, ReaderInput::Tick) else { panic!("it is due") };
//! assert_eq!(call.target(), "/instances");
//!
//! let page = Page::from_json(br#"{"instances": [], "nextToken": null}"#)?;
//! let output = reader.handle(start, ReaderInput::CallEnded(CallResult { call: call.id, result: Ok(page) }));
//! let Some(ReaderOutput::Complete(snapshot)) = output else { panic!("it was the last page") };
//! assert!(snapshot.list.is_empty());
//! assert_eq!(reader.next_deadline(), start + Duration::from_secs(1));
//! # Ok::<(), millrudder_discovery::PageError>(())
//! ```
#![forbid(unsafe_code)]

mod address;
mod backoff;
mod call;
mod difference;
mod instance;
mod list;
mod page;
mod poll_schedule;
mod reader;

pub use address::WorkerAddress;
pub use call::{Call, CallFailure, CallId, CallResult};
pub use difference::{difference, WorkerChange};
pub use instance::{Instance, InstanceId, InstanceState, SoftwareVersion};
pub use list::WorkerList;
pub use page::{Page, PageError, PageToken};
pub use poll_schedule::PollSchedule;
pub use reader::{AbandonReason, ListReader, ListSnapshot, ReaderInput, ReaderOutput};
