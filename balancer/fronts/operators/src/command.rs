//! The operators' commands, parsed from one line.

use millrudder_exchange::intake::{is_id, ID_LIMIT};
use std::fmt;

/// Largest line (bytes); the longest command is a word and a worker's id.
pub const LINE_LIMIT: usize = 2 * ID_LIMIT;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Asks whether this process can serve.
    Ready,
    /// Sends no jobs to this worker ...
    Disable(String),
    /// ... until it is enabled again.
    Enable(String),
    /// Drains the dispatcher: tells its clients to go elsewhere ...
    Drain,
    /// ... until the drain is ended.
    Undrain,
}

/// Why a line is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// It contains something other than printable ASCII and spaces.
    NotText,
    /// It is over `LINE_LIMIT` bytes.
    TooLong,
    /// The first word is not a command.
    UnknownWord,
    /// The command needs a worker's id.
    MissingId,
    /// The id has characters or a length that no worker's id has.
    BadId,
    /// There are more words than the command takes.
    TooManyWords,
    /// Bytes follow the end of the line.
    SecondLine,
    /// The connection was closed before the end of the line.
    CutShort,
    /// The line was not complete in time.
    TooSlow,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandError::NotText => "the line is no plain text",
            CommandError::TooLong => "the line is too long",
            CommandError::UnknownWord => "known are READY, DISABLE ID, ENABLE ID, DRAIN and UNDRAIN",
            CommandError::MissingId => "the id of a worker is missing",
            CommandError::BadId => "no worker can have that id",
            CommandError::TooManyWords => "there is more on the line than the call takes",
            CommandError::SecondLine => "one call to a connection",
            CommandError::CutShort => "the line did not end",
            CommandError::TooSlow => "the line did not come in time",
        })
    }
}

/// Parses a line without its line feed.
///
/// # Errors
/// What is wrong with the line. Nothing is guessed: half an id could be the id of another worker.
pub fn parse(line: &[u8]) -> Result<Command, CommandError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.len() > LINE_LIMIT {
        return Err(CommandError::TooLong);
    }
    let printable = line.iter().all(|b| b.is_ascii_graphic() || *b == b' ');
    let line = std::str::from_utf8(line).ok().filter(|_| printable).ok_or(CommandError::NotText)?;
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let word = words.next().ok_or(CommandError::UnknownWord)?;
    let (id, more) = (words.next(), words.next().is_some());
    let without_id = |command| if id.is_some() { Err(CommandError::TooManyWords) } else { Ok(command) };
    let with_id = |command: fn(String) -> Command| match id {
        None => Err(CommandError::MissingId),
        Some(_) if more => Err(CommandError::TooManyWords),
        Some(id) if !is_id(id) => Err(CommandError::BadId),
        Some(id) => Ok(command(id.to_owned())),
    };
    match word {
        "READY" => without_id(Command::Ready),
        "DRAIN" => without_id(Command::Drain),
        "UNDRAIN" => without_id(Command::Undrain),
        "DISABLE" => with_id(Command::Disable),
        "ENABLE" => with_id(Command::Enable),
        _ => Err(CommandError::UnknownWord),
    }
}

#[cfg(test)]
mod tests;
