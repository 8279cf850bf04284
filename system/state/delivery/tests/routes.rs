//! Changes of routes and services while messages wait or are in flight.

mod common;
use common::*;
use millrudder_delivery::*;
use millrudder_protocol::store::AttemptOutcome;

fn moved() -> Vec<Route> {
    vec![Route { prefix: "/a", service: STATIC, timeout_ms: 700 }]
}

#[test]
fn the_service_is_the_one_that_the_route_names_now() {
    let mut fixture = Fixture::new(2);
    fixture.routes(moved());
    let sent = fixture.send(1, 1, "/a");
    assert_eq!(sent.worker.address, address(STATIC_ADDRESS));
    assert_eq!(sent.timeout_ms, 700);
}

#[test]
fn a_waiting_message_follows_its_route() {
    let mut fixture = Fixture::new(0);
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    fixture.routes(moved());
    assert_eq!(fixture.sent().unwrap().worker.address, address(STATIC_ADDRESS));
}

#[test]
fn a_waiting_message_gets_the_new_time_out_and_an_attempt_in_flight_keeps_its_own() {
    let mut fixture = Fixture::new(1);
    let out: Vec<Sent> = (0..8).map(|unique| fixture.send(unique, 1, "/a")).collect();
    fixture.deliver(8, 1, "/a");
    let mut changed = routes();
    changed[0].timeout_ms = 500;
    fixture.routes(changed);
    fixture.end(out[0].attempt, success());
    assert_eq!(fixture.sent().unwrap().timeout_ms, 500);
    // This success arrives after the new time-out of 500 ms, but within the one that the worker was sent.
    fixture.now += 1500;
    fixture.end(out[1].attempt, success());
    assert_eq!(fixture.reported()[0].outcome, succeeded());
}

#[test]
fn a_message_without_route_is_dropped_only_when_its_route_must_be_known() {
    let mut fixture = Fixture::new(1);
    fixture.deliver(1, 1, "/elsewhere");
    assert!(matches!(fixture.outcome(), AttemptOutcome::NotRun { retry_after_ms } if retry_after_ms >= 1000));
    fixture.recorded(1, 1);
    fixture.deliver_again(1, 2, "/elsewhere", 0, 20_000);
    assert_eq!(fixture.outcome(), AttemptOutcome::RouteGone);
}

#[test]
fn before_any_configuration_nothing_is_dropped() {
    let mut fixture = Fixture::empty();
    fixture.deliver_again(1, 1, "/a", 0, 60_000);
    assert!(matches!(fixture.outcome(), AttemptOutcome::NotRun { .. }));
}

#[test]
fn a_waiting_message_whose_route_is_removed_is_given_back() {
    let mut fixture = Fixture::new(0);
    fixture.deliver(1, 1, "/a");
    fixture.routes(Vec::new());
    assert!(matches!(fixture.outcome(), AttemptOutcome::NotRun { .. }));
    fixture.workers(vec![worker(1)]);
    assert!(fixture.sent().is_none());
}

#[test]
fn an_attempt_whose_route_is_removed_goes_on() {
    let mut fixture = Fixture::new(1);
    let sent = fixture.send(1, 1, "/a");
    fixture.input(Input::Services(vec![static_service()]));
    fixture.routes(Vec::new());
    assert!(fixture.reported().is_empty());
    fixture.end(sent.attempt, success());
    assert_eq!(fixture.outcome(), succeeded());
}

#[test]
fn a_service_that_is_removed_and_added_again_is_used() {
    let mut fixture = Fixture::new(1);
    fixture.input(Input::Services(vec![static_service()]));
    fixture.routes(Vec::new());
    fixture.deliver(1, 1, "/a");
    assert!(fixture.sent().is_none());
    fixture.input(Input::Services(vec![listed_service(), static_service()]));
    fixture.routes(routes());
    assert!(fixture.send(2, 1, "/a").worker.instance_id.is_some());
}

#[test]
fn a_message_of_a_service_that_is_not_configured_yet_is_given_back() {
    let mut fixture = Fixture::new(1);
    fixture.routes(vec![Route { prefix: "/a", service: "new", timeout_ms: 1000 }]);
    fixture.deliver_again(1, 1, "/a", 0, 60_000);
    assert!(matches!(fixture.outcome(), AttemptOutcome::NotRun { .. }));
}
