//! What every front is given of the rest of the program, and no more.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::intake::Classes;
use crate::shutdown::Stopping;
use crate::{AdmissionGate, Drain, Exchange, PeerProcess};
use slog::Logger;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Clone)]
pub struct Core {
    pub exchange: Exchange,
    pub admission_gate: AdmissionGate,
    pub counters: Arc<Counters>,
    pub stopping: Stopping,
    /// Clients are sent away.
    pub drain: Drain,
    /// The other process of an upgrade.
    pub peer_process: PeerProcess,
    /// Jobs can come in.
    pub serving: Arc<AtomicBool>,
    pub clock: Clock,
    pub classes: Classes,
    pub advice: Advice,
    pub log: Logger,
}

/// Whether the settings in force allow clients to be told when to come back; they may change (SIGHUP).
#[derive(Clone, Default)]
pub struct Advice(Arc<AtomicBool>);

impl Advice {
    pub fn new(allowed: bool) -> Self {
        Advice(Arc::new(AtomicBool::new(allowed)))
    }

    pub fn allow(&self, allowed: bool) {
        self.0.store(allowed, Ordering::Release);
    }

    pub fn is_allowed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl Core {
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Acquire)
    }

    pub fn now_serves(&self) {
        self.serving.store(true, Ordering::Release);
    }
}
