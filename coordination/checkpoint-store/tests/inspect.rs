//! The offline report.

mod support;

use millrudder_checkpoint_store::{
    inspect, CheckpointStore, Folder, Generation, LogContents, LogReport, SimulatedFolder, SlotState,
    StoredFile,
};
use support::name;

fn filled_folder() -> SimulatedFolder {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = CheckpointStore::open(folder.clone()).unwrap();
    store.checkpoint(b"state").unwrap();
    for record in [b"one", b"two"] {
        store.append(record).unwrap();
        store.sync().unwrap();
    }
    folder
}

#[test]
fn an_empty_folder_is_sound() {
    let report = inspect(&SimulatedFolder::new(1)).unwrap();
    assert!(report.is_sound());
    assert!(matches!(report.slots[0].state, SlotState::Absent));
    assert!(report.logs.is_empty());
}

#[test]
fn a_report_describes_the_files_and_changes_nothing() {
    let folder = filled_folder();
    let mut log = folder.open(&name("log-0000000000000001")).unwrap();
    log.append(b"torn").unwrap();
    let before = (folder.counts(), folder.pending());
    let report = inspect(&folder).unwrap();
    assert_eq!((folder.counts(), folder.pending()), before);
    assert!(report.is_sound());
    assert!(matches!(report.recovery, Ok(Generation(1))));
    assert!(matches!(report.slots[1].state, SlotState::Complete { generation: Generation(1), bytes: 5 }));
    let [LogReport { generation: Generation(1), contents: Ok(Some(contents)) }] = &report.logs[..] else {
        panic!("{report:?}")
    };
    assert_eq!(*contents, LogContents { records: 2, bytes: 40 + 2 * (32 + 3), torn_bytes: 4 });
    let text = report.to_string();
    assert!(text.contains("log of generation 1: 2 records, 110 bytes, 4 torn"), "{text}");
    assert!(text.ends_with("sound: generation 1 is in force"), "{text}");
}

#[test]
fn damage_is_reported_with_its_offset() {
    let folder = filled_folder();
    folder.corrupt(&name("log-0000000000000001"), 50, 0xff);
    let report = inspect(&folder).unwrap();
    assert!(!report.is_sound());
    let text = report.to_string();
    let expected = "unsound: log-0000000000000001 is damaged at byte 40: a synced record does not check";
    assert!(text.ends_with(expected), "{text}");
}
