//! Division of the platform's limits on file descriptors and memory among the fronts.

use crate::settings::Settings;
use crate::Budget;
use millrudder_exchange::Front;

/// Divisor of the inbound descriptors: the gRPC front may use one part in this many. Call-backs and HTTP/1.1
/// clients need one descriptor each, while many gRPC calls share one.
const GRPC_DIVISOR: usize = 4;

/// The limits of each front, and the limits that they share.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// Limits of the HTTP/1.1 front; the whole budget if it is the only front.
    pub http: Budget,
    /// Limits of the gRPC front; `None` if it is off.
    pub grpc: Option<GrpcBudget>,
    /// Jobs that may be admitted at the same time, over all fronts.
    pub places: u64,
    /// Total bytes of their bodies.
    pub bodies: u64,
    /// The fronts in use, each with its weight.
    pub weights: Vec<(Front, u32)>,
}

/// Limits of the gRPC front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrpcBudget {
    /// Client connections.
    pub connections: usize,
    /// Bytes buffered for calls that are not complete yet.
    pub buffers: usize,
}

impl Budget {
    /// Divides the budget among the fronts. What the gRPC front gets is subtracted from the HTTP/1.1 front, so
    /// that no descriptor or byte counts twice. The reserve for call-backs stays.
    pub fn share_out(self, settings: &Settings) -> Shares {
        let (fronts, admission) = (&settings.fronts, &settings.admission);
        let mut http = self;
        let reserve = self.inbound - self.inbound_jobs;
        // Without a second front, bodies need no limit of their own: they are part of the bytes that HTTP/1.1
        // connections buffer, which are limited already.
        let mut bodies = u64::MAX >> 16;
        let grpc = fronts.grpc.as_ref().map(|grpc| {
            let connections = (grpc.limits.connections.get() as usize).min(self.inbound / GRPC_DIVISOR);
            http.inbound -= connections;
            http.buffers = self.buffers * 3 / 4;
            bodies = self.buffers as u64 / 2;
            GrpcBudget { connections, buffers: self.buffers / 4 }
        });
        if let Some(max) = fronts.http.limits.connections {
            http.inbound = http.inbound.min((max.get() as usize).max(reserve + 1));
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
