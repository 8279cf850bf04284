//! Where the sender side and the next hops meet. Owned messages only, and none of HTTP's types: a second front
//! (another protocol, a gateway to another site) can submit jobs through the same object.

use crate::neighbour::Ask;
use crate::orders::{Asked, Awaited, Order};
use crate::progress::{Followed, Progress};
use may::sync::mpsc;
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{RecvError, RecvTimeoutError, TryRecvError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A submitted job, numbered over the whole life of the dispatcher.
pub type Ticket = u64;
/// A worker, numbered by the transport map.
pub type HopId = u32;

/// A way by which jobs come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Front {
    Http,
    Grpc,
}

/// What passes on to a next hop as the client gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Verbatim {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub idempotency_key: Option<String>,
    pub content_type: Option<String>,
}

/// One job as a front took it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub front: Front,
    pub trace_id: String,
    pub class: String,
    pub slots: f64,
    pub memory: f64,
    /// Clock time at which its client gives up.
    pub deadline: f64,
    pub verbatim: Verbatim,
}

/// The one final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served {
        result: Vec<u8>,
    },
    /// Refused: trying again is harmless, best after this many milliseconds.
    Defer {
        retry_after: Option<f64>,
    },
    Failed(Failure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The attempts failed and none may follow.
    Attempts,
    /// The deadline has come.
    Late,
    /// A job with this id is still here.
    Repeated,
    /// A next hop cannot use it.
    Refused,
}

/// Where one job's answer is put and fetched: settled once, whatever comes later is dropped.
#[derive(Clone)]
pub struct Reply(Arc<ReplySlot>);

struct ReplySlot {
    answer: Mutex<Option<Answer>>,
    /// None where nobody follows the job.
    progress: Option<Followed>,
    wake: Box<dyn Fn() + Send + Sync>,
}

impl Reply {
    pub fn new(wake: impl Fn() + Send + Sync + 'static) -> Self {
        Reply(Arc::new(ReplySlot { answer: Mutex::new(None), progress: None, wake: Box::new(wake) }))
    }

    /// `wake` is also called when the job has come further.
    pub fn followed(wake: impl Fn() + Send + Sync + 'static) -> Self {
        let progress = Some(Followed::default());
        Reply(Arc::new(ReplySlot { answer: Mutex::new(None), progress, wake: Box::new(wake) }))
    }

    /// Notes how far the job has come, for whoever follows it.
    pub fn note(&self, change: impl FnOnce(&mut Progress)) {
        if let Some(followed) = &self.0.progress {
            followed.change(change);
            (self.0.wake)();
        }
    }

    pub fn progress(&self) -> Progress {
        self.0.progress.as_ref().map(Followed::now).unwrap_or_default()
    }

    pub fn give(&self, answer: Answer) {
        let mut slot = self.0.answer.lock().unwrap_or_else(PoisonError::into_inner);
        if slot.is_none() {
            *slot = Some(answer);
            drop(slot);
            (self.0.wake)();
        }
    }

    pub fn take(&self) -> Option<Answer> {
        self.0.answer.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// One delivery attempt: of which job, and its number from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    pub ticket: Ticket,
    pub number: usize,
}

/// A next hop's load report, name to value.
pub type LoadReport = Vec<(String, f64)>;

/// How a delivery attempt ended, by the next hop or by the way to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Failed,
    NeverRan,
    /// It never left, for a reason that is not the next hop's: a kept connection had died, or no descriptor was
    /// free here.
    NotSent,
    NotConnected,
    Reset,
    /// The next hop took the whole request and said nothing for far longer than it needs: it may run, or may yet.
    Silent,
    /// The next hop cannot use this job, whoever sends it; nothing is wrong there.
    Refused,
}

/// What a next hop tells of a job by call-back.
#[derive(Clone, Debug, PartialEq)]
pub enum JobState {
    Started,
    Running { share: f64 },
    Done { result: Vec<u8> },
    Failed,
    Returned,
    Lost,
}

#[derive(Clone, Debug, PartialEq)]
pub struct JobNews {
    pub trace_id: String,
    /// The next hop's name in the transport map.
    pub from: String,
    pub state: JobState,
    pub load: Option<LoadReport>,
    /// As it came, where it may have to go over to another process; none: it has come from there.
    pub body: Option<Vec<u8>>,
}

/// One line of the transport map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapEntry {
    pub name: String,
    pub address: Option<std::net::SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: i64,
    pub state: HopState,
    pub weight: f64,
    /// Unix time in milliseconds; none: long ago.
    pub started_at: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HopState {
    Active,
    Leaving,
    Left,
}

