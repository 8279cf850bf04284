//! A successor that has imported its predecessor's learned state decides as the predecessor would have.

use millrudder::*;

fn settings() -> Settings {
    let class = Class {
        latency_target: 200.0,
        deadline: 5000.0,
        value: 1.0,
        effect: Effect::AtMostOnce,
        ..Class::default()
    };
    Settings {
        replicas: 1,
        classes: vec![class],
        limits: Limits { max_attempts: 3, ..Limits::default() },
        rules: Rules {
            warm_up_from: 0.3,
            warm_up: 8000.0,
            overload_multiple: 2.5,
            overload_time: 2000.0,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

fn list(workers: u32, ready_at: Option<f64>) -> Event {
    let entry = |worker| Entry {
        worker,
        zone: None,
        kind: Some(0),
        cell: 0,
        mode: Mode::Ready,
        weight: 1.0,
        ready_at: if worker == 0 { ready_at } else { None },
    };
    Event::List { kind: ListKind::Replace, entries: (0..workers).map(entry).collect() }
}

fn started(workers: u32, now: f64) -> Balancer {
    let mut balancer = Balancer::new(settings(), 7);
    balancer.handle(now, list(workers, None), &mut Vec::new());
    balancer
}

/// Makes a request. Returns the worker that it is sent to.
fn send_request(balancer: &mut Balancer, id: u64, now: f64) -> Option<u32> {
    let mut out = Vec::new();
    let request = Request { id, class: Some(0), slots: 1.0, deadline: now + 5000.0, ..Request::default() };
    balancer.handle(now, Event::Request(request), &mut out);
    out.iter().find_map(|action| match action {
        Action::Send { worker, .. } => Some(*worker),
        _ => None,
    })
}

fn finish(balancer: &mut Balancer, id: u64, worker: u32, outcome: Outcome, now: f64) {
    let event = Event::Outcome {
        id,
        attempt: 0,
        worker,
        outcome,
        latency: 50.0,
        closed: outcome == Outcome::Ok,
        load: None,
    };
    balancer.handle(now, event, &mut Vec::new());
}

/// A balancer that has learned that worker 2 takes 20 ms for a job and the others 200 ms, and the time.
fn trained() -> (Balancer, f64) {
    let (mut balancer, mut now) = (started(4, 1000.0), 1000.0);
    for id in 0..200 {
        now += 250.0;
        let worker = send_request(&mut balancer, id, now).expect("idle workers");
        balancer.handle(now, Event::Started { id, attempt: 0 }, &mut Vec::new());
        let took = if worker == 2 { 20.0 } else { 200.0 };
        finish(&mut balancer, id, worker, Outcome::Ok, now + took);
    }
    (balancer, now + 250.0)
}

#[test]
fn a_successor_knows_the_fast_worker_at_its_first_request() {
    let (mut predecessor, now) = trained();
    let mut successor = started(4, now);
    successor.import(&predecessor.export()).unwrap();
    assert_eq!(send_request(&mut predecessor, 1000, now), Some(2));
    assert_eq!(send_request(&mut successor, 0, now), Some(2), "the fast worker");
    // Without the learned state all workers are equal, and the choice is random.
    let untrained_choice = |seed| {
        let mut fresh = Balancer::new(settings(), seed);
        fresh.handle(now, list(4, None), &mut Vec::new());
        send_request(&mut fresh, 0, now)
    };
    assert!((0..16).filter(|seed| untrained_choice(*seed) == Some(2)).count() < 12);
}

#[test]
fn jobs_of_the_predecessor_count_at_their_workers_until_they_end() {
    let (mut predecessor, now) = trained();
    let busy: Vec<_> =
        (1000..1012).map(|id| (id, send_request(&mut predecessor, id, now).unwrap())).collect();
    let mut successor = started(4, now);
    successor.import(&predecessor.export()).unwrap();
    let mut idle = started(4, now);
    idle.import(&LearnedState { workers: Vec::new(), ..predecessor.export() }).unwrap();
    // With the predecessor's jobs counted, the next job goes to the worker that the predecessor would choose.
    let next = send_request(&mut successor, 1, now);
    assert_eq!(next, send_request(&mut predecessor, 2000, now));
    assert_ne!(next, send_request(&mut idle, 1, now), "without them it chooses the fast worker");
    finish(&mut successor, 1, next.unwrap(), Outcome::Ok, now + 1.0);
    let mut out = Vec::new();
    for (id, worker) in &busy {
        assert!(successor.predecessor_attempt_ended(*worker, *id, 0, &mut out));
        assert!(!successor.predecessor_attempt_ended(*worker, *id, 0, &mut out), "once");
    }
    assert_eq!(send_request(&mut successor, 2, now + 1.0), Some(2), "the fast worker is idle again");
    // When the predecessor ends, its jobs no longer count.
    let mut orphan = started(4, now);
    orphan.import(&predecessor.export()).unwrap();
    orphan.predecessor_gone(&mut out);
    assert_eq!(send_request(&mut orphan, 1, now), Some(2));
}

#[test]
fn an_ejected_worker_stays_ejected_and_a_restarted_one_is_treated_as_new() {
    let (mut predecessor, mut now) = trained();
    for id in 1000..1008 {
        now += 1.0;
        if let Some(worker) = send_request(&mut predecessor, id, now) {
            let outcome = if worker == 2 { Outcome::Failed } else { Outcome::Ok };
            finish(&mut predecessor, id, worker, outcome, now);
        }
    }
    let learned = predecessor.export();
    assert!(learned.workers[2].ejected_until > now);
    let mut successor = started(4, now);
    successor.import(&learned).unwrap();
    assert_ne!(send_request(&mut successor, 1, now), Some(2), "still ejected");
    assert_eq!(successor.export().workers[2].ejected_until, learned.workers[2].ejected_until);
    // Worker 0 has restarted since: nothing that was learned about the old process applies.
    let mut later = Balancer::new(settings(), 7);
    later.handle(now, list(4, Some(now)), &mut Vec::new());
    later.import(&learned).unwrap();
    assert_eq!(later.export().workers[0].speed, (0.0, 0.0));
    assert_ne!(later.export().workers[1].speed, (0.0, 0.0));
}

#[test]
fn exporting_an_imported_state_gives_the_same_state() {
    let (predecessor, now) = trained();
    let mut successor = started(4, now);
    successor.import(&predecessor.export()).unwrap();
    assert_eq!(
        LearnedState { exported_at: 0.0, ..successor.export() },
        LearnedState { exported_at: 0.0, ..predecessor.export() }
    );
}

#[test]
fn an_invalid_learned_state_is_rejected_as_a_whole() {
    let (predecessor, now) = trained();
    let good = predecessor.export();
    let mut bad = vec![
        (LearnedState { version: 1, ..good.clone() }, LearnedStateError::Version(1)),
        (LearnedState { class_time: Vec::new(), ..good.clone() }, LearnedStateError::Size),
        (LearnedState { price: f64::NAN, ..good.clone() }, LearnedStateError::Number),
        (LearnedState { arrivals: (-1.0, 0.0), ..good.clone() }, LearnedStateError::Number),
    ];
    let mut worker = good.clone();
    worker.workers[1].errors = 7.0;
    bad.push((worker, LearnedStateError::Number));
    let mut flight = good.clone();
    let odd = LearnedAttempt { request: 1, attempt: 0, slots: f64::INFINITY, work: 0.0, sent_at: 0.0 };
    flight.workers[1].in_flight.push(odd);
    bad.push((flight, LearnedStateError::Number));
    for (learned, error) in bad {
        let mut successor = started(4, now);
        let before = successor.export();
        assert_eq!(successor.import(&learned), Err(error));
        assert_eq!(successor.export(), before);
    }
}
