//! The client of the control socket.

use crate::messages::{to_line, Answer, Question, LINE_LIMIT};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{error, fmt};

/// Longest wait for each read and write.
/// Longest wait for each read and write.
const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub enum AskError {
    /// No process listens on the socket, or it cannot be connected to.
    Unreachable(PathBuf, io::Error),
    /// The dispatcher was connected to, but sent no answer.
    NoAnswer(io::Error),
    /// The answer is not one that this version knows.
    InvalidAnswer(String),
}

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AskError::Unreachable(path, error) => write!(f, "{}: {error}", path.display()),
            AskError::NoAnswer(error) => write!(f, "no answer: {error}"),
            AskError::InvalidAnswer(text) => write!(f, "unknown answer: {text}"),
        }
    }
}

impl error::Error for AskError {}

/// Sends one question and returns the answer.
///
/// # Errors
/// The question could not be sent, or was not answered.
pub fn ask(path: &Path, question: Question) -> Result<Answer, AskError> {
    let stream = UnixStream::connect(path).map_err(|e| AskError::Unreachable(path.to_owned(), e))?;
    let line = exchange(stream, question).map_err(AskError::NoAnswer)?;
    serde_json::from_str(&line).map_err(|_| AskError::InvalidAnswer(line))
}

fn exchange(mut stream: UnixStream, question: Question) -> io::Result<String> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(&to_line(&question))?;
    let mut line = String::new();
    BufReader::new(stream.take(LINE_LIMIT as u64)).read_line(&mut line)?;
    if line.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}
