//! The files of a record log, byte for byte as earlier versions write them.

mod support;

use millrudder_checkpoint_store::{Folder, SimulatedFolder, StoredFile};
use millrudder_protocol::message::End;
use millrudder_queue::DiskRecord;
use millrudder_testing::golden::Golden;
use speedy::{Readable, Writable};
use support::{callback_done, ended, failed, granted, id, open, promised, state, write};

/// Each kind of record that a store writes.
fn records() -> Vec<DiskRecord> {
    let completed = End::Completed { signature: "5a".into() };
    vec![
        promised(3, 0x0102),
        state(id(1), 4, None),
        granted(id(1), 5),
        failed(id(1), 5, 1),
        ended(id(1)),
        callback_done(id(1)),
        state(id(2), 6, Some(completed)),
    ]
}

#[test]
fn files_with_each_kind_of_record() {
    let mut golden = Golden::open("tests/golden/files.txt");
    let folder = SimulatedFolder::new(1);
    let mut log = open(&folder).log;
    write(&mut log, records());
    let copy = SimulatedFolder::new(2);
    for name in folder.list().unwrap() {
        let bytes = golden.entry(name.as_str(), folder.read(&name).unwrap());
        let mut file = copy.create(&name).unwrap();
        file.write_at(0, &bytes).unwrap();
        file.sync().unwrap();
    }
    copy.sync().unwrap();
    let recovered: Vec<DiskRecord> = open(&copy).records.into_iter().map(|found| found.record).collect();
    let is_state = |record: &&DiskRecord| records()[1] == **record || records()[6] == **record;
    assert_eq!(recovered.iter().filter(is_state).count(), 2);
    assert!(recovered.contains(&records()[0]), "{recovered:?}");
    golden.finish();
}

#[test]
fn each_kind_of_record() {
    let mut golden = Golden::open("tests/golden/records.txt");
    for (number, record) in records().iter().enumerate() {
        let encode = |record: &DiskRecord| record.write_to_vec().unwrap();
        golden.check(&format!("record_{number}"), record, encode, |bytes| {
            DiskRecord::read_from_buffer(bytes).unwrap()
        });
    }
    golden.finish();
}
