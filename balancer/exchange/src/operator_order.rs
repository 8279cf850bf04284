//! What operators order of the core, and what becomes of it: taken on, refused, or given up by who asked. An order that
//! was given up is never carried out later: its caller has been told that it failed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What an operator orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Nothing new to this next hop until `Enable`, whatever lists say.
    Disable(String),
    /// This worker may get jobs again.
    Enable(String),
}

/// What became of it: refused with the reason.
pub type OrderResult = Result<(), &'static str>;

#[derive(Default)]
enum State {
    #[default]
    PendingOrder,
    GivenUp,
    OrderResult(OrderResult),
}

type Shared = Arc<Mutex<State>>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The core's end of an order.
pub struct PendingOrder {
    order: Order,
    state: Shared,
}

impl PendingOrder {
    /// Carries it out, unless its caller has given it up.
    pub fn carry_out(self, act: impl FnOnce(&Order) -> OrderResult) {
        let mut state = lock(&self.state);
        if matches!(*state, State::PendingOrder) {
            *state = State::OrderResult(act(&self.order));
        }
    }
}

/// The caller's end.
pub struct OrderHandle(Shared);

impl OrderHandle {
    /// An order with its two ends.
    pub fn new(order: Order) -> (PendingOrder, Self) {
        let state = Shared::default();
        (PendingOrder { order, state: state.clone() }, OrderHandle(state))
    }

    /// None as long as it is neither carried out nor refused.
    pub fn result(&self) -> Option<OrderResult> {
        match *lock(&self.0) {
            State::OrderResult(carried) => Some(carried),
            _ => None,
        }
    }

    /// Waits no longer: what has not been carried out by now never is.
    pub fn give_up(self) -> Option<OrderResult> {
        let mut state = lock(&self.0);
        match *state {
            State::OrderResult(carried) => Some(carried),
            _ => {
                *state = State::GivenUp;
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
