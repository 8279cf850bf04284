//! The state of one message at one store. Merging is monotonic: [`Entry::merge`] and [`Entry::apply`] only add
//! to the state and never undo anything, so copies can be merged in any order.

use crate::primary_entry::PrimaryEntry;
use crate::time::millis;
use crate::time::Instant;
use millrudder_protocol::message::{End, Grant, Message, MessageState};
use millrudder_protocol::store::Record;
use millrudder_protocol::{LeaseToken, MessageId, Sequence};
use std::time::Duration;

/// Approximate memory in bytes that a message takes in addition to its content.
const OVERHEAD_BYTES: usize = 400;

/// The state of one message at one store.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub id: MessageId,
    pub sequence: Sequence,
    pub received_at: Instant,
    pub retention: Duration,
    pub failed_attempts: u32,
    pub grant: Option<Grant>,
    pub resolved_through: LeaseToken,
    pub end: Option<End>,
    /// Time of the end; only meaningful if `end` is set.
    pub ended_at: Instant,
    pub callback_done: bool,
    /// The content of the message; absent, or without its body, once these are no longer needed.
    pub message: Option<Box<Message>>,
    /// Time for which the expiry timer is set.
    pub expiry: Option<Instant>,
    /// Present only at the shard's primary.
    pub primary: Option<Box<PrimaryEntry>>,
    /// Bytes counted for this entry in the table's total.
    pub charged_bytes: usize,
    /// Whether this entry is counted as live in the table's total.
    pub is_counted_live: bool,
}

/// The part of the state in which two replicas must agree for their copies of a message to be equal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EntryVersion {
    pub failed_attempts: u32,
    pub resolved_through: LeaseToken,
    pub grant: Option<LeaseToken>,
    pub end: Option<End>,
    pub callback_done: bool,
}

/// The part of the state that must be on the local disk before another store is told of it. Merging a copy that
/// adds anything changes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EntryContents {
    entry_version: EntryVersion,
    sequence: Sequence,
    body_bytes: Option<usize>,
}

impl EntryVersion {
    pub fn of_state(state: &MessageState) -> EntryVersion {
        EntryVersion {
            failed_attempts: state.failed_attempts,
            resolved_through: state.resolved_through,
            grant: state.grant.map(|grant| grant.token),
            end: state.end.clone(),
            callback_done: state.callback_done,
        }
    }
}

impl Entry {
    /// Creates the entry of a message of which nothing but its identifier is known.
    pub fn new(id: MessageId, received_at: Instant) -> Self {
        Entry {
            id,
            sequence: Sequence::default(),
            received_at,
            retention: Duration::ZERO,
            failed_attempts: 0,
            grant: None,
            resolved_through: LeaseToken::default(),
            end: None,
            ended_at: received_at,
            callback_done: false,
            message: None,
            expiry: None,
            primary: None,
            charged_bytes: 0,
            is_counted_live: false,
        }
    }

    pub fn entry_version(&self) -> EntryVersion {
        EntryVersion {
            failed_attempts: self.failed_attempts,
            resolved_through: self.resolved_through,
            grant: self.grant.map(|grant| grant.token),
            end: self.end.clone(),
            callback_done: self.callback_done,
        }
    }

    pub fn contents(&self) -> EntryContents {
        EntryContents {
            entry_version: self.entry_version(),
            sequence: self.sequence,
            body_bytes: self.message.as_ref().map(|message| message.body.len()),
        }
    }

    /// Merges a full state that was sent or written `state_age` ago.
    pub fn merge(&mut self, state: MessageState, now: Instant, state_age: Duration) {
        self.sequence = self.sequence.max(state.sequence);
        self.received_at =
            self.received_at.min(now - Duration::from_millis(state.age_ms).saturating_add(state_age));
        self.failed_attempts = self.failed_attempts.max(state.failed_attempts);
        self.resolved_through = self.resolved_through.max(state.resolved_through);
        self.callback_done |= state.callback_done;
        self.merge_grant(state.grant);
        if let Some(message) = state.message {
            self.merge_message(Box::new(message));
        }
        if let Some(end) = state.end {
            let ended_age = Duration::from_millis(state.ended_age_ms).saturating_add(state_age);
            self.merge_end(end, now - ended_age);
        }
        self.trim();
    }

