//! Names and numbers that tell members, their processes and their records apart.

use std::fmt;

use speedy::{Readable, Writable};
use thiserror::Error;

/// Longest member or zone name in bytes, so that any record fits into one datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The name has no characters.
    #[error("the name is empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[error("the name has {length} bytes, more than {MAX_NAME_BYTES}")]
    TooLong {
        /// Length of the refused name in bytes.
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
            /// [`NameError`] when the name is empty or longer than [`MAX_NAME_BYTES`].
            pub fn new(name: impl Into<String>) -> Result<Self, NameError> {
                let name = name.into();
                check_name(&name)?;
                Ok(Self(name))
            }

            /// The name as text.
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
    /// Name of a member, unique in its group and kept over restarts of the member's process.
    pub struct MemberName;

    /// Name of the zone that a member runs in.
    pub struct Zone;
}

/// Tells one process of a member from its earlier and later ones.
///
/// It must differ between any two processes of one name; the wall clock's microseconds at start serve well. A later
/// process usually has the larger number, but nothing breaks where the clock was set back in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ProcessStart(pub u64);

/// One process of a member: what is pinged, suspected and declared dead.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct MemberId {
    /// The member's name.
    pub name: MemberName,
    /// The process under that name.
    pub start: ProcessStart,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.start.0)
    }
}

/// Orders the records about one name: a record with a larger number replaces one with a smaller.
///
/// Only the member itself raises its number, to refute suspicion or to announce a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Largest number that is accepted from others, far above any wall clock's reading in nanoseconds.
    pub const LIMIT: Self = Self(1 << 62);

    /// The number that replaces this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Separates groups that can reach each other: datagrams of another group are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct GroupId(pub u64);
