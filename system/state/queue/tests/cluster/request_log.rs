//! The log of what actually happened: the requests of clients and their answers, and the runs at workers. Each
//! invariant is checked as soon as an event is logged.

use millrudder_protocol::message::{End, Message};
use millrudder_protocol::MessageId;
use std::collections::BTreeMap;

/// Time in milliseconds after the last fault from which on a repeated run is not excused.
const FAULT_EXCUSE_MS: u64 = 5_000;
/// Length in milliseconds of the window in which the rate limit is checked.
const WINDOW_MS: u64 = 5_000;

/// One run of a message at a worker.
pub struct Run {
    pub begun_ms: u64,
    pub ended_ms: Option<u64>,
}

/// What actually happened to one message.
pub struct ActualState {
    pub message: Message,
    pub sent_ms: u64,
    pub accepted_ms: Option<u64>,
    /// The client was told that the message will not run.
    pub withdrawn: bool,
    pub runs: Vec<Run>,
    pub signatures: Vec<String>,
    pub ended_ms: Option<u64>,
    pub failures: u32,
    /// A store acknowledged the success as durable.
    pub success_recorded: bool,
    /// A worker succeeded, but the dispatcher did not receive the answer.
    pub answer_lost: bool,
    pub called_back: Vec<End>,
}

impl ActualState {
    pub fn has_ended(&self, now_ms: u64) -> bool {
        self.ended_ms.is_some() || now_ms >= self.sent_ms + self.message.retention_ms
    }
}

/// All messages, and the faults that excuse repeated runs.
#[derive(Default)]
pub struct RequestLog {
    pub messages: BTreeMap<MessageId, ActualState>,
    pub last_fault_ms: Option<u64>,
    rate_limited_starts: Vec<u64>,
    /// The rate-limited service, and the maximum number of starts in any five seconds.
    pub rate_limit: Option<(String, f64)>,
    pub starts: u64,
    pub repeats: u64,
}

impl RequestLog {
    pub fn sent(&mut self, id: MessageId, message: Message, now_ms: u64) {
        let actual = ActualState {
            message,
            sent_ms: now_ms,
            accepted_ms: None,
            withdrawn: false,
            runs: Vec::new(),
            signatures: Vec::new(),
            ended_ms: None,
            failures: 0,
            success_recorded: false,
            answer_lost: false,
            called_back: Vec::new(),
        };
        assert!(self.messages.insert(id, actual).is_none(), "identifier {id} was allocated twice");
    }

    pub fn accepted(&mut self, id: MessageId, now_ms: u64) {
        let actual =
            self.messages.get_mut(&id).expect("a message that was never sent is reported as accepted");
        actual.accepted_ms.get_or_insert(now_ms);
    }

    pub fn withdrawn(&mut self, id: MessageId) {
        let actual =
            self.messages.get_mut(&id).expect("a message that was never sent is reported as withdrawn");
        assert!(actual.runs.is_empty(), "{id} was withdrawn after it had run");
        actual.withdrawn = true;
    }

    fn is_fault_free(&self, now_ms: u64) -> bool {
        self.last_fault_ms.is_none_or(|last_fault_ms| now_ms > last_fault_ms + FAULT_EXCUSE_MS)
    }

    pub fn begin(&mut self, id: MessageId, now_ms: u64) {
        let is_fault_free = self.is_fault_free(now_ms);
        self.check_order(id, now_ms);
        let actual = self.messages.get_mut(&id).expect("a message that was never sent has run");
        assert!(!actual.withdrawn, "{id} ran after it was withdrawn");
        let due_ms = actual.sent_ms + actual.message.delay_ms;
        assert!(now_ms >= due_ms, "{id} ran {} ms early", due_ms - now_ms);
        assert!(!actual.success_recorded, "{id} ran again after its success was recorded");
        if is_fault_free {
            let is_running = actual.runs.iter().any(|run| run.ended_ms.is_none());
            assert!(!is_running, "{id} ran at two workers at the same time without a recent fault");
            let is_repeat = !actual.signatures.is_empty() && !actual.answer_lost;
            assert!(!is_repeat, "{id} ran again after a success without a recent fault");
        }
        self.starts += 1;
        self.repeats += u64::from(!actual.signatures.is_empty());
        actual.runs.push(Run { begun_ms: now_ms, ended_ms: None });
        let service = actual.message.service.clone();
        self.check_rate_limit(&service, now_ms);
    }

    fn check_order(&self, id: MessageId, now_ms: u64) {
        let actual = &self.messages[&id];
        let Some(key) = &actual.message.order_key else { return };
        let of_key = self.messages.iter().filter(|(_, other)| other.message.order_key.as_ref() == Some(key));
        for (other_id, other) in of_key {
            let is_before = other.accepted_ms.is_some_and(|accepted| accepted < actual.sent_ms);
            assert!(
                !is_before || other.has_ended(now_ms),
                "{id} began at {now_ms} before {other_id} of the same key had ended",
            );
        }
    }

    fn check_rate_limit(&mut self, service: &str, now_ms: u64) {
        let Some((rated, most)) = &self.rate_limit else { return };
        if service != rated {
            return;
        }
        self.rate_limited_starts.push(now_ms);
        let in_window =
            self.rate_limited_starts.iter().rev().take_while(|start| now_ms - **start < WINDOW_MS).count();
        assert!(
            in_window as f64 <= *most,
            "{in_window} starts of {rated} in five seconds, but only {most} are allowed"
        );
    }

    /// Total number of starts of the rate-limited service.
    pub fn total_rate_limited_starts(&self) -> usize {
        self.rate_limited_starts.len()
    }

    /// Records the end of the run that began at `begun_ms`.
    pub fn finish(&mut self, id: MessageId, begun_ms: u64, now_ms: u64) -> &mut ActualState {
        let actual = self.messages.get_mut(&id).expect("a run of a message that was never sent has finished");
        let run = actual.runs.iter_mut().find(|run| run.begun_ms == begun_ms && run.ended_ms.is_none());
        run.expect("a run that never began has finished").ended_ms = Some(now_ms);
        actual
    }

    pub fn succeed(&mut self, id: MessageId, begun_ms: u64, now_ms: u64, signature: String) {
        let actual = self.finish(id, begun_ms, now_ms);
        actual.signatures.push(signature);
        actual.ended_ms.get_or_insert(now_ms);
    }

    pub fn refuse(&mut self, id: MessageId, begun_ms: u64, now_ms: u64) {
        self.finish(id, begun_ms, now_ms).ended_ms.get_or_insert(now_ms);
    }

    pub fn fail(&mut self, id: MessageId, begun_ms: u64, now_ms: u64) {
        let actual = self.finish(id, begun_ms, now_ms);
        actual.failures += 1;
        if actual.failures >= actual.message.max_attempts {
            actual.ended_ms.get_or_insert(now_ms);
        }
    }

    /// Checks that the end reported by a store or a call-back is true.
    pub fn check_end(&self, id: MessageId, end: &End, now_ms: u64) {
        let actual = &self.messages[&id];
        match end {
            End::Completed { signature } => {
                assert!(
                    actual.signatures.contains(signature),
                    "{id} is reported as completed with a signature of none of its runs"
                );
            }
            End::DeadLetter => {
                assert!(actual.has_ended(now_ms), "{id} is reported as a dead letter but has not ended")
            }
            End::Withdrawn => {
                assert!(actual.accepted_ms.is_none(), "{id} was accepted but is reported as withdrawn")
            }
        }
    }
}
