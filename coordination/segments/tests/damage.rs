//! Damage to synced data is reported with its offset, and torn writes are not mistaken for it.

mod support;

use millrudder_checkpoint_store::{
    CrashOutcome, Damage, Folder, SimulatedFolder, StorageError, StoredFile, FRAME_HEADER_BYTES,
};
use millrudder_segments::{SegmentConfig, SegmentError, SegmentLog};
use support::{append_synced, open, records, sealed_log, try_open, SMALL};

#[test]
fn corruption_in_a_sealed_segment_is_reported_with_its_offset() {
    let folder = SimulatedFolder::new(1);
    let (_, positions) = sealed_log(&folder, 2);
    let last = positions[1];
    let file = folder.list().unwrap()[0].clone();
    let length = folder.read(&file).unwrap().len();
    for byte in last.offset as usize..length {
        let corrupted = folder.fork();
        assert!(corrupted.corrupt(&file, byte, 0x20));
        let error = try_open(&corrupted).unwrap_err();
        let SegmentError::Storage(StorageError::Corrupt { file: named, offset, damage: Damage::Frame }) =
            error
        else {
            panic!("{error:?}")
        };
        assert_eq!((&named, offset), (&file, u64::from(last.offset)));
    }
}

#[test]
fn a_sealed_segment_truncated_between_records_is_reported() {
    let folder = SimulatedFolder::new(1);
    let (_, positions) = sealed_log(&folder, 2);
    let file = folder.list().unwrap()[0].clone();
    folder.open(&file).unwrap().set_length(u64::from(positions[1].offset)).unwrap();
    let error = try_open(&folder).unwrap_err();
    let SegmentError::Storage(StorageError::Corrupt { file: named, offset, .. }) = error else {
        panic!("{error:?}")
    };
    assert_eq!((named, offset), (file, u64::from(positions[1].offset)));
}

#[test]
fn a_sealed_segment_truncated_within_a_record_is_reported_also_before_an_unfinished_one() {
    let folder = SimulatedFolder::new(1);
    let _ = sealed_log(&folder, 1);
    let names = folder.list().unwrap();
    let length = folder.read(&names[0]).unwrap().len() as u64;
    folder.open(&names[0]).unwrap().set_length(length - 1).unwrap();
    folder.open(&names[1]).unwrap().set_length(10).unwrap();
    let error = try_open(&folder).unwrap_err();
    assert!(
        matches!(&error, SegmentError::Storage(StorageError::Corrupt { file, .. }) if *file == names[0]),
        "{error:?}"
    );
}

#[test]
fn a_segment_of_another_log_is_rejected() {
    let other = SimulatedFolder::new(1);
    let (mut log, _) = open(&other);
    append_synced(&mut log, b"one record");
    log.roll().unwrap();
    let folder = SimulatedFolder::new(1);
    let _ = sealed_log(&folder, 1);
    let second = folder.list().unwrap()[1].clone();
    let mut file = folder.create(&second).unwrap();
    file.append(&other.read(&second).unwrap()).unwrap();
    let error = try_open(&folder).unwrap_err();
    let expected = Damage::Sequence { expected: 2, found: 1 };
    assert!(
        matches!(&error, SegmentError::Storage(StorageError::Corrupt { damage, .. }) if *damage == expected),
        "{error:?}"
    );
}

#[test]
fn corruption_in_the_active_segment_before_a_later_group_is_reported() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let first = append_synced(&mut log, b"first");
    append_synced(&mut log, b"second");
    let file = folder.list().unwrap()[0].clone();
    for byte in 0..first.offset as usize + FRAME_HEADER_BYTES + 5 {
        let corrupted = folder.fork();
        corrupted.corrupt(&file, byte, 0x01);
        let error = try_open(&corrupted).unwrap_err();
        assert!(
            matches!(error, SegmentError::Storage(StorageError::Corrupt { .. })),
            "byte {byte}: {error:?}"
        );
    }
}

#[test]
fn a_newest_segment_without_a_header_is_rejected_if_the_one_before_is_missing() {
    let folder = SimulatedFolder::new(1);
    let (_, _) = sealed_log(&folder, 1);
    let names = folder.list().unwrap();
    folder.open(&names[1]).unwrap().set_length(10).unwrap();
    let (_, found) = open(&folder.fork());
    assert_eq!(found.len(), 2);
    folder.remove(&names[0]).unwrap();
    let error = try_open(&folder).unwrap_err();
    assert!(matches!(error, SegmentError::Storage(StorageError::Corrupt { offset: 0, .. })), "{error:?}");
}

#[test]
fn a_frame_forged_in_a_payload_is_ignored_without_the_salt() {
    // A log with another salt provides frames which state that all bytes before them were synced.
    let forger = SimulatedFolder::new(1);
    let guessed = SegmentConfig { salt: SMALL.salt + 1, ..SMALL };
    let mut forged_log = SegmentLog::open(forger.clone(), guessed, |_, _| {}).unwrap();
    for _ in 0..2 {
        forged_log.append(&[0; 100]).unwrap();
        forged_log.sync().unwrap();
    }
    let forged = forger.read(&forger.list().unwrap()[0]).unwrap();

    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    append_synced(&mut log, b"kept");
    log.append(&forged).unwrap();
    folder.interrupt_after(1);
    assert!(log.sync().is_err());
    folder.lose_power_with(|_| CrashOutcome::torn(10..FRAME_HEADER_BYTES + forged.len()));
    assert_eq!(records(&open(&folder).1), [b"kept"]);
}
