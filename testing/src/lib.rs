//! Helpers that the tests of several packages share.
//!
//! - [`cuts`] and [`garbage`]: random input from fixed seeds, for parsers.
//! - [`golden`]: encodings compared byte for byte with committed files.

pub mod golden;
mod random_input;

pub use random_input::{cuts, garbage};
