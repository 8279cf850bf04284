//! The bottom of the workspace: where fronts and the core meet (`meeting`), the rules that every front keeps
//! (`intake`), the door that they share (`gate`), and the clock, the counters and the planned stop.

mod drain;
mod front;
mod gate;
mod meeting;
mod neighbour;
mod orders;
mod progress;

pub mod clock;
pub mod counters;
pub mod intake;
pub mod rate;
pub mod shutdown;

pub use drain::Drain;
pub use front::{Advice, Core};
pub use gate::{Gate, Permit};
pub use meeting::*;
pub use neighbour::{Ask, Neighbour, Parcel, Standing};
pub use orders::{Asked, Awaited, Carried, Order};
pub use progress::Progress;
