//! The demo as it is started: it ends by itself or on Ctrl-C, with all its processes.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Lines};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Output, Stdio};

const DEMO: &str = env!("CARGO_BIN_EXE_millrudder-system-demo");
/// Processes of the whole system.
const PROCESSES: usize = 9;
const CANNOT_START: i32 = 2;

/// The system's program, which `cargo test --workspace` builds into the same folder.
fn program() -> PathBuf {
    let program = Path::new(DEMO).with_file_name("millrudder-system");
    assert!(program.is_file(), "{} is missing: cargo build -p millrudder-system", program.display());
    program
}

fn demo(arguments: &[&str]) -> Command {
    let mut command = Command::new(DEMO);
    command.args(arguments).stdin(Stdio::null());
    command
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// The ids of the processes that the demo tells of.
fn process_ids(told: &str) -> Vec<u32> {
    let ids = told.lines().filter_map(|line| line.split_once(" is process ")?.1.parse().ok());
    ids.collect()
}

fn assert_all_gone(told: &str) {
    let ids = process_ids(told);
    assert!(ids.len() >= PROCESSES, "{told}");
    let left: Vec<_> = ids.iter().filter(|id| Path::new(&format!("/proc/{id}")).exists()).collect();
    assert!(left.is_empty(), "{left:?} still run");
}

#[test]
fn three_seconds_of_messages_all_end_as_they_should() {
    program();
    let output = demo(&["--seconds", "3"]).output().unwrap();
    let told = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{told}{}", String::from_utf8_lossy(&output.stderr));
    let end = told.lines().find(|line| line.starts_with("in the end: ")).unwrap_or_else(|| panic!("{told}"));
    assert!(end.contains("backlog 0"), "{end}");
    assert!(!end.contains("accepted 0,"), "{end}");
    assert!(told.contains("configuration 2 was taken"), "{told}");
    assert_all_gone(&told);
}

#[test]
fn ctrl_c_ends_the_demo_with_all_its_processes() {
    program();
    let mut child = demo(&["--rate", "5"]).stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut told = read_until(&mut lines, " 1 s ");
    interrupt(&child);
    told.extend(lines.map(Result::unwrap));
    let told = told.join("\n");
    assert_eq!(child.wait().unwrap().code(), Some(0), "{told}");
    assert!(told.contains("all processes have ended"), "{told}");
    assert_all_gone(&told);
}

#[test]
fn ctrl_c_during_the_start_leaves_nothing_behind() {
    program();
    let mut child = demo(&[]).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let told = read_until(&mut lines, "edge-zone-3-1");
    interrupt(&child);
    let rest: Vec<String> = lines.map(Result::unwrap).collect();
    // It may have become ready just before.
    let code = child.wait().unwrap().code();
    assert!(
        code == Some(CANNOT_START) || rest.iter().any(|line| line.contains("ready")),
        "{code:?} {rest:?}"
    );
    assert_all_gone(&told.join("\n"));
}

fn read_until(lines: &mut Lines<BufReader<ChildStdout>>, text: &str) -> Vec<String> {
    let mut told = Vec::new();
    for line in lines {
        told.push(line.unwrap());
        if told.last().is_some_and(|line| line.contains(text)) {
            return told;
        }
    }
    panic!("the demo has ended before it told {text}: {told:?}");
}

fn interrupt(child: &Child) {
    let pid = Pid::from_raw(i32::try_from(child.id()).unwrap()).unwrap();
    kill_process(pid, Signal::INT).unwrap();
}

#[test]
fn what_cannot_be_started_is_told() {
    for (arguments, told) in [
        (&["--seconds", "soon"][..], "soon"),
        (&["--rate", "0"][..], "--rate"),
        (&["--rate", "NaN"][..], "--rate"),
        (&["--loud"][..], "--loud"),
        (&["--program", "/nowhere/program"][..], "/nowhere/program"),
    ] {
        let output = demo(arguments).output().unwrap();
        assert_eq!(output.status.code(), Some(CANNOT_START), "{arguments:?}");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(errors.contains(told), "{arguments:?}: {errors}");
    }
    let help = demo(&["--help"]).output().unwrap();
    assert!(help.status.success());
    for option in ["--seconds", "--rate", "--program"] {
        assert!(stdout(&help).contains(option), "--help says nothing of {option}");
    }
}
