//! The started program with both fronts, in front of a stand-in fleet: rolling deploys, surges, one id on both fronts,
//! the stop, and settings.

mod process;
mod program;

use millrudder_admission::fairness;
use millrudder_front_grpc::proto::jobs_client::JobsClient;
use millrudder_front_grpc::proto::SubmitRequest;
use millrudder_standins::load::{Load, Protocol};
use millrudder_standins::Plan;
use program::Program;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::process::Command;
use std::time::{Duration, Instant};

/// Target of the jobs (ms), longer than any client waits. So no job is late, and the decision module takes every job
/// that admission lets in, however slow the machine is.
const NEVER_LATE: f64 = 20_000.0;
const BOTH: &str = "fronts: {grpc: {listen: 'GRPC'}}\n";

/// Guards against two tests whose programs have one address: the later program ends, and both tests talk to the other one.
#[test]
fn no_address_is_issued_to_two_programs() {
    const ADDRESSES: usize = 1_000;
    let issued: BTreeSet<_> = (0..ADDRESSES).map(|_| program::address::unused()).collect();
    assert_eq!(issued.len(), ADDRESSES);
}

#[test]
fn a_rolling_deploy_under_traffic_on_both_ports_keeps_the_rules() {
    let plan = Plan {
        workers: 10,
        seed: 11,
        work_ms: 120.0,
        cold_ms: 2_000.0,
        aim_ms: NEVER_LATE,
        ..Plan::default()
    };
    let program = Program::start(plan, BOTH);
    let fleet = &program.fleet;
    let runtime = fleet.handle();
    let _entered = runtime.enter();
    let loads = [Protocol::Http, Protocol::Grpc].map(|protocol| {
        let kind = program.kind(protocol, if protocol == Protocol::Http { "h" } else { "g" });
        Load::open(&kind, 60.0, 12)
    });
    std::thread::sleep(Duration::from_millis(500));
    // Replaces six of the ten workers, two at a time; the new workers start cold.
    for batch in 0..3 {
        let old = [2 * batch, 2 * batch + 1];
        old.iter().for_each(|number| fleet.drain(*number));
        old.iter().for_each(|_| assert!(fleet.join(true).is_ok()));
        std::thread::sleep(Duration::from_millis(900));
        let end = Instant::now() + program::WAIT;
        while old.iter().any(|number| fleet.in_flight(*number) > 0) {
            assert!(Instant::now() < end, "a draining worker finishes what it has");
            std::thread::sleep(Duration::from_millis(10));
        }
        old.iter().for_each(|number| fleet.leave(*number));
    }
    loads.iter().for_each(|load| runtime.block_on(load.stop()));
    let (books, seen) = (fleet.books(), loads.map(|load| load.seen()));
    assert_eq!((books.fallen, books.after_drain, books.doubled()), (0, 0, 0), "{books:?}");
    assert!(books.worst_cold > 0.0 && books.worst_cold <= 1.0, "{}", books.worst_cold);
    for seen in &seen {
        assert_eq!(seen.asked, seen.answers(), "each job has one answer");
        assert!(seen.served as f64 >= 0.97 * seen.asked as f64, "{seen:?}");
    }
    // The clients' answers agree with the jobs that ran: every served job ran, whichever front answered.
    let served: u64 = seen.iter().map(|s| s.served).sum();
    assert!(books.runs.len() as u64 >= served, "{} runs, {served} served", books.runs.len());
    assert_eq!(
        program.counter("taken") + program.counter("turned_away"),
        seen.iter().map(|s| s.asked).sum::<u64>()
    );
}

