//! The parts of the program that every front can use.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::intake::Classes;
use crate::shutdown::Stopping;
use crate::{AdmissionGate, Drain, Exchange, PeerProcess};
use slog::Logger;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Handles to the parts of the program that a front uses.
#[derive(Clone)]
pub struct FrontContext {
    /// Queue to which jobs are submitted.
    pub exchange: Exchange,
    /// Admission control for jobs, shared by all fronts.
    pub admission_gate: AdmissionGate,
    /// The program's counters.
    pub counters: Arc<Counters>,
    /// State of a planned stop.
    pub stopping: Stopping,
    /// Drain state, as operators set it.
    pub drain: Drain,
    /// The other process during an upgrade.
    pub peer_process: PeerProcess,
    /// Whether jobs are accepted; set once the start is complete.
    pub serving: Arc<AtomicBool>,
    /// The dispatcher's clock.
    pub clock: Clock,
    /// The current job classes.
    pub classes: Classes,
    /// Whether answers tell clients when to retry.
    pub advice: RetryAdvice,
    /// Logger.
    pub log: Logger,
}

/// Whether the current settings allow answers to tell clients when to retry. A reload of the settings (SIGHUP)
/// may change it.
#[derive(Clone, Default)]
pub struct RetryAdvice(Arc<AtomicBool>);

impl RetryAdvice {
    /// Starts with the value of the first settings.
    pub fn new(allowed: bool) -> Self {
        RetryAdvice(Arc::new(AtomicBool::new(allowed)))
    }

    /// Takes over the value of reloaded settings.
    pub fn allow(&self, allowed: bool) {
        self.0.store(allowed, Ordering::Release);
    }

    /// Whether answers may tell clients when to retry.
    pub fn is_allowed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl FrontContext {
    /// Whether jobs are accepted.
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Acquire)
    }

    /// Accepts jobs from now on.
    pub fn set_serving(&self) {
        self.serving.store(true, Ordering::Release);
    }
}
