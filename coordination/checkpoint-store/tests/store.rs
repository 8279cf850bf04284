//! The store on folders that lose nothing, fail, or are corrupted.

mod support;

use millrudder_checkpoint_store::{
    CheckpointStore, CrashOutcome, Damage, Fault, Folder, Generation, RealFolder, Recovered, SimulatedFolder,
    StorageError, FILE_HEADER_BYTES, FRAME_HEADER_BYTES, MAX_PAYLOAD_BYTES,
};
use support::{name, replace, TemporaryFolder};

const FIRST_LOG: &str = "log-0000000000000000";

fn open(folder: &SimulatedFolder) -> (CheckpointStore<SimulatedFolder>, Recovered) {
    CheckpointStore::open(folder.clone()).unwrap()
}

fn recover_after_loss(folder: &SimulatedFolder) -> Recovered {
    folder.lose_power_with(|_| CrashOutcome::Lost);
    open(folder).1
}

fn append_synced(store: &mut CheckpointStore<SimulatedFolder>, records: &[&[u8]]) {
    for record in records {
        store.append(record).unwrap();
        store.sync().unwrap();
    }
}

#[test]
fn a_store_on_a_real_disk_is_recovered() {
    let temporary = TemporaryFolder::new();
    let open = || CheckpointStore::open(RealFolder::open(temporary.path()).unwrap()).unwrap();
    let (mut store, recovered) = open();
    assert_eq!(recovered, Recovered::default());
    for round in 0..5_u8 {
        store.append(&[round; 10]).unwrap();
        store.checkpoint(&[round; 100]).unwrap();
        store.append(&[round; 1000]).unwrap();
        store.sync().unwrap();
        let (reopened, recovered) = open();
        assert_eq!(recovered.checkpoint, Some(vec![round; 100]));
        assert_eq!(recovered.records, [[round; 1000]]);
        store = reopened;
    }
    assert_eq!(store.generation(), Generation(5));
    let names = RealFolder::existing(temporary.path()).unwrap().list().unwrap();
    assert_eq!(names.len(), 3, "two slots and one log: {names:?}");
}

#[test]
fn a_group_of_records_costs_one_write_and_one_sync() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    let before = folder.counts();
    for record in 0..100_u8 {
        store.append(&[record; 50]).unwrap();
    }
    store.sync().unwrap();
    store.sync().unwrap();
    let after = folder.counts();
    assert_eq!(after.writes - before.writes, 1);
    assert_eq!(after.file_syncs - before.file_syncs, 1);
    assert_eq!(after.folder_syncs, before.folder_syncs);
    assert_eq!(recover_after_loss(&folder).records.len(), 100);
}

#[test]
fn empty_records_and_states_are_recovered() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    store.checkpoint(b"").unwrap();
    append_synced(&mut store, &[b"", b"a", b""]);
    let recovered = recover_after_loss(&folder);
    assert_eq!(recovered.checkpoint.as_deref(), Some(&b""[..]));
    assert_eq!(recovered.records, [&b""[..], b"a", b""]);
}

#[test]
fn what_was_recovered_from_a_killed_process_is_synced() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    // More than is buffered in memory: written, not synced.
    store.append(&[7; 1 << 20]).unwrap();
    folder.end_process();
    assert_eq!(open(&folder).1.records.len(), 1);
    assert_eq!(recover_after_loss(&folder).records.len(), 1);
}

#[test]
fn a_record_over_the_limit_is_rejected_and_changes_nothing() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    let oversized = vec![0; MAX_PAYLOAD_BYTES + 1];
    assert!(matches!(store.append(&oversized), Err(StorageError::RecordTooLarge { .. })));
    assert!(matches!(store.checkpoint(&oversized), Err(StorageError::RecordTooLarge { .. })));
    append_synced(&mut store, &[b"good"]);
    assert_eq!(recover_after_loss(&folder).records, [b"good"]);
}

#[test]
fn other_files_are_not_touched() {
    let folder = SimulatedFolder::new(1);
    folder.create(&name("notes")).unwrap();
    let (mut store, _) = open(&folder);
    store.checkpoint(b"state").unwrap();
    open(&folder);
    assert!(folder.list().unwrap().contains(&name("notes")));
}

