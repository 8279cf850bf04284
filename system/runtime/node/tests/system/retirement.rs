//! Storage machines that are to be emptied and taken away.

use crate::cluster::{Cluster, ClusterSize, BOUND};
use millrudder_system_standins::{
    eventually_some, ConfigurationBuilder, Message, NodeName, Operator, ProcessSignal, RetireOutcome,
    RetireState, Role, Route, Service, WorkerPlan,
};
use std::time::Duration;

const SIZE: ClusterSize = ClusterSize { core: 3, storage: 4, edge: 1, tolerated_losses: 1 };
const HOST: &str = "huno84.example";
const WITHIN: Duration = Duration::from_secs(10);

#[tokio::test]
async fn a_storage_machine_is_retired() {
    let route = Route::plain("births", HOST, "/births/", "records").with_timeout(BOUND);
    let configuration = ConfigurationBuilder::new(3).service(Service::listed("records")).route(route);
    let mut cluster = Cluster::configured(SIZE, &configuration).await;
    let front = cluster.fronts()[0];
    let mut sent = Vec::new();
    for number in 0..20 {
        let message = Message::new(HOST, "/births/", format!("stored-{number}")).with_body("late birth");
        sent.push(cluster.accept(front, &message).await);
    }
    let stores = cluster.processes_of(Role::Storage);
    let name_of = |cluster: &Cluster, at: usize| cluster.machines[stores[at].machine].node_name().clone();
    let (first, second) = (name_of(&cluster, 0), name_of(&cluster, 1));
    let unknown: NodeName = "storage-nowhere".into();
    assert_eq!(start(&cluster.operator, &unknown).await, RetireOutcome::UnknownMachine);
    assert_eq!(start(&cluster.operator, &first).await, RetireOutcome::Started);
    assert_eq!(start(&cluster.operator, &first).await, RetireOutcome::Started);
    assert_eq!(start(&cluster.operator, &second).await, RetireOutcome::Conflict);
    let operator = &cluster.operator;
    let completed = eventually_some(BOUND, async || {
        operator.retirement(&first).await.ok().flatten().filter(|state| *state == RetireState::Completed)
    });
    assert!(completed.await.is_ok(), "it is not emptied");
    cluster.lose_disk(stores[0]);
    cluster.signal(stores[1], ProcessSignal::Kill);
    let _records = cluster.worker(WorkerPlan::new("records", "i-records")).await;
    for sent in &sent {
        cluster.completed(sent).await;
    }
}

async fn start(operator: &Operator, name: &NodeName) -> RetireOutcome {
    operator.start_retirement(name, WITHIN).await.unwrap()
}
