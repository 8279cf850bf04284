//! A gate that lets work pass only when the test says so, in place of sleeps.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// A gate, open at first. Clones are the same gate.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    held: bool,
    waiting: VecDeque<oneshot::Sender<()>>,
}

impl Gate {
    /// An open gate.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whatever comes from now on waits.
    pub fn hold(&self) {
        self.lock().held = true;
    }

    /// Opens the gate: whatever waits passes, and so does what comes later.
    pub fn release(&self) {
        let mut state = self.lock();
        state.held = false;
        for waiter in state.waiting.drain(..) {
            // A waiter that has gone needs no pass.
            let _ = waiter.send(());
        }
    }

    /// Lets the one that waited longest pass; the gate stays held. False if nothing waits.
    pub fn release_one(&self) -> bool {
        let mut state = self.lock();
        while let Some(waiter) = state.waiting.pop_front() {
            if waiter.send(()).is_ok() {
                return true;
            }
        }
        false
    }

    /// How many wait at the gate.
    pub fn waiting(&self) -> usize {
        self.lock().waiting.iter().filter(|waiter| !waiter.is_closed()).count()
    }

    /// Returns once the gate lets the caller pass.
    pub async fn pass(&self) {
        if let Some(pass) = self.queue() {
            // The sender is dropped only with the gate itself: nothing holds the caller any more.
            let _ = pass.await;
        }
    }

    fn queue(&self) -> Option<oneshot::Receiver<()>> {
        let mut state = self.lock();
        if !state.held {
            return None;
        }
        let (waiter, pass) = oneshot::channel();
        state.waiting.push_back(waiter);
        Some(pass)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
