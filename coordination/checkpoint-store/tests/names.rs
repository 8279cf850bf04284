//! Names of files.

use millrudder_checkpoint_store::{FileName, FileNamePrefix, StorageError};

#[test]
fn paths_are_no_names() {
    for text in ["", ".", "..", "a/b", "/a", "a\\b", "a\0"] {
        assert!(matches!(FileName::new(text), Err(StorageError::BadName { .. })), "{text:?}");
    }
    assert_eq!(FileName::new("log.old").unwrap().as_str(), "log.old");
}

#[test]
fn numbered_names_sort_by_number_and_parse_back() {
    let prefix = FileNamePrefix::new("log");
    let numbers = [0, 1, 9, 10, 255, u64::MAX];
    let names = numbers.map(|number| prefix.file(number));
    assert!(names.is_sorted());
    assert_eq!(names.each_ref().map(|name| prefix.number(name)), numbers.map(Some));
}

#[test]
fn other_names_have_no_number() {
    let prefix = FileNamePrefix::new("log");
    for text in
        ["log", "log-", "log-1", "log-000000000000000G", "log-000000000000000A", "logs-0000000000000001"]
    {
        assert_eq!(prefix.number(&FileName::new(text).unwrap()), None, "{text}");
    }
}
