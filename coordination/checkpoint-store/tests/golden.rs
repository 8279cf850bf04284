//! The files of a store, byte for byte as earlier versions write them.

use millrudder_checkpoint_store::{CheckpointStore, FileName, Folder, SimulatedFolder, StoredFile};
use millrudder_testing::golden::Golden;

/// Checks each file of `folder` under its name, with `prefix` before it; gives the committed files.
fn check_files(golden: &mut Golden, prefix: &str, folder: &SimulatedFolder) -> Vec<(FileName, Vec<u8>)> {
    let names = folder.list().unwrap();
    let committed = |name: FileName| {
        let bytes = golden.entry(&format!("{prefix}/{name}"), folder.read(&name).unwrap());
        (name, bytes)
    };
    names.into_iter().map(committed).collect()
}

fn folder_of(files: &[(FileName, Vec<u8>)]) -> SimulatedFolder {
    let folder = SimulatedFolder::new(2);
    for (name, bytes) in files {
        let mut file = folder.create(name).unwrap();
        file.write_at(0, bytes).unwrap();
        file.sync().unwrap();
    }
    folder.sync().unwrap();
    folder
}

#[test]
fn files_of_a_store_before_and_after_its_first_checkpoints() {
    let mut golden = Golden::open("tests/golden/files.txt");
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = CheckpointStore::open(folder.clone()).unwrap();
    store.append(b"first record").unwrap();
    store.append(b"").unwrap();
    store.sync().unwrap();
    let files = check_files(&mut golden, "no_checkpoint", &folder);
    let (_, recovered) = CheckpointStore::open(folder_of(&files)).unwrap();
    assert_eq!(recovered.checkpoint, None);
    assert_eq!(recovered.records, [&b"first record"[..], b""]);

    for round in 1..=2_u8 {
        store.checkpoint(&[round; 20]).unwrap();
        store.append(&[0x10 * round; 3]).unwrap();
        store.sync().unwrap();
        let files = check_files(&mut golden, &format!("checkpoint_{round}"), &folder);
        let (_, recovered) = CheckpointStore::open(folder_of(&files)).unwrap();
        assert_eq!(recovered.checkpoint, Some(vec![round; 20]));
        assert_eq!(recovered.records, [vec![0x10 * round; 3]]);
    }
    golden.finish();
}
