//! Tests of the gRPC front between a scripted core and clients, well-behaved and abusive. Every wait ends with an
//! event; the time limits only turn a hang into a failure.

mod front;
mod peers;
mod rig;
