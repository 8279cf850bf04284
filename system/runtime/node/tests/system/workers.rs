//! Workers that come, go and misbehave.

use crate::cluster::{run_together, Cluster, ClusterSize, Scenario, Sent, BOUND};
use millrudder_system_standins::{
    eventually, eventually_some, Behaviour, ConfigurationBuilder, Disposition, Message, NotExecuted,
    PlatformMode, Route, Service, Worker, WorkerPlan,
};
use std::rc::Rc;
use std::time::Duration;

const HOST: &str = "boye61.example";
/// For a single delivery.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Messages that one worker cannot run at the same time.
const BURST: usize = 24;

fn configuration() -> ConfigurationBuilder {
    let services = ["drained", "replaced", "crashed", "answering", "lost"];
    let configuration = services.into_iter().fold(ConfigurationBuilder::new(1), |configuration, name| {
        let route = Route::plain(name, HOST, &format!("/{name}/"), name).with_timeout(TIMEOUT);
        configuration.service(Service::listed(name)).route(route)
    });
    // One of its runs lasts as long as the list takes to be heeded.
    let drained = Route::plain("drained", HOST, "/drained/", "drained").with_timeout(BOUND);
    configuration.route(drained)
}

fn plan(service: &str, instance: &str) -> WorkerPlan {
    WorkerPlan { capacity: 8, ..WorkerPlan::new(service, instance) }
}

/// Sends a message at a dispatcher, in turn.
async fn send(cluster: &Cluster, service: &str, number: usize) -> Sent {
    let fronts = cluster.fronts();
    let message = Message::new(HOST, format!("/{service}/"), format!("{service}-{number}"));
    cluster.accept(fronts[number % fronts.len()], &message).await
}

#[tokio::test]
async fn workers_come_and_go() {
    let cluster = Rc::new(Cluster::configured(ClusterSize::FULL, &configuration()).await);
    run_together(vec![
        Scenario::new("draining", drain(cluster.clone())),
        Scenario::new("another worker at the address", replace(cluster.clone())),
        Scenario::new("crash", crash(cluster.clone())),
        Scenario::new("answers that cannot be trusted", misbehave(cluster.clone())),
    ])
    .await;
    lose_platform(&cluster).await;
}

/// A worker that the list shows as draining gets nothing more, and finishes what it runs.
async fn drain(cluster: Rc<Cluster>) {
    let leaving = cluster.worker(plan("drained", "i-leaving")).await;
    let first = send(&cluster, "drained", 0).await;
    cluster.completed(&first).await;
    leaving.answer_gate().hold();
    cluster.script(&leaving, "drained-1", Behaviour::AnswerLate);
    let running = send(&cluster, "drained", 1).await;
    let id = &running.accepted.message.request_id;
    eventually(BOUND, || !cluster.arrival_log.runs_of(id).is_empty()).await.unwrap();

    let staying = cluster.worker(plan("drained", "i-staying")).await;
    assert!(cluster.platform.drain(leaving.instance()));
    let arrivals = || cluster.arrival_log.arrivals_at(leaving.instance()).len();
    let mut numbers = (2..).step_by(BURST);
    let known = eventually_some(BOUND, async || {
        let before = arrivals();
        burst(&cluster, &staying, numbers.next()?).await;
        (arrivals() == before).then_some(())
    });
    assert!(known.await.is_ok(), "the dispatchers do not heed that a worker is draining");
    let before = arrivals();
    burst(&cluster, &staying, numbers.next().unwrap()).await;
    assert_eq!(arrivals(), before, "deliveries to a worker that is draining");
    leaving.answer_gate().release();
    cluster.completed(&running).await;
    cluster.none_repeated(&[running]);
}

/// Many messages while the worker that should get them is busy: another one would get some if it could.
async fn burst(cluster: &Cluster, worker: &Worker, first: usize) {
    worker.work_gate().hold();
    let mut sent = Vec::new();
    for number in first..first + BURST {
        sent.push(send(cluster, "drained", number).await);
    }
    worker.work_gate().release();
    cluster.all_completed(&sent).await;
}

