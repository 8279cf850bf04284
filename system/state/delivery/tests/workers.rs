//! Workers that drain, end, restart or are listed anew.

mod common;
use common::*;
use millrudder_delivery::*;
use millrudder_protocol::control::{WorkerEntry, WorkerState};
use millrudder_protocol::store::AttemptOutcome;

fn draining(number: u16) -> WorkerEntry {
    WorkerEntry { state: WorkerState::Draining, ..worker(number) }
}

#[test]
fn attempts_expect_the_listed_instance() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    assert_eq!(sent.worker.instance_id.as_deref(), Some("i-1"));
    assert_eq!(sent.worker.address, worker(1).address);
    let sent = fixture.send(2, 1, "/p");
    assert_eq!(sent.worker.instance_id, None);
    assert_eq!(sent.worker.address, address(STATIC_ADDRESS));
}

#[test]
fn a_draining_worker_gets_no_messages_and_its_idle_connections_are_closed() {
    let mut fixture = Fixture::new(2);
    fixture.workers(vec![draining(1), worker(2)]);
    assert_eq!(fixture.closed(), [worker(1).address]);
    for unique in 0..8 {
        assert_eq!(fixture.send(unique, 1, "/a").worker.address, worker(2).address);
    }
}

#[test]
fn an_attempt_at_a_worker_that_drains_meanwhile_goes_on() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.workers(vec![draining(1)]);
    assert!(fixture.reported().is_empty());
    fixture.workers(vec![]);
    assert!(fixture.reported().is_empty());
    fixture.now += 80;
    fixture.end(sent.attempt, success());
    assert_eq!(fixture.outcome(), succeeded());
    assert_eq!(fixture.closed(), [worker(1).address], "it is idle only now");
}

#[test]
fn a_waiting_message_is_given_back_when_its_only_worker_drains() {
    let mut fixture = Fixture::new(1);
    let out: Vec<Sent> = (0..8).map(|unique| fixture.send(unique, 1, "/a")).collect();
    fixture.deliver(8, 1, "/a");
    assert!(fixture.out.is_empty() && out.len() == 8, "no room");
    fixture.workers(vec![draining(1)]);
    fixture.end(out[0].attempt, success());
    assert!(fixture.sent().is_none());
    fixture.pass(300);
    assert_eq!(fixture.reported().len(), 1);
    assert!(matches!(fixture.reported()[0].outcome, AttemptOutcome::NotRun { .. }));
}

#[test]
fn a_waiting_message_is_sent_to_a_newly_listed_worker() {
    let mut fixture = Fixture::new(0);
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    fixture.workers(vec![worker(5)]);
    assert_eq!(fixture.sent().unwrap().worker.instance_id.as_deref(), Some("i-5"));
}

#[test]
fn a_worker_with_another_process_at_its_address_is_avoided_for_a_while() {
    let mut fixture = Fixture::new(2);
    let sent = fixture.send(1, 1, "/a");
    let wrong = sent.worker.address;
    fixture.end(sent.attempt, AttemptResult::Answer(answer(421)));
    let next: Vec<Sent> = (2..8).map(|unique| fixture.send(unique, 1, "/a")).collect();
    assert!(next.iter().all(|sent| sent.worker.address != wrong));
    // The list lags, so the worker is still avoided although the list still names it.
    fixture.workers(vec![worker(1), worker(2)]);
    assert_ne!(fixture.send(8, 1, "/a").worker.address, wrong);
    for sent in next {
        fixture.end(sent.attempt, success());
    }
    fixture.pass(3500);
    let later: Vec<Sent> = (10..14).map(|unique| fixture.send(unique, 1, "/a")).collect();
    assert!(later.iter().any(|sent| sent.worker.address == wrong));
}

#[test]
fn an_address_with_a_new_instance_is_sent_the_new_instance_id() {
    let mut fixture = Fixture::new(1);
    let restarted = WorkerEntry { instance_id: "i-new".into(), ..worker(1) };
    fixture.workers(vec![restarted]);
    let sent = fixture.send(1, 1, "/a");
    assert_eq!(sent.worker.instance_id.as_deref(), Some("i-new"));
}

#[test]
fn an_older_list_is_ignored() {
    let mut fixture = Fixture::new(1);
    let old = fixture.list.clone();
    fixture.workers(vec![draining(1)]);
    fixture.input(Input::Workers(old));
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
}

#[test]
fn workers_of_other_services_get_no_messages() {
    let mut fixture = Fixture::new(0);
    let foreign = WorkerEntry { service: "other".into(), ..worker(1) };
    fixture.workers(vec![foreign]);
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    assert_eq!(
        fixture.credit(LISTED),
        1,
        "one message is accepted, as its route may lead to another service"
    );
}

#[test]
fn a_new_static_endpoint_replaces_the_old_one() {
    let mut fixture = Fixture::new(0);
    let moved = Service { static_endpoint: Some(address("172.20.0.9:1")), ..static_service() };
    fixture.input(Input::Services(vec![listed_service(), moved]));
    assert_eq!(fixture.closed(), [address(STATIC_ADDRESS)]);
    assert_eq!(fixture.send(1, 1, "/p").worker.address, address("172.20.0.9:1"));
}

#[test]
fn a_worker_that_warms_up_gets_fewer_messages() {
    let mut fixture = Fixture::new(1);
    let warming_up = WorkerEntry { warm_up_left_ms: 8000, ..worker(2) };
    fixture.workers(vec![worker(1), warming_up]);
    let (mut to_warm, mut to_warming_up) = (0, 0);
    for unique in 0..60 {
        let sent = fixture.send(unique, 1, "/a");
        let is_warming_up = sent.worker.address == worker(2).address;
        if is_warming_up {
            to_warming_up += 1
        } else {
            to_warm += 1
        }
        fixture.now += 30;
        fixture.end(sent.attempt, success());
    }
    assert!(to_warm > to_warming_up, "{to_warm} to the warm worker, {to_warming_up} to the other");
}

#[test]
fn a_worker_that_cannot_be_connected_to_is_avoided() {
    let mut fixture = Fixture::new(3);
    let sent = fixture.send(1, 1, "/a");
    let gone = sent.worker.address;
    fixture.end(sent.attempt, AttemptResult::NotConnected);
    for unique in 2..20 {
        let sent = fixture.send(unique, 1, "/a");
        assert_ne!(sent.worker.address, gone);
        fixture.now += 20;
        fixture.end(sent.attempt, success());
    }
}
