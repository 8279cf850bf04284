//! A simulated folder loses exactly the changes that were not synced.

mod support;

use millrudder_checkpoint_store::{
    CrashOutcome, DiskCounts, Fault, Folder, PendingChange, SimulatedFolder, StorageError, StoredFile,
};
use support::name;

fn folder_with_synced_file(contents: &[u8]) -> SimulatedFolder {
    let folder = SimulatedFolder::new(1);
    let mut file = folder.create(&name("file")).unwrap();
    file.append(contents).unwrap();
    file.sync().unwrap();
    folder.sync().unwrap();
    folder
}

#[test]
fn synced_contents_under_a_synced_name_survive_a_power_loss() {
    let folder = folder_with_synced_file(b"kept");
    folder.lose_power_with(|_| CrashOutcome::Lost);
    assert_eq!(folder.read(&name("file")).unwrap(), b"kept");
}

#[test]
fn a_new_name_is_lost_without_a_sync_of_the_folder() {
    let folder = SimulatedFolder::new(1);
    let mut file = folder.create(&name("file")).unwrap();
    file.append(b"synced").unwrap();
    file.sync().unwrap();
    folder.lose_power_with(|_| CrashOutcome::Lost);
    assert_eq!(folder.list().unwrap(), []);
}

#[test]
fn a_durable_name_shows_the_last_synced_contents() {
    let folder = SimulatedFolder::new(1);
    let mut file = folder.create(&name("file")).unwrap();
    file.append(b"synced").unwrap();
    file.sync().unwrap();
    file.append(b" and not").unwrap();
    folder.lose_power_with(|change| match change {
        PendingChange::Name { .. } => CrashOutcome::Durable,
        _ => CrashOutcome::Lost,
    });
    assert_eq!(folder.read(&name("file")).unwrap(), b"synced");
}

#[test]
fn later_writes_are_lost_independently() {
    let folder = folder_with_synced_file(b"");
    let mut file = folder.open(&name("file")).unwrap();
    for part in [b"aa", b"bb", b"cc"] {
        file.append(part).unwrap();
    }
    let mut outcomes =
        [CrashOutcome::Durable, CrashOutcome::Lost, CrashOutcome::Torn(vec![0..1, 7..9])].into_iter();
    folder.lose_power_with(|_| outcomes.next().unwrap());
    assert_eq!(folder.read(&name("file")).unwrap(), b"aa\0\0c");
}

#[test]
fn a_rename_and_a_removal_may_each_be_undone() {
    let folder = folder_with_synced_file(b"old");
    folder.create(&name("removed")).unwrap();
    folder.sync().unwrap();
    folder.rename(&name("file"), &name("renamed")).unwrap();
    folder.remove(&name("removed")).unwrap();
    assert_eq!(folder.list().unwrap(), [name("renamed")]);
    let all_durable = folder.fork();
    folder.lose_power_with(|_| CrashOutcome::Lost);
    assert_eq!(folder.list().unwrap(), [name("file"), name("removed")]);
    all_durable.lose_power_with(|_| CrashOutcome::Durable);
    assert_eq!(all_durable.list().unwrap(), [name("renamed")]);
    assert_eq!(all_durable.read(&name("renamed")).unwrap(), b"old");
}

#[test]
fn an_ended_process_loses_its_handles_and_nothing_else() {
    let folder = folder_with_synced_file(b"a");
    let mut file = folder.open(&name("file")).unwrap();
    file.append(b"b").unwrap();
    folder.end_process();
    assert!(matches!(file.append(b"c"), Err(StorageError::File { .. })));
    assert_eq!(folder.read(&name("file")).unwrap(), b"ab");
    assert_eq!(folder.pending().len(), 1);
}

#[test]
fn a_process_is_interrupted_after_the_given_number_of_changes() {
    let folder = folder_with_synced_file(b"");
    let mut file = folder.open(&name("file")).unwrap();
    folder.interrupt_after(1);
    file.append(b"a").unwrap();
    assert!(file.append(b"b").is_err());
    assert!(folder.list().is_err());
    assert_eq!(folder.pending().len(), 2, "the interrupted write may have got to the disk");
    folder.lose_power_with(|_| CrashOutcome::Durable);
    assert_eq!(folder.read(&name("file")).unwrap(), b"ab");
}

#[test]
fn an_interrupted_process_that_was_killed_leaves_its_changes() {
    let folder = folder_with_synced_file(b"");
    let mut file = folder.open(&name("file")).unwrap();
    folder.interrupt_after(0);
    assert!(file.append(b"a").is_err());
    folder.end_process();
    assert_eq!(folder.read(&name("file")).unwrap(), b"a");
    folder.lose_power_with(|_| CrashOutcome::Lost);
    assert_eq!(folder.read(&name("file")).unwrap(), b"");
}

#[test]
fn a_full_disk_writes_up_to_its_capacity() {
    let folder = folder_with_synced_file(b"1234");
    folder.set_capacity(Some(6));
    let mut file = folder.open(&name("file")).unwrap();
    assert!(matches!(file.append(b"567"), Err(StorageError::DiskFull { .. })));
    assert_eq!(folder.read(&name("file")).unwrap(), b"123456");
    file.write_at(0, b"abcdef").unwrap();
    folder.set_capacity(None);
    file.append(b"g").unwrap();
}

#[test]
fn faults_fail_operations_of_their_kind_until_repaired() {
    let folder = folder_with_synced_file(b"");
    let mut file = folder.open(&name("file")).unwrap();
    folder.fail(Fault::Syncs);
    file.append(b"a").unwrap();
    assert!(file.sync().is_err());
    assert!(folder.sync().is_err());
    folder.fail(Fault::Changes);
    assert!(file.append(b"b").is_err());
    assert!(folder.create(&name("other")).is_err());
    folder.repair();
    file.sync().unwrap();
    folder.lose_power_with(|_| CrashOutcome::Lost);
    assert_eq!(folder.read(&name("file")).unwrap(), b"a");
}

#[test]
fn corruption_of_a_byte_survives_a_power_loss() {
    let folder = folder_with_synced_file(b"abc");
    assert!(folder.corrupt(&name("file"), 1, 0x01));
    assert!(!folder.corrupt(&name("file"), 3, 0x01));
    folder.lose_power();
    assert_eq!(folder.read(&name("file")).unwrap(), b"acc");
}

#[test]
fn a_wiped_disk_is_empty() {
    let folder = folder_with_synced_file(b"abc");
    folder.wipe();
    assert_eq!(folder.list().unwrap(), []);
}

#[test]
fn the_same_seed_has_the_same_outcomes() {
    let lose = |seed| {
        let folder = SimulatedFolder::new(seed);
        for text in ["a", "b", "c", "d"] {
            folder.create(&name(text)).unwrap().append(&[1; 2000]).unwrap();
        }
        folder.lose_power();
        let names = folder.list().unwrap();
        names.into_iter().map(|name| (folder.read(&name).unwrap(), name)).collect::<Vec<_>>()
    };
    let outcomes: Vec<_> = (0..64).map(lose).collect();
    assert_eq!(outcomes, (0..64).map(lose).collect::<Vec<_>>());
    assert!(outcomes.iter().any(Vec::is_empty));
    assert!(outcomes.iter().any(|files| files.len() == 4));
}

#[test]
fn operations_are_counted() {
    let folder = folder_with_synced_file(b"abc");
    let expected = DiskCounts { writes: 1, written_bytes: 3, file_syncs: 1, folder_syncs: 1 };
    assert_eq!(folder.counts(), expected);
}
