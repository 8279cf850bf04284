//! Names of files in a folder, validated on construction.

use crate::StorageError;
use std::fmt;

/// Digits of the number in a numbered name, so that the order of names is the order of numbers.
const NUMBER_DIGITS: usize = 16;

/// The name of a file directly in a folder; never a path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileName(String);

impl FileName {
    /// Validates `text` as a file name.
    ///
    /// # Errors
    /// [`StorageError::BadName`] if it is empty, `.` or `..`, or holds a separator or a zero byte.
    pub fn new(text: &str) -> Result<Self, StorageError> {
        let is_relative = matches!(text, "" | "." | "..");
        if is_relative || text.contains(['/', '\\', '\0']) {
            return Err(StorageError::BadName { text: text.to_owned() });
        }
        Ok(Self(text.to_owned()))
    }

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for FileName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The constant part of numbered names such as `log-000000000000002a`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileNamePrefix(&'static str);

impl FileNamePrefix {
    /// Creates a prefix; meant for constants, where an invalid one fails the build.
    ///
    /// # Panics
    /// `text` is empty or holds anything but lower-case ASCII letters.
    #[must_use]
    pub const fn new(text: &'static str) -> Self {
        let bytes = text.as_bytes();
        assert!(!bytes.is_empty(), "a prefix must not be empty");
        let mut index = 0;
        while index < bytes.len() {
            assert!(bytes[index].is_ascii_lowercase(), "a prefix holds lower-case letters only");
            index += 1;
        }
        Self(text)
    }

    /// The prefix as text.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        self.0
    }

    /// The name of the file with this number.
    #[must_use]
    pub fn file(self, number: u64) -> FileName {
        FileName(format!("{}-{number:0width$x}", self.0, width = NUMBER_DIGITS))
    }

    /// The number in `name` if it is a name made by [`FileNamePrefix::file`] with this prefix.
    #[must_use]
    pub fn number(self, name: &FileName) -> Option<u64> {
        let digits = name.as_str().strip_prefix(self.0)?.strip_prefix('-')?;
        let number = u64::from_str_radix(digits, 16).ok()?;
        (self.file(number) == *name).then_some(number)
    }
}
