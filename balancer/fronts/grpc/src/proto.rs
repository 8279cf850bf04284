//! The code generated from `proto/millrudder/v1/jobs.proto`, for servers and clients.

#![allow(missing_docs, clippy::all)]

tonic::include_proto!("millrudder.v1");

/// The encoded descriptors of the proto file, for the reflection service.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/jobs.bin"));
