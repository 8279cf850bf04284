//! The log on folders that lose nothing, or fail.

mod support;

use millrudder_checkpoint_store::{
    CrashOutcome, Fault, Folder, RealFolder, SimulatedFolder, StorageError, FILE_HEADER_BYTES,
};
use millrudder_segments::{ConfigError, Position, SegmentConfig, SegmentError, SegmentId, SegmentLog};
use speedy::{Readable, Writable};
use support::{append_synced, open, records, sealed_log, HALF, SMALL};

#[test]
fn a_log_on_a_real_disk_is_recovered() {
    let path = std::env::temp_dir().join(format!("millrudder-segments-{}", std::process::id()));
    let mut appended = Vec::new();
    for round in 0..4_u8 {
        let mut found = Vec::new();
        let folder = RealFolder::open(&path).unwrap();
        let mut log =
            SegmentLog::open(folder, SMALL, |position, record| found.push((position, record.to_vec())))
                .unwrap();
        assert_eq!(found, appended);
        for length in 0..6 {
            let record = vec![round; length * 50];
            appended.push((log.append(&record).unwrap(), record));
        }
        log.sync().unwrap();
        for (position, record) in &appended {
            assert_eq!(log.read(*position).unwrap(), *record);
        }
    }
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn a_group_of_records_costs_one_write_and_one_sync() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let before = folder.counts();
    for _ in 0..10 {
        log.append(&[1; 50]).unwrap();
    }
    log.sync().unwrap();
    log.sync().unwrap();
    let after = folder.counts();
    assert_eq!(after.writes - before.writes, 1);
    assert_eq!(after.file_syncs - before.file_syncs, 1);
    assert_eq!(after.folder_syncs, before.folder_syncs);
}

#[test]
fn a_full_segment_is_followed_by_the_next() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let segments: Vec<u64> = (0..6).map(|_| log.append(&HALF).unwrap().segment.0).collect();
    assert_eq!(segments, [0, 0, 1, 1, 2, 2]);
    for name in folder.list().unwrap() {
        assert!(folder.read(&name).unwrap().len() as u64 <= SMALL.segment_bytes);
    }
}

#[test]
fn records_are_read_before_and_after_their_sync() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let first = log.append(b"first").unwrap();
    let second = log.append(b"second").unwrap();
    assert_eq!(log.read(second).unwrap(), b"second");
    log.sync().unwrap();
    let third = log.append(b"").unwrap();
    assert_eq!(log.read(first).unwrap(), b"first");
    assert_eq!(log.read(third).unwrap(), b"");
}

#[test]
fn a_position_without_a_record_is_rejected() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let position = append_synced(&mut log, b"record");
    for wrong in [
        Position { offset: position.offset + 1, ..position },
        Position { length: position.length - 1, ..position },
        Position { length: u32::MAX, ..position },
        Position { offset: u32::MAX, ..position },
    ] {
        let result = log.read(wrong);
        assert!(matches!(result, Err(SegmentError::Storage(StorageError::Corrupt { .. }))), "{result:?}");
    }
    let unknown = Position { segment: SegmentId(9), ..position };
    assert!(matches!(log.read(unknown), Err(SegmentError::UnknownSegment(SegmentId(9)))));
}

#[test]
fn positions_ascend_and_survive_encoding() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let positions: Vec<_> = (0..9).map(|_| log.append(&HALF).unwrap()).collect();
    assert!(positions.is_sorted());
    let bytes = positions.write_to_vec().unwrap();
    assert_eq!(Vec::<Position>::read_from_buffer(&bytes).unwrap(), positions);
}

#[test]
fn a_record_longer_than_a_segment_is_rejected() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let limit = SMALL.max_record_bytes();
    let oversized = vec![0; limit as usize + 1];
    let result = log.append(&oversized);
    assert!(
        matches!(result, Err(SegmentError::RecordTooLarge { bytes, limit: most }) if bytes == limit + 1 && most == limit)
    );
    log.append(&oversized[1..]).unwrap();
    assert_eq!(log.usage().file_bytes, SMALL.segment_bytes);
}

// Guards against a store that fences itself for a record which its configuration allows, but no segment has room for.
#[test]
fn an_oversized_record_gets_a_segment_of_its_own() {
    let config = SegmentConfig { oversized_record_bytes: 1_500, ..SMALL };
    let folder = SimulatedFolder::new(1);
    let mut log = SegmentLog::open(folder.clone(), config, |_, _| {}).unwrap();
    let oversized = vec![9; 1_500];
    assert!(matches!(log.append(&[9; 1_501]), Err(SegmentError::RecordTooLarge { limit: 1_500, .. })));
    let records: [&[u8]; 4] = [b"before", &oversized, b"after", &oversized];
    let positions = records.map(|record| log.append(record).unwrap());
    log.sync().unwrap();
    let segments = positions.map(|position| position.segment.0 - positions[0].segment.0);
    assert_eq!(segments, [0, 1, 2, 3]);

    let mut found = Vec::new();
    let mut log = SegmentLog::open(folder.clone(), SMALL, |_, record| found.push(record.to_vec())).unwrap();
    assert_eq!(found, records, "a log that is opened without oversized records reads those there are");
    log.release(positions[1]).unwrap();
    assert_eq!(log.segments_to_compact()[0].segment, positions[1].segment);
    log.remove_segment(positions[1].segment).unwrap();
    assert_eq!(log.read(positions[2]).unwrap(), b"after");
}

