//! What every front is given of the rest of the program, and no more.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::intake::Class;
use crate::shutdown::Stopping;
use crate::{Exchange, Gate};
use slog::Logger;
use std::sync::Arc;

#[derive(Clone)]
pub struct Core {
    pub exchange: Exchange,
    pub gate: Gate,
    pub counters: Arc<Counters>,
    pub stopping: Stopping,
    pub clock: Clock,
    pub classes: Vec<Class>,
    /// The settings allow clients to be told when to come back.
    pub advice_allowed: bool,
    pub log: Logger,
}
