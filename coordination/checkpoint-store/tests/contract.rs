//! The contract of `Folder`, run against each implementation.

mod support;

use millrudder_checkpoint_store::{
    FileNamePrefix, Folder, Operation, PrefixedFolder, RealFolder, SimulatedFolder, StorageError, StoredFile,
};
use support::{name, TemporaryFolder};

fn names_appear_in_order<F: Folder>(folder: &F) {
    for text in ["b", "a", "c"] {
        folder.create(&name(text)).unwrap();
    }
    assert_eq!(folder.list().unwrap(), [name("a"), name("b"), name("c")]);
    folder.sync().unwrap();
}

fn writes_are_read_back<F: Folder>(folder: &F) {
    let mut file = folder.create(&name("written")).unwrap();
    file.append(b"hello ").unwrap();
    file.append(b"world").unwrap();
    file.write_at(0, b"J").unwrap();
    assert_eq!(file.length().unwrap(), 11);
    assert_eq!(folder.read(&name("written")).unwrap(), b"Jello world");
    file.sync().unwrap();

    let mut file = folder.open(&name("written")).unwrap();
    let mut buffer = [0; 5];
    file.read_at(6, &mut buffer).unwrap();
    assert_eq!(&buffer, b"world");
    file.append(b"!").unwrap();
    file.read_at(7, &mut buffer).unwrap();
    assert_eq!(&buffer, b"orld!");
}

fn gaps_read_as_zeros<F: Folder>(folder: &F) {
    let mut file = folder.create(&name("gap")).unwrap();
    file.write_at(3, b"x").unwrap();
    assert_eq!(folder.read(&name("gap")).unwrap(), b"\0\0\0x");
}

fn lengths_are_set<F: Folder>(folder: &F) {
    let mut file = folder.create(&name("length")).unwrap();
    file.append(b"abcdef").unwrap();
    file.set_length(2).unwrap();
    file.append(b"z").unwrap();
    file.set_length(5).unwrap();
    file.sync().unwrap();
    assert_eq!(folder.read(&name("length")).unwrap(), b"abz\0\0");
}

fn create_truncates_an_existing_file<F: Folder>(folder: &F) {
    folder.create(&name("again")).unwrap().append(b"old").unwrap();
    folder.create(&name("again")).unwrap().append(b"n").unwrap();
    assert_eq!(folder.read(&name("again")).unwrap(), b"n");
}

fn rename_replaces_an_existing_file<F: Folder>(folder: &F) {
    folder.create(&name("from")).unwrap().append(b"new").unwrap();
    folder.create(&name("to")).unwrap().append(b"old").unwrap();
    folder.rename(&name("from"), &name("to")).unwrap();
    folder.sync().unwrap();
    assert_eq!(folder.list().unwrap(), [name("to")]);
    assert_eq!(folder.read(&name("to")).unwrap(), b"new");
}

fn removed_names_are_gone<F: Folder>(folder: &F) {
    folder.create(&name("gone")).unwrap();
    folder.remove(&name("gone")).unwrap();
    folder.sync().unwrap();
    assert_eq!(folder.list().unwrap(), []);
}

fn missing_files_are_typed_errors<F: Folder>(folder: &F) {
    let absent = name("absent");
    let results = [
        (Operation::Read, folder.read(&absent).map(drop)),
        (Operation::Open, folder.open(&absent).map(drop)),
        (Operation::Remove, folder.remove(&absent)),
        (Operation::Rename, folder.rename(&absent, &name("other"))),
    ];
    for (tried, result) in results {
        let Err(StorageError::File { operation, file, source }) = result else {
            panic!("{tried}: {result:?}")
        };
        assert_eq!((operation, &file), (tried, &absent));
        assert_eq!(source.kind(), std::io::ErrorKind::NotFound);
    }
}

fn reads_beyond_the_end_fail<F: Folder>(folder: &F) {
    let mut file = folder.create(&name("short")).unwrap();
    file.append(b"abc").unwrap();
    let result = file.read_at(1, &mut [0; 3]);
    assert!(matches!(result, Err(StorageError::File { operation: Operation::Read, .. })), "{result:?}");
    // The failed read left the file usable.
    let mut buffer = [0; 2];
    file.read_at(1, &mut buffer).unwrap();
    assert_eq!(&buffer, b"bc");
    file.append(b"d").unwrap();
    assert_eq!(folder.read(&name("short")).unwrap(), b"abcd");
}

macro_rules! contract {
    ($($clause:ident),* $(,)?) => {
        mod real {
            use super::*;
            $(
                #[test]
                fn $clause() {
                    let temporary = TemporaryFolder::new();
                    super::$clause(&RealFolder::open(temporary.path()).unwrap());
                }
            )*
        }

        mod simulated {
            use super::*;
            $(
                #[test]
                fn $clause() {
                    super::$clause(&SimulatedFolder::new(1));
                }
            )*
        }

        mod prefixed {
            use super::*;
            $(
                #[test]
                fn $clause() {
                    let folder = SimulatedFolder::new(1);
                    folder.create(&name("b")).unwrap();
                    folder.create(&name("viewer.to")).unwrap();
                    super::$clause(&PrefixedFolder::new(folder.clone(), FileNamePrefix::new("view")));
                    assert!(folder.list().unwrap().contains(&name("viewer.to")));
                }
            )*
        }
    };
}

contract!(
    names_appear_in_order,
    writes_are_read_back,
    gaps_read_as_zeros,
    lengths_are_set,
    create_truncates_an_existing_file,
    rename_replaces_an_existing_file,
    removed_names_are_gone,
    missing_files_are_typed_errors,
    reads_beyond_the_end_fail,
);

#[test]
fn a_real_folder_is_created_by_open_and_not_by_existing() {
    let temporary = TemporaryFolder::new();
    let path = temporary.path().join("state");
    assert!(matches!(
        RealFolder::existing(&path),
        Err(StorageError::Folder { operation: Operation::Open, .. })
    ));
    let folder = RealFolder::open(&path).unwrap();
    folder.create(&name("file")).unwrap();
    let again = RealFolder::open(&path).unwrap();
    assert_eq!(again.list().unwrap(), [name("file")]);
}
