//! The asking side.

use crate::messages::{to_line, Answer, Question, LINE_LIMIT};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{error, fmt};

const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub enum AskError {
    /// Nobody listens there, or it cannot be reached.
    Unreachable(PathBuf, io::Error),
    /// It was reached and did not answer.
    NoAnswer(io::Error),
    /// What came is no answer that this version knows.
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

/// Asks one question.
///
/// # Errors
/// It could not be asked, or was not answered.
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
