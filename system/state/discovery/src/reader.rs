//! State machine that polls the complete list, page by page.

use crate::backoff::Backoff;
use crate::call::{Call, CallFailure, CallId, CallResult};
use crate::list::WorkerList;
use crate::page::{Page, PageToken};
use crate::poll_schedule::PollSchedule;
use millrudder_clock::Instant;
use std::time::Duration;

/// Time-out of a call; answers take milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum backoff that the platform may ask for: beyond it, draining workers would go unseen for too long.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Maximum number of pages of a read: page tokens that form a cycle end there.
const MAX_PAGES: u32 = 1_000;

/// Maximum number of workers of a list, so that an invalid list cannot exhaust the memory.
const MAX_WORKERS: usize = 100_000;

/// Inputs of the reader. A call is identified by the id of its [`Call`]; inputs for another call than the one in flight are
/// ignored.
#[derive(Clone, Debug)]
pub enum ReaderInput {
    /// [`ListReader::next_deadline`] is reached. Earlier ticks are ignored.
    Tick,
    /// A call has ended.
    CallEnded(CallResult),
}

/// Outputs of the reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReaderOutput {
    /// Make this call. At most one is in flight; an earlier one may be cancelled.
    Fetch(Call),
    /// The complete list was read.
    Complete(ListSnapshot),
    /// A read was abandoned; the next one begins after a backoff.
    Abandoned(AbandonReason),
}

/// A list that was read completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListSnapshot {
    /// The list.
    pub list: WorkerList,
    /// Time of the first call: the list is no older than this.
    pub started_at: Instant,
}

/// Why a read was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// A call failed.
    Failed(CallFailure),
    /// A call timed out.
    TimedOut,
    /// There are more pages or workers than the maximum.
    TooLong,
}

/// Reads the list at the interval of its [`PollSchedule`]; see the crate's documentation.
#[derive(Debug)]
pub struct ListReader {
    schedule: PollSchedule,
    backoff: Backoff,
    state: State,
    next_call: CallId,
    /// Earliest time of the next call, so that the rate limit holds across reads.
    call_not_before: Instant,
}

#[derive(Debug)]
enum State {
    /// Between two reads.
    Idle { until: Instant },
    /// Within a read, before the call for another page.
    BetweenPages { read: ReadInProgress, token: PageToken, until: Instant },
    /// A call is in flight.
    Calling { read: ReadInProgress, call: CallId, deadline: Instant },
}

/// The pages read so far.
#[derive(Debug)]
struct ReadInProgress {
    started_at: Instant,
    pages: u32,
    list: WorkerList,
}

impl ListReader {
    /// A reader that begins its first read at `now`. `seed` determines the jitter of its backoff.
    pub fn new(schedule: PollSchedule, seed: u64, now: Instant) -> Self {
        Self {
            schedule,
            backoff: Backoff::new(seed),
            state: State::Idle { until: now },
            next_call: CallId(0),
            call_not_before: now,
        }
    }

    /// Replaces the schedule, as after a change of the settings; it applies from the next call or read on.
    pub fn set_schedule(&mut self, schedule: PollSchedule) {
        self.schedule = schedule;
    }

    /// When [`ReaderInput::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        match self.state {
            State::Idle { until } | State::BetweenPages { until, .. } => until,
            State::Calling { deadline, .. } => deadline,
        }
    }

    /// Handles one input at the time `now`.
    pub fn handle(&mut self, now: Instant, input: ReaderInput) -> Option<ReaderOutput> {
        match input {
            ReaderInput::Tick => self.tick(now),
            ReaderInput::CallEnded(CallResult { call, result }) => {
                let read = self.take_read(call)?;
                match result {
                    Ok(page) => self.handle_page(now, read, page),
                    Err(failure) => Some(self.handle_failure(now, failure)),
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) -> Option<ReaderOutput> {
        if now < self.next_deadline() {
            return None;
        }
        let state = std::mem::replace(&mut self.state, State::Idle { until: now });
        let output = match state {
            State::Idle { .. } => self.call(now, ReadInProgress::new(now), None),
            State::BetweenPages { read, token, .. } => self.call(now, read, Some(token)),
            State::Calling { .. } => self.abandon(now, AbandonReason::TimedOut, Duration::ZERO),
        };
        Some(output)
    }

    /// The read of that call, if it is the one in flight.
    fn take_read(&mut self, answered: CallId) -> Option<ReadInProgress> {
        let is_in_flight = matches!(self.state, State::Calling { call, .. } if call == answered);
        if !is_in_flight {
            return None;
        }
        let until = self.next_deadline();
        match std::mem::replace(&mut self.state, State::Idle { until }) {
            State::Calling { read, .. } => Some(read),
            State::Idle { .. } | State::BetweenPages { .. } => None,
        }
    }

    fn call(&mut self, now: Instant, read: ReadInProgress, page_token: Option<PageToken>) -> ReaderOutput {
        let id = self.next_call;
        self.next_call = CallId(id.0 + 1);
        self.call_not_before = now + self.schedule.call_interval();
        self.state = State::Calling { read, call: id, deadline: now + CALL_TIMEOUT };
        ReaderOutput::Fetch(Call { id, page_token })
    }

    fn handle_page(&mut self, now: Instant, mut read: ReadInProgress, page: Page) -> Option<ReaderOutput> {
        read.pages += 1;
        read.list.extend(page.instances);
        if read.list.len() > MAX_WORKERS {
            return Some(self.abandon(now, AbandonReason::TooLong, Duration::ZERO));
        }
        match page.next_token {
            None => Some(self.complete(now, read)),
            Some(_) if read.pages >= MAX_PAGES => {
                Some(self.abandon(now, AbandonReason::TooLong, Duration::ZERO))
            }
            Some(token) => {
                self.state = State::BetweenPages { read, token, until: self.call_not_before };
                self.tick(now)
            }
        }
    }

    fn complete(&mut self, now: Instant, read: ReadInProgress) -> ReaderOutput {
        self.backoff.reset();
        let next = read.started_at + self.schedule.read_interval(read.pages);
        self.state = State::Idle { until: next.max(self.call_not_before).max(now) };
        ReaderOutput::Complete(ListSnapshot { list: read.list, started_at: read.started_at })
    }

    fn handle_failure(&mut self, now: Instant, failure: CallFailure) -> ReaderOutput {
        let min_backoff = match failure {
            CallFailure::RateLimited { retry_after } => retry_after.unwrap_or_default().min(MAX_RETRY_AFTER),
            CallFailure::Unavailable | CallFailure::InvalidPage => Duration::ZERO,
        };
        self.abandon(now, AbandonReason::Failed(failure), min_backoff)
    }

    /// Ends the read; the next one begins after a backoff of at least `min_backoff`.
    fn abandon(&mut self, now: Instant, reason: AbandonReason, min_backoff: Duration) -> ReaderOutput {
        let backoff = self.backoff.after_failure().max(min_backoff);
        self.state = State::Idle { until: (now + backoff).max(self.call_not_before) };
        ReaderOutput::Abandoned(reason)
    }
}

impl ReadInProgress {
    fn new(started_at: Instant) -> Self {
        Self { started_at, pages: 0, list: WorkerList::default() }
    }
}
