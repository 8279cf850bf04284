//! Processes that are stopped, and processes that are lost, under load.

use crate::cluster::{Cluster, ClusterSize, Load, LoadPlan, BOUND};
use millrudder_system_standins::{
    eventually, ConfigurationBuilder, Message, MessageState, ProcessSignal, PutOutcome, RawConnection, Role,
    Route, Service, Worker, WorkerPlan,
};
use tokio::task::LocalSet;

const HOST: &str = "boye61.example";
const MAX_RETRIES: u32 = 4;
const LOAD: LoadPlan = LoadPlan { host: HOST, fifo_path: "/ordered/", plain_path: "/plain/" };
/// Messages that are accepted before, during and after each fault.
const SOME: usize = 30;
/// Names of the loads during the loss of each core machine.
const LOST_CORE: [&str; 3] = ["lost-core-1", "lost-core-2", "lost-core-3"];

fn configuration() -> ConfigurationBuilder {
    ConfigurationBuilder::new(1)
        .service(Service::listed("records"))
        .route(Route::plain("plain", HOST, "/plain/", "records"))
        .route(Route::plain("ordered", HOST, "/ordered/", "records").fifo())
        .route(Route::plain("long", HOST, "/long/", "records").with_timeout(BOUND))
}

async fn workers(cluster: &Cluster) -> Vec<Worker> {
    let mut workers = Vec::new();
    for zone in ["zone-1", "zone-2", "zone-3"] {
        let plan = WorkerPlan::new("records", format!("i-{zone}"));
        let plan = WorkerPlan { zone: zone.into(), capacity: 16, queue: 8, ..plan };
        workers.push(cluster.worker(plan).await);
    }
    workers
}

/// One dispatcher: the deliveries in flight at its SIGTERM are finished, and reported by its successor.
#[tokio::test]
async fn a_stopped_dispatcher_finishes_deliveries_in_flight() {
    let size = ClusterSize { edge: 1, ..ClusterSize::FULL };
    let mut cluster = Cluster::configured(size, &configuration()).await;
    let worker = cluster.worker(WorkerPlan::new("records", "i-1")).await;
    let edge = cluster.processes_of(Role::Edge)[0];
    let front = cluster.fronts()[0];
    worker.work_gate().hold();
    let running = cluster.accept(front, &Message::new(HOST, "/long/", "running")).await;
    eventually(BOUND, || worker.running() == 1).await.unwrap();

    cluster.signal(edge, ProcessSignal::Terminate);
    let readiness = cluster.machines[edge.machine].readiness().unwrap();
    cluster.becomes_unready(readiness).await;
    // Clients still come until the platform has seen that it is not ready.
    let late = cluster.client.send(front, &Message::new(HOST, "/long/", "late")).await;
    worker.work_gate().release();
    assert_eq!(cluster.exit_within_grace(edge).await.code(), Some(0));

    cluster.start_process(edge);
    cluster.all_ready().await;
    cluster.completed(&running).await;
    cluster.none_repeated(&[running]);
    let late = late.expect("a dispatcher that stops still answers");
    cluster.ends_as_acknowledged(&Message::new(HOST, "/long/", "late"), late, front).await;
}

/// All at once: each says that it is not ready while it still has work, serves who comes meanwhile, and ends in order.
#[tokio::test]
async fn dispatchers_stopped_together_become_unready() {
    let mut cluster = Cluster::configured(ClusterSize::FULL, &configuration()).await;
    let worker = cluster.worker(WorkerPlan { capacity: 16, ..WorkerPlan::new("records", "i-1") }).await;
    let edges = cluster.processes_of(Role::Edge);
    worker.work_gate().hold();
    let mut running = Vec::new();
    for (number, front) in cluster.fronts().into_iter().enumerate() {
        running.push(cluster.accept(front, &Message::new(HOST, "/long/", format!("running-{number}"))).await);
    }
    eventually(BOUND, || worker.running() == edges.len()).await.unwrap();
    for edge in &edges {
        cluster.signal(*edge, ProcessSignal::Terminate);
    }
    for edge in &edges {
        let readiness = cluster.machines[edge.machine].readiness().unwrap();
        cluster.becomes_unready(readiness).await;
        assert!(cluster.is_running(*edge), "it has a message out");
    }
    let mut late = Vec::new();
    for (number, front) in cluster.fronts().into_iter().enumerate() {
        let message = Message::new(HOST, "/long/", format!("late-{number}"));
        let reception = cluster.client.send(front, &message).await.expect("a complete answer");
        late.push((message, reception, front));
    }
    worker.work_gate().release();
    for edge in &edges {
        assert_eq!(cluster.exit_within_grace(*edge).await.code(), Some(0));
        cluster.start_process(*edge);
    }
    cluster.all_ready().await;
    cluster.all_completed(&running).await;
    for (message, reception, front) in late {
        cluster.ends_as_acknowledged(&message, reception, front).await;
    }
}

