//! What is scheduled to happen in the world.

use crate::event::{Call, Connection, Payload, ProcessId};
use crate::history::{Request, Response};
use crate::machine_id::MachineId;
use millrudder_chain::PersistToken;

#[derive(Clone, Debug)]
pub(super) enum Event {
    /// What `straggles` arrives only on a connection that has ended.
    Arrive {
        connection: Connection,
        to: MachineId,
        payload: Payload,
        after_close: bool,
    },
    Closed {
        connection: Connection,
        at: MachineId,
    },
    Synced {
        process: ProcessId,
        token: Option<PersistToken>,
    },
    Tick {
        process: ProcessId,
        at: u64,
    },
    Start {
        machine_id: MachineId,
    },
    /// The process ends once the others can do without it, and at a time at the latest.
    End {
        process: ProcessId,
        downtime: u64,
        latest: u64,
    },
    InjectFault(usize),
    Dial,
    CheckInvariants,
    OperatorTurn {
        operator: usize,
    },
    CallArrives {
        call: Call,
        at: MachineId,
        request: Request,
    },
    ResponseArrives {
        call: Call,
        operator: usize,
        response: Response,
    },
    CallTimedOut {
        call: Call,
        operator: usize,
    },
}

impl Event {
    /// The place that must not stand still for this event to happen.
    pub(super) fn needs(&self) -> Option<MachineId> {
        match self {
            Event::Arrive { to, .. } => Some(*to),
            Event::Closed { at, .. } | Event::CallArrives { at, .. } => Some(*at),
            Event::Synced { process, .. } | Event::Tick { process, .. } => Some(process.machine_id),
            _ => None,
        }
    }
}
