//! What is asked and answered. Fields that a newer side adds are passed over.

use serde::{Deserialize, Serialize};

/// A question or an answer is no longer than this (bytes).
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
    /// It cannot be answered, and why.
    Refused(String),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    pub process: u32,
    pub version: String,
    /// `serving` or `stopping`.
    pub phase: String,
    /// Jobs that have a place and no answer yet, over all fronts.
    pub jobs_owed: u64,
    /// Since its start (ms).
    pub age_ms: u64,
}

/// One line.
pub fn to_line<T: Serialize>(message: &T) -> Vec<u8> {
    // These types always serialize.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

#[cfg(test)]
mod golden_tests;
