//! Calls of operators to core machines, and the responses.

use super::event::Event;
use super::{World, LONG_DELAY};
use crate::control_machine::ControlMachine;
use crate::event::{Call, ProcessInput};
use crate::history::{Request, Response};
use crate::machine_id::MachineId;
use crate::operator::{self, InFlightCall};
use crate::random_time::random_duration;
use std::time::Duration;

/// Delay of a call or a response between an operator and a machine.
const CALL_DELAY: std::ops::Range<Duration> = Duration::from_micros(300)..Duration::from_micros(3_000);

impl<M: ControlMachine> World<M> {
    pub(super) fn operator_calls(&mut self, operator: usize) {
        let request = self.operators[operator].next_request(&mut self.random);
        let machine = self.random.usize(0..self.cores.len());
        self.next_call += 1;
        let call = Call(self.next_call);
        let operation = self.checks.history.call(operator, machine, request);
        self.operators[operator].in_flight = Some(InFlightCall { call, operation });
        self.calls.insert(call, (operator, operation, request));
        let late = self.random.f64() < self.plan.fault_rates.delayed;
        let way = random_duration(&mut self.random, if late { LONG_DELAY } else { CALL_DELAY });
        let at = MachineId::Core(machine);
        self.schedule(self.now + way, Event::CallArrives { call, at, request });
        self.schedule(self.now + operator::CALL_TIMEOUT, Event::CallTimedOut { call, operator });
    }

    pub(super) fn call_arrives(&mut self, call: Call, at: MachineId, request: Request) {
        self.steps += 1;
        if self.is_up(at) {
            self.deliver(at, ProcessInput::OperatorCall { call, request });
        }
    }

    pub(super) fn send_response(&mut self, call: Call, response: Response) {
        let Some((operator, _, request)) = self.calls.get(&call).copied() else { return };
        let lost =
            self.now < self.lose_responses_until || self.random.f64() < self.plan.fault_rates.lost_responses;
        if lost {
            return;
        }
        self.checks.responded(request, response, self.now);
        let at = self.now + random_duration(&mut self.random, CALL_DELAY);
        self.schedule(at, Event::ResponseArrives { call, operator, response });
    }

    pub(super) fn response_arrives(&mut self, call: Call, operator: usize, response: Response) {
        let in_flight = self.operators[operator].in_flight.filter(|in_flight| in_flight.call == call);
        let Some(in_flight) = in_flight else { return };
        self.checks.history.response(in_flight.operation, response);
        let pause = self.operators[operator].responded(response, &mut self.random);
        self.schedule(self.now + pause, Event::OperatorTurn { operator });
    }

    pub(super) fn call_timed_out(&mut self, call: Call, operator: usize) {
        if self.operators[operator].in_flight.is_some_and(|in_flight| in_flight.call == call) {
            let pause = self.operators[operator].timed_out(&mut self.random);
            self.schedule(self.now + pause, Event::OperatorTurn { operator });
        }
    }
}
