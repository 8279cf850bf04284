//! Stand-ins for what surrounds the dispatcher, by the PROTOCOL page: workers with a queue, cold starts and
//! fall-overs, a discovery with list and watch, clients of every front. Loopback only, everything from a seed.

pub mod books;
pub mod discovery;
pub mod fleet;
pub mod load;
pub mod model;
pub mod settings;

pub use fleet::{Fleet, Plan};
