//! Messages in a complete, healthy system.

use crate::cluster::{run_together, Cluster, ClusterSize, Scenario, Sent, BOUND};
use millrudder_system_standins::{
    eventually, Behaviour, BodyReply, Callback, CallbackReceiver, ConfigurationBuilder, IdempotentTable,
    Message, MessageId, MessageState, MessageStatus, NotExecuted, ReceiverBehaviour, ReceiverPlan, Reception,
    Route, Service, StatusReply, Worker, WorkerPlan,
};
use std::rc::Rc;
use std::time::Duration;

const HOST: &str = "boye61.example";
const MAX_RETRIES: u32 = 4;
/// A retention one millisecond above 32 bits of milliseconds: 49.7 days.
const LONG_RETENTION: Duration = Duration::from_millis((1 << 32) + 1);
/// Messages a second at the endpoint with a ceiling, from all dispatchers together.
const CEILING: f64 = 8.0;

/// The services are apart, so that what a scenario scripts at its worker meets no other scenario's messages.
fn configuration(endpoint: &Worker) -> ConfigurationBuilder {
    let mut configuration = ConfigurationBuilder::new(1);
    for service in ["plain", "ordered", "failing", "called", "queued", "patient", "shared"] {
        configuration = configuration.service(Service::listed(service));
    }
    configuration
        .service(Service::listed("shared").idempotent())
        .service(Service::single_endpoint("endpoint", endpoint.address(), CEILING))
        .route(route("plain"))
        .route(route("ordered").fifo())
        .route(route("failing").with_max_retries(MAX_RETRIES))
        .route(route("called").callback())
        .route(route("queued").with_timeout(BOUND))
        .route(route("patient").with_retention(LONG_RETENTION))
        .route(route("shared"))
        .route(route("endpoint"))
        .route(Route {
            name: "paced".to_owned(),
            path_prefix: "/paced/".to_owned(),
            ..route("endpoint").fifo()
        })
}

/// A route to the service of the same name.
fn route(service: &str) -> Route {
    Route::plain(service, HOST, &format!("/{service}/"), service)
}

fn message(path: &str, id: &str) -> Message {
    Message::new(HOST, path, id).with_body(format!("the body of {id}"))
}

#[tokio::test]
async fn messages_reach_their_ends() {
    let cluster = Cluster::start(ClusterSize::FULL).await;
    let plan = WorkerPlan { capacity: 16, ..WorkerPlan::new("endpoint", "i-endpoint") };
    let endpoint = Worker::start(plan, cluster.arrival_log.clone()).await.unwrap();
    cluster.configure(&configuration(&endpoint)).await;
    let _workers = [
        cluster.worker(WorkerPlan::new("plain", "i-plain-1")).await,
        cluster.worker(WorkerPlan { zone: "zone-2".into(), ..WorkerPlan::new("plain", "i-plain-2") }).await,
    ];
    let cluster = Rc::new(cluster);
    run_together(vec![
        Scenario::new(
            "accepted, executed and reported at every dispatcher",
            accept_execute_and_report(cluster.clone()),
        ),
        Scenario::new("passed on as it was sent", forward(cluster.clone())),
        Scenario::new("order of a key", keep_order(cluster.clone())),
        Scenario::new("delay", delay(cluster.clone())),
        Scenario::new("failed attempts and dead letters", fail(cluster.clone())),
        Scenario::new("call-backs", call_back(cluster.clone())),
        Scenario::new("bytes of a queued message", bytes_of_queued(cluster.clone())),
        Scenario::new("retention above 49 days", outlast_an_outage(cluster.clone())),
        Scenario::new("idempotent service", run_once_by_table(cluster.clone())),
        Scenario::new("ceiling of an endpoint", keep_ceiling(cluster.clone())),
        Scenario::new("what is no message", refuse(cluster.clone())),
    ])
    .await;
}

async fn accept_execute_and_report(cluster: Rc<Cluster>) {
    for (number, front) in cluster.fronts().into_iter().enumerate() {
        let sent = cluster.accept(front, &message("/plain/run", &format!("run-{number}"))).await;
        for other in cluster.fronts() {
            let status = cluster.end_at(other, &sent).await;
            assert_eq!(status.state, MessageState::Completed);
        }
        cluster.completed(&sent).await;
        cluster.none_repeated(&[sent]);
    }
    let unknown = MessageId::from("no-such-message");
    let reply = cluster.client.status(cluster.fronts()[0], HOST, &unknown).await.unwrap();
    assert_eq!(reply, StatusReply::Unknown);
}

