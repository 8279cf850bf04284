//! What a process has written to its standard output and standard error.

use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The lines that a process has written, in the order they came. Clones are the same log.
#[derive(Clone, Debug, Default)]
pub struct ProcessLog {
    lines: Arc<Mutex<Vec<String>>>,
}

impl ProcessLog {
    /// All lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lock().clone()
    }

    /// Whether a line holds `text`.
    pub fn contains(&self, text: &str) -> bool {
        self.lock().iter().any(|line| line.contains(text))
    }

    /// Reads lines on a thread of its own until `source` ends.
    pub(crate) fn follow(&self, source: impl Read + Send + 'static) {
        let log = self.clone();
        std::thread::spawn(move || log.read(source));
    }

    fn read(&self, source: impl Read) {
        for line in BufReader::new(source).split(b'\n') {
            let Ok(line) = line else { return };
            self.lock().push(String::from_utf8_lossy(&line).into_owned());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
