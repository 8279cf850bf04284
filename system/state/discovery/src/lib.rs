//! The platform's list of workers: its pages, and a state machine that reads it whole at a bearable rate.
//!
//! [`ListReader`] does no input or output. Its owner passes events and the time, carries out the calls that it
//! asks for, and gets a [`WorkerList`] after each round; [`difference`] tells what changed between two of them.
//!
//! ```
//! use millrudder_discovery::{CallFailure, ListReader, Pace, Page, ReaderInput, ReaderOutput};
//! use std::time::Duration;
//!
//! let pace = Pace {
//!     calls_per_second: 40.0,
//!     maximum_lag: Duration::from_millis(800),
//!     drain: Duration::from_secs(3),
//!     economy: 1.0,
//! };
//! let start = Duration::ZERO;
//! let mut reader = ListReader::new(pace, 7, start);
//! let Some(ReaderOutput::Fetch(call)) = reader.handle(start, ReaderInput::Tick) else { panic!("it is due") };
//! assert_eq!(call.target(), "/instances");
//!
//! let page = Page::from_json(br#"{"instances": [], "nextToken": null}"#)?;
//! let output = reader.handle(start, ReaderInput::Answered { call: call.id, page });
//! let Some(ReaderOutput::Complete(round)) = output else { panic!("it was the last page") };
//! assert!(round.list.is_empty());
//! assert_eq!(reader.next_deadline(), Duration::from_secs(1));
//! # Ok::<(), millrudder_discovery::PageError>(())
//! ```
#![forbid(unsafe_code)]

mod address;
mod backoff;
mod call;
mod difference;
mod instance;
mod list;
mod pace;
mod page;
mod reader;

pub use address::WorkerAddress;
pub use call::{Call, CallFailure, CallId};
pub use difference::{difference, WorkerChange};
pub use instance::{Instance, InstanceId, InstanceState, SoftwareVersion};
pub use list::WorkerList;
pub use pace::Pace;
pub use page::{Page, PageError, PageToken};
pub use reader::{AbandonReason, ListReader, ReaderInput, ReaderOutput, Round};
