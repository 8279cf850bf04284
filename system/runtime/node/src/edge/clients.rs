//! Clients that wait for an answer.

use millrudder_clock::Instant;
use millrudder_intake::{CallNumber, QueryResult, SubmissionResult};
use millrudder_protocol::message::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A client that waits for its message to be accepted.
pub struct WaitingClient {
    reply: oneshot::Sender<SubmissionResult>,
    /// The message.
    pub message: Arc<Message>,
    /// When it arrived here.
    pub arrived_at: Instant,
}

impl WaitingClient {
    /// Answers the client. It may have gone; a message that was accepted stays accepted.
    pub fn answer(self, answer: SubmissionResult) {
        let _ = self.reply.send(answer);
    }
}

/// Clients, by the call that intake makes on their behalf. Intake ends each call by its deadline.
#[derive(Default)]
pub struct WaitingClients {
    submissions: BTreeMap<CallNumber, WaitingClient>,
    queries: BTreeMap<CallNumber, oneshot::Sender<QueryResult>>,
    last_call: u64,
}

impl WaitingClients {
    /// Adds a client that has sent a message at `now`.
    pub fn add_submission(
        &mut self,
        message: Arc<Message>,
        reply: oneshot::Sender<SubmissionResult>,
        now: Instant,
    ) -> CallNumber {
        let call = self.next_call();
        self.submissions.insert(call, WaitingClient { reply, message, arrived_at: now });
        call
    }

    /// Adds a client that asks after a message.
    pub fn add_query(&mut self, reply: oneshot::Sender<QueryResult>) -> CallNumber {
        let call = self.next_call();
        self.queries.insert(call, reply);
        call
    }

    fn next_call(&mut self) -> CallNumber {
        self.last_call += 1;
        CallNumber(self.last_call)
    }

    /// Removes the client whose submission has ended.
    pub fn take_submission(&mut self, call: CallNumber) -> Option<WaitingClient> {
        self.submissions.remove(&call)
    }

    /// Answers a query.
    pub fn answer_query(&mut self, call: CallNumber, result: QueryResult) {
        if let Some(reply) = self.queries.remove(&call) {
            // The client may have gone.
            drop(reply.send(result));
        }
    }

    /// Whether a client waits for its message to be accepted.
    pub fn has_submissions(&self) -> bool {
        !self.submissions.is_empty()
    }
}
