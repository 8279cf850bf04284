//! One caller, without I/O: bytes and time in, a call or its refusal out, once.

use crate::command::{parse, Command, CommandError, LINE_LIMIT};

/// For a whole line to come (ms). A bad caller is owed an answer or a close within 3 s.
pub const LINE_TIMEOUT_MS: f64 = 2_000.0;
/// For the core to carry an order out (ms); the answer is owed in 1 s.
pub const ORDER_TIMEOUT_MS: f64 = 800.0;
/// For the caller to take its answer (ms).
pub const CLOSE_TIMEOUT_MS: f64 = 300.0;
/// The line, CR and LF, and one byte to see that there is more.
const BUFFER_LIMIT: usize = LINE_LIMIT + 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its line is awaited ...
    ReadingLine,
    /// ... what it asked for is done ...
    Executing,
    /// ... and it has its answer.
    Closing,
}

pub struct Session {
    stage: Stage,
    /// When the stage's time is up.
    deadline: f64,
    line: Vec<u8>,
}

impl Session {
    pub fn new(now: f64) -> Self {
        Session { stage: Stage::ReadingLine, deadline: now + LINE_TIMEOUT_MS, line: Vec::new() }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn deadline(&self) -> f64 {
        self.deadline
    }

    /// Bytes have come. What comes after the line's end is passed over once the line has been taken.
    pub fn receive(&mut self, bytes: &[u8], now: f64) -> Option<Result<Command, CommandError>> {
        if self.stage != Stage::ReadingLine {
            return None;
        }
        let room = BUFFER_LIMIT - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
        let command = match self.line.iter().position(|b| *b == b'\n') {
            Some(end) if end + 1 < self.line.len() => Err(CommandError::SecondLine),
            Some(end) => parse(&self.line[..end]),
            None if self.line.len() == BUFFER_LIMIT => Err(CommandError::TooLong),
            None => return None,
        };
        Some(self.finish_reading(command, now))
    }

    /// Nothing more comes.
    pub fn end_of_input(&mut self, now: f64) -> Option<Result<Command, CommandError>> {
        (self.stage == Stage::ReadingLine).then(|| self.finish_reading(Err(CommandError::CutShort), now))
    }

    /// The stage's time is up: a refusal where an answer is owed.
    pub fn expire(&mut self, now: f64) -> Option<Result<Command, CommandError>> {
        (self.stage == Stage::ReadingLine).then(|| self.finish_reading(Err(CommandError::TooSlow), now))
    }

    fn finish_reading(
        &mut self,
        command: Result<Command, CommandError>,
        now: f64,
    ) -> Result<Command, CommandError> {
        (self.stage, self.deadline) = (Stage::Executing, now + ORDER_TIMEOUT_MS);
        self.line = Vec::new();
        command
    }

    /// It has been told.
    pub fn answered(&mut self, now: f64) {
        (self.stage, self.deadline) = (Stage::Closing, now + CLOSE_TIMEOUT_MS);
    }

    /// Whose turn it is to go when room is short, lowest first: never one whose call is under way.
    pub fn eviction_rank(&self) -> Option<(u8, f64)> {
        match self.stage {
            Stage::Closing => Some((0, self.deadline)),
            Stage::ReadingLine => Some((1, self.deadline)),
            Stage::Executing => None,
        }
    }
}

#[cfg(test)]
mod tests;
