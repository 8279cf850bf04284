//! What is left after all processes were killed, and after disks were lost.

use crate::cluster::{Cluster, ClusterSize, Sent};
use millrudder_system_standins::{
    Behaviour, Configuration, ConfigurationBuilder, Message, MessageState, PutOutcome, Role, Route, Service,
    Worker, WorkerPlan,
};

const HOST: &str = "boye61.example";
const MAX_RETRIES: u32 = 4;

fn configuration() -> ConfigurationBuilder {
    ConfigurationBuilder::new(1)
        .service(Service::listed("records"))
        .service(Service::listed("archive"))
        .route(Route::plain("records", HOST, "/records/", "records"))
        .route(Route::plain("archive", HOST, "/archive/", "archive").fifo())
}

async fn send(cluster: &Cluster, path: &str, kind: &str, count: usize) -> Vec<Sent> {
    let fronts = cluster.fronts();
    let mut sent = Vec::new();
    for number in 0..count {
        let id = format!("{kind}-{number}");
        let message = Message::new(HOST, path, id.clone()).with_body(format!("the body of {id}"));
        let message = match path {
            "/archive/" => message.with_order_key(format!("key-{}", number % 3)),
            _ => message,
        };
        sent.push(cluster.accept(fronts[number % fronts.len()], &message).await);
    }
    sent
}

async fn bodies_are_stored(cluster: &Cluster, sent: &[Sent]) {
    for sent in sent {
        cluster.body_is_stored(cluster.other_front(sent.front), sent).await;
    }
}

async fn archive_worker(cluster: &Cluster) -> Worker {
    cluster.worker(WorkerPlan { capacity: 8, ..WorkerPlan::new("archive", "i-archive") }).await
}

/// Messages that have ended, that are dead, that wait; and a configuration that was just acknowledged.
struct StoredMessages {
    completed: Vec<Sent>,
    dead: Sent,
    waiting: Vec<Sent>,
    configuration: Configuration,
}

impl StoredMessages {
    async fn make(cluster: &Cluster) -> Self {
        let worker = cluster.worker(WorkerPlan::new("records", "i-records")).await;
        cluster.script(&worker, "dead-0", Behaviour::RefuseForGood);
        let completed = send(cluster, "/records/", "completed", 6).await;
        cluster.all_completed(&completed).await;
        let dead = send(cluster, "/records/", "dead", 1).await.remove(0);
        assert_eq!(cluster.end(&dead).await.state, MessageState::DeadLetter);
        let configuration = configuration().with_version(2).build().unwrap();
        assert_eq!(cluster.put(&configuration, 1).await, PutOutcome::Taken);
        // Nobody can run these yet.
        let waiting = send(cluster, "/archive/", "waiting", 12).await;
        // A core machine that was slow counts as lost until it is back in the view.
        cluster.core_is_complete().await;
        StoredMessages { completed, dead, waiting, configuration }
    }

    async fn is_there(&self, cluster: &Cluster) {
        cluster.core_agrees(&self.configuration).await;
        cluster.all_ready().await;
        cluster.all_completed(&self.completed).await;
        assert_eq!(cluster.end(&self.dead).await.state, MessageState::DeadLetter);
        cluster.body_is_stored(cluster.other_front(self.dead.front), &self.dead).await;
        bodies_are_stored(cluster, &self.waiting).await;
    }
}

/// Killed at the same moment right after an acceptance, the system comes back with all that it acknowledged.
#[tokio::test]
async fn acknowledged_messages_survive_a_kill_of_all_processes() {
    let mut cluster = Cluster::configured(ClusterSize::FULL, &configuration()).await;
    let stored = StoredMessages::make(&cluster).await;
    cluster.kill_all();
    cluster.disable_bootstrap();
    cluster.start_all();
    stored.is_there(&cluster).await;
    let _worker = archive_worker(&cluster).await;
    cluster.all_completed(&stored.waiting).await;
    assert_eq!(cluster.arrival_log.order_violations(MAX_RETRIES), []);
    let next = configuration().with_version(3).build().unwrap();
    assert_eq!(cluster.put(&next, 2).await, PutOutcome::Taken);
}

/// The same with the disks of a store and a core machine lost; and then those of the others in turn, each once the ones
/// before were filled.
#[tokio::test]
async fn lost_disks_are_refilled() {
    let mut cluster = Cluster::configured(ClusterSize::FULL, &configuration()).await;
    let stored = StoredMessages::make(&cluster).await;
    cluster.disable_bootstrap();
    cluster.kill_all();
    for (store, core) in cluster.processes_of(Role::Storage).into_iter().zip(cluster.processes_of(Role::Core))
    {
        let before = cluster.placement();
        cluster.lose_disk(store);
        cluster.lose_disk(core);
        cluster.start_all();
        stored.is_there(&cluster).await;
        cluster.fills_replicas(before).await;
        cluster.core_is_complete().await;
    }
    // In the end only what was filled could tell of these.
    let _worker = archive_worker(&cluster).await;
    cluster.all_completed(&stored.waiting).await;
    assert_eq!(cluster.arrival_log.order_violations(MAX_RETRIES), []);
}
