//! The files of a log, byte for byte as earlier versions write them.

mod support;

use millrudder_checkpoint_store::{Folder, SimulatedFolder, StoredFile};
use millrudder_testing::golden::Golden;
use support::{append_synced, open, records};

#[test]
fn files_of_a_log_with_a_sealed_and_an_open_segment() {
    let mut golden = Golden::open("tests/golden/files.txt");
    let written: [&[u8]; 4] = [b"first", b"", &[7; 40], b"after the roll"];
    let folder = SimulatedFolder::new(1);
    let (mut log, _) = open(&folder);
    for record in &written[..3] {
        append_synced(&mut log, record);
    }
    log.roll().unwrap();
    append_synced(&mut log, written[3]);

    let copy = SimulatedFolder::new(2);
    for name in folder.list().unwrap() {
        let bytes = golden.entry(name.as_str(), folder.read(&name).unwrap());
        let mut file = copy.create(&name).unwrap();
        file.write_at(0, &bytes).unwrap();
        file.sync().unwrap();
    }
    copy.sync().unwrap();
    let (_, found) = open(&copy);
    assert_eq!(records(&found), written);
    golden.finish();
}
