//! Events of a core machine, in the queue of the [`CoreHost`](super::host::CoreHost).

use crate::core::messages::ToCorePort;
use crate::core::operator::request::{OperatorRequest, OperatorResponse};
use crate::listen::InboundEvent;
use crate::reopening::UnhostedEvent;
use millrudder_discovery::CallResult;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::sync::oneshot;

/// An event that the owner of a core machine's state handles.
pub enum Event {
    /// Something happened on a connection that another process opened to this machine.
    Inbound(InboundEvent<ToCorePort>),
    /// A connection that this machine opens to another core machine is open.
    PeerOpened {
        /// The internal address of the other one.
        address: SocketAddr,
    },
    /// A founder that was not known at the start has answered with its internal address.
    FounderFound {
        /// The internal address.
        address: SocketAddr,
    },
    /// A seed has answered with its internal address.
    SeedFound {
        /// The internal address.
        address: SocketAddr,
    },
    /// A request of an operator.
    Operator {
        /// The request.
        request: OperatorRequest,
        /// Gets the response; dropped where there is no clear one.
        reply: oneshot::Sender<OperatorResponse>,
    },
    /// A call to the platform's list of workers has ended.
    WorkerListCall(CallResult),
    /// The settings are to be read again.
    Reload {
        /// The settings file.
        file: PathBuf,
    },
    /// The process is asked to stop.
    ShutdownRequested {
        /// Is sent to once the core can do without this machine.
        done: oneshot::Sender<()>,
    },
}

impl UnhostedEvent for Event {
    fn dismiss(self) -> Option<Event> {
        match self {
            Event::Inbound(inbound) => {
                inbound.outbox.close();
                None
            }
            // The caller gets no clear answer, and asks another machine.
            Event::Operator { reply, .. } => {
                drop(reply);
                None
            }
            // Of the host that is gone: its connections and its calls.
            Event::PeerOpened { .. }
            | Event::FounderFound { .. }
            | Event::SeedFound { .. }
            | Event::WorkerListCall(_) => None,
            // One for each signal.
            Event::Reload { .. } | Event::ShutdownRequested { .. } => Some(self),
        }
    }
}
