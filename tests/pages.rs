//! The pages for readers of the code are true to it: each file and folder that they name exists, and each type that
//! stands before a file is in it.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const PAGES: [&str; 4] = ["README.md", "CONTRIBUTING.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md"];
/// Folders at the root whose paths the pages name.
const ROOTS: [&str; 9] =
    ["src/", "tests/", "balancer/", "coordination/", "system/", "testing/", "deploy/", "docs/", "journal/"];
/// Headings of the glossary whose tables name what no longer exists.
const OLD_NAMES: &str = "## Old names to new";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The text of a page that speaks of the present.
fn present(page: &str) -> String {
    let text = read(&root().join(page));
    text.split(OLD_NAMES).next().unwrap_or_default().to_owned()
}

/// What stands between backquotes, line by line.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// A path of the repository; patterns and commands are none.
fn is_path(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "/._-".contains(c);
    ROOTS.iter().any(|folder| text.starts_with(folder)) && text.chars().all(plain)
}

#[test]
fn every_path_on_the_pages_exists() {
    let mut missing = BTreeSet::new();
    for page in PAGES {
        let text = present(page);
        let paths = quoted(&text).filter(|text| is_path(text));
        let absent = paths.filter(|path| !root().join(path).exists());
        missing.extend(absent.map(|path| format!("{page}: {path}")));
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn every_link_on_the_pages_leads_somewhere() {
    let mut missing = BTreeSet::new();
    for page in PAGES {
        let text = present(page);
        let folder = root().join(page).parent().expect("a page is in a folder").to_path_buf();
        let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
        let absent = targets.filter(|target| !folder.join(target).exists());
        missing.extend(absent.map(|target| format!("{page}: {target}")));
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

/// Types of the form "`Type` (`path/of/file.rs`)", also several before one file or several files.
fn types_with_files(text: &str) -> Vec<(Vec<String>, Vec<String>)> {
    let mut found = Vec::new();
    for (position, _) in text.match_indices(" (`") {
        let (before, after) = (&text[..position], &text[position + 2..]);
        let Some((inside, _)) = after.split_once(')') else { continue };
        let files: Vec<String> =
            quoted(inside).filter(|text| text.ends_with(".rs")).map(str::to_owned).collect();
        let line = before.rsplit(['\n', '|']).next().unwrap_or_default();
        let mut names: Vec<String> = quoted(line).map(str::to_owned).collect();
        let wanted = files.len().min(names.len());
        names = names.split_off(names.len() - wanted);
        let is_type =
            |name: &String| name.starts_with(|c: char| c.is_ascii_uppercase()) && !name.contains(' ');
        names.retain(is_type);
        if !files.is_empty() && !names.is_empty() {
            found.push((names, files));
        }
    }
    found
}

#[test]
fn every_type_before_a_file_is_defined_there() {
    let text = present("docs/ARCHITECTURE.md");
    let found = types_with_files(&text);
    assert!(found.len() >= 20, "only {} types with files were found", found.len());
    let mut missing = BTreeSet::new();
    for (names, files) in found {
        let contents: String = files.iter().map(|file| read(&root().join(file))).collect();
        for name in names {
            let name = name.split("::").next().unwrap_or_default().to_owned();
            let is_defined = ["struct", "enum", "trait", "type"]
                .iter()
                .any(|kind| contents.contains(&format!("{kind} {name}")));
            if !is_defined {
                missing.insert(format!("{name} in {files:?}"));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}
