//! The offline report.

mod support;

use millrudder_checkpoint_store::{Folder, SimulatedFolder, StoredFile};
use millrudder_segments::{inspect, SegmentId, SegmentState};
use support::open;

fn filled_folder() -> SimulatedFolder {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    log.append(b"one").unwrap();
    log.append(b"two").unwrap();
    log.roll().unwrap();
    log.append(b"three").unwrap();
    log.sync().unwrap();
    folder
}

#[test]
fn a_report_describes_the_segments_and_changes_nothing() {
    let folder = filled_folder();
    let newest = folder.list().unwrap().pop().unwrap();
    folder.open(&newest).unwrap().append(b"torn").unwrap();
    let before = (folder.counts(), folder.pending());
    let report = inspect(&folder).unwrap();
    assert_eq!((folder.counts(), folder.pending()), before);
    assert!(report.is_sound());
    assert_eq!(report.segments[0].segment, SegmentId(0));
    let first = report.segments[0].state.as_ref().unwrap();
    assert_eq!(*first, SegmentState::Records { records: 2, bytes: 40 + 2 * 35, torn_bytes: 0 });
    let text = report.to_string();
    assert!(text.contains("segment 1: 1 records, 77 bytes, 4 torn"), "{text}");
    assert!(text.ends_with("sound: 2 segments"), "{text}");
}

#[test]
fn an_unfinished_segment_is_sound_only_as_the_newest() {
    let folder = filled_folder();
    let names = folder.list().unwrap();
    let newest_truncated = folder.fork();
    newest_truncated.open(&names[1]).unwrap().set_length(5).unwrap();
    let report = inspect(&newest_truncated).unwrap();
    assert!(matches!(report.segments[1].state, Ok(SegmentState::Unfinished)));
    assert!(report.is_sound());

    folder.open(&names[0]).unwrap().set_length(5).unwrap();
    assert!(!inspect(&folder).unwrap().is_sound());
}

#[test]
fn damage_is_reported_with_its_offset() {
    let folder = filled_folder();
    let names = folder.list().unwrap();
    folder.corrupt(&names[0], 45, 0xff);
    let report = inspect(&folder).unwrap();
    let text = report.to_string();
    assert!(text.contains("is damaged at byte 40: a synced record does not check"), "{text}");
    assert!(text.ends_with("unsound: 1 of 2 segments"), "{text}");
}
