//! What a process leaves to its successor, byte for byte as earlier versions write it.

use super::Legacy;
use millrudder as mr;
use millrudder_config::Names;
use millrudder_exchange::{HopState, MapEntry};
use millrudder_testing::golden::Golden;

fn memory() -> mr::Memory {
    let flight = mr::FlightMemory { request: 71, attempt: 2, slots: 1.5, work: 72.0, sent: 73.0 };
    let worker = mr::WorkerMemory {
        id: 1,
        ready_at: Some(11.0),
        returned: None,
        put_back: true,
        speed: (12.0, 13.0),
        knee: 14.0,
        errors: 0.25,
        hold_until: 15.0,
        cold_turn: 16.0,
        since: 17.0,
        sign: 18.0,
        flights: vec![flight],
    };
    let kind =
        mr::KindMemory { kind: Some(0), speed: (21.0, 22.0), cores: 23.0, usual: 24.0, heard: (25.0, 26.0) };
    mr::Memory {
        version: mr::MEMORY_VERSION,
        at: 31.0,
        began: Some(32.0),
        arrivals: (33.0, 34.0),
        retry_tokens: 35.0,
        price: 36.0,
        class_time: vec![(37.0, 38.0)],
        all_speed: (39.0, 40.0),
        mean_work: (41.0, 42.0),
        waits: (43.0, 44.0),
        mean_worth: (45.0, 46.0),
        kinds: vec![kind, mr::KindMemory::default()],
        workers: vec![worker],
        banned: vec![(1, 47.0)],
    }
}

fn entry(name: &str, state: HopState) -> MapEntry {
    MapEntry {
        name: name.to_owned(),
        address: Some(([10, 0, 0, 4], 8080).into()),
        zone: "zone-1".to_owned(),
        kind: "large".to_owned(),
        cell: 3,
        state,
        weight: 0.5,
        started_at: Some(51.0),
    }
}

#[test]
fn all_that_is_left_to_a_successor() {
    let names = Names { classes: vec!["a".to_owned()], kinds: vec!["large".to_owned()], ..Names::default() };
    let unresolved = MapEntry { address: None, started_at: None, ..entry("s-2", HopState::Leaving) };
    let map = vec![entry("s-1", HopState::Active), unresolved];
    let legacy = Legacy::new(Some(41), map, vec!["s-1".to_owned(), "s-2".to_owned()], &names, memory());
    let mut golden = Golden::open("tests/golden/legacy.txt");
    golden.check("legacy", &legacy, Legacy::encode, |bytes| Legacy::decode(bytes).unwrap());
    golden.finish();
}
