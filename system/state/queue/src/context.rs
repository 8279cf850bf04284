//! What every part of a store process needs beside its own state.

use crate::api::Output;
use crate::config::Config;
use crate::time::Instant;
use crate::timers::Timers;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::BetweenStores;
use millrudder_protocol::StoreId;
use millrudder_topology::{Distance, Location};

/// What every part of a store process needs beside its own state: who and where it is, the time and the placement of the
/// input that is handled, and where outputs and timers go.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub config: Config,
    pub local_id: StoreId,
    pub location: Location,
    /// The latest reading of the clock.
    pub now: Instant,
    /// Outputs of the input that is handled, in order.
    pub outputs: Vec<Output>,
    /// The newest placement that was received.
    pub placement: Placement,
    pub timers: Timers,
    /// Jitter and first write numbers, drawn from the configured seed.
    pub random: fastrand::Rng,
}

impl Context {
    pub fn new(config: Config, local_id: StoreId, location: Location, now: Instant) -> Self {
        let random = fastrand::Rng::with_seed(config.seed ^ local_id.0);
        Context {
            config,
            local_id,
            location,
            now,
            outputs: Vec::new(),
            placement: Placement::default(),
            timers: Timers::default(),
            random,
        }
    }

    /// Sends to another store.
    pub fn send_to_store(&mut self, store: StoreId, message: BetweenStores) {
        self.outputs.push(Output::ToStore { store, message });
    }

    /// Distance to another store by the placement; the default for a store that it does not name.
    pub fn distance_to_store(&self, store: StoreId) -> Distance {
        let entry = self.placement.store(store);
        entry.map(|entry| self.location.distance_to(&entry.zone)).unwrap_or_default()
    }
}
