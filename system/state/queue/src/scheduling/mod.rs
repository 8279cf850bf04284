//! Scheduling: which message is granted next, and to which dispatcher. Ready queues by service, order keys, the
//! credits of dispatchers, and rate limits.

mod credits;
mod keys;
mod rate_limit;
mod services;

pub(crate) use keys::OrderKeys;
pub(crate) use services::{is_limiting, Permit, ReadyKey, ServiceIndex, Services};
