//! Decides, for a dispatcher that pushes jobs to workers, which worker gets each job.
//!
//! A job goes to the ready worker with the highest Whittle index (Ayesta, Gupta, Verloop, "Load balancing
//! with heterogeneous schedulers", equation 15). The index of a worker is a function of its estimated speed,
//! this dispatcher's arrival rate, and the number of jobs at the worker: this dispatcher's own, and an
//! estimate of those of other dispatchers. The library does no I/O and reads no clock: feed it events, and
//! carry out its actions.
//!
//! ```
//! use millrudder::{Action, Balancer, Class, Entry, Event, ListKind, Mode, Request, Settings};
//!
//! let class = Class { latency_target: 200.0, deadline: 5000.0, value: 1.0, ..Class::default() };
//! let settings = Settings { replicas: 1, classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! let entry = Entry { worker: 4, zone: None, kind: None, cell: 0, mode: Mode::Ready, weight: 1.0, ready_at: None };
//! balancer.handle(0.0, Event::List { kind: ListKind::Replace, entries: vec![entry] }, &mut actions);
//! let request = Request { id: 1, class: Some(0), slots: 1.0, deadline: 5000.0, ..Request::default() };
//! balancer.handle(1.0, Event::Request(request), &mut actions);
//!
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, worker: 4, .. })));
//! ```

mod interface;
mod rules;
mod state;

pub use interface::*;
pub use rules::index::whittle_index;
pub use rules::learned_state::{
    LearnedAttempt, LearnedKind, LearnedState, LearnedStateError, LearnedWorker, Mean, LEARNED_STATE_VERSION,
};
pub use rules::Balancer;
