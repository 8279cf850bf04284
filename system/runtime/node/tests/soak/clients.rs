//! Clients that keep using an open connection until it ends, and open another one then.

use crate::cluster::{Sent, BOUND};
use crate::plan::FaultKind;
use millrudder_system_standins::{Message, MessageId, RawConnection};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// Host of all messages.
pub const HOST: &str = "boye61.example";
/// Path of messages in order.
pub const FIFO_PATH: &str = "/ordered/";
/// Path of messages without order.
pub const PLAIN_PATH: &str = "/plain/";
/// Clients that hold a connection to each dispatcher, at most [`MAX_CLIENTS`] in all.
const CLIENTS_OF_A_FRONT: usize = 2;
/// More clients would only wait for each other on one machine.
const MAX_CLIENTS: usize = 24;
/// Time between two messages of one client, and before a connection is opened anew.
const INTERVAL: Duration = Duration::from_millis(40);
/// Order keys of one client.
const KEYS: usize = 3;
/// A connection that ends later than this after a whole request was sent, without an answer, has lost the request
/// (`lossSlackMs` of the settings), where nothing but planned work goes on. A busy machine may not schedule this test or the
/// process for two seconds more.
const LOSS_SLACK: Duration = Duration::from_millis(2_200);
/// Ends later than this after a request are reported, with or without a violation (`lossSlackMs` itself).
const REPORTED_END: Duration = Duration::from_millis(200);

/// What clients have seen.
#[derive(Default)]
pub struct Seen {
    ends: Cell<bool>,
    accepted: RefCell<Vec<Sent>>,
    refused: Cell<usize>,
    broken: Cell<usize>,
    longest_end: Cell<Duration>,
    late_ends: RefCell<Vec<String>>,
    violations: RefCell<Vec<String>>,
}

/// Clients that go on until they are stopped.
pub struct Clients {
    tasks: Vec<JoinHandle<()>>,
    seen: Rc<Seen>,
}

/// What clients have seen until they were stopped.
pub struct Report {
    pub accepted: Vec<Sent>,
    pub refused: usize,
    pub broken: usize,
    /// Longest time between a whole request and the end of its connection without an answer.
    pub longest_end: Duration,
    /// Requests of planned work whose connection ended late without an answer.
    pub late_ends: Vec<String>,
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let accepted = self.accepted.len();
        let Report { refused, broken, longest_end, .. } = self;
        write!(
            formatter,
            "{accepted} accepted, {refused} refused, {broken} broken off after {longest_end:?} at most"
        )?;
        self.late_ends.iter().try_for_each(|end| write!(formatter, "; {end}"))
    }
}

impl Clients {
    /// Starts the clients on the present thread's task set.
    pub fn start(fronts: &[SocketAddr], kind: FaultKind) -> Clients {
        let seen = Rc::new(Seen::default());
        let count = (fronts.len() * CLIENTS_OF_A_FRONT).min(MAX_CLIENTS);
        let tasks = (0..count).map(|number| {
            let client = OpenClient { number, fronts: fronts.to_vec(), kind, seen: Rc::clone(&seen) };
            tokio::task::spawn_local(client.run())
        });
        Clients { tasks: tasks.collect(), seen }
    }

    /// Ends the clients, each after its present request.
    pub async fn end(self) -> Report {
        self.seen.ends.set(true);
        for task in self.tasks {
            task.await.expect("a client does not panic");
        }
        Report {
            accepted: self.seen.accepted.take(),
            refused: self.seen.refused.get(),
            broken: self.seen.broken.get(),
            longest_end: self.seen.longest_end.get(),
            late_ends: self.seen.late_ends.take(),
            violations: self.seen.violations.take(),
        }
    }
}

struct OpenClient {
    number: usize,
    fronts: Vec<SocketAddr>,
    kind: FaultKind,
    seen: Rc<Seen>,
}

/// How a request on an open connection ended.
enum Exchange {
    Answered(Answer),
    /// The connection ended before a whole answer had come, so long after the request was sent.
    Ended {
        after: Duration,
        cause: String,
    },
    /// Neither an answer nor the end of the connection came.
    Unanswered,
}

