//! Calls of operators and the answers to them.

use super::event::Event;
use super::{World, LATE};
use crate::control_machine::ControlMachine;
use crate::event::{Call, Happening};
use crate::history::{Answer, Order};
use crate::operator::{self, UnderWay};
use crate::place::Place;

/// Way of a call or an answer between an operator and a machine.
const CALL: std::ops::Range<u64> = 300..3_000;

impl<M: ControlMachine> World<M> {
    pub(super) fn operator_calls(&mut self, operator: usize) {
        let order = self.operators[operator].next_order(&mut self.random);
        let machine = self.random.usize(0..self.cores.len());
        self.next_call += 1;
        let call = Call(self.next_call);
        let operation = self.checks.history.call(operator, machine, order);
        self.operators[operator].under_way = Some(UnderWay { call, operation });
        self.calls.insert(call, (operator, operation, order));
        let late = self.random.f64() < self.plan.noise.late;
        let way = self.random.u64(if late { LATE } else { CALL });
        let at = Place::Core(machine);
        self.schedule(self.now + way, Event::CallArrives { call, at, order });
        self.schedule(self.now + operator::SILENCE, Event::CallSilent { call, operator });
    }

    pub(super) fn call_arrives(&mut self, call: Call, at: Place, order: Order) {
        self.steps += 1;
        if self.is_up(at) {
            self.give(at, Happening::Called { call, order });
        }
    }

    pub(super) fn send_answer(&mut self, from: Place, call: Call, answer: Answer) {
        let Some((operator, _, order)) = self.calls.get(&call).copied() else { return };
        let lost = self.now < self.lose_answers_until || self.random.f64() < self.plan.noise.lost_answers;
        let _ = from;
        if lost {
            return;
        }
        self.checks.answered(order, answer, self.now);
        let at = self.now + self.random.u64(CALL);
        self.schedule(at, Event::AnswerArrives { call, operator, answer });
    }

    pub(super) fn answer_arrives(&mut self, call: Call, operator: usize, answer: Answer) {
        let under_way = self.operators[operator].under_way.filter(|under_way| under_way.call == call);
        let Some(under_way) = under_way else { return };
        self.checks.history.answer(under_way.operation, answer);
        let pause = self.operators[operator].answered(answer, &mut self.random);
        self.schedule(self.now + pause, Event::OperatorTurn { operator });
    }

    pub(super) fn call_silent(&mut self, call: Call, operator: usize) {
        if self.operators[operator].under_way.is_some_and(|under_way| under_way.call == call) {
            let pause = self.operators[operator].silent(&mut self.random);
            self.schedule(self.now + pause, Event::OperatorTurn { operator });
        }
    }
}
