//! A core machine that has lost the others: it neither hands its state out nor answers orders from it.

use crate::cluster::{Cluster, ClusterSize, BOUND};
use millrudder_system_standins::{
    eventually, eventually_some, AttemptFailure, Configuration, ConfigurationBuilder, ConfigurationVersion,
    Operator, OperatorPlan, OrderError, PutOutcome, Role, Route, Service,
};
use std::net::SocketAddr;
use std::time::Duration;

/// For so long answers are asked for.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(1500);

const SIZE: ClusterSize = ClusterSize { core: 3, storage: 3, edge: 1, tolerated_losses: 1 };

fn configuration() -> ConfigurationBuilder {
    let route = Route::plain("births", "huno84.example", "/births/", "records");
    ConfigurationBuilder::new(3).service(Service::listed("records")).route(route)
}

#[tokio::test]
async fn a_core_machine_without_quorum_sends_and_answers_nothing() {
    let configuration = configuration();
    let mut cluster = Cluster::configured(SIZE, &configuration).await;
    cluster.core_agrees(&configuration.build().unwrap()).await;
    let alone = isolate_one(&mut cluster);
    orders_are_not_answered(alone, &configuration).await;
    let dispatcher = cluster.processes_of(Role::Edge)[0];
    cluster.kill(dispatcher);
    cluster.start_process(dispatcher);
    let refused = || refused_since_start(&cluster.log_of(dispatcher));
    assert!(eventually(BOUND, refused).await.is_ok(), "the dispatcher is not sent away");
    let readiness = cluster.machines[dispatcher.machine].readiness().unwrap();
    assert!(!cluster.client.is_ready(readiness).await, "ready with a state that no majority has confirmed");
    cluster.start_all();
    cluster.all_ready().await;
    cluster.core_agrees(&configuration.build().unwrap()).await;
}

/// Whether a dispatcher has written since its last start that a core machine has no quorum.
fn refused_since_start(log: &[String]) -> bool {
    let start = log
        .iter()
        .rposition(|line| line.contains("] starting ") && line.contains("role=edge"))
        .unwrap_or(log.len());
    log[start..].iter().any(|line| line.contains("core machine has no quorum"))
}

/// Kills all core machines but one, and tells where that one serves the operator.
fn isolate_one(cluster: &mut Cluster) -> SocketAddr {
    let core = cluster.processes_of(Role::Core);
    let alone = cluster.machines[core[0].machine].control_plane().unwrap();
    for other in &core[1..] {
        cluster.kill(*other);
    }
    alone
}

/// One that was accepted before, one that builds on an older version, one whose version is not higher, and a reading.
async fn orders_are_not_answered(alone: SocketAddr, accepted: &ConfigurationBuilder) {
    put_is_not_answered(alone, &accepted.build().unwrap(), 0).await;
    put_is_not_answered(alone, &accepted.clone().with_version(7).build().unwrap(), 1).await;
    put_is_not_answered(alone, &accepted.clone().with_version(2).build().unwrap(), 3).await;
    let read = retrying_operator(alone).get().await;
    let read = read.map(|answer| answer.answer.status);
    assert_unacknowledged(read.map_err(last_failure), "Config.Get");
}

async fn put_is_not_answered(alone: SocketAddr, configuration: &Configuration, if_version: u64) {
    let outcome = retrying_operator(alone).put(configuration, ConfigurationVersion(if_version)).await;
    assert_unacknowledged(outcome.map_err(last_failure), "Config.Put");
}

fn retrying_operator(alone: SocketAddr) -> Operator {
    Operator::with_plan(vec![alone], OperatorPlan { give_up: OPERATOR_TIMEOUT, ..OperatorPlan::default() })
}

fn last_failure(error: OrderError) -> AttemptFailure {
    match error {
        OrderError::Unclear { last, .. } => last,
        error => panic!("{error}"),
    }
}

/// An answer came within the operator's time-out, and was neither an acknowledgement nor a rejection.
fn assert_unacknowledged<T: std::fmt::Debug>(outcome: Result<T, AttemptFailure>, order: &str) {
    match outcome {
        Err(AttemptFailure::Status { status }) if status >= 500 => {}
        other => panic!("{order} at a machine without a majority: {other:?}"),
    }
}

/// The same order at two machines at once, as after a lost answer: taken once, acknowledged twice.
#[tokio::test]
async fn a_request_sent_to_two_core_machines_is_acknowledged_by_both() {
    let first = configuration();
    let cluster = Cluster::configured(SIZE, &first).await;
    let addresses = cluster.control_planes();
    for round in 0..5 {
        let next = first.clone().with_version(10 + round).build().unwrap();
        let before = if round == 0 { 3 } else { 9 + round };
        let at = |address| {
            let (operator, next) = (Operator::new(vec![address]), next.clone());
            async move { operator.put(&next, ConfigurationVersion(before)).await.unwrap() }
        };
        let outcomes = tokio::join!(at(addresses[0]), at(addresses[1]), at(addresses[2]));
        assert_eq!(outcomes, (PutOutcome::Taken, PutOutcome::Taken, PutOutcome::Taken));
    }
    let read = eventually_some(BOUND, async || Operator::new(addresses.clone()).get().await.ok()).await;
    assert_eq!(read.unwrap().answer.body, first.with_version(14).build().unwrap().body);
}
