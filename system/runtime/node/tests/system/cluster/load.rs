//! Messages that are sent one after the other while a test does something to the system.

use super::{Cluster, Sent, BOUND};
use millrudder_system_standins::{eventually, Client, Message, Reception};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time between two messages of one sender.
const SEND_INTERVAL: Duration = Duration::from_millis(15);
/// Order keys of one sender.
const KEYS: usize = 5;

/// Senders that go on until they are stopped: one at each dispatcher, on a fifo route and one without order.
pub struct Load {
    senders: Vec<JoinHandle<()>>,
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    ends: Cell<bool>,
    sent: RefCell<Vec<Sent>>,
}

/// Which messages a load sends.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub host: &'static str,
    pub fifo_path: &'static str,
    pub plain_path: &'static str,
}

impl Load {
    /// Starts the senders, on the `LocalSet` that runs the test. `name` begins the ids of all messages.
    pub fn start(cluster: &Cluster, plan: &LoadPlan, name: &'static str) -> Self {
        let shared = Rc::new(Shared::default());
        let sender = |(number, front): (usize, SocketAddr)| {
            let sender = Sender { name, front, number, plan: plan.clone(), client: cluster.client };
            tokio::task::spawn_local(sender.run(shared.clone()))
        };
        let senders = cluster.fronts().into_iter().enumerate().map(sender).collect();
        Load { senders, shared }
    }

    /// How many messages were accepted so far.
    pub fn accepted(&self) -> usize {
        self.shared.sent.borrow().len()
    }

    /// Waits until this many more messages were accepted.
    pub async fn accepts(&self, messages: usize) {
        let wanted = self.accepted() + messages;
        let reached = eventually(BOUND, || self.accepted() >= wanted).await;
        assert!(reached.is_ok(), "{} of {wanted} messages were accepted", self.accepted());
    }

    /// Ends the senders; returns what was accepted.
    pub async fn end(self) -> Vec<Sent> {
        self.shared.ends.set(true);
        for sender in self.senders {
            sender.await.unwrap();
        }
        self.shared.sent.take()
    }
}

struct Sender {
    name: &'static str,
    front: SocketAddr,
    number: usize,
    plan: LoadPlan,
    client: Client,
}

impl Sender {
    async fn run(self, shared: Rc<Shared>) {
        let mut number = 0;
        while !shared.ends.get() {
            let message = self.message(number);
            // Rejections and time-outs belong to the fault; what was accepted counts.
            if let Ok(Reception::Accepted { named }) = self.client.send(self.front, &message).await {
                shared.sent.borrow_mut().push(Sent::new(message, named, self.front));
            }
            number += 1;
            tokio::time::sleep(SEND_INTERVAL).await;
        }
    }

    fn message(&self, number: usize) -> Message {
        let id = format!("{}-{}-{number}", self.name, self.number);
        let body = format!("the body of {id}");
        let path = if number.is_multiple_of(2) { self.plan.fifo_path } else { self.plan.plain_path };
        let message = Message::new(self.plan.host, path, id).with_body(body);
        match number % 2 {
            0 => message.with_order_key(format!("key-{}", number / 2 % KEYS)),
            _ => message,
        }
    }
}

impl Cluster {
    /// Waits until all messages are said to be completed, each at another dispatcher than the one that took it.
    pub async fn all_completed(&self, sent: &[Sent]) {
        for sent in sent {
            self.completed(sent).await;
        }
    }

    /// No message was executed successfully more than once, but for those that a dispatcher withdrew because a store was
    /// slow: these may have been executed twice, which happens on a busy machine.
    pub fn none_repeated(&self, sent: &[Sent]) {
        let mut repeated = self.arrival_log.repeats_of_successes();
        repeated.retain(|id| sent.iter().any(|sent| sent.accepted.message.request_id == *id));
        let withdrawn = self.withdrawn();
        assert!(repeated.len() <= withdrawn, "{repeated:?} ran twice, {withdrawn} were withdrawn");
    }

    /// A message was executed `times` times; at most twice as often where messages were withdrawn.
    pub fn ran(&self, sent: &Sent, times: usize) {
        let id = &sent.accepted.message.request_id;
        let runs = self.arrival_log.runs_of(id).len();
        let max_runs = if self.withdrawn() > 0 { 2 * times } else { times };
        assert!((times..=max_runs).contains(&runs), "{id} ran {runs} times, not {times}");
    }

    /// Attempts that dispatchers gave up because a store was slow.
    fn withdrawn(&self) -> usize {
        self.edge_lines("store too slow, message withdrawn there")
    }
}
