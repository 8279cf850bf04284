//! Events of a dispatcher, in the queue of the [`EdgeHost`](super::host::EdgeHost).

use crate::edge::front::submission::ClientMessage;
use millrudder_delivery::{AttemptId, AttemptResult, CallBackResult};
use millrudder_intake::{QueryResult, SubmissionResult};
use millrudder_protocol::control::FromCore;
use millrudder_protocol::store::ToDispatcher;
use millrudder_protocol::{MessageId, StoreId};
use millrudder_transport::LinkEvent;
use std::path::PathBuf;
use tokio::sync::oneshot;

/// An event that the owner of a dispatcher's state handles.
pub enum Event {
    /// A client has sent a message.
    Submit {
        /// The message.
        message: Box<ClientMessage>,
        /// Gets the outcome.
        reply: oneshot::Sender<SubmissionResult>,
    },
    /// A client asks for the state of a message, or for its bytes.
    Query {
        /// The message.
        id: MessageId,
        /// Its bytes are asked for.
        body: bool,
        /// Gets the answer.
        reply: oneshot::Sender<QueryResult>,
    },
    /// Something happened on the connection to a store.
    Store {
        /// The store.
        store: StoreId,
        /// What happened.
        event: LinkEvent<ToDispatcher>,
    },
    /// A message of a core machine.
    Core(FromCore),
    /// A call to a worker has ended.
    Attempted {
        /// The attempt that it was made for.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// A call to a receiver of call-backs has ended.
    CalledBack {
        /// The attempt that it was made for.
        attempt: AttemptId,
        /// How it ended.
        result: CallBackResult,
    },
    /// The settings are to be read again.
    Reload {
        /// The settings file.
        file: PathBuf,
    },
    /// The process is asked to stop: nothing new is to be delivered.
    ShutdownRequested,
}
