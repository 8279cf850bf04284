//! Messages that arrive at a core machine's internal port.

use millrudder_chain::{CoreMessage, NodeId};
use millrudder_protocol::control::{ToCore, WorkerList};
use speedy::{Readable, Writable};

/// All that can arrive on a connection that somebody opened to a core machine.
#[derive(Clone, Debug, Readable, Writable)]
pub enum ToCorePort {
    /// First on a connection of another core machine.
    Peer {
        id: NodeId,
        address: String,
    },
    /// For the node that has this identity, and no other: a machine whose disk was lost is another node.
    Core {
        to: NodeId,
        message: CoreMessage,
    },
    /// The list as the holder of the reader's lease saw it, and how many dispatchers the sender serves.
    Workers {
        list: WorkerList,
    },
    Dispatchers {
        count: u32,
    },
    /// From a dispatcher or a store.
    Client {
        message: ToCore,
    },
}

/// What a core machine says on a connection that another one opened: nothing but keep-alives.
#[derive(Clone, Debug, Readable, Writable)]
pub enum FromCorePeer {
    Unused,
}

#[cfg(test)]
mod golden_tests;
