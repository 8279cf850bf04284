//! The gRPC front between a scripted core and clients, usual ones and bad ones. Every wait ends with an event; time
//! limits only turn a hang into a failure.

mod front;
mod peers;
mod rig;
