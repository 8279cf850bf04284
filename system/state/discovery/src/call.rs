//! Calls of the platform's API.

use crate::page::{Page, PageToken};
use std::fmt::Write;
use std::time::Duration;

/// Identifies a call of one reader, so that a late answer is not taken for that of another call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Goes into the input that reports the outcome.
    pub id: CallId,
    /// The requested page; `None` for the first.
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

/// Appends `text` with all but the unreserved characters (RFC 3986, section 2.3) escaped.
fn escape(text: &str, target: &mut String) {
    for byte in text.bytes() {
        let is_unreserved = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
        if is_unreserved {
            target.push(char::from(byte));
        } else {
            write!(target, "%{byte:02X}").expect("writing to a string does not fail");
        }
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// The call.
    pub call: CallId,
    /// The page that it returned, or why it returned none.
    pub result: Result<Page, CallFailure>,
}

/// Why a call returned no page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The platform answered 429 (Too Many Requests).
    RateLimited {
        /// From the header `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// No connection, no answer, or another status than 200 and 429.
    Unavailable,
    /// The answer is not a valid page.
    InvalidPage,
}
