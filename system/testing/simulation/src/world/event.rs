//! What is scheduled to happen in the world.

use crate::event::{Call, Connection, Payload, Process};
use crate::history::{Answer, Order};
use crate::place::Place;
use millrudder_chain::PersistToken;

#[derive(Clone, Debug)]
pub(super) enum Event {
    /// What `straggles` arrives only on a connection that has ended.
    Arrive {
        connection: Connection,
        to: Place,
        payload: Payload,
        straggles: bool,
    },
    Closed {
        connection: Connection,
        at: Place,
    },
    Synced {
        process: Process,
        token: Option<PersistToken>,
    },
    Tick {
        process: Process,
        at: u64,
    },
    Start {
        place: Place,
    },
    /// The process ends once the others can do without it, and at a time at the latest.
    End {
        process: Process,
        down: u64,
        latest: u64,
    },
    Strike(usize),
    Dial,
    Watch,
    OperatorTurn {
        operator: usize,
    },
    CallArrives {
        call: Call,
        at: Place,
        order: Order,
    },
    AnswerArrives {
        call: Call,
        operator: usize,
        answer: Answer,
    },
    CallSilent {
        call: Call,
        operator: usize,
    },
}

impl Event {
    /// The place that must not stand still for this event to happen.
    pub(super) fn needs(&self) -> Option<Place> {
        match self {
            Event::Arrive { to, .. } => Some(*to),
            Event::Closed { at, .. } | Event::CallArrives { at, .. } => Some(*at),
            Event::Synced { process, .. } | Event::Tick { process, .. } => Some(process.place),
            _ => None,
        }
    }
}
