//! Host names in the form in which they are compared: lower case, without port and without the dot of the root.

use derive_more::{Deref, Display};
use std::borrow::{Borrow, Cow};

/// Host of a route in the form in which hosts are compared; never empty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deref, Display)]
#[deref(forward)]
pub struct HostName(Box<str>);

impl HostName {
    /// The host in a name or in the value of a `Host` header; `None` if nothing is left without the port.
    pub fn new(text: &str) -> Option<Self> {
        let host = normalize(text);
        (!host.is_empty()).then(|| Self(host.into()))
    }
}

impl Borrow<str> for HostName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// The normalized form of `host`; copied only if it has capital letters.
pub(crate) fn normalize(host: &str) -> Cow<'_, str> {
    let named = without_port(host);
    let named = named.strip_suffix('.').unwrap_or(named);
    if named.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(named.to_ascii_lowercase());
    }
    Cow::Borrowed(named)
}

fn without_port(host: &str) -> &str {
    let Some((name, port)) = host.rsplit_once(':') else { return host };
    let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
    // The colons of an IPv6 address stand within brackets when a port follows.
    let complete = !name.contains(':') || name.ends_with(']');
    if is_port && complete {
        name
    } else {
        host
    }
}
