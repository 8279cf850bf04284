//! A dispatcher's control socket: a Unix socket on which its own user can ask for its status. Questions and answers are
//! JSON objects, one per line.
//!
//! The server runs on threads of its own and limits connections, bytes and time, so that nothing sent to the socket can
//! disturb the dispatcher's service.

mod client;
mod messages;
mod server;

pub use client::{ask, AskError};
pub use messages::{Answer, Question, Status, LINE_LIMIT};
pub use server::{Control, MAX_CONNECTIONS};
