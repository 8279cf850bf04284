//! Messages that arrive at a core machine's internal port.

use millrudder_chain::{CoreMessage, NodeId};
use millrudder_protocol::control::{ToCore, WorkerList};
use speedy::{Readable, Writable};

/// A message on a connection that another process opened to a core machine.
#[derive(Clone, Debug, Readable, Writable)]
pub enum ToCorePort {
    /// First message on a connection of another core machine.
    Peer {
        /// The sender's identity.
        id: NodeId,
        /// The address at which the sender listens.
        address: String,
    },
    /// A message of the replication protocol, from another core machine.
    Core {
        /// The node that it is for, and no other: a machine whose disk was lost is another node.
        to: NodeId,
        /// The message.
        message: CoreMessage,
    },
    /// From another core machine: the list of workers, as the holder of the controller's lease read it.
    Workers {
        /// The list.
        list: WorkerList,
    },
    /// From another core machine: how many dispatchers it serves.
    Dispatchers {
        /// Their number.
        count: u32,
    },
    /// From a dispatcher or a store.
    Client {
        /// The message.
        message: ToCore,
    },
}

/// A message of a core machine on a connection that another one opened: there are none but keep-alives.
#[derive(Clone, Debug, Readable, Writable)]
pub enum FromCorePeer {
    /// Is never sent.
    Unused,
}

#[cfg(test)]
mod golden_tests;