#[test]
fn oversized_records_must_fit_in_the_reserve() {
    let config = SegmentConfig { oversized_record_bytes: SMALL.reserve_bytes, ..SMALL };
    let opened = SegmentLog::open(SimulatedFolder::new(1), config, |_, _| {});
    let is_rejected =
        matches!(opened, Err(SegmentError::Config(ConfigError::OversizedRecordBytes { found: 2_048, .. })));
    assert!(is_rejected);
}

#[test]
fn a_full_log_rejects_before_it_writes_and_keeps_its_reserve() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let first = append_synced(&mut log, &HALF);
    let rejection = loop {
        match log.append(&HALF) {
            Ok(_) => log.sync().unwrap(),
            Err(error) => break error,
        }
    };
    assert!(matches!(rejection, SegmentError::StorageFull { .. }), "{rejection:?}");
    let usage = log.usage();
    assert!(usage.file_bytes <= SMALL.total_bytes - SMALL.reserve_bytes);
    assert!(usage.reserved_capacity >= SMALL.reserve_bytes);
    log.append_reserved(&HALF).unwrap();

    // Reclaimed capacity is available to ordinary records again.
    let second = Position { offset: first.offset + first.framed_bytes() as u32, ..first };
    log.release(first).unwrap();
    log.release(second).unwrap();
    assert_eq!(
        log.remove_segment(first.segment).unwrap(),
        FILE_HEADER_BYTES as u64 + 2 * first.framed_bytes()
    );
    log.append(&HALF).unwrap();
}

#[test]
fn mostly_dead_segments_are_compacted_by_ascending_live_fraction() {
    let folder = SimulatedFolder::new(1);
    let (mut log, positions) = sealed_log(&folder, 4);
    assert!(log.segments_to_compact().is_empty());
    for released in [positions[2], positions[4], positions[5]] {
        log.release(released).unwrap();
    }
    let segments: Vec<u64> = log.segments_to_compact().iter().map(|usage| usage.segment.0).collect();
    assert_eq!(segments, [2, 1]);
    log.retain(positions[2]).unwrap();
    log.retain(positions[4]).unwrap();
    let segments: Vec<u64> = log.segments_to_compact().iter().map(|usage| usage.segment.0).collect();
    assert_eq!(segments, [2]);
}

#[test]
fn live_active_and_unknown_segments_are_not_removed() {
    let folder = SimulatedFolder::new(1);
    let (mut log, positions) = sealed_log(&folder, 1);
    let sealed = positions[0].segment;
    let live_bytes = 2 * positions[0].framed_bytes();
    assert!(
        matches!(log.remove_segment(sealed), Err(SegmentError::StillLive { live_bytes: found, .. }) if found == live_bytes)
    );
    let active = log.active_segment();
    assert!(matches!(log.remove_segment(active), Err(SegmentError::ActiveSegment(_))));
    assert!(matches!(log.remove_segment(SegmentId(7)), Err(SegmentError::UnknownSegment(_))));
    assert!(matches!(log.visit_segment(active, |_, _| {}), Err(SegmentError::ActiveSegment(_))));
    // The failed calls left the log usable.
    append_synced(&mut log, b"more");
}

#[test]
fn releases_beyond_the_live_bytes_are_rejected() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    let position = log.append(b"record").unwrap();
    assert!(matches!(log.retain(position), Err(SegmentError::Accounting(_))));
    log.release(position).unwrap();
    assert!(matches!(log.release(position), Err(SegmentError::Accounting(_))));
    assert_eq!(log.usage().live_bytes, 0);
}

#[test]
fn a_removal_is_durable_and_syncs_what_was_appended_before() {
    let folder = SimulatedFolder::new(1);
    let (mut log, positions) = sealed_log(&folder, 2);
    log.append(b"copy of what was live").unwrap();
    positions[..2].iter().for_each(|position| log.release(*position).unwrap());
    log.remove_segment(SegmentId(0)).unwrap();
    assert_eq!(log.oldest_segment(), SegmentId(1));
    folder.lose_power_with(|_| CrashOutcome::Lost);
    let (log, found) = open(&folder);
    assert_eq!(records(&found), [&HALF[..], &HALF, b"copy of what was live"]);
    assert_eq!(log.oldest_segment(), SegmentId(1));
}

