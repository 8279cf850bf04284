//! What tests do with messages: send them, ask for them at any dispatcher, wait for their ends.

use super::{Cluster, BOUND};
use millrudder_system_standins::{
    eventually_some, AcceptedMessage, Behaviour, BodyReply, Message, MessageId, MessageState, MessageStatus,
    Reception, RequestId, StatusReply, Submission, Worker,
};
use std::net::SocketAddr;
use std::time::Duration;

/// A message that was accepted, and where.
#[derive(Clone, Debug)]
pub struct Sent {
    pub accepted: AcceptedMessage,
    pub front: SocketAddr,
}

/// Backoff before a message is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Most attempts of one message within [`BOUND`].
const MAX_ATTEMPTS: usize = 100;

/// The ids of a message's attempts: on a busy machine the first one may get no clear answer.
fn attempt_ids(id: &RequestId) -> Vec<RequestId> {
    let retries = (1..MAX_ATTEMPTS).map(|number| RequestId::new(format!("{id}-try-{number}")));
    std::iter::once(id.clone()).chain(retries).collect()
}

impl Sent {
    /// A message that a dispatcher accepted under a name.
    pub fn new(message: Message, named: Option<MessageId>, front: SocketAddr) -> Self {
        Sent { accepted: AcceptedMessage::new(message, named), front }
    }
}

impl Cluster {
    /// Sends a message to a dispatcher until it is accepted; each attempt has an id of its own, as [`attempt_ids`] has them.
    pub async fn accept(&self, front: SocketAddr, message: &Message) -> Sent {
        let mut ids = attempt_ids(&message.request_id).into_iter();
        let mut outcomes = Vec::new();
        let accepted = eventually_some(BOUND, async || {
            let attempt = message.as_try(ids.next().expect("an attempt is accepted"));
            match self.client.send_until_accepted(&[front], &attempt).await {
                Ok(Submission::Accepted(accepted)) => Some(*accepted),
                Ok(Submission::Refused(
                    refused @ (Reception::Rejected { .. } | Reception::Unexpected { .. }),
                )) => panic!("{} is answered with {refused:?}", message.request_id),
                refused => {
                    outcomes.push(format!("{refused:?}"));
                    // As a client that heeds `Retry-After` would.
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    None
                }
            }
        });
        let accepted = accepted.await;
        let accepted =
            accepted.unwrap_or_else(|_| panic!("{} is not accepted, but: {outcomes:?}", message.request_id));
        Sent { accepted, front }
    }

    /// Waits until a dispatcher says that a message has ended, and returns its end.
    pub async fn end_at(&self, front: SocketAddr, sent: &Sent) -> MessageStatus {
        let ended = eventually_some(BOUND, async || {
            let status = self.status_at(front, sent).await?;
            (status.state != MessageState::Queued).then_some(status)
        });
        let name = &sent.accepted.message.request_id;
        ended.await.unwrap_or_else(|_| panic!("{name} ({}) has not ended", sent.accepted.message_id))
    }

    /// Waits until another dispatcher than the one that accepted a message says that it has ended.
    pub async fn end(&self, sent: &Sent) -> MessageStatus {
        self.end_at(self.other_front(sent.front), sent).await
    }

    /// Waits until a message is said to be completed, by the signature of a run that succeeded.
    pub async fn completed(&self, sent: &Sent) {
        let status = self.end(sent).await;
        let request = &sent.accepted.message.request_id;
        assert_eq!(status.state, MessageState::Completed, "{request}");
        let signatures = self.arrival_log.signatures_of(request);
        assert!(
            status.signature.as_ref().is_some_and(|signature| signatures.contains(signature)),
            "{request} has the signature {:?}, its successes have {signatures:?}",
            status.signature
        );
    }

    /// The answer to a message holds: it completes if it was accepted, and is never executed if it was rejected.
    pub async fn ends_as_acknowledged(&self, message: &Message, reception: Reception, front: SocketAddr) {
        match reception {
            Reception::Accepted { named } => {
                let sent = Sent::new(message.clone(), named, front);
                self.completed(&sent).await;
            }
            Reception::NotTaken { status, .. } => {
                let runs = self.arrival_log.runs_of(&message.request_id);
                assert!(runs.is_empty(), "{} ran after a {status}", message.request_id);
            }
            Reception::Unclear { .. } => {}
            other => panic!("{} is answered with {other:?}", message.request_id),
        }
    }

    /// A worker's behaviour towards all attempts of a message.
    pub fn script(&self, worker: &Worker, id: &str, behaviour: Behaviour) {
        for id in attempt_ids(&id.into()) {
            worker.script().on_request(id, behaviour);
        }
    }

    /// What a dispatcher says of a message now; `None` if it cannot say. One that it does not know is a failure.
    pub async fn status_at(&self, front: SocketAddr, sent: &Sent) -> Option<MessageStatus> {
        let host = &sent.accepted.message.host;
        match self.client.status(front, host, &sent.accepted.message_id).await {
            Ok(StatusReply::Known(status)) => Some(status),
            Ok(StatusReply::Unknown) => panic!("{} is not known", sent.accepted.message.request_id),
            Ok(StatusReply::Unavailable { .. }) | Err(_) => None,
        }
    }

    /// Waits until a dispatcher gives the bytes of a message, and compares them with what was sent.
    pub async fn body_is_stored(&self, front: SocketAddr, sent: &Sent) {
        let message = &sent.accepted.message;
        let bytes = eventually_some(BOUND, async || {
            match self.client.body(front, &message.host, &sent.accepted.message_id).await {
                Ok(BodyReply::Known(bytes)) => Some(bytes),
                Ok(BodyReply::Unknown) => panic!("the bytes of {} are not known", message.request_id),
                Ok(BodyReply::Unavailable { .. }) | Err(_) => None,
            }
        });
        let bytes = bytes.await.unwrap_or_else(|_| panic!("no bytes of {}", message.request_id));
        assert_eq!(bytes, message.body, "the bytes of {}", message.request_id);
    }

    /// Another dispatcher's address, where there is another one.
    pub fn other_front(&self, front: SocketAddr) -> SocketAddr {
        self.fronts().into_iter().find(|other| *other != front).unwrap_or(front)
    }
}
