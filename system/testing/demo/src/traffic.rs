//! Sends messages at a steady rate, each to the next dispatcher.

use crate::counts::Counts;
use crate::deployment::Deployment;
use crate::follow::Follower;
use crate::kinds::Kind;
use millrudder_system_standins::{
    AcceptedMessage, Behaviour, CallbackReceiver, Client, Message, Reception, Script,
};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{interval, MissedTickBehavior};

/// Path at the receiver of call-backs.
const CALLBACK_PATH: &str = "/ended";

/// The running sender with all that it has sent.
pub struct Traffic {
    sender: JoinHandle<()>,
    book: Rc<Book>,
}

/// What the tasks of all messages share.
pub struct Book {
    client: Client,
    fronts: Vec<SocketAddr>,
    script: Script<Behaviour>,
    receiver_url: String,
    pub counts: RefCell<Counts>,
    callbacks_owed: RefCell<BTreeSet<String>>,
}

impl Traffic {
    /// Begins to send so many messages a second.
    pub fn start(deployment: &Deployment, rate: f64) -> Self {
        let book = Rc::new(Book {
            client: Client::new(),
            fronts: deployment.fronts(),
            script: deployment.script(),
            receiver_url: deployment.receiver().url(CALLBACK_PATH),
            counts: RefCell::default(),
            callbacks_owed: RefCell::default(),
        });
        let sender = tokio::task::spawn_local(send_on(book.clone(), Duration::from_secs_f64(rate.recip())));
        Traffic { sender, book }
    }

    /// Sends no more. Messages on their way are still followed.
    pub fn end(&self) {
        self.sender.abort();
    }

    /// How far the messages have come; the call-backs are counted at their receiver.
    pub fn counts(&self, receiver: &CallbackReceiver) -> Counts {
        let taken = receiver.callbacks().into_iter().filter(|callback| callback.answered == Some(200));
        let told: BTreeSet<_> = taken.filter_map(|callback| callback.request_id).collect();
        Counts { callbacks: told.len(), ..*self.book.counts.borrow() }
    }

    /// Accepted messages whose end is to be told to the receiver.
    pub fn callbacks_owed(&self) -> usize {
        self.book.callbacks_owed.borrow().len()
    }
}

async fn send_on(book: Rc<Book>, pause: Duration) {
    let mut ticks = interval(pause);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for number in 0.. {
        ticks.tick().await;
        tokio::task::spawn_local(send(book.clone(), number));
    }
}

/// Sends one message once, and follows it if it was accepted.
async fn send(book: Rc<Book>, number: usize) {
    let kind = Kind::of(number);
    let message = kind.message(number, &book.receiver_url);
    if kind.behaviour() != Behaviour::Succeed {
        book.script.on_request(&message.request_id, kind.behaviour());
    }
    let front = book.fronts[number % book.fronts.len()];
    match book.client.send(front, &message).await {
        Ok(Reception::Accepted { named }) => {
            book.follow(kind, AcceptedMessage::new(message, named), number).await
        }
        Ok(_) | Err(_) => book.counts.borrow_mut().not_accepted += 1,
    }
}

impl Book {
    async fn follow(&self, kind: Kind, accepted: AcceptedMessage, number: usize) {
        self.counts.borrow_mut().accepted += 1;
        self.note_callback(&accepted.message);
        // Asked at another dispatcher than the one that took it.
        let asked = self.fronts[(number + 1) % self.fronts.len()];
        let end = Follower { client: self.client, asked, accepted }.end().await;
        self.counts.borrow_mut().ended(end, kind.expected_end());
    }

    fn note_callback(&self, message: &Message) {
        if message.callback_url.is_some() {
            self.callbacks_owed.borrow_mut().insert(message.request_id.to_string());
        }
    }
}