#[test]
fn what_was_recovered_from_a_killed_process_is_synced() {
    let config = SegmentConfig { salt: 1, ..SegmentConfig::default() };
    let folder = SimulatedFolder::new(1);
    let mut log = SegmentLog::open(folder.clone(), config, |_, _| {}).unwrap();
    // More than is buffered in memory: written, not synced.
    log.append(&[7; 1 << 20]).unwrap();
    folder.end_process();
    let mut count = 0;
    SegmentLog::open(folder.clone(), config, |_, _| count += 1).unwrap();
    folder.lose_power_with(|_| CrashOutcome::Lost);
    SegmentLog::open(folder, config, |_, _| count += 1).unwrap();
    assert_eq!(count, 2);
}

#[test]
fn a_failed_sync_poisons_the_log_until_it_is_opened_again() {
    let folder = SimulatedFolder::new(1);
    let (mut log, positions) = sealed_log(&folder, 1);
    positions.iter().for_each(|position| log.release(*position).unwrap());
    log.append(b"unacknowledged").unwrap();
    folder.fail(Fault::Syncs);
    assert!(matches!(log.sync(), Err(SegmentError::Storage(StorageError::File { .. }))));
    folder.repair();
    let poisoned = |result: Result<(), SegmentError>| {
        assert!(matches!(result, Err(SegmentError::Storage(StorageError::Poisoned))), "{result:?}");
    };
    poisoned(log.sync());
    poisoned(log.roll());
    poisoned(log.append(b"more").map(drop));
    poisoned(log.remove_segment(SegmentId(0)).map(drop));
    assert_eq!(log.read(positions[0]).unwrap(), HALF);
    append_synced(&mut open(&folder).0, b"more");
}

#[test]
fn a_failed_roll_poisons_the_log() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    append_synced(&mut log, &HALF);
    folder.fail(Fault::Changes);
    assert!(log.roll().is_err());
    folder.repair();
    assert!(matches!(log.append(b"more"), Err(SegmentError::Storage(StorageError::Poisoned))));
    assert_eq!(records(&open(&folder).1), [HALF]);
}

#[test]
fn a_failed_removal_poisons_the_log() {
    let folder = SimulatedFolder::new(1);
    let (mut log, positions) = sealed_log(&folder, 1);
    positions.iter().for_each(|position| log.release(*position).unwrap());
    folder.fail(Fault::Changes);
    assert!(matches!(
        log.remove_segment(SegmentId(0)),
        Err(SegmentError::Storage(StorageError::File { .. }))
    ));
    folder.repair();
    assert!(matches!(log.append(b"more"), Err(SegmentError::Storage(StorageError::Poisoned))));
    assert_eq!(open(&folder).1.len(), 2);
}

#[test]
fn a_log_on_a_full_disk_opens_and_reclaims_capacity() {
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = sealed_log(&folder, 2);
    folder.set_capacity(Some(log.usage().file_bytes + 100));
    log.append(&HALF).unwrap();
    assert!(matches!(log.sync(), Err(SegmentError::Storage(StorageError::DiskFull { .. }))));
    let (mut log, found) = open(&folder);
    assert_eq!(found.len(), 4);
    found[..2].iter().for_each(|(position, _)| log.release(*position).unwrap());
    log.remove_segment(SegmentId(0)).unwrap();
    append_synced(&mut log, &HALF);
}

#[test]
fn invalid_configurations_are_rejected() {
    let rejection_of = |config| {
        let error = SegmentLog::open(SimulatedFolder::new(1), config, |_, _| {}).unwrap_err();
        let SegmentError::Config(error) = error else { panic!("{error:?}") };
        error
    };
    let tiny = SegmentConfig { segment_bytes: 100, ..SMALL };
    assert!(matches!(rejection_of(tiny), ConfigError::SegmentBytes { found: 100, .. }));
    let huge = SegmentConfig { segment_bytes: 1 << 40, ..SMALL };
    assert!(matches!(rejection_of(huge), ConfigError::SegmentBytes { .. }));
    let no_reserve = SegmentConfig { reserve_bytes: 0, ..SMALL };
    assert!(matches!(rejection_of(no_reserve), ConfigError::ReserveTooSmall { found: 0, least: 1024 }));
    let no_capacity = SegmentConfig { total_bytes: 2 << 10, ..SMALL };
    assert!(matches!(rejection_of(no_capacity), ConfigError::TotalTooSmall { .. }));
    let percentage = SegmentConfig { compact_below_percent: 101, ..SMALL };
    assert!(matches!(rejection_of(percentage), ConfigError::Percentage { found: 101 }));
}
