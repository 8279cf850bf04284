//! Calls to the list.

use crate::page::PageToken;
use std::fmt::Write;
use std::time::Duration;

/// Tells the calls of one reader apart, so that an answer that comes late is not taken for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Goes into the input that tells the outcome.
    pub id: CallId,
    /// The page wanted; none for the first.
    pub page_token: Option<PageToken>,
}

impl Call {
    /// Path and query of the request.
    pub fn target(&self) -> String {
        let mut target = String::from("/instances");
        if let Some(token) = &self.page_token {
            target.push_str("?pageToken=");
            escape(token, &mut target);
        }
        target
    }
}

/// Appends `text` with all but the unreserved characters of URLs escaped.
fn escape(text: &str, target: &mut String) {
    for byte in text.bytes() {
        let unreserved = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
        if unreserved {
            target.push(char::from(byte));
        } else {
            write!(target, "%{byte:02X}").expect("writing to a string does not fail");
        }
    }
}

/// Why a call brought no page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The platform answered 429.
    OverRate {
        /// From the header `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// No connection, no answer, or another status than 200 and 429.
    Unavailable,
    /// The answer is no page.
    Unreadable,
}
