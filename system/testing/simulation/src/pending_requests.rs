//! The operator's orders that wait at a core machine, as the shell of the core keeps them.

use crate::event::Call;
use crate::history::{Configuration, Request, Response};
use crate::mechanism::{Mechanism, Mutant};
use millrudder_chain::RequestId;
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_protocol::control::ConfigurationText;
use std::collections::BTreeMap;

/// How long an order waits for the chain (microseconds).
const REQUEST_TIMEOUT: u64 = 850_000;

/// What an order needs before it can be answered.
#[derive(Clone, Debug)]
pub enum RequestStep {
    Response(Response),
    Submit { request_id: RequestId, command: Command },
    Read { request_id: RequestId },
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: Call,
    since: u64,
}

/// Orders by the request that they wait for.
#[derive(Clone, Debug)]
pub struct PendingRequests {
    random: fastrand::Rng,
    counted: u128,
    waiting: BTreeMap<RequestId, Waiting>,
}

impl PendingRequests {
    pub fn new(seed: u64) -> Self {
        PendingRequests { random: fastrand::Rng::with_seed(seed), counted: 0, waiting: BTreeMap::new() }
    }

    /// Takes an order. Every answer rests on the state, so that a machine that is not `open` gives none.
    pub fn take(
        &mut self,
        now: u64,
        call: Call,
        request: Request,
        open: bool,
        state: &ControlState,
        mutant: &Mutant,
    ) -> RequestStep {
        match request {
            Request::Get if !mutant.is_enabled(Mechanism::ConfirmedRead) => {
                RequestStep::Response(current(state))
            }
            _ if !open => RequestStep::Response(Response::Unavailable),
            Request::Get => RequestStep::Read { request_id: self.wait(now, call, mutant) },
            Request::Put { expected, configuration } => {
                let request_id = self.wait(now, call, mutant);
                let json = configuration.bytes();
                let configuration = ConfigurationText { version: configuration.version, json };
                let command = Command::PutConfiguration { expected_version: expected, configuration };
                RequestStep::Submit { request_id, command }
            }
        }
    }

    fn wait(&mut self, now: u64, call: Call, mutant: &Mutant) -> RequestId {
        let request_id = self.own_request(mutant);
        self.waiting.insert(request_id, Waiting { call, since: now });
        request_id
    }

    /// A request id for a command of this machine's own.
    pub fn own_request(&mut self, mutant: &Mutant) -> RequestId {
        self.counted += 1;
        match mutant.is_enabled(Mechanism::UniqueRequestIds) {
            true => RequestId(self.random.u128(1..)),
            false => RequestId(self.counted),
        }
    }

    /// The answer to the order that waited for this reply.
    pub fn replied(
        &mut self,
        request_id: RequestId,
        reply: Reply,
        mutant: &Mutant,
    ) -> Option<(Call, Response)> {
        let waiting = self.waiting.remove(&request_id)?;
        let response = match reply {
            Reply::ConfigurationAccepted | Reply::ConfigurationKnown => Response::Accepted,
            Reply::ConfigurationConflict { .. } if !mutant.is_enabled(Mechanism::ConflictRejected) => {
                Response::Accepted
            }
            Reply::ConfigurationConflict { .. } => Response::Conflict,
            Reply::VersionNotHigher { .. } => Response::NotHigher,
            Reply::ConfigurationForgotten => Response::Unavailable,
            Reply::PlacementSet | Reply::PlacementConflict { .. } => return None,
            Reply::Retiring | Reply::RetireUnknown | Reply::RetireTooFew => return None,
        };
        Some((waiting.call, response))
    }

    /// The answer to a read that sees what it must.
    pub fn read_ready(&mut self, request_id: RequestId, state: &ControlState) -> Option<(Call, Response)> {
        let waiting = self.waiting.remove(&request_id)?;
        Some((waiting.call, current(state)))
    }

    /// Requests that have waited too long, with their calls.
    pub fn take_overdue(&mut self, now: u64) -> Vec<(RequestId, Call)> {
        let overdue = |waiting: &Waiting| now.saturating_sub(waiting.since) >= REQUEST_TIMEOUT;
        let late = self.waiting.iter().filter(|(_, waiting)| overdue(waiting));
        let late: Vec<_> = late.map(|(request_id, waiting)| (*request_id, waiting.call)).collect();
        self.waiting.retain(|_, waiting| !overdue(waiting));
        late
    }
}

fn current(state: &ControlState) -> Response {
    let configuration = state.configuration();
    let held = (configuration.version > 0).then(|| Configuration::from_bytes(&configuration.json));
    Response::Current(held.flatten())
}
