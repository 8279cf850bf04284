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
mod tests {
    use super::*;
    use millrudder_testing::garbage;

    #[test]
    fn each_call_has_one_form() {
        assert_eq!(parse(b"READY"), Ok(Call::Ready));
        assert_eq!(parse(b"DRAIN\r"), Ok(Call::Drain));
        assert_eq!(parse(b"UNDRAIN"), Ok(Call::Undrain));
        assert_eq!(parse(b"DISABLE s-0badcafe"), Ok(Call::Disable("s-0badcafe".to_owned())));
        assert_eq!(parse(b"ENABLE s-1\r"), Ok(Call::Enable("s-1".to_owned())));
    }

    #[test]
    fn whatever_else_is_named() {
        let long = format!("DISABLE {}", "s".repeat(LINE_LIMIT));
        for (line, wrong) in [
            (&b""[..], BadCall::UnknownWord),
            (b"ready", BadCall::UnknownWord),
            (b"STOP", BadCall::UnknownWord),
            (b"READY now", BadCall::TooMuch),
            (b"DRAIN s-1", BadCall::TooMuch),
            (b"DISABLE", BadCall::MissingId),
            (b"ENABLE s-1 s-2", BadCall::TooMuch),
            (b"ENABLE s/1", BadCall::BadId),
            (b"DISABLE\ts-1", BadCall::NotText),
            (b"DISABLE s-\xff", BadCall::NotText),
            (b"DRAIN\r\r", BadCall::NotText),
            (long.as_bytes(), BadCall::TooLong),
        ] {
            assert_eq!(parse(line), Err(wrong), "{:?}", String::from_utf8_lossy(line));
        }
        garbage(15, b"DISABLE s-0badcafe", |bytes| drop(parse(bytes)));
    }
}
