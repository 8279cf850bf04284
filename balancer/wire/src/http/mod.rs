//! HTTP/1.1 framing for clients and servers, based on httparse: complete messages from a stream of bytes.

mod decode;
mod encode;
#[cfg(test)]
mod tests;

pub use decode::{Decoder, FrameError};
pub use encode::{request, response, CONTINUE};

/// Largest body that the protocol allows (bytes).
pub const BODY_LIMIT: usize = 64 * 1024;
/// Largest head that is accepted (bytes); a head is held in memory until it is complete.
pub const HEAD_LIMIT: usize = 16 * 1024;
/// Most header lines in a head.
const MAX_HEADERS: usize = 64;

/// Header lines in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The first value under this name, compared without regard to case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// All values under this name, compared without regard to case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether a header whose value is a list, such as `Connection`, contains this word.
    fn lists(&self, name: &str, word: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub keep_alive: bool,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub keep_alive: bool,
}
