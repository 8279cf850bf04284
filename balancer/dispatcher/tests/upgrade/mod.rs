//! Upgrades under load, run as the platform runs them: the test holds the listening socket, which every process
//! inherits.

use crate::peers::{client, counter, start_discovery, Client, Reply, ScriptedWorker, WAIT};
use crate::process::Process;
use millrudder_handover::{encode, Decoder, Message, VERSION};
use millrudder_standins::load::{Kind, Load, Protocol};
use millrudder_standins::{settings, Fleet, Plan};
use std::ffi::OsStr;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Plays the platform: holds the listening socket, and a folder that all processes share.
struct Platform {
    listener: TcpListener,
    folder: PathBuf,
    started: u16,
    /// An address on loopback that no other test uses.
    host: [u8; 4],
}

impl Platform {
    fn new(config: impl FnOnce(SocketAddr) -> String) -> Self {
        static MADE: AtomicU32 = AtomicU32::new(0);
        let (pid, number) = (std::process::id(), MADE.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(format!("mr-up-{pid}-{number}"));
        std::fs::create_dir_all(&folder).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // Without close-on-exec, so that child processes inherit the descriptor under the same number.
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
        std::fs::write(folder.join("config.json"), config(listener.local_addr().unwrap())).unwrap();
        let host = [127, 200 + (number % 50) as u8, (pid >> 8) as u8, pid as u8];
        Platform { listener, folder, started: 0, host }
    }

    /// Path of the operators' settings file; the file exists only if the test has written it.
    fn settings(&self) -> PathBuf {
        self.folder.join("millrudder.yaml")
    }

    fn address(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// Starts one more process, with its own address for operators' calls.
    fn start(&mut self) -> (Process, SocketAddr) {
        self.started += 1;
        let mgmt = SocketAddr::from((self.host, 30_000 + self.started));
        let variables = [
            ("NODE_INHERITED_FD", self.listener.as_raw_fd().to_string()),
            ("NODE_MGMT", mgmt.to_string()),
            ("TMPDIR", self.folder.display().to_string()),
        ];
        let settings = self.settings();
        let named = [OsStr::new("--settings"), settings.as_os_str()];
        let arguments = if settings.exists() { &named[..] } else { &[] };
        (Process::spawn_with(&self.folder.join("config.json"), arguments, &variables), mgmt)
    }

    /// Starts one more process and waits until it is ready.
    fn start_ready(&mut self) -> (Process, SocketAddr) {
        let (process, mgmt) = self.start();
        wait_until_ready(mgmt);
        (process, mgmt)
    }

    /// Upgrades as the platform does: starts a new process beside the running one, and sends that SIGTERM once the new
    /// one is ready.
    fn upgrade(&mut self, mut old: Process) -> (Process, SocketAddr) {
        let (new, mgmt) = self.start_ready();
        old.signal("TERM");
        assert_eq!(old.exit_code(), Some(0));
        (new, mgmt)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn call(mgmt: SocketAddr, line: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(mgmt) {
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}

fn wait_until_ready(mgmt: SocketAddr) {
    let end = Instant::now() + WAIT;
    while call(mgmt, "READY") != "ok\n" {
        assert!(Instant::now() < end, "the process does not become ready");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A stand-in fleet with steady load, and the platform in front of it.
fn start_with_load(name: &str) -> (Fleet, Platform, Load) {
    let plan = Plan { workers: 8, seed: 5, work_ms: 60.0, ..Plan::default() };
    let fleet = Fleet::start(plan).unwrap();
    let platform = Platform::new(|listen| {
        let discovery = fleet.attach(listen).unwrap();
        let mut config = settings::node_config(listen, discovery, 5);
        let settings = &mut config["settings"];
        // Without hedged copies, a job that runs twice was sent by both processes. The long limits keep a starved
        // machine from giving jobs up as late or treating a worker as silent.
        settings["permissions"]["parallel_tries"] = false.into();
        settings["permissions"]["connect_timeout"] = 5_000.into();
        settings["lanes"][0]["aim"] = 20_000.into();
        config.to_string()
    });
    let to = platform.listener.local_addr().unwrap();
    let load = {
        let runtime = fleet.handle();
        let _entered = runtime.enter();
        Load::open(&Kind::new(Protocol::Http, to, name), 80.0, 6)
    };
    (fleet, platform, load)
}

/// Waits until `more` further jobs have been served.
fn wait_for_served(load: &Load, more: u64) {
    let (before, end) = (load.seen().served, Instant::now() + WAIT);
    while load.seen().served < before + more {
        assert!(Instant::now() < end, "jobs are served: {:?}", load.seen());
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn assert_nothing_lost(fleet: &Fleet, load: &Load) {
    fleet.handle().block_on(load.stop());
    let (seen, books) = (load.seen(), fleet.books());
    assert_eq!((seen.asked, seen.refused, seen.failed, seen.late), (seen.served, 0, 0, 0), "{seen:?}");
    assert_eq!((books.doubled(), books.fallen, books.call_backs_lost), (0, 0, 0), "{books:?}");
    assert_eq!(books.after_drain, 0, "{books:?}");
}

#[test]
fn three_upgrades_in_a_row_under_load_lose_nothing() {
    let (fleet, mut platform, load) = start_with_load("u");
    let (mut process, mut mgmt) = platform.start_ready();
    wait_for_served(&load, 40);
    for _ in 0..3 {
        (process, mgmt) = platform.upgrade(process);
        wait_for_served(&load, 40);
    }
    assert_nothing_lost(&fleet, &load);
    let address = platform.address();
    assert_eq!(counter(&address, "legacies"), 1);
    assert!(counter(&address, "connections_taken_over") > 0, "clients keep their connections");
    assert_eq!(call(mgmt, "READY"), "ok\n");
    drop(process);
}

#[test]
fn a_worker_that_drains_at_any_moment_of_an_upgrade_gets_nothing_new_after_the_grace() {
    let (fleet, mut platform, load) = start_with_load("d");
    let (mut old, _) = platform.start_ready();
    wait_for_served(&load, 40);
    // The drain begins just before the new process starts, while it takes over, once it accepts, or as the old one is
    // told to stop.
    for moment in 0..4 {
        let drain_at = |now| (now == moment).then(|| fleet.drain(moment));
        drain_at(0);
        let (new, mgmt) = platform.start();
        drain_at(1);
        wait_until_ready(mgmt);
        drain_at(2);
        old.signal("TERM");
        drain_at(3);
        // One second at 80 jobs/s: twice the grace period of a draining worker.
        wait_for_served(&load, 80);
        assert_eq!(old.exit_code(), Some(0));
        old = new;
    }
    assert_nothing_lost(&fleet, &load);
    drop(old);
}

#[test]
fn grpc_clients_find_the_new_process_and_lose_nothing() {
    // Guards against a new process that cannot listen for gRPC while the old one does, and exits: then no upgrade is
    // possible with the gRPC front on.
    let (fleet, mut platform, http) = start_with_load("h");
    let address = SocketAddr::from((platform.host, 29_000));
    std::fs::write(platform.settings(), format!("fronts: {{grpc: {{listen: '{address}'}}}}\n")).unwrap();
    let (mut process, _) = platform.start_ready();
    let grpc = {
        let runtime = fleet.handle();
        let _entered = runtime.enter();
        Load::closed(&Kind::new(Protocol::Grpc, address, "g"), 4, 1)
    };
    wait_for_served(&grpc, 40);
    for _ in 0..2 {
        (process, _) = platform.upgrade(process);
        wait_for_served(&grpc, 40);
    }
    assert!(counter(&platform.address(), "grpc_jobs") >= 40, "the new process has them");
    assert_nothing_lost(&fleet, &grpc);
    assert_nothing_lost(&fleet, &http);
    drop(process);
}

/// Known to be flaky (KNOWN-RED.txt): with an open load of 60 calls per second and six to eight test programs at once, one call
/// of some 470 hung for its 5 s in 4 of 8 runs, and sometimes calls were answered as failed (`docs/ROADMAP.md`, "Not yet done of
/// days at size"). The cause is not known. It did not recur in 40 runs of this test, four to eight at once beside a benchmark and
/// a soak test.
#[test]
fn grpc_calls_at_a_rate_find_the_new_process_and_lose_nothing() {
    let (fleet, mut platform, http) = start_with_load("h");
    let address = SocketAddr::from((platform.host, 29_000));
    std::fs::write(platform.settings(), format!("fronts: {{grpc: {{listen: '{address}'}}}}\n")).unwrap();
    let (mut process, _) = platform.start_ready();
    let grpc = {
        let runtime = fleet.handle();
        let _entered = runtime.enter();
        Load::open(&Kind::new(Protocol::Grpc, address, "g"), 60.0, 1)
    };
    wait_for_served(&grpc, 60);
    for _ in 0..4 {
        (process, _) = platform.upgrade(process);
        wait_for_served(&grpc, 60);
    }
    assert_nothing_lost(&fleet, &grpc);
    assert_nothing_lost(&fleet, &http);
    drop(process);
}

/// Number of descriptors that a process holds. 0 once it has ended, and before its `exec`: until then its descriptors are
/// copies of this test's own.
fn descriptors(process: u32) -> usize {
    let name = std::fs::read_to_string(format!("/proc/{process}/comm")).unwrap_or_default();
    if name.trim_end() != "millrudder" {
        return 0;
    }
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

#[test]
fn two_processes_together_hold_no_more_descriptors_than_one_may() {
    let hop = ScriptedWorker::start();
    let (mut platform, _watches) = platform_with_scripted_worker(&hop);
    let (mut old, _) = platform.start_ready();
    let address = platform.address();
    // The budget of 256 descriptors has room for 156 connections from workers, less a reserve that is used to evict
    // others.
    let mut callers: Vec<Client> = (0..140).map(|_| client(&address)).collect();
    callers.iter_mut().for_each(|caller| send_callback(caller, "none", "started"));
    let held = descriptors(old.id);
    assert!(held > 140, "{held}");
    let (new, second) = platform.start();
    let (mut most, mut sent) = (0, false);
    let end = Instant::now() + WAIT;
    while descriptors(old.id) > 0 {
        // The old process's count only falls. So the lower of its counts before and after the count of the new process
        // was certainly held at the same time as that.
        let (before, beside) = (descriptors(old.id), descriptors(new.id));
        most = most.max(before.min(descriptors(old.id)) + beside);
        if !sent && call(second, "READY") == "ok\n" {
            old.signal("TERM");
            sent = true;
        }
        assert!(Instant::now() < end, "the old process ends");
    }
    assert_eq!(old.exit_code(), Some(0));
    assert!(most > held && most <= 256, "{most} of 256, {held} by one");
    // None of the workers' connections was closed.
    callers.iter_mut().for_each(|caller| send_callback(caller, "none", "started"));
}

const JOB: &str = "POST /api HTTP/1.1\r\nX-Trace-Id: ID\r\nX-Qos: copy-issue\r\nX-Expires-In: 20000m\r\n\
    Content-Length: 4\r\n\r\nbody";

/// A platform whose processes have one scripted worker.
fn platform_with_scripted_worker(hop: &ScriptedWorker) -> (Platform, Receiver<TcpStream>) {
    let list = hop.listed("s-1");
    let (discovery, watches) = start_discovery([].into(), list.clone());
    let platform = Platform::new(|listen| {
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1","known":{list},
            "limits":{{"sockets":256}},"settings":{{"me":0,"replicas_of_me":1,"period":2,"zone":"z",
            "failure_domains":["z"],"kinds":["m"],"registry_mode":"ask","lanes":[{{"name":"copy-issue",
            "aim":10000,"hard_limit":20000,"worth":1,"effect":"at_most_once"}}],
            "permissions":{{"max_attempts":5,"may_cancel":true,"connect_timeout":5000}},
            "rules":{{"ask_within":10000,"answer_slack":8}},"specifics":{{"tells_start":true}}}}}}"#
        )
    });
    (platform, watches)
}

/// Checks that a job reaches the worker, and that its client is answered when the worker breaks the connection.
fn assert_serves(platform: &Platform, hop: &ScriptedWorker, id: &str) {
    let mut client = client(&platform.address());
    client.send(&JOB.replace("ID", id));
    hop.next().answer(Reply::Break);
    assert_eq!(client.answer().status, 502, "{id}");
}

fn send_callback(caller: &mut Client, id: &str, state: &str) {
    let news = format!(r#"{{"id":"{id}","from":"s-1","state":"{state}","result":"made"}}"#);
    caller.send(&format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{news}", news.len()));
    assert_eq!(caller.answer().status, 204);
}

#[test]
fn a_job_stays_with_the_old_process_and_its_call_back_finds_it() {
    let hop = ScriptedWorker::start();
    let (mut platform, _watches) = platform_with_scripted_worker(&hop);
    let (mut old, _) = platform.start_ready();
    let address = platform.address();
    let (mut waits, mut idle, mut caller) = (client(&address), client(&address), client(&address));
    send_callback(&mut caller, "none", "started");
    waits.send(&JOB.replace("ID", "a1"));
    hop.next().answer(Reply::Accept);
    send_callback(&mut caller, "a1", "started");
    let (new, _) = platform.start_ready();
    // The connections of the worker and of the idle client were passed to the new process, which refuses a second job
    // with the same id.
    assert!(old.log_shows("the new process accepts"));
    idle.send(&JOB.replace("ID", "a1"));
    assert_eq!(idle.answer().status, 409);
    old.signal("TERM");
    send_callback(&mut caller, "a1", "done");
    assert_eq!(waits.answer().body, "made", "the old one's client has the owner's answer");
    assert_eq!(old.exit_code(), Some(0));
    // The client's connection goes on at the new process.
    waits.send(&JOB.replace("ID", "a2"));
    hop.next().answer(Reply::Accept);
    send_callback(&mut caller, "a2", "done");
    assert_eq!(waits.answer().body, "made");
    drop(new);
}

#[test]
fn bans_and_drains_are_handed_over_and_reach_both_processes() {
    let hop = ScriptedWorker::start();
    let (mut platform, _watches) = platform_with_scripted_worker(&hop);
    let (old, first) = platform.start_ready();
    assert_eq!(call(first, "DISABLE s-1"), "ok\n");
    assert_eq!(call(first, "DRAIN"), "ok\n");
    let (new, _) = platform.start_ready();
    let address = platform.address();
    let ready = || {
        let mut client = client(&address);
        client.send("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n");
        client.answer().status
    };
    assert_eq!(ready(), 503, "drained over the upgrade");
    let mut asks = client(&address);
    asks.send(&JOB.replace("ID", "b1"));
    assert_eq!(asks.answer().status, 503, "out by hand over the upgrade");
    // While both processes run, an operator's call to the old one also reaches the new one.
    assert_eq!((call(first, "UNDRAIN"), call(first, "ENABLE s-1")), ("ok\n".to_owned(), "ok\n".to_owned()));
    let end = Instant::now() + WAIT;
    while ready() != 200 || counter(&address, "bans_ended") == 0 {
        assert!(Instant::now() < end, "both calls reach the new process");
        std::thread::sleep(Duration::from_millis(2));
    }
    let mut client = client(&address);
    client.send(&JOB.replace("ID", "b2"));
    hop.next().answer(Reply::Accept);
    let mut caller = crate::peers::client(&address);
    send_callback(&mut caller, "b2", "done");
    assert_eq!(client.answer().status, 200);
    drop((old, new));
}

#[test]
fn without_a_working_predecessor_the_new_process_serves_alone() {
    let hop = ScriptedWorker::start();
    let (mut platform, _watches) = platform_with_scripted_worker(&hop);
    let path = platform.folder.join("millrudder.sock");
    // In turn: a predecessor that sends nothing, one that sends invalid messages, and a socket file that a dead process
    // has left.
    let silent = UnixListener::bind(&path).unwrap();
    let began = Instant::now();
    let (process, _) = platform.start_ready();
    assert!(began.elapsed() < Duration::from_secs(5), "well within 6 s: {:?}", began.elapsed());
    drop((process, silent));
    std::fs::remove_file(&path).unwrap();
    let garbled = UnixListener::bind(&path).unwrap();
    let talks = std::thread::spawn(move || {
        let (mut stream, _) = garbled.accept().unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
    });
    let (process, _) = platform.start_ready();
    talks.join().unwrap();
    drop(process);
    let (process, _) = platform.start_ready();
    assert_serves(&platform, &hop, "c1");
    drop(process);
}

#[test]
fn an_old_process_that_dies_leaves_the_new_one_serving() {
    let hop = ScriptedWorker::start();
    let (mut platform, _watches) = platform_with_scripted_worker(&hop);
    let (old, _) = platform.start_ready();
    let (new, second) = platform.start_ready();
    drop(old);
    assert!(new.log_shows("the predecessor has ended"));
    assert_eq!(call(second, "READY"), "ok\n");
    assert_serves(&platform, &hop, "d1");
    // A successor that dies leaves the old process serving.
    let (newer, _) = platform.start_ready();
    drop(newer);
    assert!(new.log_shows("the connection to the successor has ended"));
    assert_serves(&platform, &hop, "d2");
}

#[test]
fn a_number_that_is_no_listening_socket_ends_the_start_with_its_name() {
    let hop = ScriptedWorker::start();
    let (platform, _watches) = platform_with_scripted_worker(&hop);
    for number in ["1", "77", "x"] {
        let variables = [("NODE_INHERITED_FD", number.to_owned())];
        let mut process = Process::spawn_with(&platform.folder.join("config.json"), &[], &variables);
        assert!(process.log_shows("NODE_INHERITED_FD"));
        assert_eq!(process.exit_code(), Some(1));
    }
}

/// Plays a successor that sends the first `count` of its messages and then dies.
fn connect_and_die_after(path: &std::path::Path, count: usize) {
    let mut stream = UnixStream::connect(path).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    let hello = Message::Hello { version: VERSION, min_version: VERSION, program: "test".to_owned() };
    let mut decoder = Decoder::default();
    for message in [hello, Message::Checked, Message::Ready, Message::Committed].into_iter().take(count) {
        stream.write_all(&encode(&message).unwrap()).unwrap();
        if message == Message::Committed {
            return;
        }
        // Each message but the last has an answer; other messages of the old process may come before it.
        loop {
            if let Some(received) = decoder.next_message().unwrap() {
                if matches!(received, Message::Offer { .. } | Message::State(_) | Message::Commit { .. }) {
                    break;
                }
                continue;
            }
            let mut part = [0; 4_096];
            let n = match stream.read(&mut part) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                read => read.unwrap(),
            };
            assert!(n > 0, "the old process closed the connection");
            decoder.push(&part[..n]);
        }
    }
}

#[test]
fn a_successor_that_dies_at_any_step_leaves_the_old_one_accepting() {
    let hop = ScriptedWorker::start();
    let (mut platform, _watches) = platform_with_scripted_worker(&hop);
    let (process, _) = platform.start_ready();
    let path = platform.folder.join("millrudder.sock");
    for count in 0..=4 {
        connect_and_die_after(&path, count);
        assert_serves(&platform, &hop, &format!("s{count}"));
    }
    // A real successor can still connect.
    let (process, _) = platform.upgrade(process);
    drop(process);
}
