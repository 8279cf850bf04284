//! Inputs and outputs of intake, which acts on behalf of clients.

use super::EdgeHost;
use crate::edge::front::submission::ClientMessage;
use crate::logging::LoggedStoreId;
use millrudder_delivery as delivery;
use millrudder_intake::{CallNumber, Input, Output, Submission, SubmissionResult};
use millrudder_protocol::message::Message;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::{LeaseToken, MessageId, StoreId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

impl EdgeHost {
    /// Passes a client's message to intake, and keeps the client waiting for the outcome.
    pub(super) fn handle_submission(
        &mut self,
        submitted: ClientMessage,
        reply: oneshot::Sender<SubmissionResult>,
    ) {
        let now = self.clock.now();
        let message = Arc::new(submitted.message);
        let call = self.clients.add_submission(Arc::clone(&message), reply, now);
        let submission = Submission {
            message: Message::clone(&message),
            target: submitted.shard,
            deadline: now + Duration::from_millis(submitted.answer_within.as_millis() as u64),
        };
        self.handle_intake(Input::Submit { call, submission: Box::new(submission) });
    }

    /// Passes an input to intake and carries out its outputs.
    pub(super) fn handle_intake(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.intake.handle(self.clock.now(), input, &mut outputs);
        for output in outputs {
            match output {
                Output::ToStore { store, message } => {
                    if let FromDispatcher::Withdraw { id } = &message {
                        log::debug!(
                        store_id:% = LoggedStoreId(store), message_id:% = id;
                        "store too slow, message withdrawn there"
                        );
                    }
                    self.stores.send(store, message);
                }
                Output::SubmissionEnded { call, result } => self.answer_submission(call, result),
                Output::Deliver { store, id, token, call: _ } => self.deliver_accepted(store, id, token),
                Output::QueryEnded { call, result } => self.clients.answer_query(call, result),
            }
        }
    }

    fn answer_submission(&mut self, call: CallNumber, answer: SubmissionResult) {
        let Some(client) = self.clients.take_submission(call) else { return };
        if let SubmissionResult::Accepted { id } = answer {
            let now = self.clock.now();
            self.messages.insert(now, id, Arc::clone(&client.message));
            let elapsed_ms = (now - client.arrived_at).as_millis() as u64;
            log::debug!(message_id:% = id, elapsed_ms; "message accepted");
        }
        client.answer(answer);
    }

    /// The store that has just accepted a message grants its delivery to this dispatcher.
    fn deliver_accepted(&mut self, store: StoreId, id: MessageId, token: LeaseToken) {
        if self.is_of_former_primary(id, token) {
            return;
        }
        if let Some(message) = self.granted_message(store, id, token, None) {
            let deliver =
                delivery::Input::Deliver { store, id, token, age_ms: 0, failed_attempts: 0, message };
            self.handle_delivery(deliver);
        }
    }
}
