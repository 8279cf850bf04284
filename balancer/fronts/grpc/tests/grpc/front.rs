//! The front as clients see it: answers, deadlines, cancellation, progress, drain and stop.

use crate::rig::{request, served, until, Rig};
use millrudder_exchange::{Answer, Failure};
use millrudder_front_grpc::proto::job_event::Event;
use std::time::Duration;
use tonic::{Code, Request};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_gets_its_result_within_the_calls_deadline_or_its_classs() {
    let rig = Rig::start("", 8);
    let mut client = rig.client().await;
    let mut timed = Request::new(request("a"));
    timed.set_timeout(Duration::from_secs(30));
    let began = rig.clock.now();
    let asked = tokio::spawn(async move { (client.submit(timed).await, client) });
    let (_, job, reply) = rig.job();
    let left = job.deadline - began;
    assert!((29_000.0..60_000.0).contains(&left), "{left}");
    assert_eq!((job.trace_id.as_str(), job.forwarded.body.as_slice()), ("a", &b"body"[..]));
    assert_eq!(rig.admission_gate.usage(job.front).places, 1);
    reply.give(served("made here"));
    let (answer, mut client) = asked.await.unwrap();
    assert_eq!(answer.unwrap().into_inner().result, b"made here");
    until("the place is free again", || rig.admission_gate.usage(job.front).places == 0);
    // Without a timeout the class's limit applies; without an id one is generated.
    let began = rig.clock.now();
    let asked = tokio::spawn(async move { client.submit(request("")).await });
    let (_, job, reply) = rig.job();
    assert!((job.deadline - began - 5_000.0).abs() < 4_000.0 && job.trace_id.len() == 32);
    reply.give(served(""));
    asked.await.unwrap().unwrap();
    assert!(rig.nothing_came(), "nothing is withdrawn after its answer");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_and_invalid_fields_have_their_documented_status() {
    let rig = Rig::start("", 8);
    for (answer, code) in [
        (Answer::Defer { retry_after: Some(250.0) }, Code::Unavailable),
        (Answer::Defer { retry_after: None }, Code::Unavailable),
        (Answer::Failed(Failure::Attempts), Code::Unknown),
        (Answer::Failed(Failure::Refused), Code::Internal),
        (Answer::Failed(Failure::Late), Code::DeadlineExceeded),
        (Answer::Failed(Failure::Repeated), Code::AlreadyExists),
    ] {
        let mut client = rig.client().await;
        let asked = tokio::spawn(async move { client.submit(request("a")).await });
        rig.job().2.give(answer.clone());
        let status = asked.await.unwrap().unwrap_err();
        assert_eq!(status.code(), code);
        let pushback =
            status.metadata().get("grpc-retry-pushback-ms").map(|v| v.to_str().unwrap().to_owned());
        let advised = matches!(answer, Answer::Defer { retry_after: Some(_) });
        assert_eq!(pushback, advised.then(|| "250".to_owned()));
    }
    let mut client = rig.client().await;
    for (field, bad) in [
        (
            "job_class",
            millrudder_front_grpc::proto::SubmitRequest { job_class: "x".to_owned(), ..request("a") },
        ),
        ("body", millrudder_front_grpc::proto::SubmitRequest { body: vec![0; 65_537], ..request("a") }),
        ("body", millrudder_front_grpc::proto::SubmitRequest { body: vec![0; 3_000_000], ..request("a") }),
        ("id", request("../x")),
    ] {
        let status = client.submit(bad).await.unwrap_err();
        assert_eq!(status.code(), Code::InvalidArgument);
        assert!(status.message().contains(&format!("field `{field}`")), "{status:?}");
    }
    let mut timed = Request::new(request("a"));
    timed.metadata_mut().insert("grpc-timeout", "soon".parse().unwrap());
    assert_eq!(client.submit(timed).await.unwrap_err().code(), Code::InvalidArgument);
    assert!(rig.nothing_came() && rig.counted("rejected_too_large 1"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_over_the_admission_limit_are_refused_at_once_with_advice() {
    let rig = Rig::start("", 8);
    let client = rig.client().await;
    let calls: Vec<_> = (0..16)
        .map(|n| {
            let mut client = client.clone();
            tokio::spawn(async move { client.submit(request(&format!("j{n}"))).await })
        })
        .collect();
    let replies: Vec<_> = (0..16).map(|_| rig.job().2).collect();
    let status = client.clone().submit(request("one more")).await.unwrap_err();
    assert_eq!(status.code(), Code::InvalidArgument, "an id must not contain spaces: {status:?}");
    let status = client.clone().submit(request("one-more")).await.unwrap_err();
    assert_eq!(status.code(), Code::Unavailable);
    assert!(status.metadata().get("grpc-retry-pushback-ms").is_some());
    replies.iter().for_each(|reply| reply.give(served("x")));
    for call in calls {
        call.await.unwrap().unwrap();
    }
    assert!(rig.nothing_came() && rig.counted("turned_away 1"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_followed_job_sends_events_in_order_with_exactly_one_final_event() {
    let rig = Rig::start("", 8);
    let mut client = rig.client().await;
    let asked = tokio::spawn(async move { client.follow(request("a")).await });
    let (_, _, reply) = rig.job();
    reply.update_progress(|p| p.accepted = true);
    let mut events = asked.await.unwrap().unwrap().into_inner();
    let next = |event: Option<millrudder_front_grpc::proto::JobEvent>| event.unwrap().event.unwrap();
    assert!(matches!(next(events.message().await.unwrap()), Event::Accepted(a) if a.id == "a"));
    reply.update_progress(|p| p.starts = 1);
    assert!(matches!(next(events.message().await.unwrap()), Event::Started(s) if s.attempt == 1));
    reply.update_progress(|p| p.share = 0.4);
    assert!(matches!(next(events.message().await.unwrap()), Event::Progress(p) if p.share == 0.4));
    // A second attempt starts again from no progress.
    reply.update_progress(|p| (p.starts, p.share) = (2, 0.0));
    assert!(matches!(next(events.message().await.unwrap()), Event::Started(s) if s.attempt == 2));
    reply.give(served("made"));
    assert!(matches!(next(events.message().await.unwrap()), Event::Done(d) if d.result == b"made"));
    assert!(events.message().await.unwrap().is_none());

    let mut client = rig.client().await;
    let asked = tokio::spawn(async move { client.follow(request("b")).await });
    rig.job().2.give(Answer::Failed(Failure::Late));
    let mut events = asked.await.unwrap().unwrap().into_inner();
    assert!(
        matches!(next(events.message().await.unwrap()), Event::Ended(e) if e.code == Code::DeadlineExceeded as i32)
    );
    assert_eq!(events.message().await.unwrap_err().code(), Code::DeadlineExceeded);
    assert!(rig.nothing_came(), "answered jobs are not withdrawn");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_call_withdraws_its_job_and_a_late_answer_is_ignored() {
    let rig = Rig::start("", 8);
    let mut client = rig.client().await;
    let (mut first, mut second) = (client.clone(), client.clone());
    let call = tokio::spawn(async move { first.submit(request("a")).await });
    let (ticket, job, reply) = rig.job();
    call.abort();
    assert_eq!(rig.withdrawn(), ticket);
    reply.give(served("too late"));
    until("its place is free", || rig.admission_gate.usage(job.front).places == 0);
    // The same for a followed job after its first event.
    let call = tokio::spawn(async move { second.follow(request("b")).await });
    let (ticket, _, reply) = rig.job();
    reply.update_progress(|p| p.accepted = true);
    drop(call.await.unwrap().unwrap());
    assert_eq!(rig.withdrawn(), ticket);
    // The connection still serves calls.
    let call = tokio::spawn(async move { client.submit(request("c")).await });
    rig.job().2.give(served("c"));
    call.await.unwrap().unwrap();
    assert!(rig.counted("grpc_cancelled 2"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_breaks_withdraws_all_its_jobs() {
    let rig = Rig::start("", 8);
    let mut raw = crate::rig::RawClient::connect(&rig, &[]);
    let message = prost::Message::encode_to_vec(&request(""));
    for stream in [1, 3, 5] {
        raw.send(&crate::rig::call(stream, &message));
    }
    let mut tickets: Vec<_> = (0..3).map(|_| rig.job().0).collect();
    drop(raw);
    let mut withdrawn: Vec<_> = (0..3).map(|_| rig.withdrawn()).collect();
    tickets.sort_unstable();
    withdrawn.sort_unstable();
    assert_eq!(tickets, withdrawn);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_answers_running_jobs_and_refuses_new_ones_after_the_grace_time() {
    let rig = Rig::start("", 8);
    let mut client = rig.client().await;
    let mut first = client.clone();
    let call = tokio::spawn(async move { first.submit(request("a")).await });
    let (_, _, reply) = rig.job();
    rig.stopping.begin(rig.clock.now());
    // Open connections are served during the grace time, as the HTTP/1.1 front does.
    let mut second = client.clone();
    let served_on = tokio::spawn(async move { second.submit(request("b")).await });
    rig.job().2.give(served("b"));
    served_on.await.unwrap().unwrap();
    until("the time for new jobs is over", || rig.stopping.grace_is_over(rig.clock.now()));
    let late = client.submit(request("c")).await.unwrap_err();
    assert_eq!(late.code(), Code::Unavailable);
    reply.give(served("a"));
    assert_eq!(call.await.unwrap().unwrap().into_inner().result, b"a");
    assert!(rig.nothing_came());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn health_follows_drain_and_stop_and_reflection_lists_the_service() {
    use tonic_health::pb::health_check_response::ServingStatus::{NotServing, Serving};
    use tonic_health::pb::{health_client::HealthClient, HealthCheckRequest};
    use tonic_reflection::pb::v1::server_reflection_client::ServerReflectionClient;
    use tonic_reflection::pb::v1::server_reflection_request::MessageRequest;
    use tonic_reflection::pb::v1::{server_reflection_response::MessageResponse, ServerReflectionRequest};
    let rig = Rig::start("", 8);
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{}", rig.address)).unwrap();
    let channel = endpoint.connect().await.unwrap();
    let asked = ServerReflectionRequest {
        host: String::new(),
        message_request: Some(MessageRequest::ListServices(String::new())),
    };
    // A client that keeps its request stream open still gets its answer.
    let open = futures_util::StreamExt::chain(
        futures_util::stream::iter([asked]),
        futures_util::stream::pending::<ServerReflectionRequest>(),
    );
    let mut reflected =
        ServerReflectionClient::new(channel.clone()).server_reflection_info(open).await.unwrap().into_inner();
    let Some(MessageResponse::ListServicesResponse(list)) =
        reflected.message().await.unwrap().unwrap().message_response
    else {
        panic!("no list");
    };
    let names: Vec<&str> = list.service.iter().map(|s| s.name.as_str()).collect();
    assert!(names.contains(&"millrudder.v1.Jobs") && names.contains(&"grpc.health.v1.Health"), "{names:?}");

    let service = HealthCheckRequest { service: "millrudder.v1.Jobs".to_owned() };
    let mut health = HealthClient::new(channel).watch(service).await.unwrap().into_inner();
    assert_eq!(health.message().await.unwrap().unwrap().status(), Serving);
    // A drain closes connections once their calls have ended; this connection still has one.
    rig.drain.begin(rig.clock.now());
    assert_eq!(health.message().await.unwrap().unwrap().status(), NotServing);
    rig.drain.end();
    assert_eq!(health.message().await.unwrap().unwrap().status(), Serving);
    rig.stopping.begin(rig.clock.now());
    assert_eq!(health.message().await.unwrap().unwrap().status(), NotServing);
}

#[test]
fn a_drain_closes_idle_connections() {
    use std::io::{Read, Write};
    let rig = Rig::start("", 8);
    let mut idle = std::net::TcpStream::connect(rig.address).unwrap();
    idle.set_read_timeout(Some(crate::rig::WAIT)).unwrap();
    // The preface and empty settings. After them only the idle limit, which is minutes long, would close the
    // connection.
    idle.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").unwrap();
    let mut first = [0];
    idle.read_exact(&mut first).unwrap();
    rig.drain.begin(rig.clock.now());
    idle.read_to_end(&mut Vec::new()).expect("GOAWAY, then the close");
}
