//! Which behaviour each request meets.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Behaviours by request. Clones are the same script, so several stand-ins can share one.
///
/// A request meets the behaviour set for its own id; else the next one that was queued; else the usual one.
#[derive(Debug)]
pub struct Script<B> {
    state: Arc<Mutex<State<B>>>,
}

#[derive(Debug)]
struct State<B> {
    usual: B,
    queued: VecDeque<B>,
    by_request: BTreeMap<String, B>,
    failures: BTreeMap<String, u32>,
}

impl<B> Clone for Script<B> {
    fn clone(&self) -> Self {
        Self { state: self.state.clone() }
    }
}

impl<B: Clone + Default> Default for Script<B> {
    fn default() -> Self {
        Self::new(B::default())
    }
}

impl<B: Clone> Script<B> {
    /// A script in which every request meets `usual`.
    pub fn new(usual: B) -> Self {
        let state =
            State { usual, queued: VecDeque::new(), by_request: BTreeMap::new(), failures: BTreeMap::new() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// What requests meet that nothing else is said of.
    pub fn always(&self, behaviour: B) {
        self.lock().usual = behaviour;
    }

    /// What the next request meets that has no behaviour of its own; several are queued.
    pub fn next(&self, behaviour: B) {
        self.lock().queued.push_back(behaviour);
    }

    /// What each delivery of one request meets. Its id is a `RequestId`, or whatever else names it on the wire.
    pub fn on_request(&self, request: impl ToString, behaviour: B) {
        self.lock().by_request.insert(request.to_string(), behaviour);
    }

    /// The behaviour that a delivery of `request` meets.
    pub(crate) fn take(&self, request: &str) -> B {
        let mut state = self.lock();
        if let Some(behaviour) = state.by_request.get(request) {
            return behaviour.clone();
        }
        match state.queued.pop_front() {
            Some(behaviour) => behaviour,
            None => state.usual.clone(),
        }
    }

    /// Counts a failure of `request` unless it has failed `most` times; true if it was counted.
    pub(crate) fn count_failure(&self, request: &str, most: u32) -> bool {
        let mut state = self.lock();
        let failures = state.failures.entry(request.to_owned()).or_insert(0);
        if *failures >= most {
            return false;
        }
        *failures += 1;
        true
    }

    fn lock(&self) -> MutexGuard<'_, State<B>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