    /// Applies a record that was written `age` ago.
    pub fn apply(&mut self, record: Record, now: Instant, age: Duration) {
        match record {
            Record::State { state } => self.merge(*state, now, age),
            Record::Granted { grant, .. } => self.merge_grant(Some(grant)),
            Record::Failed { token, failed_attempts, .. } => {
                self.resolved_through = self.resolved_through.max(token);
                self.failed_attempts = self.failed_attempts.max(failed_attempts);
            }
            Record::Ended { end, .. } => self.merge_end(end, now - age),
            Record::CallbackDone { .. } => self.callback_done = true,
            Record::Forgotten { .. } => {}
        }
        self.trim();
    }

    fn merge_grant(&mut self, grant: Option<Grant>) {
        let token = |grant: &Option<Grant>| grant.map(|grant| grant.token);
        if token(&grant) > token(&self.grant) {
            self.grant = grant;
        }
    }

    fn merge_message(&mut self, message: Box<Message>) {
        self.retention = self.retention.max(Duration::from_millis(message.retention_ms));
        match &self.message {
            Some(known) if known.body.len() >= message.body.len() => {}
            _ => self.message = Some(message),
        }
    }

    fn merge_end(&mut self, end: End, at: Instant) {
        match &self.end {
            Some(known) if *known <= end => {}
            Some(_) => self.end = Some(end),
            None => {
                self.end = Some(end);
                self.ended_at = at;
            }
        }
    }

    /// Whether the message has ended in a way that requires a call-back which has not succeeded yet.
    pub fn has_pending_callback(&self) -> bool {
        let has_callback_url = self.message.as_ref().is_some_and(|message| message.callback_url.is_some());
        let requires_callback = matches!(self.end, Some(End::Completed { .. } | End::DeadLetter));
        requires_callback && has_callback_url && !self.callback_done
    }

    /// Frees the parts of the message that are not needed any more.
    fn trim(&mut self) {
        let needs_body = matches!(self.end, None | Some(End::DeadLetter));
        if needs_body {
            return;
        }
        if !self.has_pending_callback() {
            self.message = None;
            return;
        }
        if let Some(message) = &mut self.message {
            message.body = Vec::new();
        }
    }

    /// The full state, as it is written to disk and sent to other stores.
    pub fn state(&self, now: Instant) -> MessageState {
        MessageState {
            id: self.id,
            sequence: self.sequence,
            age_ms: millis(now.saturating_duration_since(self.received_at)),
            message: Some(self.message.as_deref().cloned().unwrap_or_else(|| self.placeholder_message())),
            failed_attempts: self.failed_attempts,
            grant: self.grant,
            resolved_through: self.resolved_through,
            end: self.end.clone(),
            ended_age_ms: if self.end.is_some() {
                millis(now.saturating_duration_since(self.ended_at))
            } else {
                0
            },
            callback_done: self.callback_done,
        }
    }

    /// Replaces a message that has been freed, of which only the retention still matters.
    fn placeholder_message(&self) -> Message {
        Message {
            request_id: String::new(),
            method: String::new(),
            path: String::new(),
            host: String::new(),
            headers: Vec::new(),
            body: Vec::new(),
            order_key: None,
            callback_url: None,
            service: String::new(),
            priority: 0,
            delay_ms: 0,
            target_start_ms: 0,
            max_attempts: 0,
            retention_ms: millis(self.retention),
        }
    }

    /// The key whose messages are delivered in order, one at a time.
    pub fn order_key(&self) -> Option<&str> {
        self.message.as_ref()?.order_key.as_deref()
    }

    /// Time before which the message must not be run.
    pub fn due(&self) -> Instant {
        let delay_ms = self.message.as_ref().map_or(0, |message| message.delay_ms);
        self.received_at + Duration::from_millis(delay_ms)
    }

    /// Latest time at which a start earns the message's full value.
    pub fn start_by(&self) -> Instant {
        let target_start_ms = self.message.as_ref().map_or(0, |message| message.target_start_ms);
        self.due() + Duration::from_millis(target_start_ms)
    }

    /// End of the retention: the message has ended by then at the latest.
    pub fn retention_end(&self) -> Instant {
        self.received_at + self.retention
    }

    /// Approximate memory in bytes that the entry takes.
    pub fn cost(&self) -> usize {
        OVERHEAD_BYTES + self.message.as_deref().map_or(0, message_bytes)
    }
}

/// Approximate memory in bytes that the content of a message takes.
pub(crate) fn message_bytes(message: &Message) -> usize {
    let headers: usize = message.headers.iter().map(|header| header.name.len() + header.value.len()).sum();
    let optional = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    let names = message.request_id.len() + message.path.len() + message.host.len() + message.service.len();
    let options = optional(&message.order_key) + optional(&message.callback_url);
    size_of::<Message>() + headers + names + options + message.body.len()
}
