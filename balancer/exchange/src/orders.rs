//! What operators order of the core, and what becomes of it: taken on, refused, or given up by who asked. An order that
//! was given up is never carried out later: its caller has been told that it failed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Nothing new to this next hop until `Enable`, whatever lists say.
    Disable(String),
    Enable(String),
}

/// What became of it: refused with the reason.
pub type Carried = Result<(), &'static str>;

#[derive(Default)]
enum State {
    #[default]
    Asked,
    GivenUp,
    Carried(Carried),
}

type Shared = Arc<Mutex<State>>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The core's end of an order.
pub struct Asked {
    order: Order,
    state: Shared,
}

impl Asked {
    /// Carries it out, unless its caller has given it up.
    pub fn carry_out(self, act: impl FnOnce(&Order) -> Carried) {
        let mut state = lock(&self.state);
        if matches!(*state, State::Asked) {
            *state = State::Carried(act(&self.order));
        }
    }
}

/// The caller's end.
pub struct Awaited(Shared);

impl Awaited {
    pub fn new(order: Order) -> (Asked, Self) {
        let state = Shared::default();
        (Asked { order, state: state.clone() }, Awaited(state))
    }

    /// None as long as it is neither carried out nor refused.
    pub fn look(&self) -> Option<Carried> {
        match *lock(&self.0) {
            State::Carried(carried) => Some(carried),
            _ => None,
        }
    }

    /// Waits no longer: what has not been carried out by now never is.
    pub fn give_up(self) -> Option<Carried> {
        let mut state = lock(&self.0);
        match *state {
            State::Carried(carried) => Some(carried),
            _ => {
                *state = State::GivenUp;
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
