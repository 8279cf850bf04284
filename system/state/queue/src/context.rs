//! The context shared by all components of a store process.

use crate::api::Output;
use crate::config::Config;
use crate::time::Instant;
use crate::timers::Timers;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::BetweenStores;
use millrudder_protocol::StoreId;
use millrudder_topology::{Distance, Location};

/// The context shared by all components: configuration, identity and location of the store, the current time
/// and placement, and the outputs and timers that the components add to.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub config: Config,
    pub local_id: StoreId,
    pub location: Location,
    /// The latest clock reading.
    pub now: Instant,
    /// The outputs of the current input, in order.
    pub outputs: Vec<Output>,
    /// The newest placement received.
    pub placement: Placement,
    pub timers: Timers,
    /// Source of jitter and of first write numbers, seeded from the configuration.
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

    /// Sends a message to another store.
    pub fn send_to_store(&mut self, store: StoreId, message: BetweenStores) {
        self.outputs.push(Output::ToStore { store, message });
    }

    /// Distance to another store according to the placement; the default for a store that is not in it.
    pub fn distance_to_store(&self, store: StoreId) -> Distance {
        let entry = self.placement.store(store);
        entry.map(|entry| self.location.distance_to(&entry.zone)).unwrap_or_default()
    }
}
