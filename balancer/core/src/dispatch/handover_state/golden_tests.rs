//! Compares the encoded handover state, byte by byte, with what earlier versions write.

use super::HandoverState;
use millrudder as mr;
use millrudder_config::Names;
use millrudder_exchange::{WorkerEntry, WorkerState};
use millrudder_testing::golden::Golden;

fn learned_state() -> mr::LearnedState {
    let flight = mr::LearnedAttempt { request: 71, attempt: 2, slots: 1.5, work: 72.0, sent_at: 73.0 };
    let worker = mr::LearnedWorker {
        id: 1,
        ready_at: Some(11.0),
        restored_at: None,
        restored: true,
        speed: (12.0, 13.0),
        knee: 14.0,
        errors: 0.25,
        ejected_until: 15.0,
        warm_up_turn: 16.0,
        listed_since: 17.0,
        last_seen_at: 18.0,
        in_flight: vec![flight],
    };
    let kind = mr::LearnedKind {
        kind: Some(0),
        speed: (21.0, 22.0),
        cores: 23.0,
        mean_own_slots: 24.0,
        reported_slots: (25.0, 26.0),
    };
    mr::LearnedState {
        version: mr::LEARNED_STATE_VERSION,
        exported_at: 31.0,
        started_at: Some(32.0),
        arrivals: (33.0, 34.0),
        retry_tokens: 35.0,
        price: 36.0,
        class_time: vec![(37.0, 38.0)],
        fleet_speed: (39.0, 40.0),
        mean_work: (41.0, 42.0),
        start_waits: (43.0, 44.0),
        mean_value: (45.0, 46.0),
        kinds: vec![kind, mr::LearnedKind::default()],
        workers: vec![worker],
        banned: vec![(1, 47.0)],
    }
}

fn entry(name: &str, state: WorkerState) -> WorkerEntry {
    WorkerEntry {
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
fn handover_state_matches_the_golden_file() {
    let names = Names { classes: vec!["a".to_owned()], kinds: vec!["large".to_owned()], ..Names::default() };
    let unresolved = WorkerEntry { address: None, started_at: None, ..entry("s-2", WorkerState::Leaving) };
    let worker_list = vec![entry("s-1", WorkerState::Active), unresolved];
    let state = HandoverState::new(
        Some(41),
        worker_list,
        vec!["s-1".to_owned(), "s-2".to_owned()],
        &names,
        learned_state(),
    );
    let mut golden = Golden::open("tests/golden/legacy.txt");
    golden.check("legacy", &state, HandoverState::encode, |bytes| HandoverState::decode(bytes).unwrap());
    golden.finish();
}
