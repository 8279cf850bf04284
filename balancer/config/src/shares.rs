//! How the platform's limits on descriptors and memory are shared out among fronts.

use crate::settings::Settings;
use crate::Budget;
use millrudder_exchange::Front;

/// Of the inbound descriptors, the gRPC front may take one part in so many: call-backs and HTTP/1.1 clients need a
/// descriptor each, gRPC's calls share theirs.
const GRPC_PART: usize = 4;

/// What each front may hold, and what they share.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// The HTTP/1.1 front's; without a second front just the budget.
    pub http: Budget,
    pub grpc: Option<GrpcBudget>,
    /// Jobs here at once, over all fronts.
    pub places: u64,
    /// Bytes of their bodies.
    pub bodies: u64,
    /// The fronts in use.
    pub weights: Vec<(Front, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrpcBudget {
    pub connections: usize,
    /// Bytes of calls that have not come whole.
    pub buffers: usize,
}

impl Budget {
    /// Every descriptor and byte has one owner: what the gRPC front gets, the HTTP/1.1 front loses. Call-backs keep
    /// their reserve.
    pub fn share_out(self, settings: &Settings) -> Shares {
        let (fronts, admission) = (&settings.fronts, &settings.admission);
        let mut http = self;
        let reserve = self.inbound - self.inbound_jobs;
        // Bodies of jobs are within what HTTP/1.1 connections hold: alone, that front's own bound is enough.
        let mut bodies = u64::MAX >> 16;
        let grpc = fronts.grpc.as_ref().map(|grpc| {
            let connections = (grpc.limits.connections.get() as usize).min(self.inbound / GRPC_PART);
            http.inbound -= connections;
            http.buffers = self.buffers * 3 / 4;
            bodies = self.buffers as u64 / 2;
            GrpcBudget { connections, buffers: self.buffers / 4 }
        });
        if let Some(most) = fronts.http.limits.connections {
            http.inbound = http.inbound.min((most.get() as usize).max(reserve + 1));
        }
        http.inbound_jobs = http.inbound - reserve;
        Shares {
            http,
            grpc,
            places: admission.jobs.map_or(self.inbound_jobs as u64, |jobs| jobs.get()),
            bodies: admission.bodies.map_or(bodies, |bodies| bodies.bytes()),
            weights: settings.weights(),
        }
    }
}

#[cfg(test)]
mod tests;
