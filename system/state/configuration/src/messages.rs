//! The configuration as it is written: generated from `proto/configuration.proto`, deserialized from JSON.
//!
//! Deserialization requires every field that is not `optional`, each of its type; nothing else is validated here.

include!("generated/millrudder.configuration.v1.rs");
