//! A model of an operator: puts configurations and repeats unchanged what got no clear answer, at any core machine.

use crate::event::Call;
use crate::history::{Configuration, ContentId, Request, Response};
use crate::{MILLISECOND, SECOND};

/// An operator moves on after this silence (microseconds).
pub const CALL_TIMEOUT: u64 = SECOND;
/// Shortest and longest pause before the same order goes to another machine.
const RETRY_PAUSE: std::ops::Range<u64> = 50 * MILLISECOND..300 * MILLISECOND;
/// Largest step between two versions.
const MAX_VERSION_STEP: u64 = 3;

/// One call that is not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct InFlightCall {
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
    request: Option<Request>,
    pub in_flight: Option<InFlightCall>,
    /// Longest pause between two orders (microseconds).
    pub max_pause: u64,
    /// Orders that were accepted; one of them is repeated now and then.
    accepted: Vec<Request>,
    bodies: u64,
}

impl Operator {
    pub fn new(index: usize, max_pause: u64) -> Self {
        Operator {
            index,
            current: 0,
            request: None,
            in_flight: None,
            max_pause,
            accepted: Vec::new(),
            bodies: 0,
        }
    }

    /// What to ask next: the order that has no clear answer yet, or a new one.
    pub fn next_request(&mut self, random: &mut fastrand::Rng) -> Request {
        let request = self.request.unwrap_or_else(|| self.draw(random));
        self.request = Some(request);
        request
    }

    fn draw(&mut self, random: &mut fastrand::Rng) -> Request {
        match random.u8(0..10) {
            0 | 1 => Request::Get,
            2 if !self.accepted.is_empty() => self.accepted[random.usize(0..self.accepted.len())],
            _ => {
                self.bodies += 1;
                let body = ContentId((self.index as u64 + 1) << 32 | self.bodies);
                let version = self.current + random.u64(1..=MAX_VERSION_STEP);
                Request::Put { expected: self.current, configuration: Configuration { version, body } }
            }
        }
    }

    /// A clear answer ends the order; gives the pause before the next call.
    pub fn responded(&mut self, response: Response, random: &mut fastrand::Rng) -> u64 {
        self.in_flight = None;
        let Some(request) = self.request else { return self.pause(random) };
        match (request, response) {
            (_, Response::Unavailable) => return random.u64(RETRY_PAUSE),
            (Request::Put { configuration, .. }, Response::Accepted) => {
                self.current = self.current.max(configuration.version);
                if !self.accepted.contains(&request) {
                    self.accepted.push(request);
                }
            }
            (Request::Put { .. }, _) => {
                // Somebody else was faster: look first what is current.
                self.request = Some(Request::Get);
                return random.u64(RETRY_PAUSE) / 8;
            }
            (Request::Get, Response::Current(current)) => {
                self.current = current.map_or(0, |current| current.version);
            }
            (Request::Get, _) => {}
        }
        self.request = None;
        self.pause(random)
    }

    /// The call has stayed silent; gives the pause before the same order is sent again.
    pub fn timed_out(&mut self, random: &mut fastrand::Rng) -> u64 {
        self.in_flight = None;
        random.u64(RETRY_PAUSE)
    }

    /// Orders that were accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    fn pause(&self, random: &mut fastrand::Rng) -> u64 {
        random.u64(MILLISECOND..=self.max_pause.max(2 * MILLISECOND))
    }
}
