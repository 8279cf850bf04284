//! Scripted peers of the dispatcher: a worker, a discovery service that lists it, and a client; and the started program.

use crate::process::Process;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

pub use crate::process::WAIT;

/// What a scripted worker does with a request.
pub enum Reply {
    Accept,
    Break,
}

/// A request at a scripted worker, which waits for the reply that the test chooses.
pub struct Seen {
    pub text: String,
    reply: Sender<Reply>,
}

impl Seen {
    pub fn answer(&self, reply: Reply) {
        self.reply.send(reply).expect("the worker waits");
    }
}

pub struct ScriptedWorker {
    address: String,
    seen: Receiver<Seen>,
}

impl ScriptedWorker {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (sender, seen) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || serve_worker(stream, &sender));
            }
        });
        ScriptedWorker { address, seen }
    }

    /// A worker at whose address nothing listens: the port is never assigned.
    pub fn unreachable() -> Self {
        ScriptedWorker { address: "127.0.0.1:1".to_owned(), seen: channel().1 }
    }

    /// A worker whose accept queue is full: no connection to it is established until the test's own first connection
    /// has been accepted.
    pub fn with_full_accept_queue() -> (Self, FullAcceptQueue) {
        let (hop, listener) = ScriptedWorker::with_listener();
        let first = TcpStream::connect(&hop.address).unwrap();
        (hop, FullAcceptQueue { listener, first })
    }

    /// A worker list that holds only this worker.
    pub fn listed(&self, name: &str) -> String {
        self.listed_as(name, 1, "active")
    }

    pub fn listed_as(&self, name: &str, generation: u32, lifecycle: &str) -> String {
        let line = self.line(name, lifecycle);
        format!(r#"{{"generation":{generation},"reset":true,"instances":[{line}]}}"#)
    }

    /// One entry of a worker list.
    pub fn line(&self, name: &str, lifecycle: &str) -> String {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{}","zone":"z","machineType":"m","cell":0,
            "lifecycle":"{lifecycle}","weight":1,"startedAtMs":0}}"#,
            self.address
        )
    }

    /// A worker without a thread: the test accepts its connections. Only one connection fits into the accept queue.
    pub fn with_listener() -> (Self, TcpListener) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        (ScriptedWorker { address, seen: channel().1 }, listener)
    }

    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(WAIT).expect("a request reaches the worker")
    }
}

/// Keeps a worker's accept queue full.
pub struct FullAcceptQueue {
    listener: TcpListener,
    first: TcpStream,
}

impl FullAcceptQueue {
    /// Makes room in the queue and accepts the program's connection. The returned function reads that up to its end.
    pub fn make_room(self) -> impl FnOnce() -> String {
        drop((self.listener.accept().unwrap(), self.first));
        let mut stream = self.listener.accept().unwrap().0;
        move || {
            stream.set_read_timeout(Some(WAIT)).unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).expect("the connection ends");
            text
        }
    }
}

fn serve_worker(mut stream: TcpStream, seen: &Sender<Seen>) {
    while let Some(message) = read_message(&mut stream) {
        let (reply, replies) = channel();
        if seen.send(Seen { text: message.head + &message.body, reply }).is_err() {
            return;
        }
        match replies.recv() {
            Ok(Reply::Accept) => {
                let _ = stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
            }
            _ => return,
        }
    }
}

pub struct Message {
    pub head: String,
    pub body: String,
    pub status: u16,
}

/// Reads a message with a Content-Length; `None` at the end of the stream.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length =
        head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Some(Message { head, body: String::from_utf8(body).ok()?, status })
}

/// Starts a discovery service. It answers the first calls with `first`, then sends the list, and holds every later call
/// open as a watch until the test ends. Each watch is passed to the returned receiver.
pub fn start_discovery(mut first: VecDeque<&'static str>, list: String) -> (String, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (held, watches) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            while let Some(request) = read_message(&mut stream) {
                let text = match first.pop_front() {
                    Some(answer) => answer.to_owned(),
                    None if request.head.contains("from=") => break,
                    None => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()),
                };
                let _ = stream.write_all(text.as_bytes());
            }
            if held.send(stream).is_err() {
                return;
            }
        }
    });
    (address, watches)
}

pub fn counters(at: &str) -> String {
    let mut client = client(at);
    client.send("GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n");
    client.answer().body
}

pub fn counter(at: &str, name: &str) -> u64 {
    let text = counters(at);
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().unwrap()
}

pub struct Client(TcpStream);

pub fn client(to: &str) -> Client {
    let stream = TcpStream::connect(to).expect("the dispatcher listens");
    stream.set_read_timeout(Some(WAIT)).unwrap();
    Client(stream)
}

impl Client {
    pub fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Whether the dispatcher closes the connection without sending anything more.
    pub fn is_ended(&self) -> bool {
        // Not `read`: a signal to the tests' process would interrupt it.
        matches!((&self.0).read_to_end(&mut Vec::new()), Ok(0))
    }

