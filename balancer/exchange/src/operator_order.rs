//! Operators' orders to the core and their results: carried out, refused, or given up by the caller. An order
//! that was given up is never carried out later, because its caller has been told that it failed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An order of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send no new jobs to this worker until `Enable`, whatever the worker list says.
    Disable(String),
    /// Allow jobs to this worker again.
    Enable(String),
}

/// Result of an order; the error is the reason for a refusal.
pub type OrderResult = Result<(), &'static str>;

#[derive(Default)]
enum State {
    #[default]
    Pending,
    GivenUp,
    Finished(OrderResult),
}

type Shared = Arc<Mutex<State>>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An order as the core receives it.
pub struct PendingOrder {
    order: Order,
    state: Shared,
}

impl PendingOrder {
    /// Carries the order out with `act` and stores the result, unless the caller has given the order up.
    pub fn carry_out(self, act: impl FnOnce(&Order) -> OrderResult) {
        let mut state = lock(&self.state);
        if matches!(*state, State::Pending) {
            *state = State::Finished(act(&self.order));
        }
    }
}

/// The caller's handle to an order.
pub struct OrderHandle(Shared);

impl OrderHandle {
    /// Creates an order and the handle to its result.
    pub fn new(order: Order) -> (PendingOrder, Self) {
        let state = Shared::default();
        (PendingOrder { order, state: state.clone() }, OrderHandle(state))
    }

    /// The result; `None` as long as the order is neither carried out nor refused.
    pub fn result(&self) -> Option<OrderResult> {
        match *lock(&self.0) {
            State::Finished(result) => Some(result),
            _ => None,
        }
    }

    /// Gives the order up unless it has finished already; returns the result if it has.
    pub fn give_up(self) -> Option<OrderResult> {
        let mut state = lock(&self.0);
        match *state {
            State::Finished(result) => Some(result),
            _ => {
                *state = State::GivenUp;
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
