//! Unit tests of `list`.

use super::*;
use crate::json;
use millrudder_testing::garbage;

const LIST: &str = r#"{"generation":43,"reset":false,"instances":[{"instanceId":"s-1",
        "hostPort":"127.0.0.9:7070","zone":"z","machineType":"m","cell":3,"lifecycle":"leaving","startedAtMs":0},
        {"instanceId":"s-2","hostPort":"","lifecycle":"left"}]}"#;

fn read(text: &[u8]) -> Result<List, JsonError> {
    read_list(&Node::root(&json::parse(text)?))
}

#[test]
fn a_list_with_a_bad_entry_is_refused_as_a_whole() {
    let list = read(LIST.replace(r#""hostPort":"","#, "").as_bytes()).unwrap();
    assert_eq!((list.generation, list.update.whole, list.update.entries.len()), (43, false, 2));
    let first = &list.update.entries[0];
    assert_eq!((first.cell, first.state, first.started_at), (3, WorkerState::Leaving, None));
    let error = read(LIST.as_bytes()).unwrap_err().to_string();
    assert_eq!(error, "key instances[1].hostPort: an address with a port is wanted");
    garbage(7, LIST.as_bytes(), |bytes| drop(read(bytes)));
}