async fn forward(cluster: Rc<Cluster>) {
    let chunked = Message {
        target: "/plain/as/sent?of=zi72&empty=&%20=%2F".to_owned(),
        ..message("/plain/", "sent-in-chunks").with_body(vec![b'x'; 100_000]).in_chunks(7_000)
    };
    let empty = Message::new(HOST, "/plain/empty", "sent-empty");
    for message in [chunked, empty] {
        let sent = cluster.accept(cluster.fronts()[1], &message).await;
        cluster.completed(&sent).await;
        let runs = cluster.arrival_log.runs_of(&sent.accepted.message.request_id);
        let differences: Vec<_> =
            runs.iter().flat_map(|run| run.differences_from(&sent.accepted.message)).collect();
        assert_eq!(differences, []);
    }
}

async fn keep_order(cluster: Rc<Cluster>) {
    let worker = cluster.worker(WorkerPlan { capacity: 8, ..WorkerPlan::new("ordered", "i-ordered") }).await;
    cluster.script(&worker, "order-b-1", Behaviour::FailFirst { failures: 2 });
    cluster.script(&worker, "order-c-1", Behaviour::RefuseForGood);
    cluster.script(&worker, "order-d-1", Behaviour::LoseAnswer);
    let mut sent = Vec::new();
    for number in 0..4 {
        for key in ["a", "b", "c", "d"] {
            let message = message("/ordered/of", &format!("order-{key}-{number}")).with_order_key(key);
            let front = cluster.fronts()[number % cluster.fronts().len()];
            sent.push(cluster.accept(front, &message).await);
        }
    }
    // The worker has run it, whatever the dispatcher could know.
    cluster.script(&worker, "order-d-1", Behaviour::Succeed);
    for sent in &sent {
        let status = cluster.end(sent).await;
        let is_refused = sent.accepted.message.request_id.as_str().starts_with("order-c-1");
        let expected = if is_refused { MessageState::DeadLetter } else { MessageState::Completed };
        assert_eq!(status.state, expected, "{}", sent.accepted.message.request_id);
    }
    assert_eq!(cluster.arrival_log.order_violations(MAX_RETRIES), []);
}

async fn delay(cluster: Rc<Cluster>) {
    const DELAY: Duration = Duration::from_millis(1200);
    const TOLERANCE: Duration = Duration::from_millis(100);
    let before = cluster.arrival_log.now();
    let delayed = message("/plain/later", "delayed").with_delay(DELAY);
    let sent = cluster.accept(cluster.fronts()[0], &delayed).await;
    cluster.completed(&sent).await;
    let runs = cluster.arrival_log.runs_of(&sent.accepted.message.request_id);
    let started = runs[0].started.unwrap().at;
    assert!(started + TOLERANCE >= before + DELAY, "began {:?} after it was sent", started - before);
}

async fn fail(cluster: Rc<Cluster>) {
    let worker = cluster.worker(WorkerPlan::new("failing", "i-failing")).await;
    cluster.script(&worker, "fails-twice", Behaviour::FailFirst { failures: 2 });
    cluster.script(&worker, "fails-always", Behaviour::FailAlways);
    cluster.script(&worker, "refused-for-good", Behaviour::RefuseForGood);
    cluster.script(&worker, "turned-away", Behaviour::TurnAway(NotExecuted::OverRate));
    let mut sent = Vec::new();
    for id in ["fails-twice", "fails-always", "refused-for-good", "turned-away"] {
        sent.push(cluster.accept(cluster.fronts()[2], &message("/failing/", id)).await);
    }
    let [twice, always, refused, rejected] = &sent[..] else { unreachable!() };
    cluster.completed(twice).await;
    cluster.ran(twice, 3);

    assert_eq!(cluster.end(always).await.state, MessageState::DeadLetter);
    cluster.ran(always, MAX_RETRIES as usize);
    cluster.body_is_stored(cluster.other_front(always.front), always).await;

    assert_eq!(cluster.end(refused).await.state, MessageState::DeadLetter);
    cluster.ran(refused, 1);
    cluster.body_is_stored(cluster.other_front(refused.front), refused).await;

    // Being turned away is no attempt, however often it happens.
    let id = &rejected.accepted.message.request_id;
    let often = || cluster.arrival_log.arrivals_of(id).len() > MAX_RETRIES as usize;
    eventually(BOUND, often).await.unwrap();
    worker.script().on_request(id, Behaviour::Succeed);
    cluster.completed(rejected).await;
    cluster.ran(rejected, 1);
}

