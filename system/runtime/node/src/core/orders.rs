//! The operator's orders that wait for the chain.

use crate::core::operator::{Order, Outcome};
use bytes::Bytes;
use millrudder_chain::RequestId;
use millrudder_configuration::Configuration;
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_protocol::control::ConfigurationText;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// What an order needs before it can be answered.
pub enum Step {
    /// It was answered.
    Done,
    Submit {
        request_id: RequestId,
        command: Command,
    },
    Read {
        request_id: RequestId,
    },
    /// A storage machine is to be emptied.
    Retire {
        request_id: RequestId,
        name: String,
    },
}

struct Waiting {
    reply: oneshot::Sender<Outcome>,
    question: Question,
}

/// What a read is for.
pub enum Question {
    Configuration,
    /// The emptying of a machine.
    Retirement {
        name: String,
    },
}

/// A read of the state that an operator waits for.
pub struct Asked {
    pub reply: oneshot::Sender<Outcome>,
    pub question: Question,
}

/// Orders by the request that they wait for.
pub struct Orders {
    random: fastrand::Rng,
    waiting: BTreeMap<RequestId, Waiting>,
}

impl Orders {
    pub fn new(seed: u64) -> Self {
        Orders { random: fastrand::Rng::with_seed(seed), waiting: BTreeMap::new() }
    }

    /// Takes an order. What cannot be read is refused at once; every other answer rests on the state, so that it comes
    /// from the chain, and a machine that is not `open` gives none.
    pub fn take(&mut self, order: Order, reply: oneshot::Sender<Outcome>, open: bool) -> Step {
        if !open {
            answer(reply, Outcome::NotServed);
            return Step::Done;
        }
        match order {
            Order::Get => self.read(Question::Configuration, reply),
            Order::Retirement { name } => self.read(Question::Retirement { name }, reply),
            Order::Retire { name } => {
                let request_id = self.wait(reply, Question::Retirement { name: name.clone() });
                Step::Retire { request_id, name }
            }
            Order::Put { expected_version, body } => self.put(expected_version, &body, reply),
        }
    }

    fn read(&mut self, question: Question, reply: oneshot::Sender<Outcome>) -> Step {
        let request_id = self.wait(reply, question);
        Step::Read { request_id }
    }

    fn put(&mut self, expected_version: u64, body: &Bytes, reply: oneshot::Sender<Outcome>) -> Step {
        let version = match Configuration::from_json(body) {
            Ok(configuration) => configuration.version().0,
            Err(error) => {
                log::info!("a configuration is refused: {error}");
                answer(reply, Outcome::Invalid { reason: error.to_string() });
                return Step::Done;
            }
        };
        let configuration = ConfigurationText { version, json: body.to_vec() };
        let command = Command::PutConfiguration { expected_version, configuration };
        let request_id = self.wait(reply, Question::Configuration);
        Step::Submit { request_id, command }
    }

    fn wait(&mut self, reply: oneshot::Sender<Outcome>, question: Question) -> RequestId {
        let request_id = RequestId(self.random.u128(1..));
        self.waiting.insert(request_id, Waiting { reply, question });
        request_id
    }

    /// A request id for a command of this machine's own.
    pub fn own_request(&mut self) -> RequestId {
        RequestId(self.random.u128(1..))
    }

    pub fn replied(&mut self, request_id: RequestId, reply: Reply) {
        let Some(waiting) = self.waiting.remove(&request_id) else { return };
        let outcome = match reply {
            Reply::ConfigurationAccepted | Reply::ConfigurationKnown | Reply::Retiring => Outcome::Accepted,
            Reply::RetireUnknown => Outcome::UnknownMachine,
            Reply::RetireTooFew => Outcome::TooFewRemain,
            Reply::ConfigurationConflict { current } => Outcome::Conflict { current },
            Reply::VersionNotHigher { current } => {
                let reason = format!("its version is not higher than {current}, which is current");
                Outcome::Invalid { reason }
            }
            // Its caller gets no clear answer.
            Reply::ConfigurationForgotten => return,
            Reply::PlacementSet | Reply::PlacementConflict { .. } => return,
        };
        answer(waiting.reply, outcome);
    }

    /// A read sees what it must; gives what it is for.
    pub fn read_ready(&mut self, request_id: RequestId) -> Option<Asked> {
        let Waiting { reply, question } = self.waiting.remove(&request_id)?;
        Some(Asked { reply, question })
    }

    /// Requests whose callers have gone.
    pub fn take_abandoned(&mut self) -> Vec<RequestId> {
        let gone = self.waiting.iter().filter(|(_, waiting)| waiting.reply.is_closed());
        let gone: Vec<RequestId> = gone.map(|(request_id, _)| *request_id).collect();
        for request_id in &gone {
            self.waiting.remove(request_id);
        }
        gone
    }
}

/// The configuration in force, as it is told to an operator.
pub fn configuration_outcome(state: &ControlState) -> Outcome {
    let configuration = state.configuration();
    if configuration.version == 0 {
        return Outcome::Nothing;
    }
    Outcome::Configuration { json: configuration.json.clone() }
}

pub fn answer(reply: oneshot::Sender<Outcome>, outcome: Outcome) {
    // The caller may have gone.
    let _ = reply.send(outcome);
}
