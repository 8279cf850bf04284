//! The server: reads complete requests within limits and answers each from a handler.
//!
//! A request reaches the handler only once its head and body have been received completely and within limits; one that is
//! truncated, malformed, too large or too slow is answered with 400, 408, 413 or 431, or closed, and was not handled. Requests
//! on one connection are handled in order. The handler of a request is not dropped because the client has ended
//! its own direction; it is dropped when the connection fails or the stop's deadline passes (the answer is 504 then),
//! so work that must not be interrupted belongs in a task of its own.

mod body;
mod connection;
mod framing;
mod limits;
mod message;
mod phase;
mod readiness;
mod registry;
mod server;
mod stop;

pub use limits::{RequestLimits, ServerLimits};
pub use message::{handler, Handler, Request, Response, ResponseFuture};
pub use readiness::readiness;
pub use server::{serve, Ended};
pub use stop::{Stop, StopPlan};
