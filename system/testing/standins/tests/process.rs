//! Processes of the group: their start, signals, logs and ends.

mod support;

use millrudder_system_standins::{
    eventually, ProcessError, ProcessGroup, ProcessLog, ProcessName, ProcessSignal, Role,
};
use std::path::{Path, PathBuf};
use std::time::Duration;
use support::BOUND;

const SETTINGS: &str = "/some/settings.yaml";

fn program() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/process.sh")
}

/// A group with one process that has told its role.
async fn started(role: Role) -> (ProcessGroup, ProcessName, ProcessLog) {
    let mut group = ProcessGroup::new(program()).with_variable("LEVEL", "debug");
    let name = ProcessName::from("one");
    group.start(&name, role, Path::new(SETTINGS)).unwrap();
    let log = group.log(&name).unwrap();
    eventually(BOUND, || log.contains("level")).await.unwrap();
    (group, name, log)
}

fn state_of(id: u32) -> Option<String> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    status.lines().find_map(|line| line.strip_prefix("State:")).map(|state| state.trim().to_owned())
}

#[tokio::test]
async fn a_process_gets_its_role_and_settings() {
    for (role, word) in [(Role::Edge, "edge"), (Role::Core, "core"), (Role::Storage, "storage")] {
        let (_group, _, log) = started(role).await;
        let expected = [format!("role {word}"), format!("settings {SETTINGS}"), "level debug".to_owned()];
        assert_eq!(log.lines(), expected);
    }
}

#[tokio::test]
async fn a_process_gets_few_variables_of_its_caller() {
    let (mut group, name, _log) = started(Role::Edge).await;
    let environment = std::fs::read_to_string(format!("/proc/{}/environ", group.id(&name).unwrap())).unwrap();
    let names = environment.split_terminator('\0').filter_map(|variable| Some(variable.split_once('=')?.0));
    let allowed = ["PATH", "HOME", "LANG", "LEVEL", "MILLRUDDER_SETTINGS"];
    let surplus: Vec<&str> = names.filter(|name| !allowed.contains(name)).collect();
    assert!(surplus.is_empty(), "{surplus:?}");
}

#[tokio::test]
async fn a_process_ends_in_order_when_it_is_told() {
    let (mut group, name, log) = started(Role::Edge).await;
    assert!(group.is_running(&name));
    group.signal(&name, ProcessSignal::Terminate).unwrap();
    let status = group.wait_for_exit(&name, BOUND).await.unwrap();
    assert!(status.success());
    assert!(!group.is_running(&name));
    eventually(BOUND, || log.contains("ending")).await.unwrap();
    let gone = group.signal(&name, ProcessSignal::Terminate);
    assert!(matches!(gone, Err(ProcessError::NotRunning { .. })));
}

#[tokio::test]
async fn a_process_is_told_that_its_settings_have_changed() {
    let (mut group, name, log) = started(Role::Edge).await;
    group.signal(&name, ProcessSignal::HangUp).unwrap();
    eventually(BOUND, || log.contains("reloading")).await.unwrap();
    assert!(group.is_running(&name));
}

#[tokio::test]
async fn a_process_is_frozen_and_thawed() {
    let (mut group, name, _log) = started(Role::Storage).await;
    let id = group.id(&name).unwrap();
    group.signal(&name, ProcessSignal::Stop).unwrap();
    eventually(BOUND, || state_of(id).is_some_and(|state| state.starts_with('T'))).await.unwrap();
    assert!(group.is_running(&name));
    group.signal(&name, ProcessSignal::Continue).unwrap();
    eventually(BOUND, || state_of(id).is_some_and(|state| !state.starts_with('T'))).await.unwrap();
}

#[tokio::test]
async fn a_killed_process_starts_again_under_its_name() {
    let (mut group, name, log) = started(Role::Core).await;
    let first = group.id(&name);
    assert!(matches!(group.start(&name, Role::Core, Path::new(SETTINGS)), Err(ProcessError::Running { .. })));
    group.kill(&name).unwrap();
    assert!(!group.is_running(&name));
    group.start(&name, Role::Core, Path::new(SETTINGS)).unwrap();
    assert_ne!(group.id(&name), first);
    eventually(BOUND, || log.lines().iter().filter(|line| *line == "role core").count() == 2).await.unwrap();
}

#[tokio::test]
async fn all_processes_are_signalled_together() {
    let (mut group, one, _log) = started(Role::Core).await;
    let other = ProcessName::from("other");
    group.start(&other, Role::Edge, Path::new(SETTINGS)).unwrap();
    group.signal_all(ProcessSignal::Kill).unwrap();
    for name in [&one, &other] {
        assert!(!group.wait_for_exit(name, BOUND).await.unwrap().success());
    }
    group.signal_all(ProcessSignal::Kill).unwrap();
}

#[tokio::test]
async fn waiting_for_an_end_is_bounded() {
    let (mut group, name, _log) = started(Role::Edge).await;
    let waited = group.wait_for_exit(&name, Duration::from_millis(20)).await;
    assert!(matches!(waited, Err(ProcessError::StillRunning { .. })));
    let unknown = group.wait_for_exit(&ProcessName::from("unknown"), BOUND).await;
    assert!(matches!(unknown, Err(ProcessError::NotRunning { .. })));
}

#[tokio::test]
async fn processes_end_with_their_group_even_frozen_ones() {
    let (mut group, name, _log) = started(Role::Edge).await;
    let id = group.id(&name).unwrap();
    group.signal(&name, ProcessSignal::Stop).unwrap();
    drop(group);
    assert_eq!(state_of(id), None);
}

#[tokio::test]
async fn a_program_that_is_not_there_is_an_error() {
    let mut group = ProcessGroup::new("/nowhere/at/all");
    let failed = group.start(&ProcessName::from("one"), Role::Edge, Path::new(SETTINGS));
    assert!(matches!(failed, Err(ProcessError::Start { .. })));
}

/// The process group that the kernel has for a process.
fn group_of(id: u32) -> u32 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    // State, parent and group follow the name, which is in brackets.
    let (_, after_name) = stat.rsplit_once(')').unwrap();
    after_name.split_whitespace().nth(2).unwrap().parse().unwrap()
}

#[tokio::test]
async fn processes_apart_are_not_in_the_group_of_their_caller() {
    let name = ProcessName::from("one");
    let own = group_of(std::process::id());
    for (mut group, is_apart) in
        [(ProcessGroup::new(program()), false), (ProcessGroup::new(program()).apart(), true)]
    {
        group.start(&name, Role::Edge, Path::new(SETTINGS)).unwrap();
        let id = group.id(&name).unwrap();
        assert_eq!(group_of(id), if is_apart { id } else { own });
    }
}
