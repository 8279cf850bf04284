//! The core of the dispatcher: the decision module and the jobs (`dispatch`), requests to workers
//! (`worker_transport`) and the worker list from discovery (`worker_list`). Fronts talk to it only through
//! the exchange.

pub mod dispatch;
pub mod worker_list;
pub mod worker_transport;
