//! Helpers that the tests of several packages share.
//!
//! - [`random_input`]: cuts and garbage from fixed seeds, for parsers.
//! - [`golden`]: encodings compared byte for byte with committed files.

pub mod golden;
mod random_input;

pub use random_input::{cuts, garbage};