async fn call_back(cluster: Rc<Cluster>) {
    let worker = cluster.worker(WorkerPlan::new("called", "i-called")).await;
    cluster.script(&worker, "called-dead", Behaviour::RefuseForGood);
    let mut faulty = Vec::new();
    for (id, behaviour) in [
        ("called-failing", ReceiverBehaviour::Fail),
        ("called-silent", ReceiverBehaviour::StaySilent),
        ("called-closing", ReceiverBehaviour::Close),
    ] {
        let receiver = CallbackReceiver::start(ReceiverPlan { max_connections: 4 }).await.unwrap();
        receiver.script().always(behaviour);
        faulty.push((send_with_callback(&cluster, id, &receiver).await, receiver));
    }
    for (sent, receiver) in &faulty {
        let id = &sent.accepted.message.request_id;
        let called = eventually(BOUND, || !receiver.callbacks_of(id).is_empty()).await;
        assert!(called.is_ok(), "{id} is not called back");
    }
    // Faulty receivers delay no other receiver's call-backs.
    let well = CallbackReceiver::start(ReceiverPlan::default()).await.unwrap();
    let completed = send_with_callback(&cluster, "called-well", &well).await;
    is_notified(&cluster, &completed, &well).await;
    // Guards against a URL without a path, which was accepted and never called (review/6).
    let bare = message("/called/", "called-bare").with_callback(well.url("?job=7"));
    let bare = cluster.accept(cluster.fronts()[0], &bare).await;
    is_notified(&cluster, &bare, &well).await;
    assert_eq!(well.callbacks_of(&bare.accepted.message.request_id)[0].path, "/");
    let dead = send_with_callback(&cluster, "called-dead", &well).await;
    is_notified(&cluster, &dead, &well).await;
    let callbacks = well.callbacks_of(&dead.accepted.message.request_id);
    assert_eq!(callbacks[0].status.as_ref().unwrap().state, MessageState::DeadLetter);
    assert_eq!(callbacks[0].path, "/done/called-dead");

    for (sent, receiver) in &faulty {
        let id = &sent.accepted.message.request_id;
        let repeated = eventually(BOUND, || receiver.callbacks_of(id).len() >= 2).await;
        assert!(repeated.is_ok(), "the call-back of {id} is not repeated");
        assert!(!receiver.has_accepted(id));
        receiver.script().always(ReceiverBehaviour::Accept);
        is_notified(&cluster, sent, receiver).await;
    }
}

async fn send_with_callback(cluster: &Cluster, id: &str, receiver: &CallbackReceiver) -> Sent {
    let message = message("/called/", id).with_callback(receiver.url(&format!("/done/{id}")));
    cluster.accept(cluster.fronts()[0], &message).await
}

/// Waits until a receiver has taken a message's call-back; all that it got of the message tell its end.
async fn is_notified(cluster: &Cluster, sent: &Sent, receiver: &CallbackReceiver) {
    let id = &sent.accepted.message.request_id;
    let taken = eventually(BOUND, || receiver.has_accepted(id)).await;
    assert!(taken.is_ok(), "the call-back of {id} is not taken");
    let status = cluster.end(sent).await;
    let callbacks = receiver.callbacks_of(id);
    let signatures = cluster.arrival_log.signatures_of(id);
    let tells_end = |callback: &Callback| {
        let reported = callback.status.as_ref();
        reported.is_some_and(|reported| reported.state == status.state && is_signed(reported, &signatures))
    };
    assert!(callbacks.iter().all(tells_end), "{callbacks:?} tell another end than {status:?}");
}

/// An end without success has no signature, or an empty one.
fn is_signed(reported: &MessageStatus, signatures: &[String]) -> bool {
    let signature = reported.signature.clone().unwrap_or_default();
    match reported.state {
        MessageState::Completed => signatures.contains(&signature),
        _ => signature.is_empty(),
    }
}

