//! The configuration as it is written: generated from `proto/configuration.proto`, read from JSON.
//!
//! Nothing is checked here but that the JSON has every field that is not `optional`, each of its kind.

include!("generated/millrudder.configuration.v1.rs");
