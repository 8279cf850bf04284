//! The client: requests to workers, call-back receivers and the platform over pooled connections.
//!
//! One request at a time is on a connection; idle ones are used again, the most recent first, and closed before
//! their peer closes them. A request that fails says what is known of it ([`SendError`]): whether it cannot have
//! run, or may have. Nothing is repeated, but for one case that is safe: a kept connection that turns out closed
//! before hyper took the request for it.
//!
//! Dropping the future of a request closes its connection.

mod answer;
mod callback;
mod connection;
mod error;
mod exchange;
mod limits;
mod pool;
mod request;
mod requests;

pub use answer::{Answer, Fetched, HealthAnswer, LoadError, ServerLoad};
pub use callback::{CallbackUrl, UrlError};
pub use error::{ConnectFailure, FetchError, SendError};
pub use limits::ClientLimits;
pub use request::{Target, WorkerRequest};
pub use requests::Client;
