//! One page of the list.

use crate::instance::Instance;
use serde::Deserialize;
use thiserror::Error;

millrudder_names::text_types! {
    /// Identifies the next page; opaque, made by the platform.
    pub struct PageToken;
}

/// The answer to one call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Page {
    /// The workers on this page.
    pub instances: Vec<Instance>,
    /// The next page; `None` on the last one.
    #[serde(default)]
    pub next_token: Option<PageToken>,
}

/// The body of an answer is not a page.
#[derive(Debug, Error)]
#[error("the page cannot be read: {0}")]
pub struct PageError(#[from] serde_json::Error);

impl Page {
    /// Parses the body of an answer; the caller limits its length.
    ///
    /// # Errors
    /// The body is not JSON, or an entry lacks its id, service, address, zone or state.
    pub fn from_json(body: &[u8]) -> Result<Self, PageError> {
        let mut page: Self = serde_json::from_slice(body)?;
        page.next_token = page.next_token.filter(|token| !token.is_empty());
        Ok(page)
    }
}
