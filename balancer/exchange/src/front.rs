//! What every front is given of the rest of the program, and no more.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::intake::Classes;
use crate::shutdown::Stopping;
use crate::{AdmissionGate, Drain, Exchange, PeerProcess};
use slog::Logger;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// What a front needs of the rest of the program.
#[derive(Clone)]
pub struct Core {
    /// Where jobs are submitted.
    pub exchange: Exchange,
    /// Admission of jobs, over all fronts.
    pub admission_gate: AdmissionGate,
    /// Counters of the program.
    pub counters: Arc<Counters>,
    /// The planned stop.
    pub stopping: Stopping,
    /// Clients are sent away.
    pub drain: Drain,
    /// The other process of an upgrade.
    pub peer_process: PeerProcess,
    /// Jobs can come in.
    pub serving: Arc<AtomicBool>,
    /// The clock.
    pub clock: Clock,
    /// Classes of jobs.
    pub classes: Classes,
    /// Whether clients are told when to come back.
    pub advice: RetryAdvice,
    /// The log.
    pub log: Logger,
}

/// Whether the settings in force allow clients to be told when to come back; they may change (SIGHUP).
#[derive(Clone, Default)]
pub struct RetryAdvice(Arc<AtomicBool>);

impl RetryAdvice {
    /// As the settings allow it at the start.
    pub fn new(allowed: bool) -> Self {
        RetryAdvice(Arc::new(AtomicBool::new(allowed)))
    }

    /// Takes new settings over.
    pub fn allow(&self, allowed: bool) {
        self.0.store(allowed, Ordering::Release);
    }

    /// Whether clients may be told.
    pub fn is_allowed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl Core {
    /// Whether jobs can come in.
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Acquire)
    }

    /// Notes that jobs can come in.
    pub fn set_serving(&self) {
        self.serving.store(true, Ordering::Release);
    }
}
