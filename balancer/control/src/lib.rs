//! A dispatcher's control socket: a Unix socket on which its own user asks how it is. One JSON object a line each way.
//!
//! It runs on threads of its own and is bounded in connections, bytes and time: whatever comes in on it, serving goes
//! on undisturbed.

mod client;
mod messages;
mod server;

pub use client::{ask, AskError};
pub use messages::{Answer, Question, Status, LINE_LIMIT};
pub use server::{Control, MAX_CONNECTIONS};
