//! The state of one operator's connection, without I/O: bytes and times are passed in, and exactly one command or error
//! comes out.

use crate::command::{parse, Command, CommandError, LINE_LIMIT};

/// Time (ms) for the whole line to arrive. Even a misbehaving client must get an answer or a close within 3 s.
pub const LINE_TIMEOUT_MS: f64 = 2_000.0;
/// Time (ms) for the core to carry out an order. The operator must get an answer within 1 s.
pub const ORDER_TIMEOUT_MS: f64 = 800.0;
/// Time (ms) for the operator to read the answer before the connection is closed.
pub const CLOSE_TIMEOUT_MS: f64 = 300.0;
/// Bytes buffered: the line, CR and LF, and one byte that shows that there is more input.
const BUFFER_LIMIT: usize = LINE_LIMIT + 3;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The line is not yet complete.
    ReadingLine,
    /// The command is being executed.
    Executing,
    /// The answer was sent; the operator has time to read it.
    Closing,
}

/// The state of one connection.
pub struct Session {
    stage: Stage,
    /// When the time for the current stage is over (ms on the dispatcher's clock).
    deadline: f64,
    /// The part of the line that has arrived.
    line: Vec<u8>,
}

impl Session {
    /// A new connection, waiting for its line.
    pub fn new(now: f64) -> Self {
        Session { stage: Stage::ReadingLine, deadline: now + LINE_TIMEOUT_MS, line: Vec::new() }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// When the time for the current stage is over.
    pub fn deadline(&self) -> f64 {
        self.deadline
    }

    /// Takes bytes that arrived; returns the command or the error once the line is complete. Bytes that arrive after
    /// that are ignored.
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

    /// The operator closed its side. An error if the line was not complete.
    pub fn end_of_input(&mut self, now: f64) -> Option<Result<Command, CommandError>> {
        (self.stage == Stage::ReadingLine).then(|| self.finish_reading(Err(CommandError::CutShort), now))
    }

    /// The time for the current stage is over. An error if the line was not complete.
    pub fn expire(&mut self, now: f64) -> Option<Result<Command, CommandError>> {
        (self.stage == Stage::ReadingLine).then(|| self.finish_reading(Err(CommandError::TooSlow), now))
    }

    /// Starts the next stage and passes the result on.
    fn finish_reading(
        &mut self,
        command: Result<Command, CommandError>,
        now: f64,
    ) -> Result<Command, CommandError> {
        (self.stage, self.deadline) = (Stage::Executing, now + ORDER_TIMEOUT_MS);
        self.line = Vec::new();
        command
    }

    /// The answer was sent.
    pub fn answered(&mut self, now: f64) {
        (self.stage, self.deadline) = (Stage::Closing, now + CLOSE_TIMEOUT_MS);
    }

    /// The order of eviction when the limit on connections is reached, lowest first: answered connections, then silent
    /// ones, by their deadlines. `None` while a command is being executed: never evicted.
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
