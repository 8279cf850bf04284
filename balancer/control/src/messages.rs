//! Questions and answers on the control socket. Fields that a newer version adds are ignored.

use serde::{Deserialize, Serialize};

/// Longest question or answer (bytes).
pub const LINE_LIMIT: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "lowercase")]
pub enum Question {
    Status,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer {
    Status(Status),
    /// The question was refused; with the reason.
    Refused(String),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    pub process: u32,
    pub version: String,
    /// `serving` or `stopping`.
    pub phase: String,
    /// Jobs that were admitted and have no answer yet, over all fronts.
    pub jobs_owed: u64,
    /// Time since the start of the process (ms).
    pub age_ms: u64,
}

/// Encodes a question or an answer as one line.
pub fn to_line<T: Serialize>(message: &T) -> Vec<u8> {
    // Serializing these types cannot fail.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

#[cfg(test)]
mod golden_tests;
