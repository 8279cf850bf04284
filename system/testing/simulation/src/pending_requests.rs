//! Operators' requests that are pending at a core machine, as in the production shell of the core.

use crate::event::Call;
use crate::history::{Configuration, Request, Response};
use crate::mechanism::{Mechanism, Mutant};
use millrudder_chain::RequestId;
use millrudder_clock::Instant;
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_protocol::control::ConfigurationText;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a request may wait for the chain.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(850);

/// The next step of a request.
#[derive(Clone, Debug)]
pub enum RequestStep {
    /// Send a response now.
    Response(Response),
    /// Submit a command, whose reply is the response.
    Submit {
        /// The request id.
        request_id: RequestId,
        /// The command.
        command: Command,
    },
    /// Start a linearizable read.
    Read {
        /// The request id.
        request_id: RequestId,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: Call,
    since: Instant,
}

/// Pending requests of operators, by the request to the chain that they wait for.
#[derive(Clone, Debug)]
pub struct PendingRequests {
    random: fastrand::Rng,
    last_id: u128,
    waiting: BTreeMap<RequestId, Waiting>,
}

impl PendingRequests {
    /// No pending requests; request ids are drawn from the seed.
    pub fn new(seed: u64) -> Self {
        PendingRequests { random: fastrand::Rng::with_seed(seed), last_id: 0, waiting: BTreeMap::new() }
    }

    /// Handles a request. Every response depends on the state, so that a machine whose read barrier is not `open` gives
    /// none.
    pub fn handle_request(
        &mut self,
        now: Instant,
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

    fn wait(&mut self, now: Instant, call: Call, mutant: &Mutant) -> RequestId {
        let request_id = self.next_request_id(mutant);
        self.waiting.insert(request_id, Waiting { call, since: now });
        request_id
    }

    /// A new request id.
    pub fn next_request_id(&mut self, mutant: &Mutant) -> RequestId {
        self.last_id += 1;
        if mutant.is_enabled(Mechanism::UniqueRequestIds) {
            RequestId(self.random.u128(1..))
        } else {
            RequestId(self.last_id)
        }
    }

    /// Returns the response to the request that waited for this reply.
    pub fn handle_reply(
        &mut self,
        request_id: RequestId,
        reply: Reply,
        mutant: &Mutant,
    ) -> Option<(Call, Response)> {
        let waiting = self.waiting.remove(&request_id)?;
        let response = match reply {
            Reply::ConfigurationAccepted | Reply::ConfigurationAlreadyAccepted => Response::Accepted,
            Reply::ConfigurationConflict { .. } if !mutant.is_enabled(Mechanism::ConflictRejected) => {
                Response::Accepted
            }
            Reply::ConfigurationConflict { .. } => Response::Conflict,
            Reply::VersionNotHigher { .. } => Response::NotHigher,
            Reply::ConfigurationEvicted => Response::Unavailable,
            Reply::PlacementSet | Reply::PlacementConflict { .. } => return None,
            Reply::Retiring | Reply::RetireUnknownMachine | Reply::RetireTooFewRemain => return None,
        };
        Some((waiting.call, response))
    }

    /// Returns the response to the request that waited for this linearizable read.
    pub fn handle_read_ready(
        &mut self,
        request_id: RequestId,
        state: &ControlState,
    ) -> Option<(Call, Response)> {
        let waiting = self.waiting.remove(&request_id)?;
        Some((waiting.call, current(state)))
    }

    /// Removes the requests that have timed out, and returns them with their calls.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<(RequestId, Call)> {
        let overdue = |waiting: &Waiting| now - waiting.since >= REQUEST_TIMEOUT;
        let late = self.waiting.iter().filter(|(_, waiting)| overdue(waiting));
        let late: Vec<_> = late.map(|(request_id, waiting)| (*request_id, waiting.call)).collect();
        self.waiting.retain(|_, waiting| !overdue(waiting));
        late
    }
}

fn current(state: &ControlState) -> Response {
    let configuration = state.configuration();
    let configuration = (configuration.version > 0).then(|| Configuration::from_bytes(&configuration.json));
    Response::Current(configuration.flatten())
}
