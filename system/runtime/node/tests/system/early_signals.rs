//! Signals that come while a process starts.
//!
//! The soak's planned work (seed 29) ended with a store that did not run: SIGHUP came some 20 ms after its start. Its log has
//! the line `starting` and nothing after it, no error and no panic: the handlers were installed after the settings had been
//! read and the addresses checked, and until then the default action of the signal ends the process without a word. Here the
//! settings come through a pipe, so that the process surely reads them when the signal comes.

use crate::cluster::{Cluster, ClusterProcess, ClusterSize};
use millrudder_system_standins::ProcessSignal;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;

const SIZE: ClusterSize = ClusterSize { core: 1, storage: 1, edge: 1, tolerated_losses: 0 };

fn make_pipe(path: &Path) {
    let status = Command::new("mkfifo").arg(path).status().expect("mkfifo starts");
    assert!(status.success(), "mkfifo ends with {status}");
}

/// Starts a process with its settings in a pipe, and asks it to read them again while it reads them for the first time.
async fn reloads_during_its_start(cluster: &mut Cluster, process: ClusterProcess) {
    cluster.kill(process);
    let folder = TempDir::new().expect("a folder");
    let pipe = folder.path().join("settings.yaml");
    let settings = fs::read(cluster.machines[process.machine].settings_path()).expect("the settings");
    make_pipe(&pipe);
    let name = cluster.name_of(process);
    cluster.processes.start(&name, process.role, &pipe).expect("the process starts");
    // Returns once the process has opened the other end.
    let mut writer = OpenOptions::new().write(true).open(&pipe).expect("the process reads its settings");
    cluster.signal(process, ProcessSignal::HangUp);
    writer.write_all(&settings).expect("the process goes on reading");
    // What is read again is an ordinary file.
    let file = folder.path().join("settings");
    fs::write(&file, &settings).expect("the file");
    fs::rename(&file, &pipe).expect("the file takes the place of the pipe");
    drop(writer);
    cluster.writes(process, "settings reloaded").await;
    assert!(cluster.is_running(process), "{name} has ended");
}

#[tokio::test]
async fn a_process_that_is_told_to_reload_during_its_start_does_not_end() {
    let mut cluster = Cluster::start(SIZE).await;
    for process in cluster.all_processes() {
        reloads_during_its_start(&mut cluster, process).await;
    }
}
