//! Reads the whole list, page by page, again and again.

use crate::backoff::Backoff;
use crate::call::{Call, CallFailure, CallId};
use crate::list::WorkerList;
use crate::pace::Pace;
use crate::page::{Page, PageToken};
use std::time::Duration;

/// A call without an answer is given up after this long; answers take milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest wait that the platform may ask for: beyond it, drains would go unseen for too long.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Most pages of a round: tokens that lead in a circle end there.
const MOST_PAGES: u32 = 1_000;

/// Most workers of a list, so that a spoilt list cannot fill the memory.
const MOST_WORKERS: usize = 100_000;

/// What happens to the reader. A call is known by the id of its [`Call`]; what concerns another call than the
/// one under way is ignored.
#[derive(Clone, Debug)]
pub enum ReaderInput {
    /// [`ListReader::next_deadline`] has come. Earlier ones do no harm.
    Tick,
    /// A call brought a page.
    Answered {
        /// Which call.
        call: CallId,
        /// What it brought.
        page: Page,
    },
    /// A call brought none.
    Failed {
        /// Which call.
        call: CallId,
        /// Why.
        failure: CallFailure,
    },
}

/// What the reader's owner has to do or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReaderOutput {
    /// Make this call. There is never more than one under way; an earlier one may be cancelled.
    Fetch(Call),
    /// The whole list was read.
    Complete(Round),
    /// A round was given up and will be begun anew after a wait.
    Abandoned(AbandonReason),
}

/// A list that was read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// The list.
    pub list: WorkerList,
    /// Time of the first call: what the platform listed before it is in the list.
    pub started_at: Duration,
}

/// Why a round was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// A call failed.
    Failed(CallFailure),
    /// A call had no answer in time.
    TimedOut,
    /// There are more pages or workers than can be.
    TooLong,
}

/// Reads the list in rounds. All times are those of one steady clock, counted from any fixed point.
#[derive(Debug)]
pub struct ListReader {
    pace: Pace,
    backoff: Backoff,
    state: State,
    next_call: CallId,
    /// No call is made before, so that the rate is kept over the rounds.
    call_not_before: Duration,
}

#[derive(Debug)]
enum State {
    /// Between two rounds.
    Idle { until: Duration },
    /// Within a round, before the call for a further page.
    Spacing { reading: Reading, token: PageToken, until: Duration },
    /// A call is under way.
    Calling { reading: Reading, call: CallId, deadline: Duration },
}

/// What a round has read so far.
#[derive(Debug)]
struct Reading {
    started_at: Duration,
    pages: u32,
    list: WorkerList,
}

impl ListReader {
    /// A reader that begins its first round at `now`. `seed` decides the jitter of its waits.
    pub fn new(pace: Pace, seed: u64, now: Duration) -> Self {
        Self {
            pace,
            backoff: Backoff::new(seed),
            state: State::Idle { until: now },
            next_call: CallId(0),
            call_not_before: now,
        }
    }

    /// Replaces the pace, as after a change of the settings; it holds from the next call or round on.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// When [`ReaderInput::Tick`] is due.
    pub fn next_deadline(&self) -> Duration {
        match self.state {
            State::Idle { until } | State::Spacing { until, .. } => until,
            State::Calling { deadline, .. } => deadline,
        }
    }

    /// Takes an event at the time `now`.
    pub fn handle(&mut self, now: Duration, input: ReaderInput) -> Option<ReaderOutput> {
        match input {
            ReaderInput::Tick => self.tick(now),
            ReaderInput::Answered { call, page } => {
                let reading = self.take_reading(call)?;
                self.answered(now, reading, page)
            }
            ReaderInput::Failed { call, failure } => {
                self.take_reading(call)?;
                Some(self.failed(now, failure))
            }
        }
    }

    fn tick(&mut self, now: Duration) -> Option<ReaderOutput> {
        if now < self.next_deadline() {
            return None;
        }
        let state = std::mem::replace(&mut self.state, State::Idle { until: now });
        let output = match state {
            State::Idle { .. } => self.call(now, Reading::new(now), None),
            State::Spacing { reading, token, .. } => self.call(now, reading, Some(token)),
            State::Calling { .. } => self.abandon(now, AbandonReason::TimedOut, Duration::ZERO),
        };
        Some(output)
    }

    /// What was read in the round of that call, if it is the one under way.
    fn take_reading(&mut self, answered: CallId) -> Option<Reading> {
        let under_way = matches!(self.state, State::Calling { call, .. } if call == answered);
        if !under_way {
            return None;
        }
        let until = self.next_deadline();
        match std::mem::replace(&mut self.state, State::Idle { until }) {
            State::Calling { reading, .. } => Some(reading),
            State::Idle { .. } | State::Spacing { .. } => None,
        }
    }

    fn call(&mut self, now: Duration, reading: Reading, page_token: Option<PageToken>) -> ReaderOutput {
        let id = self.next_call;
        self.next_call = CallId(id.0 + 1);
        self.call_not_before = now + self.pace.call_gap();
        self.state = State::Calling { reading, call: id, deadline: now + CALL_TIMEOUT };
        ReaderOutput::Fetch(Call { id, page_token })
    }

    fn answered(&mut self, now: Duration, mut reading: Reading, page: Page) -> Option<ReaderOutput> {
        reading.pages += 1;
        reading.list.extend(page.instances);
        if reading.list.len() > MOST_WORKERS {
            return Some(self.abandon(now, AbandonReason::TooLong, Duration::ZERO));
        }
        match page.next_token {
            None => Some(self.complete(now, reading)),
            Some(_) if reading.pages >= MOST_PAGES => {
                Some(self.abandon(now, AbandonReason::TooLong, Duration::ZERO))
            }
            Some(token) => {
                self.state = State::Spacing { reading, token, until: self.call_not_before };
                self.tick(now)
            }
        }
    }

    fn complete(&mut self, now: Duration, reading: Reading) -> ReaderOutput {
        self.backoff.reset();
        let next = reading.started_at + self.pace.interval(reading.pages);
        self.state = State::Idle { until: next.max(self.call_not_before).max(now) };
        ReaderOutput::Complete(Round { list: reading.list, started_at: reading.started_at })
    }

    fn failed(&mut self, now: Duration, failure: CallFailure) -> ReaderOutput {
        let least = match failure {
            CallFailure::OverRate { retry_after } => retry_after.unwrap_or_default().min(LONGEST_RETRY_AFTER),
            CallFailure::Unavailable | CallFailure::Unreadable => Duration::ZERO,
        };
        self.abandon(now, AbandonReason::Failed(failure), least)
    }

    /// Begins anew after the back-off, `least` at least.
    fn abandon(&mut self, now: Duration, reason: AbandonReason, least: Duration) -> ReaderOutput {
        let wait = self.backoff.after_failure().max(least);
        self.state = State::Idle { until: (now + wait).max(self.call_not_before) };
        ReaderOutput::Abandoned(reason)
    }
}

impl Reading {
    fn new(started_at: Duration) -> Self {
        Self { started_at, pages: 0, list: WorkerList::default() }
    }
}
