//! Test rig: the front with a scripted core, and two kinds of clients: tonic's, and one that writes raw frames.

use millrudder_admission::Capacity;
use millrudder_config::settings::Settings;
use millrudder_config::GrpcBudget;
use millrudder_exchange::clock::Clock;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::intake::{Class, Classes};
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::{
    AdmissionGate, Answer, Drain, Exchange, Front, FrontContext, Job, Message, PeerProcess, Reply,
    RetryAdvice, Ticket,
};
use millrudder_front_grpc::proto::jobs_client::JobsClient;
use millrudder_front_grpc::proto::SubmitRequest;
use millrudder_front_grpc::GrpcFront;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tonic::transport::{Channel, Endpoint};

/// Limit on every wait. Long enough for a loaded machine, so it is reached only if something hangs.
pub const WAIT: Duration = Duration::from_secs(20);

/// A message that reached the scripted core.
pub enum CoreEvent {
    Job(Ticket, Arc<Job>, Reply),
    Withdrawn(Ticket),
}

/// A running front and the state it shares with the scripted core.
pub struct Rig {
    pub address: SocketAddr,
    pub counters: Arc<Counters>,
    pub admission_gate: AdmissionGate,
    pub stopping: Stopping,
    pub drain: Drain,
    pub clock: Clock,
    seen: Receiver<CoreEvent>,
    _front: GrpcFront,
}

impl Rig {
    /// Starts a front. `limits`: the settings `fronts.grpc.limits` in YAML's flow style; `connections`: the limit on
    /// them.
    pub fn start(limits: &str, connections: usize) -> Self {
        let yaml = format!("fronts: {{grpc: {{listen: '127.0.0.1:0', limits: {{{limits}}}}}}}");
        let settings = Settings::read(&yaml, Path::new("test")).unwrap();
        let (exchange, inbox) = Exchange::new();
        let (sender, seen) = channel();
        std::thread::spawn(move || {
            while let Ok(message) = inbox.recv() {
                let sent = match message {
                    Message::Submitted { ticket, job, reply } => {
                        sender.send(CoreEvent::Job(ticket, job, reply))
                    }
                    Message::Withdrawn { ticket } => sender.send(CoreEvent::Withdrawn(ticket)),
                    _ => Ok(()),
                };
                if sent.is_err() {
                    return;
                }
            }
        });
        let (clock, counters) = (Clock::start(), Arc::new(Counters::default()));
        let (stopping, drain) = (Stopping::new(5_000.0), Drain::default());
        let capacity = Capacity { places: 16, bytes: 1 << 20 };
        let admission_gate = AdmissionGate::new(capacity, &[(Front::Grpc, 1)], clock);
        let core = FrontContext {
            exchange,
            admission_gate: admission_gate.clone(),
            counters: counters.clone(),
            stopping: stopping.clone(),
            drain: drain.clone(),
            peer_process: PeerProcess::default(),
            serving: Arc::default(),
            clock,
            classes: Classes::new(vec![Class {
                name: "copy-issue".to_owned(),
                keyed: true,
                default_timeout: 5_000.0,
                accepted_until: f64::INFINITY,
            }]),
            advice: RetryAdvice::new(true),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let grpc = settings.fronts.grpc.unwrap();
        let budget = GrpcBudget { connections, buffers: 1 << 20 };
        let front = GrpcFront::open(grpc.listen.0, false, grpc.limits, budget, core).unwrap();
        Rig {
            address: front.address(),
            counters,
            admission_gate,
            stopping,
            drain,
            clock,
            seen,
            _front: front,
        }
    }

    /// Waits for the next message to the core.
    pub fn next(&self) -> CoreEvent {
        self.seen.recv_timeout(WAIT).expect("something reaches the core")
    }

    /// Waits for a job; panics if a withdrawal arrives instead.
    pub fn job(&self) -> (Ticket, Arc<Job>, Reply) {
        match self.next() {
            CoreEvent::Job(ticket, job, reply) => (ticket, job, reply),
            CoreEvent::Withdrawn(ticket) => panic!("{ticket} is withdrawn"),
        }
    }

    /// Waits for a withdrawal; panics if a job arrives instead.
    pub fn withdrawn(&self) -> Ticket {
        match self.next() {
            CoreEvent::Withdrawn(ticket) => ticket,
            CoreEvent::Job(_, job, _) => panic!("{job:?}"),
        }
    }

    /// Whether the core has no unread message; takes one if it has.
    pub fn nothing_came(&self) -> bool {
        self.seen.try_recv().is_err()
    }

    /// Whether the printed counters contain this line.
    pub fn counted(&self, line: &str) -> bool {
        self.counters.print().lines().any(|l| l == line)
    }

    /// Waits until the printed counters contain this line.
    pub fn until_counted(&self, line: &str) {
        until(line, || self.counted(line));
    }

    /// Connects a tonic client.
    pub async fn client(&self) -> JobsClient<Channel> {
        let endpoint = Endpoint::from_shared(format!("http://{}", self.address)).unwrap();
        JobsClient::new(endpoint.connect().await.unwrap())
    }
}

/// Polls a condition; panics with `what` if it does not become true in time.
pub fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + WAIT;
    while !is() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A valid request with this id.
pub fn request(id: &str) -> SubmitRequest {
    SubmitRequest {
        id: id.to_owned(),
        job_class: "copy-issue".to_owned(),
        idempotency_key: "5c0f".to_owned(),
        body: b"body".to_vec(),
        ..SubmitRequest::default()
    }
}

/// The answer of a job whose result is this text.
pub fn served(text: &str) -> Answer {
    Answer::Served { result: text.as_bytes().to_vec() }
}

/// A client that writes arbitrary frames or bytes.
pub struct RawClient(pub TcpStream);

/// Frame types of RFC 9113, section 6.
pub mod kind {
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const PING: u8 = 6;
    pub const GOAWAY: u8 = 7;
    pub const CONTINUATION: u8 = 9;
}
pub const END_STREAM: u8 = 1;
pub const END_HEADERS: u8 = 4;

/// Encodes one frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// The header block of a call, as literal fields without indexing (RFC 7541, section 6.2.2).
pub fn headers(path: &str) -> Vec<u8> {
    let mut block = Vec::new();
    for (name, value) in [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "x"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
    ] {
        block.extend([0, name.len() as u8]);
        block.extend(name.as_bytes());
        block.push(value.len() as u8);
        block.extend(value.as_bytes());
    }
    block
}

pub const SUBMIT: &str = "/millrudder.v1.Jobs/Submit";
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Encodes a whole call as two frames: headers and message.
pub fn call(stream: u32, message: &[u8]) -> Vec<u8> {
    let mut body = vec![0];
    body.extend((message.len() as u32).to_be_bytes());
    body.extend(message);
    [
        frame(kind::HEADERS, END_HEADERS, stream, &headers(SUBMIT)),
        frame(kind::DATA, END_STREAM, stream, &body),
    ]
    .concat()
}

impl RawClient {
    /// Connects and sends the preface. `settings`: the payload of the first SETTINGS frame.
    pub fn connect(rig: &Rig, settings: &[u8]) -> Self {
        let mut raw = RawClient::connect_silent(rig);
        raw.send(&[PREFACE, &frame(kind::SETTINGS, 0, 0, settings)].concat());
        raw
    }