/// Its store does not answer, and its client would wait for longer than the dispatcher may stay.
#[tokio::test]
async fn a_request_unfinished_at_shutdown_gets_a_complete_answer() {
    let size = ClusterSize { core: 1, storage: 1, edge: 1, tolerated_losses: 0 };
    let mut cluster = Cluster::configured(size, &configuration()).await;
    let (edge, store) = (cluster.processes_of(Role::Edge)[0], cluster.processes_of(Role::Storage)[0]);
    let front = cluster.fronts()[0];
    cluster.signal(store, ProcessSignal::Stop);
    let head = format!(
        "POST /ordered/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: outlasting\r\nX-Order-Key: key\r\nX-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        BOUND.as_millis()
    );
    let mut connection = RawConnection::open(front).await.unwrap();
    connection.write(head.as_bytes()).await.unwrap();
    cluster.signal(edge, ProcessSignal::Terminate);
    let answer = connection.read_to_end(BOUND).await.expect("an answer, then the end of the connection");
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 504") && answer.ends_with("\r\n\r\n"), "{answer}");
    assert_eq!(cluster.exit_within_grace(edge).await.code(), Some(0));
    cluster.signal(store, ProcessSignal::Continue);
}

/// A run that outlasts what a stopping dispatcher may wait for is not lost with it.
#[tokio::test]
async fn a_delivery_unfinished_at_shutdown_is_redelivered() {
    let mut cluster = Cluster::configured(ClusterSize::FULL, &configuration()).await;
    let worker = cluster.worker(WorkerPlan::new("records", "i-1")).await;
    worker.work_gate().hold();
    let edges = cluster.processes_of(Role::Edge);
    let front = cluster.machines[edges[0].machine].front().unwrap();
    let sent = cluster.accept(front, &Message::new(HOST, "/long/", "outlasting")).await;
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    cluster.signal(edges[0], ProcessSignal::Terminate);
    assert_eq!(cluster.exit_within_grace(edges[0]).await.code(), Some(0));
    let elsewhere = cluster.machines[edges[1].machine].front().unwrap();
    let status = cluster.status_at(elsewhere, &sent).await;
    assert!(status.is_none_or(|status| status.state == MessageState::Queued), "it has not ended");
    worker.work_gate().release();
    assert_eq!(cluster.end_at(elsewhere, &sent).await.state, MessageState::Completed);
}

/// What runs at a dispatcher that freezes or is killed is delivered again by another one.
#[tokio::test]
async fn deliveries_of_a_lost_dispatcher_are_redelivered() {
    let size = ClusterSize { edge: 2, ..ClusterSize::FULL };
    let mut cluster = Cluster::configured(size, &configuration()).await;
    let worker = cluster.worker(WorkerPlan::new("records", "i-1")).await;
    let edges = cluster.processes_of(Role::Edge);
    let (lost, other) = (edges[0], edges[1]);
    for signal in [ProcessSignal::Stop, ProcessSignal::Kill] {
        // Alone, it is the one that runs the message.
        cluster.kill(other);
        worker.work_gate().hold();
        let front = cluster.machines[lost.machine].front().unwrap();
        let message = Message::new(HOST, "/long/", format!("lost-by-{signal:?}"));
        let sent = cluster.accept(front, &message).await;
        let id = &sent.accepted.message.request_id;
        eventually(BOUND, || cluster.arrival_log.runs_of(id).len() == 1).await.unwrap();

        cluster.start_process(other);
        cluster.all_ready().await;
        cluster.signal(lost, signal);
        let again = eventually(BOUND, || cluster.arrival_log.runs_of(id).len() >= 2).await;
        assert!(again.is_ok(), "{id} is not delivered again");
        worker.work_gate().release();
        let elsewhere = cluster.machines[other.machine].front().unwrap();
        let end = cluster.end_at(elsewhere, &sent).await;
        assert_eq!(end.state, MessageState::Completed);
        if signal == ProcessSignal::Stop {
            cluster.signal(lost, ProcessSignal::Continue);
        }
        cluster.start_all();
        cluster.all_ready().await;
        assert_eq!(cluster.end_at(front, &sent).await, end, "an end is final");
    }
}

/// Settings that change: invalid ones leave the process as it was.
#[tokio::test]
async fn settings_are_reloaded_on_sighup() {
    let mut cluster = Cluster::configured(ClusterSize::FULL, &configuration()).await;
    let _workers = workers(&cluster).await;
    for (role, name) in [(Role::Edge, "edge"), (Role::Storage, "storage"), (Role::Core, "core")] {
        let process = cluster.processes_of(role)[0];
        let path = cluster.machines[process.machine].settings_path().to_owned();
        let valid = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, "nodeName: [").unwrap();
        cluster.signal(process, ProcessSignal::HangUp);
        cluster.writes(process, "settings not reloaded").await;
        std::fs::write(&path, valid).unwrap();
        cluster.signal(process, ProcessSignal::HangUp);
        cluster.writes(process, "settings reloaded").await;
        assert!(cluster.is_running(process));
        let message = Message::new(HOST, "/plain/", format!("after the {name}'s"));
        let sent = cluster.accept(cluster.fronts()[0], &message).await;
        cluster.completed(&sent).await;
    }
}

