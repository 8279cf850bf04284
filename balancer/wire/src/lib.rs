//! What the platform's protocol looks like on sockets, for every side that speaks it: HTTP/1.1 framing, JSON, load
//! reports, discovery's lists, and one conversation on a connection.

pub mod descriptor;
pub mod http;
pub mod json;
pub mod list;
pub mod report;
pub mod round_trip;
pub mod socket;

/// Stack of a coroutine, in words of 8 bytes. The deepest are JSON (bounded nesting) and formatting for the log;
/// pages that are never touched cost no memory.
pub const STACK_WORDS: usize = 16 * 1024;
