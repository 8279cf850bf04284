//! Messages between the two processes. They are encoded as maps keyed by field name, so that an older version can
//! skip fields that a newer one adds. `#[serde(rename)]` keeps the names that earlier versions send.

use serde::{Deserialize, Serialize};

/// Protocol version. Two processes are compatible if the version of each is at least the other's `min_version`.
pub const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Successor: its versions and its program.
    Hello {
        version: u32,
        #[serde(rename = "least")]
        min_version: u32,
        program: String,
    },
    /// Predecessor: the versions are compatible, the handover may go on.
    Offer { version: u32 },
    /// Successor: its settings are valid.
    Checked,
    /// Predecessor: the state for the successor; descriptors come with it.
    State(State),
    /// Successor: the state is loaded and it can accept at once.
    Ready,
    /// Predecessor: it has stopped accepting; the serving role is the successor's. `under_way` has the ids of the
    /// predecessor's open jobs. `inbound` is the number of descriptors that it holds for inbound connections, which
    /// only falls from here on; `worker_connections` is the most that it will hold for connections to workers.
    Commit {
        under_way: Vec<String>,
        inbound: usize,
        #[serde(rename = "next_hops")]
        worker_connections: usize,
    },
    /// Successor: it accepts.
    Committed,
    /// Successor, during probation: the results of its jobs so far.
    Report(ProbationReport),
    /// Predecessor: probation is passed, the predecessor drains.
    Confirm,
    /// Predecessor: the successor must return the serving role.
    TakeBack,
    /// Successor: it has stopped accepting; with the ids of its open jobs.
    GivenBack { under_way: Vec<String> },
    /// Either: it gives up the handover, before the serving role has passed.
    Abort { reason: String },
    /// A worker's call-back that reached the process that does not have the job.
    #[serde(rename = "CallBack")]
    Callback(Callback),
    /// A job of the sender has ended; its id may be used again.
    #[serde(rename = "Ended")]
    JobEnded { id: String },
    /// The predecessor has got one more job, on a connection that it still has.
    #[serde(rename = "Began")]
    JobStarted { id: String },
    /// An attempt of the predecessor has ended and no longer counts as in flight at its worker.
    #[serde(rename = "Landed")]
    AttemptEnded { worker: String, job: u64, attempt: usize },
    /// Number of descriptors that the predecessor still holds for inbound connections.
    #[serde(rename = "Held")]
    InboundLeft { inbound: usize },
    /// A connection that is idle between two requests; its descriptor comes with this message.
    Connection {
        #[serde(rename = "was")]
        peer: PeerKind,
    },
    /// Either: an operator has disabled (`on`) or enabled a worker; applies to both processes.
    #[serde(rename = "Ban")]
    DisableWorker { id: String, on: bool },
    /// Either: an operator has started (`on`) or ended the draining of clients; applies to both processes.
    #[serde(rename = "Drain")]
    DrainClients { on: bool },
}

/// What a connection's peer has proved to be by its valid requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerKind {
    #[serde(rename = "Stranger")]
    /// It has sent no valid request yet.
    Unverified,
    /// A worker that sends call-backs, or a monitor that reads this program's state.
    Caller,
    /// It has had a job answered.
    Client,
}

/// State sent to the successor. A part that one of the versions does not know is skipped or has its default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The core's handover state in its own versioned encoding: the worker list, the position in the discovery
    /// watch, disabled workers and the learned state of the decision module.
    pub core: Vec<u8>,
    /// Whether an operator has drained this dispatcher: its clients are sent away.
    pub drained: bool,
}

/// The body of a call-back, as the worker sent it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Callback {
    pub number: u64,
    pub body: Vec<u8>,
}

/// The successor's answers since it started to accept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProbationReport {
    pub served: u64,
    /// Errors that the successor itself caused; failures of a worker do not count.
    pub failed: u64,
}

impl ProbationReport {
    /// Fewest answers by which the successor is judged.
    pub const MIN_ANSWERS: u64 = 20;
    /// One answer in this many may fail.
    pub const MAX_FAILED_ONE_IN: u64 = 5;

    pub fn is_bad(self) -> bool {
        let answers = self.served + self.failed;
        answers >= Self::MIN_ANSWERS && self.failed * Self::MAX_FAILED_ONE_IN > answers
    }
}

/// How the handover ended for one process.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The new process serves.
    HandedOver,
    /// The old process serves; with the reason.
    FellBack(String),
}
