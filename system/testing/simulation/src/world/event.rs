//! Scheduled events of the world.

use crate::event::{Call, Connection, Payload, ProcessId};
use crate::history::{Request, Response};
use crate::machine_id::MachineId;
use millrudder_chain::PersistToken;
use millrudder_clock::Instant;
use std::time::Duration;

/// A scheduled event.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A message arrives; one with `after_close` only if the connection is closed by then.
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
        at: Instant,
    },
    Start {
        machine_id: MachineId,
    },
    /// The process ends once it has left, or at the latest time.
    End {
        process: ProcessId,
        downtime: Duration,
        latest: Instant,
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
    /// The machine that handles this event, which waits while the machine is frozen.
    pub(super) fn handled_by(&self) -> Option<MachineId> {
        match self {
            Event::Arrive { to, .. } => Some(*to),
            Event::Closed { at, .. } | Event::CallArrives { at, .. } => Some(*at),
            Event::Synced { process, .. } | Event::Tick { process, .. } => Some(process.machine_id),
            _ => None,
        }
    }
}
