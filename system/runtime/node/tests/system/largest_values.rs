//! The largest value of each number that passes its check: it is honoured whole, in real processes.

use crate::cluster::{run_together, Cluster, ClusterSize, Scenario, BOUND};
use millrudder_system_standins::{
    eventually, ConfigurationBuilder, Limits, Message, Reception, Route, Service, Worker, WorkerPlan,
};
use std::rc::Rc;
use std::time::Duration;

const HOST: &str = "boye61.example";
/// The longest duration that a configuration may give: ten years.
const LONGEST: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);
const LONGEST_MS: u64 = LONGEST.as_millis() as u64;
/// The largest body that a message can have, where its headers are short: a frame has 8 MiB.
const LARGEST_BODY_BYTES: usize = (8 << 20) - (128 << 10);
const LARGEST_RATE: f64 = f64::MAX;

/// A route with every number at its largest.
fn largest_route(service: &str) -> Route {
    Route {
        timeout_ms: LONGEST_MS,
        target_latency_ms: LONGEST_MS,
        target_start_ms: LONGEST_MS,
        priority: u32::MAX,
        max_retries: u32::MAX,
        ..Route::plain(service, HOST, &format!("/{service}/"), service).with_retention(LONGEST)
    }
}

fn largest_configuration(endpoint: &Worker) -> ConfigurationBuilder {
    ConfigurationBuilder::new(u64::MAX)
        .service(Service::listed("listed").with_max_connections(u32::MAX as usize))
        .service(
            Service::single_endpoint("endpoint", endpoint.address(), LARGEST_RATE)
                .with_max_connections(u32::MAX as usize),
        )
        .route(largest_route("listed"))
        .service(Service::listed("patient"))
        .route(Route { timeout_ms: (1 << 32) + 1, ..Route::plain("patient", HOST, "/patient/", "patient") })
        .route(largest_route("endpoint").fifo())
        .limits(Limits {
            max_header_bytes: u64::MAX,
            max_body_bytes: u64::MAX,
            header_timeout_ms: LONGEST_MS,
            idle_timeout_ms: LONGEST_MS,
        })
}

// Guards against a number of a configuration that is accepted and then cut off, wraps or overflows where it is used.
#[tokio::test]
async fn messages_run_under_the_largest_configuration() {
    let cluster = Cluster::start(ClusterSize::FULL).await;
    let plan = WorkerPlan { capacity: 16, ..WorkerPlan::new("endpoint", "i-endpoint") };
    let endpoint = Worker::start(plan, cluster.arrival_log.clone()).await.unwrap();
    cluster.configure(&largest_configuration(&endpoint)).await;
    let _worker = cluster.worker(WorkerPlan::new("listed", "i-listed")).await;
    let patient = cluster.worker(WorkerPlan::new("patient", "i-patient")).await;
    let cluster = Rc::new(cluster);
    run_together(vec![
        Scenario::new("listed", runs(cluster.clone(), "listed")),
        Scenario::new("a time-out above 49 days", runs_for_some_time(cluster.clone(), patient)),
        Scenario::new("large bodies", stores_large_bodies(cluster.clone())),
        Scenario::new("endpoint", runs(cluster.clone(), "endpoint")),
    ])
    .await;
}

async fn runs(cluster: Rc<Cluster>, route: &str) {
    for (number, front) in cluster.fronts().into_iter().enumerate() {
        let id = format!("{route}-{number}");
        let message = Message::new(HOST, format!("/{route}/"), id).with_body("a body").with_order_key("key");
        let sent = cluster.accept(front, &message).await;
        cluster.completed(&sent).await;
        cluster.ran(&sent, 1);
    }
}

// Guards against a time-out that is cut off to 32 bits of milliseconds, here to 1: the message ran again and again.
async fn runs_for_some_time(cluster: Rc<Cluster>, patient: Worker) {
    let front = cluster.fronts()[0];
    patient.work_gate().hold();
    let long = cluster.accept(front, &Message::new(HOST, "/patient/", "long").with_body("a body")).await;
    eventually(BOUND, || patient.running() == 1).await.unwrap();
    let meanwhile = Message::new(HOST, "/listed/", "meanwhile").with_delay(Duration::from_millis(500));
    let meanwhile = cluster.accept(front, &meanwhile).await;
    cluster.completed(&meanwhile).await;
    patient.work_gate().release();
    cluster.completed(&long).await;
    cluster.ran(&long, 1);
}

// Guards against a body within `maxBodyBytes` that no segment of a disk has room for: every store that got it fenced itself,
// and all messages were answered with 503 meanwhile.
async fn stores_large_bodies(cluster: Rc<Cluster>) {
    for bytes in [5_000_000, LARGEST_BODY_BYTES] {
        let id = format!("large-{bytes}");
        let message = Message::new(HOST, "/listed/", id).with_body(vec![b'x'; bytes]);
        let sent = cluster.accept(cluster.fronts()[1], &message).await;
        cluster.completed(&sent).await;
    }
    // Its headers do not fit in the frame as well.
    let body = vec![b'x'; (8 << 20) - (64 << 10)];
    let beyond = Message::new(HOST, "/listed/", "too-large").with_body(body);
    let reception = cluster.client.send(cluster.fronts()[1], &beyond).await.unwrap();
    assert_eq!(reception, Reception::Rejected { status: 413 });
    assert_eq!(cluster.arrival_log.arrivals_of(&"too-large".into()).len(), 0);
}
