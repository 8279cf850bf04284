//! Files that no store has written: damaged at several offsets at once, random, or exchanged.

mod support;

use millrudder_checkpoint_store::{inspect, CheckpointStore, FileName, Folder, SimulatedFolder};
use proptest::prelude::*;
use proptest::sample::Index;
use support::replace;

const CASES: u32 = 1_000;

/// Damage to one file.
#[derive(Clone, Debug)]
enum Damage {
    Flip {
        at: Index,
        mask: u8,
    },
    Number {
        at: Index,
        number: u32,
    },
    Truncate {
        at: Index,
    },
    Duplicate {
        at: Index,
    },
    Random {
        bytes: Vec<u8>,
    },
    /// The content of another file.
    Other {
        which: Index,
    },
}

fn damage() -> impl Strategy<Value = Damage> {
    let number = prop_oneof![Just(u32::MAX), Just(1 << 31), Just(64 << 20), 0..300_u32, any::<u32>()];
    prop_oneof![
        4 => (any::<Index>(), 1..=u8::MAX).prop_map(|(at, mask)| Damage::Flip { at, mask }),
        4 => (any::<Index>(), number).prop_map(|(at, number)| Damage::Number { at, number }),
        2 => any::<Index>().prop_map(|at| Damage::Truncate { at }),
        2 => any::<Index>().prop_map(|at| Damage::Duplicate { at }),
        1 => proptest::collection::vec(any::<u8>(), 0..300).prop_map(|bytes| Damage::Random { bytes }),
        1 => any::<Index>().prop_map(|which| Damage::Other { which }),
    ]
}

/// A store with two checkpoints and a log.
fn folder() -> SimulatedFolder {
    let folder = SimulatedFolder::new(1);
    let (mut store, _) = CheckpointStore::open(folder.clone()).expect("a new store");
    for round in 0..3_u8 {
        store.append(&[round; 40]).expect("it is taken");
        store.sync().expect("it is synced");
        store.append(&[round; 90]).expect("it is taken");
        store.sync().expect("it is synced");
        if round < 2 {
            store.checkpoint(&[round; 200]).expect("it is written");
        }
    }
    folder
}

fn damaged(folder: &SimulatedFolder, names: &[FileName], name: &FileName, damage: &Damage) -> Vec<u8> {
    let mut bytes = folder.read(name).expect("a file");
    let length = bytes.len().max(1);
    match damage {
        Damage::Flip { at, mask } => {
            bytes.iter_mut().skip(at.index(length)).take(1).for_each(|byte| *byte ^= mask)
        }
        Damage::Number { at, number } => {
            let overwritten = bytes.iter_mut().skip(at.index(length));
            overwritten.zip(number.to_le_bytes()).for_each(|(byte, new)| *byte = new);
        }
        Damage::Truncate { at } => bytes.truncate(at.index(length)),
        Damage::Duplicate { at } => {
            let tail = bytes.get(at.index(length)..).unwrap_or_default().to_vec();
            bytes.extend(tail);
        }
        Damage::Random { bytes: random } => bytes.clone_from(random),
        Damage::Other { which } => bytes = folder.read(&names[which.index(names.len())]).expect("a file"),
    }
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn damaged_files_are_rejected_or_recover_no_more_than_their_bytes(
        damages in proptest::collection::vec((any::<Index>(), damage()), 1..5),
    ) {
        let folder = folder();
        let names = folder.list().expect("a list");
        for (which, damage) in &damages {
            let name = &names[which.index(names.len())];
            let bytes = damaged(&folder, &names, name, damage);
            replace(&folder, name, &bytes);
        }
        let on_disk: usize = names.iter().map(|name| folder.read(name).expect("a file").len()).sum();
        let _ = inspect(&folder);
        if let Ok((_, recovered)) = CheckpointStore::open(folder) {
            let records: usize = recovered.records.iter().map(Vec::len).sum();
            let checkpoint = recovered.checkpoint.map_or(0, |checkpoint| checkpoint.len());
            prop_assert!(records + checkpoint <= on_disk);
        }
    }
}