#[test]
fn a_surge_on_one_port_leaves_the_other_as_it_was_and_on_both_is_shared_by_weight() {
    // Enough workers that the decision module refuses nothing: only admission decides.
    let plan = Plan {
        workers: 14,
        seed: 13,
        work_ms: 60.0,
        tells_start: false,
        aim_ms: NEVER_LATE,
        ..Plan::default()
    };
    let settings = "fronts: {http: {weight: 3}, grpc: {listen: 'GRPC', weight: 1}}\nadmission: {jobs: 48}\n";
    let program = Program::start(plan, settings);
    let runtime = program.fleet.handle();
    let _entered = runtime.enter();
    // HTTP/1.1 borrows all the places it can. gRPC uses two places at a time, which is within the part of its 12 places
    // that is never lent.
    let surge = Load::closed(&program.kind(Protocol::Http, "surge"), 160, 1);
    program.until_counted("turned_away", |n| n > 100);
    let quiet = Load::closed(&program.kind(Protocol::Grpc, "quiet"), 2, 1);
    std::thread::sleep(Duration::from_secs(2));
    runtime.block_on(quiet.stop());
    let seen = quiet.seen();
    assert_eq!((seen.refused, seen.failed, seen.late), (0, 0, 0), "{seen:?}");
    assert_eq!(program.counter("answered_deferred"), 0, "the module refuses nothing");
    assert!(seen.served >= 4, "{seen:?}");
    // Both fronts get far more jobs than there are places: the served jobs are shared by weight.
    let other = Load::closed(&program.kind(Protocol::Grpc, "other"), 160, 4);
    std::thread::sleep(Duration::from_millis(1_500));
    let _ = (surge.take(), other.take());
    std::thread::sleep(Duration::from_secs(3));
    let (http, grpc) = (surge.take(), other.take());
    runtime.block_on(surge.stop());
    runtime.block_on(other.stop());
    let served = [http.served as f64, grpc.served as f64];
    let index = fairness(&served, &[3.0, 1.0]);
    assert!(index > 0.95, "{index}: {served:?}");
}

async fn channel(program: &Program) -> tonic::transport::Channel {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{}", program.grpc)).unwrap();
    endpoint.connect().await.unwrap()
}

async fn submit(program: &Program, id: &str) -> Result<Vec<u8>, tonic::Status> {
    let mut client = JobsClient::new(channel(program).await);
    let request = SubmitRequest {
        id: id.to_owned(),
        job_class: "copy-issue".to_owned(),
        idempotency_key: format!("key-{id}"),
        ..SubmitRequest::default()
    };
    client.submit(request).await.map(|reply| reply.into_inner().result)
}