#[test]
fn a_failed_sync_poisons_the_store_until_it_is_opened_again() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    append_synced(&mut store, &[b"kept"]);
    store.append(b"in doubt").unwrap();
    folder.fail(Fault::Syncs);
    assert!(matches!(store.sync(), Err(StorageError::File { .. })));
    folder.repair();
    assert!(matches!(store.sync(), Err(StorageError::Poisoned)));
    assert!(matches!(store.append(b"more"), Err(StorageError::Poisoned)));
    assert!(matches!(store.checkpoint(b"state"), Err(StorageError::Poisoned)));
    let recovered = recover_after_loss(&folder);
    assert_eq!(recovered.records[0], b"kept");
}

#[test]
fn a_failed_write_poisons_the_store_until_it_is_opened_again() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    store.append(b"in doubt").unwrap();
    folder.fail(Fault::Changes);
    assert!(matches!(store.sync(), Err(StorageError::File { .. })));
    folder.repair();
    assert!(matches!(store.sync(), Err(StorageError::Poisoned)));
    open(&folder);
}

#[test]
fn a_log_whose_removal_was_lost_is_removed_again() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    store.checkpoint(b"state").unwrap();
    folder.lose_power_with(|_| CrashOutcome::Lost);
    assert!(folder.list().unwrap().contains(&name(FIRST_LOG)));
    open(&folder);
    assert!(!folder.list().unwrap().contains(&name(FIRST_LOG)));
}

#[test]
fn a_full_disk_is_a_typed_error_and_loses_nothing_synced() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    append_synced(&mut store, &[b"kept"]);
    folder.set_capacity(Some(200));
    store.append(&[1; 500]).unwrap();
    assert!(matches!(store.sync(), Err(StorageError::DiskFull { .. })));
    let (mut store, recovered) = open(&folder);
    assert_eq!(recovered.records, [b"kept"]);
    assert!(matches!(store.checkpoint(&[2; 500]), Err(StorageError::DiskFull { .. })));
    assert!(matches!(store.append(b"more"), Err(StorageError::Poisoned)));
    assert_eq!(recover_after_loss(&folder).records, [b"kept"]);
}

#[test]
fn corruption_before_a_later_synced_group_is_reported_with_its_offset() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    append_synced(&mut store, &[b"first", b"second", b"third"]);
    let second = FILE_HEADER_BYTES + FRAME_HEADER_BYTES + b"first".len();
    for byte in second..second + FRAME_HEADER_BYTES + b"second".len() {
        let corrupted = folder.fork();
        assert!(corrupted.corrupt(&name(FIRST_LOG), byte, 0x10));
        let error = CheckpointStore::open(corrupted).unwrap_err();
        let StorageError::Corrupt { file, offset, damage: Damage::Frame } = error else {
            panic!("{error:?}")
        };
        assert_eq!((file, offset), (name(FIRST_LOG), second as u64), "corruption at byte {byte}");
    }
}

#[test]
fn corruption_in_the_header_of_a_log_is_reported() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    append_synced(&mut store, &[b"first"]);
    for byte in 0..FILE_HEADER_BYTES {
        let corrupted = folder.fork();
        assert!(corrupted.corrupt(&name(FIRST_LOG), byte, 0x01));
        let error = CheckpointStore::open(corrupted).unwrap_err();
        assert!(matches!(error, StorageError::Corrupt { offset: 0, .. }), "{error:?}");
    }
}

#[test]
fn corruption_in_the_active_slot_is_reported_although_an_older_one_is_complete() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    store.checkpoint(b"older state").unwrap();
    store.checkpoint(b"newer state").unwrap();
    let slot = name("slot-0000000000000000");
    let length = folder.read(&slot).unwrap().len();
    for byte in 0..length {
        let corrupted = folder.fork();
        assert!(corrupted.corrupt(&slot, byte, 0x80));
        let error = CheckpointStore::open(corrupted).unwrap_err();
        assert!(matches!(&error, StorageError::Corrupt { file, .. } if *file == slot), "{error:?}");
    }
}

#[test]
fn corruption_in_the_older_slot_is_ignored() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    store.checkpoint(b"older state").unwrap();
    store.checkpoint(b"newer state").unwrap();
    assert!(folder.corrupt(&name("slot-0000000000000001"), 50, 0x80));
    assert_eq!(open(&folder).1.checkpoint.as_deref(), Some(&b"newer state"[..]));
}

