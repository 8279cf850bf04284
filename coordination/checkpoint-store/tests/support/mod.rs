//! Helpers that the tests of this package share.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod history;

use millrudder_checkpoint_store::{FileName, Folder, SimulatedFolder, StoredFile};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// A folder on the real disk that is removed at the end of the test.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub fn new() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("millrudder-checkpoint-store-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("a new temporary folder");
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Replaces the contents of file `name` by `bytes`, synced.
pub fn replace(folder: &SimulatedFolder, name: &FileName, bytes: &[u8]) {
    let mut file = folder.create(name).expect("a file");
    file.append(bytes).expect("enough capacity");
    file.sync().expect("a healthy disk");
    folder.sync().expect("a healthy disk");
}

pub fn name(text: &str) -> FileName {
    FileName::new(text).expect("a good name")
}
