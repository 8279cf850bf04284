//! Inputs and effects of simulated processes.

use crate::history::{Request, Response};
use crate::machine_id::MachineId;
use millrudder_chain::{CoreMessage, FencingToken, NodeId, RequestId, View};
use millrudder_control_state::Reply;
use millrudder_protocol::control::{FromCore, ToCore, WorkerList};
use millrudder_protocol::store::{BetweenStores, FromDispatcher, ToDispatcher};
use millrudder_protocol::{MessageId, StoreId};
use std::net::SocketAddr;

/// Identifies a connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// Identifies one call of an operator; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call(pub u64);

/// A message on a connection.
#[derive(Clone, Debug)]
pub enum Payload {
    /// The first message on a connection between core machines.
    Peer {
        /// The sender's identity.
        id: NodeId,
        /// The sender's address.
        address: String,
    },
    /// A message between core nodes.
    Core {
        /// The receiver's identity.
        to: NodeId,
        /// The message.
        message: CoreMessage,
    },
    /// A worker list that a core machine passes on to another.
    Workers {
        /// The list.
        list: WorkerList,
    },
    /// A message of a registrant to a core machine.
    ToCore(ToCore),
    /// A message of a core machine to a registrant.
    FromCore(FromCore),
    /// The first message on a connection to a store.
    Addressed {
        /// The store that the connection is meant for.
        store: StoreId,
    },
    /// A message between stores.
    Stores(BetweenStores),
    /// A message of a dispatcher to a store.
    FromDispatcher(FromDispatcher),
    /// A message of a store to a dispatcher.
    ToDispatcher(ToDispatcher),
}

/// The target of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The address to dial.
    pub address: SocketAddr,
    /// The store that is meant, if it is a store: another disk may respond at its address.
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

/// An input of a simulated process.
#[derive(Clone, Debug)]
pub enum ProcessInput {
    /// A connection that this process dialed is open.
    Connected {
        /// The connection.
        connection: Connection,
        /// Its target.
        target: Target,
    },
    /// A connection was closed.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// A message arrived.
    Received {
        /// The connection.
        connection: Connection,
        /// The message.
        payload: Payload,
    },
    /// A sync completed: the writes that it covers are durable.
    Synced,
    /// A timer expired.
    Tick,
    /// The process got SIGTERM.
    ShutdownRequested,
    /// An operator sent a request.
    OperatorCall {
        /// The call.
        call: Call,
        /// The request.
        request: Request,
    },
}

/// An effect that a simulated process asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The connection.
        connection: Connection,
        /// The message.
        payload: Payload,
    },
    /// Close a connection.
    Close {
        /// The connection.
        connection: Connection,
    },
    /// Sync what was appended to the disk.
    Sync,
    /// Respond to an operator.
    Response {
        /// The call.
        call: Call,
        /// The response.
        response: Response,
    },
    /// Report an observation to the checks.
    Observe(Observation),
}

/// An observation of a process, for the checks.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A core machine sent the current configuration to a registrant.
    ConfigurationPublished {
        /// Its version.
        version: u64,
    },
    /// A core machine applied a committed command.
    Committed {
        /// Sequence number in the log.
        sequence: u64,
        /// The request that submitted the command.
        request_id: RequestId,
        /// The encoded command.
        command: Vec<u8>,
        /// The result of the command.
        reply: Reply,
    },
    /// A core machine entered a view.
    ViewEntered {
        /// The view.
        view: View,
    },
    /// A core machine was granted the controller's lease.
    LeaseGranted {
        /// Its fencing token.
        fencing: FencingToken,
    },
    /// A lease holder acted.
    ActedAsLeaseHolder {
        /// The fencing token that it acted under.
        fencing: FencingToken,
    },
    /// A dispatcher adopted state.
    Adopted {
        /// Version of its configuration.
        configuration: u64,
        /// Epoch of its placement.
        placement: u64,
        /// Fencing token and number of its worker list.
        workers: (u64, u64),
    },
    /// A message was acknowledged to a dispatcher as accepted.
    Accepted {
        /// The message.
        id: MessageId,
    },
    /// A dispatcher started to execute a message.
    Executed {
        /// The message.
        id: MessageId,
    },
    /// A store acknowledged the success of an execution.
    Recorded {
        /// The message.
        id: MessageId,
    },
}

/// Identifies a process: its machine, and the incarnation of the process there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// The machine.
    pub machine_id: MachineId,
    /// Number of starts and ends of the machine's process so far.
    pub incarnation: u32,
}