#[test]
fn a_missing_file_is_reported() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    store.checkpoint(b"older state").unwrap();
    store.checkpoint(b"newer state").unwrap();
    append_synced(&mut store, &[b"record"]);
    for text in ["slot-0000000000000000", "log-0000000000000002"] {
        let incomplete = folder.fork();
        incomplete.remove(&name(text)).unwrap();
        let error = CheckpointStore::open(incomplete).unwrap_err();
        assert!(matches!(&error, StorageError::Missing { file } if *file == name(text)), "{error:?}");
    }
}

#[test]
fn a_log_of_another_store_is_rejected() {
    let other = SimulatedFolder::new(1);
    let (mut store, _) = open(&other);
    append_synced(&mut store, &[b"one record more"]);
    store.checkpoint(b"other state").unwrap();
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    store.checkpoint(b"state").unwrap();
    let log = name("log-0000000000000001");
    replace(&folder, &log, &other.read(&log).unwrap());
    let error = CheckpointStore::open(folder).unwrap_err();
    let expected = Damage::Sequence { expected: 1, found: 2 };
    assert!(matches!(&error, StorageError::Corrupt { damage, .. } if *damage == expected), "{error:?}");
}

#[test]
fn a_slot_under_the_name_of_the_other_is_rejected() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    store.checkpoint(b"state").unwrap();
    let slot = name("slot-0000000000000001");
    folder.rename(&slot, &name("slot-0000000000000000")).unwrap();
    let error = CheckpointStore::open(folder).unwrap_err();
    assert!(matches!(&error, StorageError::Missing { file } if *file == slot), "{error:?}");
}

#[test]
fn a_duplicated_record_is_reported() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    append_synced(&mut store, &[b"one"]);
    let log = name(FIRST_LOG);
    let mut bytes = folder.read(&log).unwrap();
    bytes.extend_from_within(FILE_HEADER_BYTES..);
    replace(&folder, &log, &bytes);
    let error = CheckpointStore::open(folder).unwrap_err();
    let expected = Damage::Sequence { expected: 1, found: 0 };
    assert!(matches!(&error, StorageError::Corrupt { damage, .. } if *damage == expected), "{error:?}");
}

#[test]
fn a_first_log_truncated_within_its_header_is_reported_once_a_slot_exists() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    append_synced(&mut store, &[b"one"]);
    replace(&folder, &name(FIRST_LOG), &[1; 10]);
    open(&folder.fork());
    replace(&folder, &name("slot-0000000000000001"), b"begun");
    let error = CheckpointStore::open(folder).unwrap_err();
    assert!(matches!(&error, StorageError::Corrupt { file, .. } if *file == name(FIRST_LOG)), "{error:?}");
}

#[test]
fn a_file_of_a_later_format_is_rejected_by_its_version() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    append_synced(&mut store, &[b"record"]);
    let log = name(FIRST_LOG);
    // The version stands after the four bytes that mark the file; the checksum of the header is made to fit.
    folder.corrupt(&log, 4, 0x03);
    let bytes = folder.read(&log).unwrap();
    let checksum = crc32fast::hash(&bytes[..FILE_HEADER_BYTES - 4]).to_le_bytes();
    for (index, byte) in checksum.into_iter().enumerate() {
        let offset = FILE_HEADER_BYTES - 4 + index;
        folder.corrupt(&log, offset, bytes[offset] ^ byte);
    }
    let error = CheckpointStore::open(folder).unwrap_err();
    assert!(matches!(error, StorageError::UnknownVersion { found: 2, expected: 1, .. }), "{error:?}");
}

#[test]
fn a_torn_record_is_truncated_and_the_log_continues() {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = open(&folder);
    append_synced(&mut store, &[b"one"]);
    store.append(b"two, torn").unwrap();
    folder.interrupt_after(1);
    assert!(store.sync().is_err());
    folder.lose_power_with(|_| CrashOutcome::torn(0..35));
    let (mut store, recovered) = open(&folder);
    assert_eq!(recovered.records, [b"one"]);
    append_synced(&mut store, &[b"three"]);
    assert_eq!(recover_after_loss(&folder).records, [&b"one"[..], b"three"]);
}
