//! Disks that fail: a process's writes to files are refused until the disk is restored.

use super::{Cluster, ClusterProcess, PROGRAM};
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Starts the program such that a write over the limit of file sizes fails, as it does on a failed disk, and does not
/// end the process.
pub(super) fn program_that_survives_the_file_limit(folder: &Path) -> PathBuf {
    let path = folder.join("millrudder-system");
    let script = format!("#!/bin/sh\ntrap '' XFSZ\nexec {PROGRAM} \"$@\"\n");
    fs::write(&path, script).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
    path
}

impl Cluster {
    /// From now on each write of this process to a file fails.
    pub fn fail_disk(&mut self, process: ClusterProcess) {
        self.limit_file_size(process, "0");
    }

    /// Writes succeed again.
    pub fn restore_disk(&mut self, process: ClusterProcess) {
        self.limit_file_size(process, "unlimited");
    }

    fn limit_file_size(&mut self, process: ClusterProcess, bytes: &str) {
        let id = self.process_id(process);
        let mut command = Command::new("prlimit");
        command.arg(format!("--pid={id}")).arg(format!("--fsize={bytes}:"));
        let status = command.status().expect("prlimit starts");
        assert!(status.success(), "prlimit ends with {status}");
    }

    /// The process id of a process that runs.
    pub fn process_id(&mut self, process: ClusterProcess) -> u32 {
        let name = self.name_of(process);
        self.processes.id(&name).unwrap_or_else(|| panic!("{name} does not run"))
    }
}
