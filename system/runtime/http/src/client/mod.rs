//! The client: requests to workers, call-back receivers and the platform over pooled connections.
//!
//! One request at a time is on a connection; idle ones are used again, the most recent first, and closed before
//! their peer closes them. The error of a request says what is known of it ([`SendError`]): whether it cannot have
//! been executed, or may have. Nothing is retried, but for one case that is safe: a pooled connection that turns out closed
//! before hyper has taken the request for it.
//!
//! Dropping the future of a request closes its connection.

mod answer;
mod connection;
mod error;
mod exchange;
mod limits;
mod pool;
mod request;
mod requests;

pub use answer::{Answer, Fetched, HealthAnswer, LoadError, ServerLoad};
pub use error::{ConnectFailure, FetchError, SendError};
pub use limits::ClientLimits;
pub use millrudder_protocol::callback_url::{CallbackUrl, UrlError};
pub use request::{Target, WorkerRequest};
pub use requests::Client;
