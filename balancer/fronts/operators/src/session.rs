//! One caller, without I/O: bytes and time in, a call or its refusal out, once.

use crate::command::{parse, BadCall, Call, LINE_LIMIT};

/// For a whole line to come (ms). A bad caller is owed an answer or a close within 3 s.
pub const LINE_MS: f64 = 2_000.0;
/// For the core to carry an order out (ms); the answer is owed in 1 s.
pub const ORDER_MS: f64 = 800.0;
/// For the caller to take its answer (ms).
pub const LEAVE_MS: f64 = 300.0;
/// The line, CR and LF, and one byte to see that there is more.
const HELD_LIMIT: usize = LINE_LIMIT + 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its line is awaited ...
    Listening,
    /// ... what it asked for is done ...
    Asked,
    /// ... and it has its answer.
    Leaving,
}

pub struct Talk {
    stage: Stage,
    /// When the stage's time is up.
    until: f64,
    line: Vec<u8>,
}

impl Talk {
    pub fn new(now: f64) -> Self {
        Talk { stage: Stage::Listening, until: now + LINE_MS, line: Vec::new() }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn until(&self) -> f64 {
        self.until
    }

    /// Bytes have come. What comes after the line's end is passed over once the line has been taken.
    pub fn hear(&mut self, bytes: &[u8], now: f64) -> Option<Result<Call, BadCall>> {
        if self.stage != Stage::Listening {
            return None;
        }
        let room = HELD_LIMIT - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
        let call = match self.line.iter().position(|b| *b == b'\n') {
            Some(end) if end + 1 < self.line.len() => Err(BadCall::SecondLine),
            Some(end) => parse(&self.line[..end]),
            None if self.line.len() == HELD_LIMIT => Err(BadCall::TooLong),
            None => return None,
        };
        Some(self.take(call, now))
    }

    /// Nothing more comes.
    pub fn end(&mut self, now: f64) -> Option<Result<Call, BadCall>> {
        (self.stage == Stage::Listening).then(|| self.take(Err(BadCall::CutShort), now))
    }

    /// The stage's time is up: a refusal where an answer is owed.
    pub fn expire(&mut self, now: f64) -> Option<Result<Call, BadCall>> {
        (self.stage == Stage::Listening).then(|| self.take(Err(BadCall::TooSlow), now))
    }

    fn take(&mut self, call: Result<Call, BadCall>, now: f64) -> Result<Call, BadCall> {
        (self.stage, self.until) = (Stage::Asked, now + ORDER_MS);
        self.line = Vec::new();
        call
    }

    /// It has been told.
    pub fn answered(&mut self, now: f64) {
        (self.stage, self.until) = (Stage::Leaving, now + LEAVE_MS);
    }

    /// Whose turn it is to go when room is short, lowest first: never one whose call is under way.
    pub fn rank(&self) -> Option<(u8, f64)> {
        match self.stage {
            Stage::Leaving => Some((0, self.until)),
            Stage::Listening => Some((1, self.until)),
            Stage::Asked => None,
        }
    }
}

#[cfg(test)]
mod tests;
