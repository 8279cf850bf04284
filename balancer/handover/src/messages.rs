//! What the two processes say to each other. Maps by field name: a newer side may add fields, which an older one
//! passes over.

use serde::{Deserialize, Serialize};

/// Of this protocol. Two sides agree if each is at least the other's `least`.
pub const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Taker: who it is.
    Hello {
        version: u32,
        #[serde(rename = "least")]
        min_version: u32,
        program: String,
    },
    /// Giver: it may go on.
    Offer { version: u32 },
    /// Taker: its settings can be used.
    Checked,
    /// Giver: all that passes over; descriptors come with it.
    State(State),
    /// Taker: loaded, able to accept at once.
    Ready,
    /// Giver: it has stopped accepting; the place is the taker's. The ids are the giver's jobs under way; the
    /// descriptors are those that it holds of inbound connections, which become fewer, and the most that it will hold
    /// of next hops' from now on.
    Commit {
        under_way: Vec<String>,
        inbound: usize,
        #[serde(rename = "next_hops")]
        worker_connections: usize,
    },
    /// Taker: it accepts.
    Committed,
    /// Taker, during probation: what became of its jobs so far.
    Report(ProbationReport),
    /// Giver: probation is over, it drains.
    Confirm,
    /// Giver: the place is to come back.
    TakeBack,
    /// Taker: it has stopped accepting.
    GivenBack { under_way: Vec<String> },
    /// Either: it gives up, before the place has passed.
    Abort { reason: String },
    /// A call-back that reached the wrong process, for its owner.
    #[serde(rename = "CallBack")]
    Callback(Callback),
    /// A job of the giver's has ended: its id is free.
    #[serde(rename = "Ended")]
    JobEnded { id: String },
    /// A job has come in at the giver after all, on a connection that it still has.
    #[serde(rename = "Began")]
    JobStarted { id: String },
    /// One of its flights has landed: it counts at its worker no more.
    #[serde(rename = "Landed")]
    AttemptEnded { worker: String, job: u64, attempt: usize },
    /// So many descriptors of inbound connections are left at the giver.
    #[serde(rename = "Held")]
    InboundLeft { inbound: usize },
    /// A connection between two requests; its descriptor comes with this message.
    Connection {
        #[serde(rename = "was")]
        peer: PeerKind,
    },
    /// Either: an operator's order, for both.
    #[serde(rename = "Ban")]
    DisableWorker { id: String, on: bool },
    #[serde(rename = "Drain")]
    DrainClients { on: bool },
}

/// What a connection's peer has proved to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerKind {
    #[serde(rename = "Stranger")]
    Unverified,
    Caller,
    Client,
}

/// What passes over, by parts that each side may or may not know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The transport map, the position of the watch, bans and what the decision module has learnt, in the core's own
    /// versioned form.
    pub core: Vec<u8>,
    /// Clients are being sent away.
    pub drained: bool,
}

/// A call-back's body as the next hop sent it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Callback {
    pub number: u64,
    pub body: Vec<u8>,
}

/// The taker's answers since it accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProbationReport {
    pub served: u64,
    /// Errors of its own making; a worker's failure is none.
    pub failed: u64,
}

impl ProbationReport {
    /// With fewer answers nothing is judged.
    pub const MIN_ANSWERS: u64 = 20;
    /// Of so many answers one may fail.
    pub const MAX_FAILED_ONE_IN: u64 = 5;

    pub fn is_bad(self) -> bool {
        let answers = self.served + self.failed;
        answers >= Self::MIN_ANSWERS && self.failed * Self::MAX_FAILED_ONE_IN > answers
    }
}

/// How the handover ended for one process.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The new one serves.
    HandedOver,
    /// The old one serves, and why.
    FellBack(String),
}
