//! Framed connections between the system's processes, on a single-threaded runtime.
//!
//! [`connection::run`] drives one connection: it decodes the messages that arrive, writes those that were put into the
//! connection's [`Outbox`], sends keep-alives while there are none, and closes the connection when the peer is
//! unresponsive. [`dialer::Dialer`] keeps one connection to an address and opens it anew when it ends;
//! [`listener::accept`] accepts connections. All of them report [`LinkEvent`]s through a callback.
//!
//! **Guarantees.** On one connection messages arrive in the order in which they were sent, complete and checked by a checksum;
//! after the first that is damaged nothing more is read. A connection ends on both sides, within about two seconds when
//! the peer's machine vanishes. Nothing is retransmitted on the next connection: which messages a peer has received
//! before the end is not known.
//!
//! **The embedding program** must run inside a [`tokio::task::LocalSet`], and its callbacks must not block: whoever owns the
//! state puts the events into its queue. It must repeat what matters when a connection is opened.

pub mod connect_backoff;
pub mod connection;
pub mod dialer;
pub mod listener;
mod outbox;
mod socket;

pub use connection::{CloseReason, LinkEvent};
pub use outbox::{Outbox, SendError};
pub use socket::prepare;