    pub fn answer(&mut self) -> Message {
        read_message(&mut self.0).expect("an answer")
    }
}

pub struct Dispatcher {
    pub listen: String,
    /// Address of operators' calls, if the test's configuration contains MGMT.
    pub mgmt: String,
    /// Address of the gRPC front, if the test's operator settings contain GRPC.
    pub grpc: String,
    process: Process,
    config: std::path::PathBuf,
    discovery: String,
    /// Watches that the discovery service holds open.
    pub watches: Receiver<TcpStream>,
}

impl Dispatcher {
    pub fn start(hop: &ScriptedWorker, sockets: usize) -> Self {
        Dispatcher::start_with(hop, sockets, &[], |config| config)
    }

    pub fn start_with(
        hop: &ScriptedWorker,
        sockets: usize,
        first_of_discovery: &[&'static str],
        change: impl Fn(String) -> String,
    ) -> Self {
        let dispatcher = Dispatcher::spawn(hop, sockets, first_of_discovery, change);
        assert!(dispatcher.log_shows("serving"));
        dispatcher
    }

    pub fn spawn(
        hop: &ScriptedWorker,
        sockets: usize,
        first_of_discovery: &[&'static str],
        change: impl Fn(String) -> String,
    ) -> Self {
        Dispatcher::spawn_with(hop, sockets, first_of_discovery, None, change)
    }

    /// `operators`: the operators' settings; GRPC in them is replaced by a free address for the gRPC front.
    pub fn spawn_with(
        hop: &ScriptedWorker,
        sockets: usize,
        first_of_discovery: &[&'static str],
        operators: Option<&str>,
        change: impl Fn(String) -> String,
    ) -> Self {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let (number, pid) = (STARTED.fetch_add(1, Ordering::Relaxed), std::process::id());
        // Each dispatcher has its own loopback address, so that its ports cannot collide with others.
        let listen = format!("127.{}.{}.{}:7070", 64 + pid / 65_536 % 64, pid / 256 % 256, pid % 256);
        let listen = listen.replace(":7070", &format!(":{}", 7070 + number));
        let mgmt = listen.replace(":7", ":17");
        let list = hop.listed("s-1");
        let (discovery, watches) =
            start_discovery(first_of_discovery.iter().copied().collect(), list.clone());
        let config = change(format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1","known":{list},
            "limits":{{"sockets":{sockets}}},"settings":{{"me":0,"replicas_of_me":1,"period":2,"zone":"z",
            "failure_domains":["z"],"kinds":["m"],"registry_mode":"ask","lanes":[{{"name":"copy-issue",
            "aim":10000,"hard_limit":20000,"worth":1,"effect":"at_most_once"}}],
            "permissions":{{"max_attempts":5,"may_cancel":true,"connect_timeout":5000}},
            "rules":{{"ask_within":10000,"answer_slack":8}},"specifics":{{"tells_start":true}}}}}}"#
        ));
        let path = std::env::temp_dir().join(format!("millrudder-test-{pid}-{number}.json"));
        std::fs::write(&path, config.replace("MGMT", &mgmt)).unwrap();
        let grpc = listen.replace(":7", ":27");
        let yaml = operators.map(|text| {
            let yaml = path.with_extension("yaml");
            std::fs::write(&yaml, text.replace("GRPC", &grpc)).unwrap();
            yaml
        });
        let arguments: Vec<&std::ffi::OsStr> =
            yaml.iter().flat_map(|yaml| ["--settings".as_ref(), yaml.as_ref()]).collect();
        let process = Process::spawn(&path, &arguments);
        Dispatcher { listen, mgmt, grpc, process, config: path, discovery, watches }
    }

    /// Sends a call-back on a new connection, as workers do; returns the status of the answer.
    pub fn news(&self, body: &str) -> u16 {
        let mut client = client(&self.listen);
        let length = body.len();
        client.send(&format!(
            "POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
        client.answer().status
    }

    /// Sends an operators' call unchanged; returns the one line of the answer, or nothing if the connection is closed.
    pub fn operators(&self, text: &[u8]) -> String {
        let mut stream = TcpStream::connect(&self.mgmt).expect("the operators' address is open");
        stream.set_read_timeout(Some(WAIT)).unwrap();
        stream.write_all(text).unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer
    }

    pub fn counters(&self) -> String {
        counters(&self.listen)
    }

    pub fn until_counted(&self, line: &str) {
        let end = Instant::now() + WAIT;
        while !self.counters().contains(line) {
            assert!(Instant::now() < end, "{line} in {}", self.counters());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn config(&self) -> String {
        std::fs::read_to_string(&self.config).unwrap()
    }

    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.config, text).unwrap();
    }

    /// Rewrites the configuration file with another discovery service, and sends SIGHUP.
    pub fn reload(&self, discovery: &str, change: impl Fn(String) -> String) {
        self.write_config(&change(self.config().replace(&self.discovery, discovery)));
        self.signal("HUP");
    }
}

impl Deref for Dispatcher {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Dispatcher {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(self.config.with_extension("yaml"));
    }
}
