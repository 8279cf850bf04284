//! What `proto/millrudder/v1/jobs.proto` generates, for servers and clients.

#![allow(missing_docs, clippy::all)]

tonic::include_proto!("millrudder.v1");

/// The file's descriptors, for reflection.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/jobs.bin"));
