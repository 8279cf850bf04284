//! Unit tests of `model`.

use super::*;

const SPEC: Spec = Spec {
    cores: 2,
    slots: 2,
    queue: 1,
    speed: 2.0,
    cold_from: 0.25,
    cold_ms: 1_000.0,
    fall_multiple: 3.0,
    fall_ms: 2_000.0,
};

fn done(out: &mut Vec<Event>) -> Vec<String> {
    let ids = out.drain(..).filter_map(|event| match event {
        Event::Done(id) => Some(id),
        _ => None,
    });
    ids.collect()
}

#[test]
fn jobs_run_in_slots_wait_in_order_and_beyond_that_are_turned_away() {
    let (mut worker, mut out) = (Worker::new(SPEC, -1e9, 0.0), Vec::new());
    let taken: Vec<Taken> =
        ["a", "b", "c", "d"].iter().map(|id| worker.take(id, 100.0, 0.0, &mut out)).collect();
    assert_eq!(taken, [Taken::Accepted, Taken::Accepted, Taken::Accepted, Taken::Full]);
    assert_eq!((worker.next(), worker.in_flight(), worker.free_slots()), (Some(50.0), 3, 0));
    worker.advance(50.0, &mut out);
    assert_eq!(done(&mut out), ["a", "b"]);
    worker.advance(100.0, &mut out);
    assert_eq!(done(&mut out), ["c"]);
    worker.take("e", 100.0, 100.0, &mut out);
    worker.give_up("e", 110.0, &mut out);
    worker.advance(1_000.0, &mut out);
    assert_eq!((done(&mut out), worker.in_flight()), (vec![], 0));
}

#[test]
fn a_cold_worker_is_slow_and_falls_over_when_sent_too_much() {
    let (mut worker, mut out) = (Worker::new(SPEC, 0.0, 0.0), Vec::new());
    worker.take("a", 100.0, 0.0, &mut out);
    worker.advance(100.0, &mut out);
    assert_eq!(done(&mut out), [""; 0], "at a quarter of its speed");
    worker.advance(400.0, &mut out);
    assert_eq!(done(&mut out), ["a"]);
    // 3 times 2 cores at speed 2 for 2 s is 24 s of work when warm; at 0 ms a quarter of that.
    let (mut cold, mut out) = (Worker::new(SPEC, 0.0, 0.0), Vec::new());
    assert_eq!(cold.take("a", 5_900.0, 0.0, &mut out), Taken::Accepted);
    assert_eq!(cold.take("b", 200.0, 0.0, &mut out), Taken::Down);
    assert!(out.contains(&Event::Lost("a".to_owned())) && cold.mode == Mode::Down);
    assert!(cold.worst > 1.0);
}
