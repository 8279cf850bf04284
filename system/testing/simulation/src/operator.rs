//! A model of an operator: updates the configuration, and retries requests without a definite response at any core
//! machine.

use crate::event::Call;
use crate::history::{Configuration, ContentId, Request, Response};
use crate::random_time::{random_duration, whole_micros};
use crate::MILLISECOND;
use std::time::Duration;

/// An operator retries a call without a response after this time.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a retry at another machine.
const RETRY_PAUSE: std::ops::Range<Duration> = Duration::from_millis(50)..Duration::from_millis(300);
/// Greatest step between two versions.
const MAX_VERSION_STEP: u64 = 3;

/// A call without a response yet.
#[derive(Clone, Copy, Debug)]
pub struct InFlightCall {
    /// The call.
    pub call: Call,
    /// Index of the operation in the history.
    pub operation: usize,
}

/// The state of one operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The operator's index.
    pub index: usize,
    /// The version that this operator believes to be current.
    current: u64,
    /// The request that is retried until it gets a definite response.
    request: Option<Request>,
    /// The call in flight.
    pub in_flight: Option<InFlightCall>,
    /// Longest pause between two requests.
    pub max_pause: Duration,
    /// Accepted updates; now and then one of them is sent again.
    accepted: Vec<Request>,
    bodies: u64,
}

impl Operator {
    /// An operator that has sent nothing yet.
    pub fn new(index: usize, max_pause: Duration) -> Self {
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

    /// The next request: the one without a definite response yet, or a new one.
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

    /// Handles a response, of which a definite one ends the request. Returns the pause before the next call.
    pub fn responded(&mut self, response: Response, random: &mut fastrand::Rng) -> Duration {
        self.in_flight = None;
        let Some(request) = self.request else { return self.pause(random) };
        match (request, response) {
            (_, Response::Unavailable) => return random_duration(random, RETRY_PAUSE),
            (Request::Put { configuration, .. }, Response::Accepted) => {
                self.current = self.current.max(configuration.version);
                if !self.accepted.contains(&request) {
                    self.accepted.push(request);
                }
            }
            (Request::Put { .. }, _) => {
                // Another operator was faster: read the current version first.
                self.request = Some(Request::Get);
                return Duration::from_micros(whole_micros(random_duration(random, RETRY_PAUSE)) / 8);
            }
            (Request::Get, Response::Current(current)) => {
                self.current = current.map_or(0, |current| current.version);
            }
            (Request::Get, _) => {}
        }
        self.request = None;
        self.pause(random)
    }

    /// Handles a call that timed out. Returns the pause before the retry.
    pub fn timed_out(&mut self, random: &mut fastrand::Rng) -> Duration {
        self.in_flight = None;
        random_duration(random, RETRY_PAUSE)
    }

    /// The number of accepted updates.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    fn pause(&self, random: &mut fastrand::Rng) -> Duration {
        let longest = self.max_pause.max(2 * MILLISECOND);
        Duration::from_micros(random.u64(whole_micros(MILLISECOND)..=whole_micros(longest)))
    }
}
