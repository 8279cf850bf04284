//! The page for on-call engineers lists every line of the levels `warn` and `error`.

use std::fs;
use std::path::{Path, PathBuf};

/// The sources of the program's shells, and the page, seen from this package.
const SOURCES: [&str; 3] = ["src", "../transport/src", "../http/src"];
const PAGE: &str = "../../../docs/operators/logs.md";
const MACROS: [&str; 2] = ["log::warn!(", "log::error!("];

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let files = entries.flat_map(|path| match path.is_dir() {
        true => source_files(&path),
        false => vec![path],
    });
    files.filter(|path| path.extension().is_some_and(|extension| extension == "rs")).collect()
}

/// The messages that a source file logs at these levels: the first string among the arguments of each macro.
fn messages(source: &str) -> Vec<String> {
    let calls = MACROS.iter().flat_map(|name| source.split(name).skip(1));
    // No value of a pair is a string literal, so that the first one is the message.
    let messages = calls.map(|call| call.split('"').nth(1).expect("a message is a string").to_owned());
    messages.collect()
}

#[test]
fn the_operators_page_lists_every_warning_and_error() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(package.join(PAGE)).unwrap();
    let files = SOURCES.iter().flat_map(|folder| source_files(&package.join(folder)));
    let logged: Vec<String> = files.flat_map(|file| messages(&fs::read_to_string(file).unwrap())).collect();
    assert!(logged.len() >= 10, "only these are found: {logged:?}");
    for message in logged {
        assert!(page.contains(&format!("| `{message}` |")), "the page lacks: {message}");
    }
}