#[derive(Clone, Debug, PartialEq)]
pub struct MapNews {
    pub whole: bool,
    /// Discovery's number of the map with these changes.
    pub generation: Option<u64>,
    pub entries: Vec<MapEntry>,
}

/// All that reaches the dispatch coroutine.
pub enum Message {
    Submitted {
        ticket: Ticket,
        job: Arc<Job>,
        reply: Reply,
    },
    Withdrawn {
        ticket: Ticket,
    },
    News(JobNews),
    Accepted {
        attempt: AttemptId,
    },
    Ended {
        attempt: AttemptId,
        end: AttemptEnd,
        load: Option<LoadReport>,
    },
    CalledOff {
        attempt: AttemptId,
    },
    /// `end`: none if the probe passed.
    Probed {
        hop: HopId,
        end: Option<AttemptEnd>,
        latency: f64,
        load: Option<LoadReport>,
    },
    Map(MapNews),
    MapUnavailable,
    /// New settings wait for the core.
    Retuned,
    /// From now on discovery is here.
    Discovery(std::net::SocketAddr),
    Stop,
    /// An operator's order: it comes before all else that waits.
    Ordered(Asked),
    /// The other process of an upgrade asks.
    Asked(Ask),
    /// Something more urgent has come; `Inbox` never gives this out.
    Nudge,
}

/// The meeting point: every side holds a copy of it and puts messages in; dispatch takes them out.
#[derive(Clone)]
pub struct Exchange {
    inbox: mpsc::Sender<Message>,
    urgent: mpsc::Sender<Message>,
    tickets: Arc<AtomicU64>,
    /// Dispatch has ended, or is about to.
    ended: Arc<AtomicBool>,
}

impl Exchange {
    pub fn new() -> (Self, Inbox) {
        let ((inbox, outlet), (urgent, first)) = (mpsc::channel(), mpsc::channel());
        let ended = Arc::new(AtomicBool::new(false));
        let tickets = Arc::new(AtomicU64::new(0));
        (Exchange { inbox, urgent, tickets, ended: ended.clone() }, Inbox { outlet, first, ended })
    }

    /// The answer comes by `reply`, also where dispatch ends at this moment: then the job is deferred.
    pub fn submit(&self, job: Job, reply: Reply) -> Ticket {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        self.put(Message::Submitted { ticket, job: Arc::new(job), reply: reply.clone() });
        // Put in after dispatch looked for the last time, it sees this; before that, dispatch sees the job.
        if self.ended.load(Ordering::SeqCst) {
            reply.give(Answer::Defer { retry_after: None });
        }
        ticket
    }

    /// The client is gone: nothing is owed for this job any more.
    pub fn withdraw(&self, ticket: Ticket) {
        self.put(Message::Withdrawn { ticket });
    }

    /// Goes before all that waits: operators are owed an answer under any load.
    pub fn order(&self, order: Order) -> Awaited {
        let (asked, awaited) = Awaited::new(order);
        self.urge(Message::Ordered(asked));
        awaited
    }

    /// As orders do.
    pub fn ask(&self, ask: Ask) {
        self.urge(Message::Asked(ask));
    }

    fn urge(&self, message: Message) {
        let _ = self.urgent.send(message);
        self.put(Message::Nudge);
    }

    pub fn put(&self, message: Message) {
        // Fails only once dispatch has ended, when nobody is left to act on it.
        let _ = self.inbox.send(message);
    }
}

/// Where dispatch takes messages out, orders first. Jobs that are in it when it is dropped are deferred.
pub struct Inbox {
    outlet: mpsc::Receiver<Message>,
    first: mpsc::Receiver<Message>,
    ended: Arc<AtomicBool>,
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        while let Ok(message) = self.try_recv() {
            if let Message::Submitted { reply, .. } = message {
                reply.give(Answer::Defer { retry_after: None });
            }
        }
    }
}

impl Inbox {
    pub fn recv(&self) -> Result<Message, RecvError> {
        self.next(|| self.outlet.recv())
    }

    pub fn recv_timeout(&self, timeout: Duration) -> Result<Message, RecvTimeoutError> {
        self.next(|| self.outlet.recv_timeout(timeout))
    }

    pub fn try_recv(&self) -> Result<Message, TryRecvError> {
        self.next(|| self.outlet.try_recv())
    }

    fn next<E>(&self, take: impl Fn() -> Result<Message, E>) -> Result<Message, E> {
        loop {
            if let Ok(order) = self.first.try_recv() {
                return Ok(order);
            }
            match take()? {
                Message::Nudge => {}
                message => return Ok(message),
            }
        }
    }
}

#[cfg(test)]
mod tests;
