//! A model of an operator: puts configurations and repeats unchanged what got no clear answer, at any core machine.

use crate::event::Call;
use crate::history::{Answer, Body, Configuration, Order};
use crate::{MILLISECOND, SECOND};

/// An operator moves on after this silence (microseconds).
pub const SILENCE: u64 = SECOND;
/// Shortest and longest pause before the same order goes to another machine.
const AGAIN: std::ops::Range<u64> = 50 * MILLISECOND..300 * MILLISECOND;
/// Largest step between two versions.
const LARGEST_STEP: u64 = 3;

/// One call that is not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct UnderWay {
    pub call: Call,
    /// Place in the history.
    pub operation: usize,
}

/// An operator at their desk.
#[derive(Clone, Debug)]
pub struct Operator {
    pub index: usize,
    /// The version that this operator takes for current.
    current: u64,
    /// The order that is being repeated until it gets a clear answer.
    order: Option<Order>,
    pub under_way: Option<UnderWay>,
    /// Longest pause between two orders (microseconds).
    pub pace: u64,
    /// Orders that were accepted; one of them is repeated now and then.
    accepted: Vec<Order>,
    bodies: u64,
}

impl Operator {
    pub fn new(index: usize, pace: u64) -> Self {
        Operator { index, current: 0, order: None, under_way: None, pace, accepted: Vec::new(), bodies: 0 }
    }

    /// What to ask next: the order that has no clear answer yet, or a new one.
    pub fn next_order(&mut self, random: &mut fastrand::Rng) -> Order {
        let order = self.order.unwrap_or_else(|| self.draw(random));
        self.order = Some(order);
        order
    }

    fn draw(&mut self, random: &mut fastrand::Rng) -> Order {
        match random.u8(0..10) {
            0 | 1 => Order::Get,
            2 if !self.accepted.is_empty() => self.accepted[random.usize(0..self.accepted.len())],
            _ => {
                self.bodies += 1;
                let body = Body((self.index as u64 + 1) << 32 | self.bodies);
                let version = self.current + random.u64(1..=LARGEST_STEP);
                Order::Put { expected: self.current, configuration: Configuration { version, body } }
            }
        }
    }

    /// A clear answer ends the order; gives the pause before the next call.
    pub fn answered(&mut self, answer: Answer, random: &mut fastrand::Rng) -> u64 {
        self.under_way = None;
        let Some(order) = self.order else { return self.pause(random) };
        match (order, answer) {
            (_, Answer::Unavailable) => return random.u64(AGAIN),
            (Order::Put { configuration, .. }, Answer::Accepted) => {
                self.current = self.current.max(configuration.version);
                if !self.accepted.contains(&order) {
                    self.accepted.push(order);
                }
            }
            (Order::Put { .. }, _) => {
                // Somebody else was faster: look first what is current.
                self.order = Some(Order::Get);
                return random.u64(AGAIN) / 8;
            }
            (Order::Get, Answer::Current(current)) => {
                self.current = current.map_or(0, |current| current.version);
            }
            (Order::Get, _) => {}
        }
        self.order = None;
        self.pause(random)
    }

    /// The call has stayed silent; gives the pause before the same order is sent again.
    pub fn silent(&mut self, random: &mut fastrand::Rng) -> u64 {
        self.under_way = None;
        random.u64(AGAIN)
    }

    /// Orders that were accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    fn pause(&self, random: &mut fastrand::Rng) -> u64 {
        random.u64(MILLISECOND..=self.pace.max(2 * MILLISECOND))
    }
}
