//! Delivery in the dispatcher: handles the leases of messages and call-backs that stores grant to it.
//!
//! A state machine without I/O: the caller passes in inputs with the time of its steady clock, and carries out the
//! outputs in their order. For each granted message the decision module ([`millrudder::Balancer`], one instance for
//! each service) chooses the worker with the highest index. If no worker has room in time, the message is given back to
//! its store's queue. Nothing is sent twice under one lease. The end of every lease is reported to the store until the
//! store confirms that it has recorded it.
//!
//! ```
//! use millrudder_delivery::{Configuration, Delivery, Input, Output, ResolvedRoute, Resolve, Service};
//! use millrudder_protocol::message::Message;
//! use millrudder_protocol::{Address, LeaseToken, MessageId, ShardId, StoreId};
//! use std::sync::Arc;
//!
//! struct OneRoute;
//! impl Resolve for OneRoute {
//!     fn resolve(&self, _host: &str, path: &str) -> Option<ResolvedRoute> {
//!         path.starts_with("/").then(|| ResolvedRoute { service: "pay".into(), timeout_ms: 2000 })
//!     }
//! }
//!
//! let mut delivery = Delivery::new(Configuration { zone: "a".into(), ..Configuration::default() });
//! let mut out = Vec::new();
//! let service = Service {
//!     name: "pay".into(),
//!     health_path: "/health".into(),
//!     max_connections: 40,
//!     rate_per_s: 0.0,
//!     static_endpoint: Some(Address("10.0.0.1:8080".parse().unwrap())),
//!     idempotent: false,
//! };
//! delivery.handle(0, Input::Services(vec![service]), &mut out);
//! delivery.handle(0, Input::Routes(Arc::new(OneRoute)), &mut out);
//! let message = Message {
//!     request_id: "9c41".into(),
//!     method: "POST".into(),
//!     path: "/a".into(),
//!     host: "pay.example".into(),
//!     headers: Vec::new(),
//!     body: Vec::new(),
//!     order_key: None,
//!     callback_url: None,
//!     service: "pay".into(),
//!     priority: 0,
//!     delay_ms: 0,
//!     target_start_ms: 800,
//!     max_attempts: 3,
//!     retention_ms: 90_000,
//! };
//! let id = MessageId { shard: ShardId(0), unique: 1 };
//! let deliver = Input::Deliver {
//!     store: StoreId(1),
//!     id,
//!     token: LeaseToken(1),
//!     age_ms: 0,
//!     failed_attempts: 0,
//!     message: Arc::new(message),
//! };
//! delivery.handle(5, deliver, &mut out);
//! assert!(matches!(out.last(), Some(Output::Send { timeout_ms: 2000, .. })));
//! ```

mod attempts;
mod barriers;
mod callbacks;
mod credit_announcements;
mod credit_limit;
mod delivery;
mod fleet;
mod health;
mod interface;
mod outcome;
mod receiver;
mod reports;
mod service;
mod window;

pub use barriers::BarrierNumber;
pub use delivery::Delivery;
pub use interface::*;
