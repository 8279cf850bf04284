//! The started program as a child process: its log, signals and exit code.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Longest wait of a test: long enough for a loaded machine, reached only if something hangs.
pub const WAIT: Duration = Duration::from_secs(60);

pub struct Process {
    pub id: u32,
    child: Child,
    log: Receiver<String>,
}

impl Process {
    pub fn spawn(config: &std::path::Path, arguments: &[&std::ffi::OsStr]) -> Self {
        Process::spawn_with(config, arguments, &[])
    }

    pub fn spawn_with(
        config: &std::path::Path,
        arguments: &[&std::ffi::OsStr],
        variables: &[(&str, String)],
    ) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_millrudder"))
            .env("NODE_CONFIG", config)
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env_remove("NODE_NAME")
            .env_remove("NODE_MGMT")
            .env_remove("NODE_INHERITED_FD")
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .args(arguments)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (lines, log) = channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|l| lines.send(l)));
        Process { id: child.id(), child, log }
    }

    /// Waits for a log line that contains these words.
    pub fn log_shows(&self, words: &str) -> bool {
        let end = Instant::now() + WAIT;
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if line.contains(words) {
                return true;
            }
        }
        false
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.id);
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