fn http_job(program: &Program, id: &str) -> std::net::TcpStream {
    let mut stream = std::net::TcpStream::connect(program.http).unwrap();
    stream.set_read_timeout(Some(program::WAIT)).unwrap();
    let job = format!(
        "POST /api HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: copy-issue\r\nX-Expires-In: 5000m\r\n\
         Idempotency-Key: key-{id}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(job.as_bytes()).unwrap();
    stream
}

fn answer(mut stream: std::net::TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn one_id_on_both_ports_is_one_job() {
    let plan = Plan { workers: 2, seed: 15, work_ms: 1_500.0, ..Plan::default() };
    let program = Program::start(plan, BOTH);
    let runtime = program.fleet.handle();
    let first = http_job(&program, "same");
    program.until_counted("taken", |n| n == 1);
    let second = runtime.block_on(submit(&program, "same")).unwrap_err();
    assert_eq!(second.code(), tonic::Code::AlreadyExists);
    assert!(answer(first).ends_with("done same"));
    assert_eq!(program.fleet.books().runs.len(), 1);
    // Afterwards the id may be used again; the worker cell that ran the job remembers its idempotency key.
    assert_eq!(runtime.block_on(submit(&program, "other")).unwrap(), b"done other");
}

#[test]
fn deadlines_and_cancellations_that_race_with_call_backs_leave_each_job_with_one_end() {
    // Jobs take about as long as their clients wait, so that answers, deadlines and cancellations race in every order.
    let plan = Plan { workers: 12, seed: 18, work_ms: 50.0, aim_ms: NEVER_LATE, ..Plan::default() };
    let program = Program::start(plan, BOTH);
    let runtime = program.fleet.handle();
    let _entered = runtime.enter();
    let client = JobsClient::new(runtime.block_on(channel(&program)));
    let calls: Vec<_> = (0..300u64)
        .map(|n| {
            let mut client = client.clone();
            let mut request = tonic::Request::new(SubmitRequest {
                job_class: "copy-issue".to_owned(),
                idempotency_key: format!("race-{n}"),
                ..SubmitRequest::default()
            });
            // One third of the calls have a deadline in the dispatcher, one third are cancelled by their client.
            if n % 3 == 0 {
                request.metadata_mut().insert("grpc-timeout", format!("{}m", 30 + n % 40).parse().unwrap());
            }
            let call = async move { client.submit(request).await.map(|_| ()).map_err(|s| s.code()) };
            let patience = Duration::from_millis(if n % 3 == 1 { 30 + n % 40 } else { 20_000 });
            runtime.spawn(async move {
                tokio::time::sleep(Duration::from_millis(5 * n)).await;
                tokio::time::timeout(patience, call).await.ok()
            })
        })
        .collect();
    let ends: Vec<_> = calls.into_iter().map(|call| runtime.block_on(call).unwrap()).collect();
    let served = ends.iter().filter(|end| matches!(end, Some(Ok(())))).count();
    // At its deadline a call is ended by the client's timer or by the dispatcher's, whichever is first. A call that
    // waits for a worker is refused once too little time is left, which happens on a loaded machine.
    let at_the_deadline = [tonic::Code::DeadlineExceeded, tonic::Code::Cancelled, tonic::Code::Unavailable];
    let late =
        ends.iter().filter(|end| matches!(end, Some(Err(code)) if at_the_deadline.contains(code))).count();
    let dropped = ends.iter().filter(|end| end.is_none()).count();
    assert_eq!(served + late + dropped, 300, "{ends:?}");
    // One third of the calls have neither a deadline nor a cancellation.
    assert!(served >= 100 && late > 5 && dropped > 5, "{served} {late} {dropped}");
    // On a starved machine the client's timer may end a call before it is sent. A last call on the same connection
    // shows, once it is answered, that all calls sent before it have arrived.
    runtime
        .block_on(client.clone().submit(SubmitRequest {
            id: "last".to_owned(),
            job_class: "copy-issue".to_owned(),
            idempotency_key: "last".to_owned(),
            ..SubmitRequest::default()
        }))
        .unwrap();
    let ended = || {
        let counters = ["answered_served", "answered_deferred", "answered_failed", "withdrawn"];
        counters.iter().map(|name| program.counter(name)).sum::<u64>()
    };
    let all = program.counter("grpc_jobs");
    assert!((served as u64 + 1..=301).contains(&all), "{all} of 301 calls, {served} served");
    program.until_counted("grpc_jobs", |jobs| jobs == all && ended() == all);
    assert_eq!((program.counter("taken"), program.counter("answered_overdue")), (all, 0));
    assert_eq!(program.fleet.books().doubled(), 0);
}

#[test]
fn sigterm_answers_what_is_under_way_on_both_ports() {
    let plan = Plan { workers: 3, seed: 16, work_ms: 900.0, ..Plan::default() };
    let mut program = Program::start(plan, BOTH);
    let runtime = program.fleet.handle();
    let http = http_job(&program, "h1");
    let channel = runtime.block_on(async {
        tonic::transport::Endpoint::from_shared(format!("http://{}", program.grpc))
            .unwrap()
            .connect()
            .await
            .unwrap()
    });
    let mut client = JobsClient::new(channel);
    let request = |id: &str| SubmitRequest {
        id: id.to_owned(),
        job_class: "copy-issue".to_owned(),
        idempotency_key: format!("key-{id}"),
        ..SubmitRequest::default()
    };
    let (first, mut kept) = (request("g1"), client.clone());
    let grpc = runtime.spawn(async move { client.submit(first).await });
    program.until_counted("taken", |n| n == 2);
    program.signal("TERM");
    assert!(program.log_shows("told to stop"));
    // An open connection is still served.
    let second = request("g2");
    let after = runtime.spawn(async move { kept.submit(second).await });
    assert!(answer(http).ends_with("done h1"));
    assert_eq!(runtime.block_on(grpc).unwrap().unwrap().into_inner().result, b"done g1");
    assert_eq!(runtime.block_on(after).unwrap().unwrap().into_inner().result, b"done g2");
    assert_eq!(program.exit_code(), Some(0));
}

#[test]
fn sighup_applies_weights_and_refuses_a_bad_file_whole() {
    let program = Program::start(Plan { workers: 1, seed: 17, ..Plan::default() }, BOTH);
    program.change_settings(|text| text.replace("'}}", "', weight: 7}}"));
    program.until_counted("reloads_good", |n| n == 1);
    program.change_settings(|text| text.replace("weight", "wieght"));
    assert!(program.log_shows("key fronts.grpc.wieght: unknown key; did you mean weight?"));
    program.until_counted("reloads_bad", |n| n == 1);
    program.change_settings(|text| text.replace("wieght: 7", "limits: {streams: 5}"));
    assert!(program.log_shows("not changed while running: fronts.grpc"));
    program.until_counted("reloads_good", |n| n == 2);
}

#[test]
fn status_is_told_over_the_control_socket_until_the_process_ends() {
    let path = std::env::temp_dir().join(format!("millrudder-status-{}", std::process::id()));
    let settings = format!("{BOTH}upgrade: {{control: '{}'}}\n", path.display());
    let mut program =
        Program::start(Plan { workers: 2, seed: 19, work_ms: 1_000.0, ..Plan::default() }, &settings);
    let job = http_job(&program, "owed");
    program.until_counted("taken", |n| n == 1);
    let status = || {
        let output = Command::new(env!("CARGO_BIN_EXE_millrudder"))
            .args(["status", "--control"])
            .arg(&path)
            .output()
            .unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let (code, text) = status();
    let is_told = code == Some(0) && text.contains("serving") && text.contains("jobs owed  1");
    assert!(is_told, "{text}{}", program.counters());
    program.signal("TERM");
    assert!(program.log_shows("told to stop"));
    let end = Instant::now() + program::WAIT;
    while !status().1.contains("stopping") {
        assert!(Instant::now() < end, "the phase follows the signal");
    }
    assert!(answer(job).ends_with("done owed"));
    assert_eq!((program.exit_code(), status().0), (Some(0), Some(1)));
    assert!(!path.exists());
}

#[test]
fn check_tells_good_files_from_bad_ones() {
    let folder = std::env::temp_dir().join(format!("millrudder-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (config, settings) = (folder.join("c.json"), folder.join("m.yaml"));
    let address = "127.0.0.1:1".parse().unwrap();
    std::fs::write(&config, millrudder_standins::settings::node_config(address, address, 1).to_string())
        .unwrap();
    let check = |yaml: &str| {
        std::fs::write(&settings, yaml).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_millrudder"));
        command.args(["check", "--settings"]).arg(&settings).env("NODE_CONFIG", &config);
        let output = command.output().unwrap();
        let text =
            String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        (output.status.code(), text)
    };
    let (code, text) = check("fronts: {grpc: {listen: '127.0.0.1:2'}}\n");
    assert!(code == Some(0) && text.contains("gRPC: 64 connections"), "{text}");
    let (code, text) = check("fronts:\n  grpc:\n    listen: '127.0.0.1:2'\n    limits: {idle_time: 5}\n");
    assert!(code == Some(2) && text.contains("m.yaml:4:25: key fronts.grpc.limits.idle_time"), "{text}");
    std::fs::write(&config, "{}").unwrap();
    let (code, text) = check("");
    assert!(code == Some(2) && text.contains("configuration: NODE_CONFIG: key"), "{text}");
    std::fs::remove_dir_all(&folder).unwrap();
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/millrudder.yaml");
    let shipped = millrudder_config::settings::Settings::load(std::path::Path::new(shipped));
    assert_eq!(
        shipped,
        Ok(millrudder_config::settings::Settings::default()),
        "the shipped file changes nothing"
    );
}
