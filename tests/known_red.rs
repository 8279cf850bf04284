//! `make test` skips the tests that KNOWN-RED.txt names, and no others.
//!
//! Guards against two earlier faults. Each name was passed as `--skip NAME` to every test program, which
//! skips all tests whose names contain it, in every package. And only `.ci/run` did this, so that `make test`
//! of the README stopped at the first known failure and left the packages after it untested.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const LIST: &str = "\
a-package/decoders damaged::a_state_is_rejected | overflows | 55
a-package/decoders a_record_is_rejected | overflows | 55
another-package/model the_model_holds | seed 4 | 44
";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// A separate folder for one test, below the build folder.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// The arguments that `.ci/run-test` passes to a test program of this name.
fn arguments(folder: &Path, package: &str, program: &str, list: &str) -> Vec<String> {
    let program = folder.join(program);
    fs::write(&program, "#!/bin/sh\nfor argument in \"$@\"; do echo \"$argument\"; done\n")
        .expect("a program");
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).expect("its mode");
    let list_path = folder.join("list");
    fs::write(&list_path, list).expect("a list");
    let mut command = Command::new(root().join(".ci/run-test"));
    command.arg(&program).arg("--nocapture").env("CARGO_PKG_NAME", package).env("KNOWN_RED", &list_path);
    let output = command.output().expect("the runner starts");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text").lines().map(str::to_owned).collect()
}

#[test]
fn only_the_listed_tests_of_a_program_are_skipped_and_by_their_whole_names() {
    let folder = folder("listed");
    let found = arguments(&folder, "a-package", "decoders-0123456789abcdef", LIST);
    let expected = [
        "--nocapture",
        "--skip",
        "damaged::a_state_is_rejected",
        "--skip",
        "a_record_is_rejected",
        "--exact",
    ];
    assert_eq!(found, expected);
}

#[test]
fn programs_of_other_packages_and_targets_run_as_they_are() {
    let folder = folder("others");
    for (package, program) in
        [("another-package", "decoders-01"), ("a-package", "model-01"), ("a-package", "decoders_more-01")]
    {
        assert_eq!(arguments(&folder, package, program, LIST), ["--nocapture"], "{package} {program}");
    }
}

#[test]
fn without_entries_every_program_runs_as_it_is() {
    let folder = folder("empty");
    assert_eq!(arguments(&folder, "a-package", "decoders-01", ""), ["--nocapture"]);
}

/// A malformed entry would skip nothing, or name a test that no longer exists.
#[test]
fn every_entry_names_a_package_a_target_a_test_a_cause_and_an_issue() {
    for line in fs::read_to_string(root().join("KNOWN-RED.txt")).expect("the list").lines() {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        let [test, cause, issue] = columns[..] else { panic!("three columns: {line}") };
        let (target, test) = test.split_once(' ').unwrap_or_else(|| panic!("a target and a test: {line}"));
        assert!(target.split('/').count() == 2 && !test.contains(' '), "{line}");
        assert!(!cause.is_empty() && issue.parse::<u32>().is_ok(), "{line}");
    }
}
