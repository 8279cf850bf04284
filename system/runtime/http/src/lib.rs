//! HTTP/1.1 server and client of the system's processes.
//!
//! - [`front`] is the server: it reads requests completely and within limits, passes each to a handler, and writes the
//!   response.
//! - [`client`] sends requests to workers, call-back receivers and the platform over pooled connections, and tells
//!   apart what is known of a request that failed: not sent, possibly executed, answered in part.
//!
//! **Guarantees.** A handler never sees a request that is truncated, over a limit, or that another HTTP implementation might
//! frame otherwise. The client never sends a request a second time where the first may have been executed, and never takes an
//! answer for that of another request.
//!
//! **The embedding program** must run both on a single-threaded tokio runtime inside a [`tokio::task::LocalSet`].
//!
//! ```
//! use std::rc::Rc;
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use arc_swap::ArcSwap;
//! use http::StatusCode;
//! use millrudder_system_http::client::{Client, ClientLimits, Target};
//! use millrudder_system_http::front::{handler, serve, RequestLimits, Response, ServerLimits, Stop, StopPlan};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
//! let local = tokio::task::LocalSet::new();
//! local.block_on(&runtime, async {
//!     let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//!     let address = listener.local_addr()?;
//!     let stop = Stop::new();
//!     let limits = Arc::new(ArcSwap::from_pointee(RequestLimits::default()));
//!     let accept = handler(|_request| async { Response::empty(StatusCode::ACCEPTED) });
//!     let server =
//!         tokio::task::spawn_local(serve(listener, ServerLimits::default(), limits, accept, stop.clone()));
//!
//!     let target = Target { address, max_connections: 2 };
//!     let client = Client::new(ClientLimits::default());
//!     let health = client.health(target, "/health".parse()?, Duration::from_secs(1)).await?;
//!     assert_eq!(health.status, StatusCode::ACCEPTED);
//!
//!     stop.begin(StopPlan { accept_for: Duration::ZERO, finish_within: Duration::from_secs(1) });
//!     assert_eq!(server.await?.abandoned, 0);
//!     Ok::<(), Box<dyn std::error::Error>>(())
//! })?;
//! # Ok(())
//! # }
//! ```

#![forbid(unsafe_code)]

pub mod client;
pub mod front;
pub mod headers;
mod socket;
mod watched;