struct Answer {
    status: u16,
    message_id: Option<MessageId>,
}

impl OpenClient {
    async fn run(self) {
        let mut sent = 0;
        let mut attempts = self.number;
        while !self.seen.ends.get() {
            let front = self.fronts[attempts % self.fronts.len()];
            attempts += 1;
            if let Ok(connection) = RawConnection::open(front).await {
                self.use_until_it_ends(connection, front, &mut sent).await;
            }
            sleep(INTERVAL).await;
        }
    }

    /// Sends one message after the other, whatever the answers say, until the connection ends.
    async fn use_until_it_ends(&self, mut connection: RawConnection, front: SocketAddr, sent: &mut usize) {
        while !self.seen.ends.get() {
            *sent += 1;
            let message = self.message(*sent);
            match exchange(&mut connection, &message).await {
                Exchange::Answered(answer) => self.record_answer(message, front, answer),
                Exchange::Ended { after, cause } => return self.record_end(&message, front, after, &cause),
                Exchange::Unanswered => {
                    let id = &message.request_id;
                    return self.record_violation(format!("{id} at {front}: no answer within {BOUND:?}"));
                }
            }
            sleep(INTERVAL).await;
        }
    }

    fn message(&self, number: usize) -> Message {
        let id = format!("soak-{}-{number}", self.number);
        let body = format!("the body of {id}");
        if number.is_multiple_of(2) {
            let key = format!("key-{}-{}", self.number, number / 2 % KEYS);
            Message::new(HOST, FIFO_PATH, id).with_body(body).with_order_key(key)
        } else {
            Message::new(HOST, PLAIN_PATH, id).with_body(body)
        }
    }

    fn record_answer(&self, message: Message, front: SocketAddr, answer: Answer) {
        match answer.status {
            202 => self.seen.accepted.borrow_mut().push(Sent::new(message, answer.message_id, front)),
            408 | 429 | 500..600 => self.seen.refused.set(self.seen.refused.get() + 1),
            status => self.record_violation(format!("{} is answered with {status}", message.request_id)),
        }
    }

    fn record_end(&self, message: &Message, front: SocketAddr, after: Duration, cause: &str) {
        self.seen.broken.set(self.seen.broken.get() + 1);
        self.seen.longest_end.set(self.seen.longest_end.get().max(after));
        if self.kind != FaultKind::PlannedWork || after <= REPORTED_END {
            return;
        }
        let id = &message.request_id;
        let end = format!("{id} at {front}: cut {after:?} after it was sent, without an answer: {cause}");
        if after > LOSS_SLACK {
            self.record_violation(end.clone());
        }
        self.seen.late_ends.borrow_mut().push(end);
    }

    fn record_violation(&self, violation: String) {
        self.seen.violations.borrow_mut().push(violation);
    }
}

/// The bytes of a message with its length, on a connection that stays open.
fn request_bytes(message: &Message) -> Vec<u8> {
    let Message { host, target, request_id, order_key, body, .. } = message;
    let key = order_key.as_ref().map(|key| format!("X-Order-Key: {key}\r\n")).unwrap_or_default();
    let length = body.len();
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n{key}Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), &body[..]].concat()
}

async fn exchange(connection: &mut RawConnection, message: &Message) -> Exchange {
    let written = connection.write(&request_bytes(message)).await;
    let sent_at = Instant::now();
    if let Err(error) = written {
        return Exchange::Ended { after: Duration::ZERO, cause: error.to_string() };
    }
    match connection.read_answer(BOUND).await {
        Ok(bytes) => match parse(&bytes) {
            Some(answer) => Exchange::Answered(answer),
            None => Exchange::Ended {
                after: sent_at.elapsed(),
                cause: format!("no answer in {:?}", String::from_utf8_lossy(&bytes)),
            },
        },
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => Exchange::Unanswered,
        Err(error) => Exchange::Ended { after: sent_at.elapsed(), cause: error.to_string() },
    }
}

/// What an answer says; none if it is no answer.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, _) = text.split_once("\r\n\r\n")?;
    let status = head.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
    let header = |name: &str| {
        head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    };
    Some(Answer { status, message_id: header("x-message-id").map(|id| MessageId::from(id.as_str())) })
}
