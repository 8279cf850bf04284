//! Which message is granted next, and to whom: ready messages by service, order keys, dispatchers' credits, rate limits.

mod credits;
mod keys;
mod rate_limit;
mod services;

pub(crate) use keys::Keys;
pub(crate) use services::{is_limiting, Permit, ReadyKey, ServiceIndex, Services};