/// An address that a worker has left belongs to another service: nothing of the former runs there.
async fn replace(cluster: Rc<Cluster>) {
    let former = cluster.worker(plan("replaced", "i-former")).await;
    let first = send(&cluster, "replaced", 0).await;
    cluster.completed(&first).await;

    // The list names it for a while yet.
    let (address, listed) = (former.address(), former.listed());
    drop(former);
    let other = cluster.successor(address, plan("another", "i-other")).await;
    let waiting = send(&cluster, "replaced", 1).await;
    let id = &waiting.accepted.message.request_id;
    let rejected = || !cluster.arrival_log.arrivals_of(id).is_empty();
    eventually(BOUND, rejected).await.unwrap();

    let next = cluster.worker(plan("replaced", "i-next")).await;
    assert!(cluster.platform.remove(&listed.instance_id));
    cluster.completed(&waiting).await;
    assert_eq!(cluster.arrival_log.runs_of(id)[0].instance, *next.instance());
    for arrival in cluster.arrival_log.arrivals_at(other.instance()) {
        assert_eq!(arrival.disposition, Disposition::Rejected { status: 421 });
    }
}

/// What a worker ran when it crashed runs again elsewhere.
async fn crash(cluster: Rc<Cluster>) {
    let crashing = cluster.worker(plan("crashed", "i-crashing")).await;
    crashing.work_gate().hold();
    let sent = [send(&cluster, "crashed", 0).await, send(&cluster, "crashed", 1).await];
    eventually(BOUND, || crashing.running() == 2).await.unwrap();
    let instance = crashing.instance().clone();
    drop(crashing);
    // It stays on the list for a while yet.
    let _other = cluster.worker(plan("crashed", "i-healthy")).await;
    cluster.all_completed(&sent).await;
    assert!(cluster.platform.remove(&instance));
}

/// Answers that are truncated, lost, late or repeated are never taken for the complete answer to another message.
async fn misbehave(cluster: Rc<Cluster>) {
    let worker = cluster.worker(plan("answering", "i-answering")).await;
    let script = worker.script();
    for behaviour in [
        Behaviour::CutAnswer,
        Behaviour::LoseAnswer,
        Behaviour::ResetAfterRun,
        Behaviour::ResetBeforeRun,
        Behaviour::StaySilent,
        Behaviour::AnswerTwice,
        Behaviour::TurnAway(NotExecuted::Full),
        Behaviour::TurnAway(NotExecuted::Running),
    ] {
        script.next(behaviour);
    }
    worker.answer_gate().hold();
    let mut sent = Vec::new();
    for number in 0..12 {
        sent.push(send(&cluster, "answering", number).await);
    }
    cluster.all_completed(&sent).await;
    // The second answer comes while its connection is used for something else, or by nobody.
    worker.answer_gate().release();
    let mut later = Vec::new();
    for number in 12..18 {
        later.push(send(&cluster, "answering", number).await);
    }
    cluster.all_completed(&later).await;
}

/// Without the list the workers that are known serve on; what changed meanwhile is read afterwards.
async fn lose_platform(cluster: &Cluster) {
    let known = cluster.worker(plan("lost", "i-known")).await;
    let first = send(cluster, "lost", 0).await;
    cluster.completed(&first).await;
    for (number, mode) in [(1, PlatformMode::Failing), (2, PlatformMode::Silent)] {
        cluster.platform.set_mode(mode);
        let calls = cluster.platform.calls();
        eventually(BOUND, || cluster.platform.calls() > calls).await.unwrap();
        let sent = send(cluster, "lost", number).await;
        cluster.completed(&sent).await;
    }
    assert!(cluster.platform.remove(known.instance()));
    drop(known);
    let _fresh = cluster.worker(plan("lost", "i-fresh")).await;
    cluster.platform.set_mode(PlatformMode::Serving);
    let sent = send(cluster, "lost", 3).await;
    cluster.completed(&sent).await;
}
