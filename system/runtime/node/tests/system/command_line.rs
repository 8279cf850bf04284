//! The command line, and settings that cannot be used.

use crate::cluster::PROGRAM;
use millrudder_system_standins::{Machine, MachinePlan, SettingsWriter};
use std::fs;
use std::path::Path;
use std::process::{Command, Output};
use tempfile::TempDir;

/// Exit code for whatever keeps the program from serving.
const CANNOT_SERVE: i32 = 2;

fn run(arguments: &[&str], settings: Option<&Path>) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env_remove("MILLRUDDER_SETTINGS");
    if let Some(settings) = settings {
        command.env("MILLRUDDER_SETTINGS", settings);
    }
    command.output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Settings of an edge, a storage and a core machine, in that order.
fn machines() -> (TempDir, Vec<Machine>) {
    let folder = tempfile::tempdir().unwrap();
    let mut writer = SettingsWriter::new(folder.path(), "127.0.0.1:1".parse().unwrap());
    let plans = [MachinePlan::edge("zone-1"), MachinePlan::storage("zone-1"), MachinePlan::core("zone-1")];
    let machines = writer.write(&plans).unwrap();
    (folder, machines)
}

#[test]
fn help_and_version_are_printed() {
    let help = run(&["--help"], None);
    assert!(help.status.success());
    for word in ["edge", "storage", "core", "check", "--settings", "--without", "MILLRUDDER_SETTINGS"] {
        assert!(stdout(&help).contains(word), "--help says nothing of {word}");
    }
    let version = run(&["--version"], None);
    assert!(version.status.success());
    assert_eq!(stdout(&version), concat!("millrudder-system ", env!("CARGO_PKG_VERSION"), "\n"));
}

#[test]
fn an_unknown_command_line_is_rejected() {
    for (arguments, message) in [
        (&[][..], "no command"),
        (&["door"][..], "door"),
        (&["edge", "core"][..], "core"),
        (&["--loud", "edge"][..], "--loud"),
        (&["check", "--settings"][..], "--settings"),
        (&["--without", "luck", "edge"][..], "luck"),
    ] {
        let output = run(arguments, None);
        assert_eq!(output.status.code(), Some(CANNOT_SERVE), "{arguments:?}");
        assert!(stderr(&output).contains(message), "{arguments:?}: {}", stderr(&output));
    }
}

#[test]
fn check_names_the_machine_with_valid_settings() {
    let (_folder, machines) = machines();
    for machine in &machines {
        let path = machine.settings_path();
        for output in
            [run(&["check"], Some(path)), run(&["--settings", path.to_str().unwrap(), "check"], None)]
        {
            assert!(output.status.success(), "{}", stderr(&output));
            assert!(stdout(&output).contains(machine.node_name().as_str()), "{}", stdout(&output));
        }
    }
}

#[test]
fn without_settings_nothing_starts() {
    for arguments in ["check", "edge", "storage", "core"] {
        let output = run(&[arguments], None);
        assert_eq!(output.status.code(), Some(CANNOT_SERVE), "{arguments}");
        assert!(stderr(&output).contains("MILLRUDDER_SETTINGS"), "{arguments}: {}", stderr(&output));
    }
    let missing = Path::new("/nowhere/local.yaml");
    let output = run(&["check"], Some(missing));
    assert_eq!(output.status.code(), Some(CANNOT_SERVE));
    assert!(stderr(&output).contains("/nowhere/local.yaml"), "{}", stderr(&output));
}

#[test]
fn invalid_settings_are_rejected_with_file_and_key() {
    let (_folder, machines) = machines();
    let path = machines[0].settings_path();
    let valid = fs::read_to_string(path).unwrap();
    for (invalid, key) in [
        (with_line(&valid, "ip:", "ip: no-address"), "ip"),
        (with_line(&valid, "bootstrap:", "bootstrap: perhaps"), "bootstrap"),
        (with_line(&valid, "nodeName:", ""), "nodeName"),
        (with_line(&valid, "ephemeralPorts:", "ephemeralPorts: [7, 5, 3]\nignored:"), "ephemeralPorts"),
        (with_line(&valid, "  graceS:", "  graceS: -1"), "bounds.graceS"),
        (with_line(&valid, "  front:", ""), "bindAddrs.front"),
        (valid[..valid.len() / 2].to_owned() + "\n\t: [", ""),
        ("\u{0}\u{1} no YAML".to_owned(), ""),
        (String::new(), "missing"),
    ] {
        fs::write(path, &invalid).unwrap();
        for arguments in ["check", "edge"] {
            let output = run(&[arguments], Some(path));
            let message = stderr(&output).replace('\n', "");
            assert_eq!(output.status.code(), Some(CANNOT_SERVE), "{key}: {message}");
            assert!(message.contains(path.file_name().unwrap().to_str().unwrap()), "{key}: {message}");
            assert!(message.contains(key), "{key}: {message}");
        }
    }
}

#[test]
fn a_role_that_lacks_its_addresses_or_folder_does_not_start() {
    let (_folder, machines) = machines();
    let [edge, storage, core] = &machines[..] else { unreachable!() };
    for (role, machine, key) in [
        ("edge", core, "bindAddrs.front"),
        ("storage", edge, "dataDir"),
        ("core", storage, "bindAddrs.controlPlane"),
    ] {
        let output = run(&[role], Some(machine.settings_path()));
        assert_eq!(output.status.code(), Some(CANNOT_SERVE), "{role}");
        assert!(stderr(&output).contains(key), "{role}: {}", stderr(&output));
    }
}

#[test]
fn an_address_in_use_is_named() {
    let (_folder, machines) = machines();
    let front = machines[0].front().unwrap();
    let _taken = std::net::TcpListener::bind(front).unwrap();
    let output = run(&["edge"], Some(machines[0].settings_path()));
    assert_eq!(output.status.code(), Some(CANNOT_SERVE));
    assert!(stderr(&output).contains(&front.to_string()), "{}", stderr(&output));
}

/// The settings with the line that begins with `start` replaced by `line`.
fn with_line(settings: &str, start: &str, line: &str) -> String {
    assert!(settings.lines().any(|known| known.starts_with(start)), "{start} is not in {settings}");
    let replaced: Vec<&str> =
        settings.lines().map(|known| if known.starts_with(start) { line } else { known }).collect();
    replaced.join("\n") + "\n"
}
