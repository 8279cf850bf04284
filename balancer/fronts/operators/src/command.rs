//! What operators can ask for, read from one line.

use millrudder_exchange::intake::{is_id, ID_LIMIT};
use std::fmt;

/// Bytes of one line; the longest call has a word and an id.
pub const LINE_LIMIT: usize = 2 * ID_LIMIT;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Can this process serve?
    Ready,
    /// Leave this worker out ...
    Disable(String),
    /// ... and put it back.
    Enable(String),
    /// Send clients away ...
    Drain,
    /// ... and take them again.
    Undrain,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadCall {
    NotText,
    TooLong,
    UnknownWord,
    MissingId,
    BadId,
    TooMuch,
    SecondLine,
    CutShort,
    TooSlow,
}

impl fmt::Display for BadCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadCall::NotText => "the line is no plain text",
            BadCall::TooLong => "the line is too long",
            BadCall::UnknownWord => "known are READY, DISABLE ID, ENABLE ID, DRAIN and UNDRAIN",
            BadCall::MissingId => "the id of a worker is missing",
            BadCall::BadId => "no worker can have that id",
            BadCall::TooMuch => "there is more on the line than the call takes",
            BadCall::SecondLine => "one call to a connection",
            BadCall::CutShort => "the line did not end",
            BadCall::TooSlow => "the line did not come in time",
        })
    }
}

/// Reads a line without its end.
///
/// # Errors
/// What is wrong with it. Nothing is guessed: half an id could name another worker.
pub fn parse(line: &[u8]) -> Result<Call, BadCall> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.len() > LINE_LIMIT {
        return Err(BadCall::TooLong);
    }
    let printable = line.iter().all(|b| b.is_ascii_graphic() || *b == b' ');
    let line = std::str::from_utf8(line).ok().filter(|_| printable).ok_or(BadCall::NotText)?;
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let word = words.next().ok_or(BadCall::UnknownWord)?;
    let (id, more) = (words.next(), words.next().is_some());
    let alone = |call| if id.is_some() { Err(BadCall::TooMuch) } else { Ok(call) };
    let worker = |call: fn(String) -> Call| match id {
        None => Err(BadCall::MissingId),
        Some(_) if more => Err(BadCall::TooMuch),
        Some(id) if !is_id(id) => Err(BadCall::BadId),
        Some(id) => Ok(call(id.to_owned())),
    };
    match word {
        "READY" => alone(Call::Ready),
        "DRAIN" => alone(Call::Drain),
        "UNDRAIN" => alone(Call::Undrain),
        "DISABLE" => worker(Call::Disable),
        "ENABLE" => worker(Call::Enable),
        _ => Err(BadCall::UnknownWord),
    }
}

#[cfg(test)]
mod tests;
