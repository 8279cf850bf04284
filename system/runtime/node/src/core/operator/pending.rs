//! Operators' requests that wait for the replicated state machine.

use super::request::{OperatorRequest, OperatorResponse};
use bytes::Bytes;
use millrudder_chain::RequestId;
use millrudder_configuration::Configuration;
use millrudder_control_state::{Command, Reply};
use millrudder_protocol::control::ConfigurationText;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// What a request needs before it can be answered.
pub enum NextStep {
    /// It has been answered.
    Done,
    /// A command is to be submitted to the replicated state machine.
    Submit {
        /// Id of the request.
        request_id: RequestId,
        /// The command.
        command: Command,
    },
    /// A linearizable read is to be started.
    Read {
        /// Id of the request.
        request_id: RequestId,
    },
    /// The retirement of a storage machine is to be submitted.
    Retire {
        /// Id of the request.
        request_id: RequestId,
        /// The machine's name.
        name: String,
    },
}

/// What a linearizable read for an operator is to see.
pub enum ReadPurpose {
    /// The configuration.
    Configuration,
    /// The progress of a retirement.
    Retirement {
        /// The machine's name.
        name: String,
    },
}

/// A request that waits for its command or its read.
pub struct PendingRequest {
    reply: oneshot::Sender<OperatorResponse>,
    purpose: ReadPurpose,
}

impl PendingRequest {
    /// What the response is about.
    pub fn purpose(&self) -> &ReadPurpose {
        &self.purpose
    }

    /// Answers the request.
    pub fn respond(self, response: OperatorResponse) {
        respond(self.reply, response);
    }
}

/// The requests, by the id under which they were submitted.
///
/// An entry goes when it is answered or when its caller has gone, which is within the caller's time-out.
pub struct PendingRequests {
    random: fastrand::Rng,
    pending: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// No requests; `seed` is the seed of the request ids.
    pub fn new(seed: u64) -> Self {
        PendingRequests { random: fastrand::Rng::with_seed(seed), pending: BTreeMap::new() }
    }

    /// Accepts a request. One that cannot be parsed is refused at once; every other response rests on the state, so that
    /// it comes from the replicated state machine, and a machine that is not serving gives none.
    pub fn accept(
        &mut self,
        request: OperatorRequest,
        reply: oneshot::Sender<OperatorResponse>,
        is_serving: bool,
    ) -> NextStep {
        if !is_serving {
            respond(reply, OperatorResponse::Unavailable);
            return NextStep::Done;
        }
        match request {
            OperatorRequest::GetConfiguration => self.read(ReadPurpose::Configuration, reply),
            OperatorRequest::GetRetirement { name } => self.read(ReadPurpose::Retirement { name }, reply),
            OperatorRequest::StartRetirement { name } => {
                let request_id = self.add(reply, ReadPurpose::Retirement { name: name.clone() });
                NextStep::Retire { request_id, name }
            }
            OperatorRequest::PutConfiguration { expected_version, body } => {
                self.put_configuration(expected_version, &body, reply)
            }
        }
    }

    fn read(&mut self, purpose: ReadPurpose, reply: oneshot::Sender<OperatorResponse>) -> NextStep {
        let request_id = self.add(reply, purpose);
        NextStep::Read { request_id }
    }

    fn put_configuration(
        &mut self,
        expected_version: u64,
        body: &Bytes,
        reply: oneshot::Sender<OperatorResponse>,
    ) -> NextStep {
        let version = match Configuration::from_json(body) {
            Ok(configuration) => configuration.version().0,
            Err(error) => {
                log::info!(error:%; "configuration rejected");
                respond(reply, OperatorResponse::Invalid { reason: error.to_string() });
                return NextStep::Done;
            }
        };
        let configuration = ConfigurationText { version, json: body.to_vec() };
        let command = Command::PutConfiguration { expected_version, configuration };
        let request_id = self.add(reply, ReadPurpose::Configuration);
        NextStep::Submit { request_id, command }
    }

    fn add(&mut self, reply: oneshot::Sender<OperatorResponse>, purpose: ReadPurpose) -> RequestId {
        let request_id = self.draw_request_id();
        self.pending.insert(request_id, PendingRequest { reply, purpose });
        request_id
    }

    /// Draws an id for a request of this machine's own.
    pub fn draw_request_id(&mut self) -> RequestId {
        RequestId(self.random.u128(1..))
    }

    /// The command of a request was applied, with this reply.
    pub fn answer(&mut self, request_id: RequestId, reply: Reply) {
        let Some(pending) = self.pending.remove(&request_id) else { return };
        if let Some(response) = response_to(reply) {
            pending.respond(response);
        }
    }

    /// A linearizable read has ended: its request, if it was an operator's.
    pub fn take_ready_read(&mut self, request_id: RequestId) -> Option<PendingRequest> {
        self.pending.remove(&request_id)
    }

    /// Removes the requests whose callers have gone.
    pub fn take_abandoned(&mut self) -> Vec<RequestId> {
        let abandoned = self.pending.iter().filter(|(_, pending)| pending.reply.is_closed());
        let abandoned: Vec<RequestId> = abandoned.map(|(request_id, _)| *request_id).collect();
        for request_id in &abandoned {
            self.pending.remove(request_id);
        }
        abandoned
    }
}

/// The response to an operator; `None` where there is no clear one.
fn response_to(reply: Reply) -> Option<OperatorResponse> {
    match reply {
        Reply::ConfigurationAccepted | Reply::ConfigurationAlreadyAccepted | Reply::Retiring => {
            Some(OperatorResponse::Accepted)
        }
        Reply::RetireUnknownMachine => Some(OperatorResponse::UnknownMachine),
        Reply::RetireTooFewRemain => Some(OperatorResponse::TooFewRemain),
        Reply::ConfigurationConflict { current } => Some(OperatorResponse::Conflict { current }),
        Reply::VersionNotHigher { current } => {
            let reason = format!("its version is not higher than {current}, which is current");
            Some(OperatorResponse::Invalid { reason })
        }
        Reply::ConfigurationEvicted => None,
        // Replies to commands of this machine's own.
        Reply::PlacementSet | Reply::PlacementConflict { .. } => None,
    }
}

fn respond(reply: oneshot::Sender<OperatorResponse>, response: OperatorResponse) {
    // The caller may have gone.
    drop(reply.send(response));
}
