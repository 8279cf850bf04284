//! The platform's protocol on sockets, for clients and servers alike: HTTP/1.1 framing, JSON, load reports,
//! discovery's worker lists, and one request with its response on a connection.

pub mod descriptor;
pub mod http;
pub mod json;
pub mod list;
pub mod report;
pub mod round_trip;
pub mod socket;

/// Stack size of a coroutine, in words of 8 bytes. JSON parsing (with bounded nesting) and formatting for the
/// log need most of it; pages that are never touched use no memory.
pub const STACK_WORDS: usize = 16 * 1024;
