//! The operator's configuration: taken once, refused rightly, in force everywhere.

use crate::cluster::{run_together, Cluster, ClusterSize, Scenario, Sent, BOUND};
use millrudder_system_standins::{
    eventually, eventually_some, Behaviour, Configuration, ConfigurationBuilder, ConfigurationVersion,
    Defect, Message, MessageState, Operator, PutOutcome, Reception, Route, Service, WorkerPlan,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const HOST: &str = "huno84.example";
/// For a single delivery; [`BOUND`] is the time-out before.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

fn route(name: &str) -> Route {
    Route::plain(name, HOST, &format!("/{name}/"), "records")
}

fn first_configuration() -> ConfigurationBuilder {
    ConfigurationBuilder::new(3)
        .service(Service::listed("records"))
        .service(Service::listed("archive"))
        .route(route("births").with_timeout(BOUND))
        .route(route("deaths"))
}

/// Messages that wait behind others of their key heed a new configuration: they end with their route, or go where their
/// route leads by now.
#[tokio::test]
async fn waiting_messages_follow_their_routes() {
    let ordered = |name| route(name).fifo().with_timeout(BOUND);
    let first = first_configuration().route(ordered("dropped")).route(ordered("moved"));
    let cluster = Rc::new(Cluster::configured(ClusterSize::FULL, &first).await);
    let records = cluster.worker(WorkerPlan::new("records", "i-records")).await;
    let _archive = cluster.worker(WorkerPlan::new("archive", "i-archive")).await;
    records.work_gate().hold();
    let mut waiting = Vec::new();
    for name in ["dropped", "moved"] {
        wait_on(&cluster, name, "first").await;
        waiting.push(wait_on(&cluster, name, name).await);
    }
    eventually(BOUND, || records.running() == 2).await.unwrap();
    let second = first.with_version(5).without_route("dropped").route(route("marriages"));
    let second = second.route(Route { backend: "archive".into(), ..ordered("moved") });
    assert_eq!(cluster.put(&second.build().unwrap(), 3).await, PutOutcome::Taken);
    for front in cluster.fronts() {
        route_comes_into_force(&cluster, front, "/marriages/").await;
    }
    records.work_gate().release();
    follow_their_routes(cluster, waiting, "archive").await;
}

/// The same where their service has no worker.
#[tokio::test]
async fn messages_without_workers_follow_their_routes() {
    let first = first_configuration();
    let archived = |name| Route { backend: "archive".into(), ..route(name) };
    let first = first.route(archived("dropped")).route(archived("moved"));
    let cluster = Rc::new(Cluster::configured(ClusterSize::FULL, &first).await);
    let _records = cluster.worker(WorkerPlan::new("records", "i-records")).await;
    let waiting =
        vec![wait_on(&cluster, "dropped", "dropped").await, wait_on(&cluster, "moved", "moved").await];
    let second = first.with_version(5).without_route("dropped").route(route("moved"));
    assert_eq!(cluster.put(&second.build().unwrap(), 3).await, PutOutcome::Taken);
    follow_their_routes(cluster, waiting, "records").await;
}

/// A message on the route of a name, behind others there.
async fn wait_on(cluster: &Cluster, route: &str, id: &str) -> Sent {
    let message = Message::new(HOST, format!("/{route}/"), format!("{route}-{id}"));
    let message = message.with_body("late birth").with_order_key(route);
    cluster.accept(cluster.fronts()[0], &message).await
}

/// The first one ends with its route, the second one is run by the service.
async fn follow_their_routes(cluster: Rc<Cluster>, mut waiting: Vec<Sent>, service: &'static str) {
    let moved = waiting.remove(1);
    let dropped = waiting.remove(0);
    run_together(vec![
        Scenario::new("ends with its route", ends_with_its_route(cluster.clone(), dropped)),
        Scenario::new("goes where its route leads", goes_to(cluster.clone(), moved, service)),
    ])
    .await;
}

async fn ends_with_its_route(cluster: Rc<Cluster>, dropped: Sent) {
    assert_eq!(cluster.end(&dropped).await.state, MessageState::DeadLetter);
    cluster.body_is_stored(cluster.fronts()[1], &dropped).await;
    assert_eq!(cluster.arrival_log.arrivals_of(&dropped.accepted.message.request_id).len(), 0);
}

async fn goes_to(cluster: Rc<Cluster>, moved: Sent, service: &'static str) {
    cluster.completed(&moved).await;
    let runs = cluster.arrival_log.runs_of(&moved.accepted.message.request_id);
    assert!(runs.iter().all(|run| run.service.as_str() == service), "{runs:?}");
}

#[tokio::test]
async fn a_configuration_is_committed_once_and_applied_everywhere() {
    let cluster = Cluster::start(ClusterSize::FULL).await;
    let first = first_configuration();
    nothing_is_in_force_before_the_first(&cluster, &first).await;
    taken_though_answers_are_lost(&cluster, &first.build().unwrap()).await;
    cluster.all_ready().await;
    acknowledged_again_anywhere(&cluster, &first.build().unwrap()).await;
    defects_are_refused(&cluster, &first.clone().with_version(4)).await;

    let second = first.clone().with_version(5).route(route("marriages")).without_route("deaths");
    routes_come_and_go(&cluster, &second.build().unwrap()).await;
    // However many versions later.
    acknowledged_again_anywhere(&cluster, &first.build().unwrap()).await;
    stale_changes_are_refused(&cluster, &second).await;

    let (third, version) = one_of_two_wins(&cluster, &second).await;
    let fourth = third.with_version(version + 10);
    time_outs_change(&cluster, &fourth, version).await;
}

async fn nothing_is_in_force_before_the_first(cluster: &Cluster, first: &ConfigurationBuilder) {
    defects_are_refused_on(cluster, first, 0).await;
    let reception = cluster.client.send(cluster.fronts()[0], &Message::new(HOST, "/births/", "early")).await;
    // It may not listen yet.
    if let Ok(reception) = reception {
        assert!(matches!(reception, Reception::NotTaken { status: 503, .. }), "{reception:?}");
    }
    for machine in &cluster.machines {
        if let Some(readiness) = machine.readiness() {
            assert!(!cluster.client.is_ready(readiness).await, "ready without a configuration");
        }
    }
}

async fn taken_though_answers_are_lost(cluster: &Cluster, first: &Configuration) {
    cluster.operator.lose_answers(2);
    assert_eq!(cluster.put(first, 0).await, PutOutcome::Taken);
    in_force(cluster, first).await;
}

/// The same bytes are acknowledged at each core machine, and change nothing.
async fn acknowledged_again_anywhere(cluster: &Cluster, configuration: &Configuration) {
    for address in cluster.control_planes() {
        let before = read(address).await;
        let again = put_at(address, configuration, 0).await;
        assert_eq!(again, PutOutcome::Taken, "at {address}");
        assert_eq!(read(address).await, before);
    }
}

/// Every core machine gives back what was sent.
async fn in_force(cluster: &Cluster, configuration: &Configuration) {
    for address in cluster.control_planes() {
        assert_eq!(read(address).await, configuration.body, "at {address}");
    }
}

async fn read(address: SocketAddr) -> Vec<u8> {
    let read = Operator::new(vec![address]).get().await.unwrap();
    assert_eq!(read.answer.status.as_u16(), 200);
    read.answer.body.to_vec()
}

async fn put_at(address: SocketAddr, configuration: &Configuration, if_version: u64) -> PutOutcome {
    let operator = Operator::new(vec![address]);
    operator.put(configuration, ConfigurationVersion(if_version)).await.unwrap()
}

async fn defects_are_refused(cluster: &Cluster, change: &ConfigurationBuilder) {
    let before = read(cluster.control_planes()[0]).await;
    defects_are_refused_on(cluster, change, 3).await;
    for address in cluster.control_planes() {
        assert_eq!(read(address).await, before, "a defect came into force");
    }
}

async fn defects_are_refused_on(cluster: &Cluster, change: &ConfigurationBuilder, if_version: u64) {
    for defect in Defect::ALL {
        let outcome = cluster.put(&change.build_with(defect).unwrap(), if_version).await;
        assert!(matches!(outcome, PutOutcome::Refused { .. }), "{defect:?}: {outcome:?}");
    }
}

async fn routes_come_and_go(cluster: &Cluster, second: &Configuration) {
    for front in cluster.fronts() {
        let reception = offer(cluster, front, "/marriages/", "before").await;
        assert_eq!(reception, Reception::Rejected { status: 404 });
    }
    assert_eq!(cluster.put(second, 3).await, PutOutcome::Taken);
    in_force(cluster, second).await;
    for front in cluster.fronts() {
        route_comes_into_force(cluster, front, "/marriages/").await;
        // Both changes are of one version.
        assert_eq!(offer(cluster, front, "/deaths/", "after").await, Reception::Rejected { status: 404 });
    }
}

/// Sends a message once, to see what a dispatcher makes of its path.
async fn offer(cluster: &Cluster, front: SocketAddr, path: &str, id: &str) -> Reception {
    let message = Message::new(HOST, path, format!("{id}{path}{}", front.ip()));
    cluster.client.send(front, &message).await.unwrap()
}

async fn stale_changes_are_refused(cluster: &Cluster, second: &ConfigurationBuilder) {
    let change = second.clone().with_version(8).route(route("late"));
    let outcome = cluster.put(&change.build().unwrap(), 3).await;
    assert_eq!(outcome, PutOutcome::OtherVersion, "it builds on an older version");
    let not_higher = second.clone().with_version(4).route(route("late"));
    let outcome = cluster.put(&not_higher.build().unwrap(), 5).await;
    assert!(matches!(outcome, PutOutcome::Refused { .. }), "its version is not higher: {outcome:?}");
    let same_number = second.clone().route(route("late"));
    let outcome = cluster.put(&same_number.build().unwrap(), 5).await;
    assert!(matches!(outcome, PutOutcome::Refused { .. }), "its number is taken: {outcome:?}");
    in_force(cluster, &second.build().unwrap()).await;
}

/// Two operators at different machines, on the same version: one wins, and the other never comes into force.
async fn one_of_two_wins(cluster: &Cluster, second: &ConfigurationBuilder) -> (ConfigurationBuilder, u64) {
    let ours = second.clone().with_version(20).route(route("ours"));
    let theirs = second.clone().with_version(21).route(route("theirs"));
    let addresses = cluster.control_planes();
    let (our_bytes, their_bytes) = (ours.build().unwrap(), theirs.build().unwrap());
    let outcomes = tokio::join!(put_at(addresses[0], &our_bytes, 5), put_at(addresses[2], &their_bytes, 5));
    let (winner, loser, version) = match outcomes {
        (PutOutcome::Taken, PutOutcome::OtherVersion) => (ours, their_bytes, 20),
        (PutOutcome::OtherVersion, PutOutcome::Taken) => (theirs, our_bytes, 21),
        outcomes => panic!("{outcomes:?}"),
    };
    in_force(cluster, &winner.build().unwrap()).await;
    assert_eq!(put_at(addresses[1], &loser, 5).await, PutOutcome::OtherVersion, "it lost");
    acknowledged_again_anywhere(cluster, &winner.build().unwrap()).await;
    (winner, version)
}

async fn time_outs_change(cluster: &Cluster, change: &ConfigurationBuilder, before: u64) {
    let worker = cluster.worker(WorkerPlan { capacity: 8, ..WorkerPlan::new("records", "i-records") }).await;
    cluster.script(&worker, "unresponsive-at-first", Behaviour::StaySilent);
    let change = change.clone().route(route("births").with_timeout(SHORT_TIMEOUT)).route(route("divorces"));
    assert_eq!(cluster.put(&change.build().unwrap(), before).await, PutOutcome::Taken);
    for front in cluster.fronts() {
        route_comes_into_force(cluster, front, "/divorces/").await;
    }
    let message = Message::new(HOST, "/births/", "unresponsive-at-first");
    let sent = cluster.accept(cluster.fronts()[1], &message).await;
    let id = &sent.accepted.message.request_id;
    // The former time-out is as long as the bound.
    let repeated = eventually(BOUND / 2, || cluster.arrival_log.arrivals_of(id).len() >= 2).await;
    assert!(repeated.is_ok(), "the new time-out is not in force");
    cluster.script(&worker, "unresponsive-at-first", Behaviour::Succeed);
    cluster.completed(&sent).await;
}

/// Waits until a dispatcher takes messages on a path.
async fn route_comes_into_force(cluster: &Cluster, front: SocketAddr, path: &str) {
    let mut attempts = 0;
    let is_there = eventually_some(BOUND, async || {
        attempts += 1;
        let reception = offer(cluster, front, path, &format!("attempt-{attempts}")).await;
        matches!(reception, Reception::Accepted { .. }).then_some(())
    });
    assert!(is_there.await.is_ok(), "the route {path} is not in force at {front}");
}