/// Every dispatcher in turn: nothing is lost, repeated, or out of order.
#[tokio::test]
async fn a_rolling_restart_of_dispatchers_loses_nothing() {
    LocalSet::new()
        .run_until(async {
            let mut cluster = Cluster::configured(ClusterSize::FULL, &configuration()).await;
            let _workers = workers(&cluster).await;
            stop_dispatchers_in_turn(&mut cluster).await;
        })
        .await;
}

/// A store in order, frozen and by force, and then each core machine: nothing is lost or out of order.
#[tokio::test]
async fn lost_stores_and_core_machines_lose_no_message() {
    LocalSet::new()
        .run_until(async {
            let mut cluster = Cluster::configured(ClusterSize::FULL, &configuration()).await;
            let _workers = workers(&cluster).await;
            stop_a_store(&mut cluster).await;
            freeze_a_store(&mut cluster).await;
            lose_a_store(&mut cluster).await;
            lose_core_machines_in_turn(&mut cluster).await;
        })
        .await;
}

/// Planned work: no message runs twice.
async fn stop_dispatchers_in_turn(cluster: &mut Cluster) {
    let load = Load::start(cluster, &LOAD, "dispatchers");
    load.accepts(SOME).await;
    for edge in cluster.processes_of(Role::Edge) {
        cluster.signal(edge, ProcessSignal::Terminate);
        assert_eq!(cluster.exit_within_grace(edge).await.code(), Some(0));
        cluster.start_process(edge);
        cluster.all_ready().await;
    }
    load.accepts(SOME).await;
    let sent = load.end().await;
    cluster.all_completed(&sent).await;
    cluster.none_repeated(&sent);
    assert_eq!(cluster.arrival_log.order_violations(MAX_RETRIES), []);
}

/// Planned work too.
async fn stop_a_store(cluster: &mut Cluster) {
    let store = cluster.processes_of(Role::Storage)[0];
    let load = Load::start(cluster, &LOAD, "stopped-store");
    load.accepts(SOME).await;
    cluster.signal(store, ProcessSignal::Terminate);
    assert_eq!(cluster.exit_within_grace(store).await.code(), Some(0));
    load.accepts(SOME).await;
    cluster.start_process(store);
    load.accepts(SOME).await;
    let sent = load.end().await;
    cluster.all_completed(&sent).await;
    cluster.none_repeated(&sent);
    assert_eq!(cluster.arrival_log.order_violations(MAX_RETRIES), []);
}

/// The store that was stopped before: no second one is away while it catches up.
async fn freeze_a_store(cluster: &mut Cluster) {
    let store = cluster.processes_of(Role::Storage)[0];
    let load = Load::start(cluster, &LOAD, "frozen-store");
    load.accepts(SOME).await;
    cluster.signal(store, ProcessSignal::Stop);
    load.accepts(SOME).await;
    cluster.signal(store, ProcessSignal::Continue);
    load.accepts(SOME).await;
    let sent = load.end().await;
    cluster.all_completed(&sent).await;
    assert_eq!(cluster.arrival_log.order_violations(MAX_RETRIES), []);
}

/// The store that was stopped before: no second one is away while it catches up.
async fn lose_a_store(cluster: &mut Cluster) {
    let store = cluster.processes_of(Role::Storage)[0];
    let load = Load::start(cluster, &LOAD, "lost-store");
    load.accepts(SOME).await;
    cluster.kill(store);
    load.accepts(SOME).await;
    cluster.start_process(store);
    load.accepts(SOME).await;
    let sent = load.end().await;
    cluster.all_completed(&sent).await;
    assert_eq!(cluster.arrival_log.order_violations(MAX_RETRIES), []);
}

/// The core goes on with the others, also where the lost machine did what only one does.
async fn lose_core_machines_in_turn(cluster: &mut Cluster) {
    for (number, core) in cluster.processes_of(Role::Core).into_iter().enumerate() {
        let load = Load::start(cluster, &LOAD, LOST_CORE[number]);
        cluster.kill(core);
        let before = number as u64 + 1;
        let change = configuration().with_version(before + 1).build().unwrap();
        assert_eq!(cluster.put(&change, before).await, PutOutcome::Taken);
        load.accepts(SOME).await;
        cluster.start_process(core);
        cluster.core_agrees(&change).await;
        // While it is away, no other one may be lost.
        cluster.core_is_complete().await;
        let sent = load.end().await;
        cluster.all_completed(&sent).await;
        assert_eq!(cluster.arrival_log.order_violations(MAX_RETRIES), []);
    }
}
