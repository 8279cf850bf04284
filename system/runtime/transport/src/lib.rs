//! Framed connections between the system's processes, on a single-threaded runtime.
//!
//! [`connection::run`] carries one connection: it decodes what arrives, writes what was put into the connection's
//! [`Outbox`], sends keep-alives while there is nothing to say, and ends the connection when the peer is silent.
//! [`dialer::Dialer`] keeps one connection to an address and opens it anew when it ends; [`listener::accept`] takes
//! connections in. All of them report through a callback; whoever owns the state puts these events into its queue.

pub mod connection;
pub mod dialer;
pub mod listener;
mod outbox;
mod socket;
pub mod tries;

pub use connection::{CloseReason, LinkEvent};
pub use outbox::{Outbox, SendError};
pub use socket::prepare;
