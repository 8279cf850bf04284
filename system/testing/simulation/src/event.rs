//! What happens to a machine and what it does.

use crate::history::{Request, Response};
use crate::machine_id::MachineId;
use millrudder_chain::{CoreMessage, FencingToken, NodeId, RequestId, View};
use millrudder_control_state::Reply;
use millrudder_protocol::control::{FromCore, ToCore, WorkerList};
use millrudder_protocol::store::{BetweenStores, FromDispatcher, ToDispatcher};
use millrudder_protocol::{MessageId, StoreId};
use std::net::SocketAddr;

/// Number of a connection; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// Number of one call of an operator; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call(pub u64);

/// What travels on a connection.
#[derive(Clone, Debug)]
pub enum Payload {
    /// First on a connection between core machines.
    Peer {
        id: NodeId,
        address: String,
    },
    Core {
        to: NodeId,
        message: CoreMessage,
    },
    Workers {
        list: WorkerList,
    },
    ToCore(ToCore),
    FromCore(FromCore),
    /// First on a connection to a store.
    Addressed {
        store: StoreId,
    },
    Stores(BetweenStores),
    FromDispatcher(FromDispatcher),
    ToDispatcher(ToDispatcher),
}

/// Whom a connection is to reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    pub address: SocketAddr,
    /// The store that is meant, where a store is: another disk may answer at its address.
    pub store: Option<StoreId>,
}

impl Target {
    /// A core machine.
    pub fn core(address: SocketAddr) -> Target {
        Target { address, store: None }
    }

    /// A store.
    pub fn store(address: SocketAddr, store: StoreId) -> Target {
        Target { address, store: Some(store) }
    }
}

/// Something happens to a machine.
#[derive(Clone, Debug)]
pub enum ProcessInput {
    /// A connection that this machine dialed is open.
    Connected {
        connection: Connection,
        target: Target,
    },
    /// Another machine has opened a connection to this one.
    Accepted {
        connection: Connection,
    },
    Closed {
        connection: Connection,
    },
    Received {
        connection: Connection,
        payload: Payload,
    },
    /// The writes begun so far, up to the sync that ends now, are durable.
    Synced,
    Tick,
    /// SIGTERM.
    ShutdownRequested,
    /// An operator calls.
    OperatorCall {
        call: Call,
        request: Request,
    },
}

/// Something that a machine does.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        connection: Connection,
        payload: Payload,
    },
    Close {
        connection: Connection,
    },
    /// Something was appended to the disk and is to be synced.
    Sync,
    /// Answers an operator.
    Response {
        call: Call,
        response: Response,
    },
    /// For the checks alone.
    Observe(Observation),
}

/// What the checks see of a machine's doings.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A core machine told a registrant which configuration is in force.
    ConfigurationPublished {
        version: u64,
    },
    /// A core machine has a command applied.
    Committed {
        sequence: u64,
        request_id: RequestId,
        command: Vec<u8>,
        reply: Reply,
    },
    ViewEntered {
        view: View,
    },
    LeaseGranted {
        fencing: FencingToken,
    },
    /// A holder of the lease acted under this number.
    ActedAsLeaseHolder {
        fencing: FencingToken,
    },
    /// A dispatcher holds this now.
    Adopted {
        configuration: u64,
        placement: u64,
        workers: (u64, u64),
    },
    /// A dispatcher was told that a message is kept.
    Accepted {
        id: MessageId,
    },
    /// A dispatcher asked for a message that had been kept, and was told of it, or not.
    Queried {
        id: MessageId,
        core_addresses: bool,
    },
    /// A dispatcher began to run a message.
    Executed {
        id: MessageId,
    },
    /// A store said that the success of a run is kept.
    Recorded {
        id: MessageId,
    },
}

/// Who is at a place and how often its process has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    pub machine_id: MachineId,
    pub incarnation: u32,
}
