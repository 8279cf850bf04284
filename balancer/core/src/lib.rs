//! The core: the decision module with the jobs (`dispatch`), the way to workers (`worker_transport`) and discovery
//! (`worker_list`). Fronts reach it through the exchange alone.

pub mod dispatch;
pub mod worker_list;
pub mod worker_transport;