async fn bytes_of_queued(cluster: Rc<Cluster>) {
    // There is no worker yet, so the messages wait.
    let sent = cluster.accept(cluster.fronts()[0], &message("/queued/", "queued-without-worker")).await;
    for front in cluster.fronts() {
        cluster.body_is_stored(front, &sent).await;
        let status = cluster.status_at(front, &sent).await;
        assert!(status.is_none_or(|status| status.state == MessageState::Queued), "it cannot have ended");
    }
    let worker = cluster.worker(WorkerPlan::new("queued", "i-queued")).await;
    cluster.completed(&sent).await;

    // A message that is running has not ended either.
    worker.work_gate().hold();
    let running = cluster.accept(cluster.fronts()[1], &message("/queued/", "queued-running")).await;
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    cluster.body_is_stored(cluster.other_front(running.front), &running).await;
    worker.work_gate().release();
    cluster.completed(&running).await;

    let unknown = MessageId::from("no-such-message");
    let reply = cluster.client.body(cluster.fronts()[0], HOST, &unknown).await.unwrap();
    assert_eq!(reply, BodyReply::Unknown);
}

// Guards against a retention that is cut off to 32 bits of milliseconds: messages were dead-lettered at once (review/5).
async fn outlast_an_outage(cluster: Rc<Cluster>) {
    let sent = cluster.accept(cluster.fronts()[0], &message("/patient/", "without-worker")).await;
    for front in cluster.fronts() {
        cluster.body_is_stored(front, &sent).await;
    }
    let _worker = cluster.worker(WorkerPlan::new("patient", "i-patient")).await;
    cluster.completed(&sent).await;
}

async fn run_once_by_table(cluster: Rc<Cluster>) {
    let table = IdempotentTable::new();
    let mut workers = Vec::new();
    for instance in ["i-shared-1", "i-shared-2"] {
        let plan = WorkerPlan { idempotent: Some(table.clone()), ..WorkerPlan::new("shared", instance) };
        workers.push(cluster.worker(plan).await);
    }
    for worker in &workers {
        worker.script().next(Behaviour::LoseAnswer);
    }
    let sent = cluster.accept(cluster.fronts()[2], &message("/shared/", "answer-lost")).await;
    cluster.completed(&sent).await;
    cluster.ran(&sent, 1);
}

async fn keep_ceiling(cluster: Rc<Cluster>) {
    const WINDOW: Duration = Duration::from_secs(5);
    const MESSAGES: usize = 64;
    let mut sent = Vec::new();
    for number in 0..MESSAGES {
        let id = format!("endpoint-{number}");
        let message = match number % 2 {
            0 => message("/endpoint/", &id),
            _ => message("/paced/", &id).with_order_key(format!("key-{}", number % 11)),
        };
        let front = cluster.fronts()[number % cluster.fronts().len()];
        sent.push(cluster.accept(front, &message).await);
    }
    for sent in &sent {
        cluster.completed(sent).await;
    }
    // As the rules count, with what is tolerated.
    let limit = (CEILING * WINDOW.as_secs_f64() * 1.1) as usize + 5;
    let within = cluster.arrival_log.busiest_window(&"endpoint".into(), WINDOW);
    assert!(within <= limit, "{within} arrivals within {WINDOW:?}, {limit} is the limit");
}

async fn refuse(cluster: Rc<Cluster>) {
    let front = cluster.fronts()[0];
    let elsewhere = Message::new("no-such-host.example", "/plain/", "refused-host");
    let nowhere = message("/no-such-path/", "refused-path");
    for message in [elsewhere, nowhere] {
        let reception = cluster.client.send(front, &message).await.unwrap();
        assert_eq!(reception, Reception::Rejected { status: 404 }, "{}", message.request_id);
    }
    let bad_callback = message("/called/", "refused-callback").with_callback("ftp://10.0.0.4/done");
    let reception = cluster.client.send(front, &bad_callback).await.unwrap();
    assert_eq!(reception, Reception::Rejected { status: 400 });
    for id in ["refused-host", "refused-path", "refused-callback"] {
        assert_eq!(cluster.arrival_log.arrivals_of(&id.into()).len(), 0, "{id} was refused");
    }
}
