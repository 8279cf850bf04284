//! Asks for a message until it has ended.

use millrudder_system_standins::{AcceptedMessage, Client, MessageState, StatusReply};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Between two questions after one message.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// Follows one message at one dispatcher.
pub struct Follower {
    pub client: Client,
    pub asked: SocketAddr,
    pub accepted: AcceptedMessage,
}

impl Follower {
    /// The message's end, once it is told. A dispatcher that cannot tell is asked again.
    pub async fn end(&self) -> MessageState {
        loop {
            let host = &self.accepted.message.host;
            let reply = self.client.status(self.asked, host, &self.accepted.message_id).await;
            match reply {
                Ok(StatusReply::Known(status)) if status.state != MessageState::Queued => {
                    return status.state
                }
                _ => sleep(ASK_EVERY).await,
            }
        }
    }
}
