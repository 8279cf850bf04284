//! Unit tests of `translate`.

use super::*;

fn entry(name: &str, address: &str, state: WorkerState) -> WorkerEntry {
    WorkerEntry {
        name: name.to_owned(),
        address: address.parse().ok(),
        zone: "z".to_owned(),
        kind: "b".to_owned(),
        cell: 3,
        state,
        weight: 1.0,
        started_at: Some(1_700_000_000_000.0),
    }
}

fn names() -> Names {
    let text = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    let (report_x0, report_x1) = ("free slots".to_owned(), "free memory".to_owned());
    Names { classes: text(&["c"]), zones: text(&["z"]), kinds: text(&["a", "b"]), report_x0, report_x1 }
}

#[test]
fn a_ban_outlives_worker_list_updates() {
    let (names, mut workers) = (names(), WorkerTable::default());
    assert_eq!(workers.ban("s-1", true), None, "never listed");
    workers.apply(&names, &entry("s-1", "127.0.0.1:1", WorkerState::Active));
    assert_eq!(workers.ban("s-1", true), Some(0));
    workers.apply(&names, &entry("s-1", "127.0.0.1:1", WorkerState::Left));
    workers.apply(&names, &entry("s-1", "127.0.0.1:2", WorkerState::Active));
    assert!(!workers.accepts_jobs(0), "an attempt that waited for a cancel there must not be sent");
    workers.ban("s-1", false);
    assert!(workers.accepts_jobs(0));
}

#[test]
fn a_worker_keeps_its_id_when_its_address_changes() {
    let (names, mut workers) = (names(), WorkerTable::default());
    let first = workers.apply(&names, &entry("s-1", "127.0.0.1:1", WorkerState::Active));
    workers.apply(&names, &entry("s-2", "127.0.0.1:2", WorkerState::Active));
    let again = workers.apply(&names, &entry("s-1", "127.0.0.1:9", WorkerState::Leaving));
    assert_eq!((first.worker, again.worker), (0, 0));
    assert_eq!(workers.endpoint(0).unwrap().address.port(), 9);
    assert!(!workers.accepts_jobs(0) && workers.accepts_jobs(1));
    // The entry of a worker that has left has no address; its last one is kept, so that its attempts can be
    // cancelled.
    assert_eq!(workers.apply(&names, &entry("s-1", "", WorkerState::Left)).mode, mr::Mode::Gone);
    assert!(workers.endpoint(0).is_some());
    workers.begin_full_list();
    assert!(!workers.accepts_jobs(1), "a complete list does not name it");
    assert_eq!((first.zone, first.kind, first.ready_at), (Some(0), Some(1), Some(1_700_000_000_000.0)));
}

#[test]
fn load_reports_are_read_by_the_names_in_the_settings() {
    let report: LoadReport = [("fail_rate", 0.5), ("rif", 2.0), ("x0", 3.0), ("x1", 4.0)]
        .map(|(name, value)| (name.to_owned(), value))
        .to_vec();
    let found = load(&names(), &report);
    assert_eq!((found.in_flight, found.errors_per_s), (Some(2.0), Some(0.5)));
    assert_eq!((found.free_slots, found.free_memory, found.queue), (Some(3.0), Some(4.0), None));
}
