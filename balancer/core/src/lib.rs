//! The core: the decision module with the jobs (`dispatch`), the way to next hops (`next_hop`) and discovery
//! (`transport_map`). Fronts reach it through the exchange alone.

pub mod dispatch;
pub mod next_hop;
pub mod transport_map;
