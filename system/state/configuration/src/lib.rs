//! The operator's configuration: routes, services and limits.
//!
//! The operator sends a complete configuration as JSON. [`Configuration::from_json`] parses and validates it;
//! [`check_successor`] compares versions; [`RouteTable`] looks up the route of a request. Processes store and send the body
//! as it arrived, so that its [`ConfigurationDigest`] identifies it and it can be returned unchanged; every reader parses
//! it again.
//!
//! ```
//! use millrudder_configuration::{Configuration, ConfigurationError, RouteTable};
//!
//! let body = br#"{
//!     "version": 3,
//!     "routes": [{"name": "orders", "hostname": "shop.example", "pathPrefix": "/orders/",
//!                 "backend": "ledger", "timeoutMs": 800}],
//!     "backends": [{"name": "ledger", "ratePerS": 20.0}]
//! }"#;
//! let configuration = Configuration::from_json(body)?;
//! let table = RouteTable::new(&configuration);
//! let route = table.find("Shop.example:8080", "/orders/17").expect("the route is there");
//! assert_eq!(&*route.name, "orders");
//! # Ok::<(), ConfigurationError>(())
//! ```
#![forbid(unsafe_code)]

mod check;
mod configuration;
mod digest;
mod error;
mod host;
mod limits;
pub mod messages;
mod names;
mod number;
mod object;
mod route;
mod service;
mod table;
mod version;

pub use configuration::Configuration;
pub use digest::ConfigurationDigest;
pub use error::{ConfigurationError, Item, PathKey};
pub use host::HostName;
pub use limits::RequestLimits;
pub use names::{RouteName, ServiceName};
pub use route::{Route, RouteKind};
pub use service::Service;
pub use table::RouteTable;
pub use version::{check_successor, ConfigurationVersion, VersionError};
