//! Names and numbers that identify members, their processes and versions of their records.

use std::fmt;

use speedy::{Readable, Writable};
use thiserror::Error;

/// Maximum length of member and zone names in bytes. The limit ensures that any record fits into one datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a name is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The name is empty.
    #[error("the name is empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[error("the name has {length} bytes, more than {MAX_NAME_BYTES}")]
    TooLong {
        /// Length of the name in bytes.
        length: usize,
    },
}

fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { length: name.len() });
    }
    Ok(())
}

macro_rules! bounded_names {
    ($($(#[$attribute:meta])* pub struct $name:ident;)+) => {$(
        $(#[$attribute])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
        pub struct $name(#[speedy(length_type = u8)] String);

        impl $name {
            /// Checks and wraps a name.
            ///
            /// # Errors
            /// Returns [`NameError`] if the name is empty or longer than [`MAX_NAME_BYTES`].
            pub fn new(name: impl Into<String>) -> Result<Self, NameError> {
                let name = name.into();
                check_name(&name)?;
                Ok(Self(name))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            pub(crate) fn check(&self) -> Result<(), NameError> {
                check_name(&self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )+};
}

bounded_names! {
    /// Name of a member. It is unique in its group and stays the same across restarts of the member's process.
    pub struct MemberName;

    /// Name of the zone that a member runs in.
    pub struct Zone;
}

/// Distinguishes a process of a member from earlier and later processes with the same name.
///
/// It must differ between any two processes with one name; the wall clock in microseconds at the start of the process is a
/// good choice. A later process normally has a larger number, but a clock that was set back between the starts does no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ProcessStart(pub u64);

/// Identity of one process of a member. Probes, suspicion and death concern a process, not a name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct MemberId {
    /// The member's name.
    pub name: MemberName,
    /// Start of the process.
    pub start: ProcessStart,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.start.0)
    }
}

/// Version of a member's record. A record with a larger incarnation replaces one with a smaller incarnation.
///
/// Only the member itself increases its incarnation, to refute suspicion or to announce a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Largest incarnation accepted from others. It exceeds any realistic reading of the wall clock in nanoseconds.
    pub const LIMIT: Self = Self(1 << 62);

    /// Returns the incarnation that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Identity of a group. Datagrams of other groups are ignored, so that groups can share a network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct GroupId(pub u64);
