//! Checks on the source files of the decision module: which of them may decide, and their layout.

use std::fs;
use std::path::Path;

#[test]
fn the_module_is_laid_out_as_agreed() {
    let text = include_str!("../src/rules.rs");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 columns", i + 1);
    }
    assert!(text.lines().take(3).any(|l| l.contains("src/interface.rs")), "the top names the interface");
}

#[test]
fn the_records_decide_nothing() {
    let text = include_str!("../src/state.rs");
    for word in ["Action", "Event", "Settings", "Balancer", "const "] {
        assert!(!text.contains(word), "src/state.rs names {word}: decisions belong into src/rules.rs");
    }
}

/// The files that `deploy/balancer.toml` names as policy.
fn policy_files() -> Vec<&'static str> {
    let deployed = include_str!("../deploy/balancer.toml");
    let line = deployed.lines().find(|line| line.starts_with("policy = ")).expect("a policy");
    line.split('"').skip(1).step_by(2).collect()
}

fn read(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn every_policy_file_says_what_it_is_for_in_lines_of_110_columns() {
    for file in policy_files() {
        let text = read(file);
        assert!(text.starts_with("//! "), "{file} does not say what it is for");
        for (i, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{file}, line {} is longer than 110 columns", i + 1);
        }
    }
}

#[test]
fn every_file_that_decides_is_named_as_policy() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/rules");
    let mut deciding = vec!["src/rules.rs".to_string()];
    for entry in fs::read_dir(folder).expect("the folder of the rules") {
        let name = entry.expect("an entry").file_name().into_string().expect("a name in UTF-8");
        if !["learned_state.rs", "records.rs"].contains(&name.as_str()) {
            deciding.push(format!("src/rules/{name}"));
        }
    }
    deciding.sort_unstable();
    assert_eq!(policy_files(), deciding);
}