    /// Connects without sending anything.
    pub fn connect_silent(rig: &Rig) -> Self {
        let stream = TcpStream::connect(rig.address).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        RawClient(stream)
    }

    /// Sends bytes. Failure is no error here, because the front may close at any time; `is_closed` checks for that.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// Reads the next frame as (type, stream, payload); `None` once the front has closed the connection.
    ///
    /// # Panics
    /// Neither came within `WAIT`.
    pub fn frame(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let mut head = [0; 9];
        self.read_exactly(&mut head)?;
        let mut payload = vec![0; u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize];
        self.read_exactly(&mut payload)?;
        Some((head[3], u32::from_be_bytes([head[5], head[6], head[7], head[8]]), payload))
    }

    /// Reads until a frame of this type; returns its stream and payload.
    pub fn until(&mut self, wanted: u8) -> (u32, Vec<u8>) {
        loop {
            let (kind, stream, payload) = self.frame().expect("the connection is open");
            if kind == wanted {
                return (stream, payload);
            }
        }
    }

    /// Fills the buffer; `None` if the front closes the connection before.
    fn read_exactly(&mut self, buffer: &mut [u8]) -> Option<()> {
        let error = match self.0.read_exact(buffer) {
            Ok(()) => return Some(()),
            Err(error) => error,
        };
        let has_timed_out = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        assert!(!has_timed_out, "neither a frame nor the end of the connection within {WAIT:?}");
        None
    }

    /// Reads until the front closes this connection; a panic of [`RawClient::frame`] if it does not.
    pub fn is_closed(&mut self) -> bool {
        while self.frame().is_some() {}
        true
    }
}
