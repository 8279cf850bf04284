//! Encodings compared byte for byte with committed files.
//!
//! A golden file holds what an earlier version of the program wrote, one `name = hexadecimal bytes` a line. A test builds
//! the same values again and checks both directions: the value encodes to the committed bytes, and the committed bytes
//! decode to the value. A round trip alone would not notice when both sides change together.
//!
//! A file is written only where the environment variable [`WRITE_VARIABLE`] is set, which no test run of the project
//! does: bytes that are in use by stored data or by another version never change.

use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::path::{Path, PathBuf};

/// Set to write the files in place of comparing with them.
pub const WRITE_VARIABLE: &str = "MILLRUDDER_WRITE_GOLDEN";

/// One golden file and what of it a test has looked at.
#[derive(Debug)]
#[must_use = "`finish` notices entries that no value was checked against"]
pub struct Golden {
    path: PathBuf,
    committed: BTreeMap<String, Vec<u8>>,
    checked: Vec<(String, Vec<u8>)>,
    writes: bool,
}

impl Golden {
    /// Reads the golden file at `path`.
    ///
    /// # Panics
    /// The file cannot be read, or a line of it is no entry.
    pub fn open(path: impl AsRef<Path>) -> Self {
        let path = path.as_ref().to_path_buf();
        let writes = std::env::var_os(WRITE_VARIABLE).is_some();
        let committed = if writes { BTreeMap::new() } else { read(&path) };
        Self { path, committed, checked: Vec::new(), writes }
    }

    /// Checks that `value` encodes to the entry `name`, and that the entry decodes to `value`.
    ///
    /// # Panics
    /// Either differs, or there is no such entry.
    pub fn check<T: Debug + PartialEq>(
        &mut self,
        name: &str,
        value: &T,
        encode: impl FnOnce(&T) -> Vec<u8>,
        decode: impl FnOnce(&[u8]) -> T,
    ) {
        let encoded = encode(value);
        let committed = self.entry(name, encoded);
        assert_eq!(decode(&committed), *value, "{name} of {} decodes to something else", self.path.display());
    }

    /// Checks bytes that only the program writes, and returns the committed ones.
    ///
    /// # Panics
    /// They differ, or there is no such entry.
    pub fn entry(&mut self, name: &str, encoded: Vec<u8>) -> Vec<u8> {
        let seen_before = self.checked.iter().any(|(checked, _)| checked == name);
        assert!(!seen_before, "{name} stands twice in the test of {}", self.path.display());
        if !self.writes {
            let committed = self.committed.get(name);
            let committed = committed.unwrap_or_else(|| panic!("{name} is not in {}", self.path.display()));
            assert_eq!(
                hex(&encoded),
                hex(committed),
                "{name} of {} is encoded otherwise",
                self.path.display()
            );
        }
        self.checked.push((name.to_owned(), encoded.clone()));
        encoded
    }

    /// Ends the comparison.
    ///
    /// # Panics
    /// An entry of the file was not checked, or the file cannot be written.
    pub fn finish(self) {
        if self.writes {
            let lines = self.checked.iter().map(|(name, bytes)| format!("{name} = {}\n", hex(bytes)));
            std::fs::write(&self.path, lines.collect::<String>()).expect("a golden file can be written");
            return;
        }
        let is_unchecked = |name: &&String| self.checked.iter().all(|(checked, _)| checked != *name);
        let unchecked: Vec<&String> = self.committed.keys().filter(is_unchecked).collect();
        assert!(unchecked.is_empty(), "not checked, of {}: {unchecked:?}", self.path.display());
    }
}

fn read(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(path);
    let text = text.unwrap_or_else(|error| panic!("{} cannot be read: {error}", path.display()));
    let entry = |line: &str| {
        let (name, bytes) = line.split_once(" = ")?;
        Some((name.to_owned(), bytes_of(bytes)?))
    };
    let entries = text.lines().map(|line| entry(line).unwrap_or_else(|| panic!("no entry: {line}")));
    entries.collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes_of(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes().chunks(2);
    digits.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}
