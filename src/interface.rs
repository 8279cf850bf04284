//! Inputs and outputs of the decision module: settings, events, actions. Nothing here decides.
//!
//! Times are milliseconds on the caller's clock. Identifiers are the caller's numbers, unique within an instance.

/// A request, numbered by the caller; a number is never used for two requests of one instance.
pub type RequestId = u64;
/// A worker, numbered by the caller; the same process keeps its number over restarts.
pub type WorkerId = u32;

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// Retries are harmless.
    Idempotent,
    /// A group of workers drops repeats within [`Class::dedup_window`].
    Deduplicated,
    /// Must never run twice.
    #[default]
    AtMostOnce,
}

/// Which workers drop each other's repeats of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    #[default]
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Latency target (ms): an answer within `latency_target + target_stretch * own work` earns the full value.
    pub latency_target: f64,
    /// How much of a request's own work (ms on a standard core) is added to its latency target.
    pub target_stretch: f64,
    /// How long a client waits in all (ms).
    pub deadline: f64,
    /// What an answer within the latency target earns.
    pub value: f64,
    /// Fraction of the value that a late answer earns.
    pub late_value: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Which workers drop each other's repeats, where `effect` is [`Effect::Deduplicated`].
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped (ms), from the first attempt that may have run.
    pub dedup_window: f64,
    /// The answer is streamed.
    pub stream: bool,
    /// The one kind of worker that runs this class, if only one does.
    pub kind: Option<u32>,
    /// Priority among classes.
    pub priority: i64,
}

/// One tenant: requests a second (over all dispatchers) inside its quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second, over all dispatchers.
    pub quota_per_s: f64,
    /// Fraction of all traffic that counts as within the quota.
    pub share: f64,
}

/// What each thing costs, as a fraction of the whole value, per first attempt.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// Work that was done and not used.
    pub waste: f64,
    /// A failure that comes after the latency target.
    pub late_fail: f64,
    /// A health check.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
}

/// What the site permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts of one request, the first included.
    pub max_attempts: usize,
    /// Hedged requests are allowed.
    pub hedging: bool,
    /// Health checks are allowed.
    pub probes: bool,
    /// An attempt may be cancelled at its worker.
    pub cancel: bool,
    /// Clients are advised how long to wait after a refusal, up to `max_retry_after`.
    pub retry_after: bool,
    /// Longest wait that a client is advised (ms).
    pub max_retry_after: f64,
    /// Time limit of connecting to a worker (ms).
    pub connect_timeout: f64,
}

/// The figures behind the site's four rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time by which a final answer may exceed the client's deadline (ms).
    pub answer_slack: f64,
    /// Longest time between two calls for the worker list (ms): until then no change counts as known.
    pub list_interval: f64,
    /// Time after which nothing may be sent to a worker that is listed as draining (ms).
    pub drain_grace: f64,
    /// Idle connections to a draining worker are closed within this (ms); 0: no such rule.
    pub drain_close: f64,
    /// Only a list entry that shows `Draining` binds; a worker that is gone or missing may be sent to.
    pub unlisted_stay_open: bool,
    /// Slow start: a worker starts at this fraction of its capacity or more ...
    pub warm_up_from: f64,
    /// ... and has warmed up after this long (ms).
    pub warm_up: f64,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long (ms), a worker that is warming up crashes.
    pub overload_time: f64,
}

/// All that an instance is given at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This instance's number, from 0.
    pub instance: u32,
    /// How many instances there are.
    pub replicas: u32,
    /// This instance's zone.
    pub zone: Option<u32>,
    /// How many zones there are.
    pub zones: u32,
    /// Least time between two batches of events (ms).
    pub period: f64,
    /// The worker list answers only when it is called; it is not pushed.
    pub list_by_call: bool,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Fraction of its value that a request beyond its tenant's quota earns.
    pub over_quota_value: f64,
    /// Value is counted for each unit of work, not for each request.
    pub value_by_work: bool,
    /// Workers report when a job starts.
    pub reports_starts: bool,
    /// Progress reports come this often (ms); 0: never.
    pub progress: f64,
    /// Workers start waiting jobs in the order in which they came.
    pub fifo: bool,
    /// Load reports come with outcomes.
    pub reports: bool,
    /// Weight of promises in the goal: a miss costs more than a refusal within the latency target. 0: no such part.
    pub promise_weight: f64,
    /// Fraction of misses that is tolerated.
    pub tolerated_misses: f64,
    /// What each thing costs.
    pub prices: Prices,
    /// What the site permits.
    pub limits: Limits,
    /// The figures behind the site's rules.
    pub rules: Rules,
}

/// State of a worker by the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Mode {
    /// It takes jobs.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// One entry of the worker list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: Option<u32>,
    /// Its kind: workers of one kind are equally fast.
    pub kind: Option<u32>,
    /// Its cell: workers that may share a deduplication scope.
    pub cell: i64,
    /// Its state.
    pub mode: Mode,
    /// Its weight by the list.
    pub weight: f64,
    /// When its process last started; `None`: long ago.
    pub ready_at: Option<f64>,
}

/// Which kind of list arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Update,
    /// The whole list; workers that are missing from it are gone.
    Replace,
    /// The list as this instance last saw it before a restart.
    Restored,
    /// A call failed or the subscription ended; no entries.
    Unavailable,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker reported an error.
    Failed,
    /// The worker's queue was full: the attempt did not run.
    QueueFull,
    /// No answer in time.
    TimedOut,
    /// No connection: the attempt did not run.
    ConnectError,
    /// The connection broke after the request was written: the attempt may have run.
    ResetByPeer,
    /// Cancelled by this dispatcher.
    Canceled,
    /// Never sent: the attempt did not run.
    Ignored,
}

impl Outcome {
    /// The outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::QueueFull | Outcome::ConnectError | Outcome::Ignored)
    }
}

/// A worker's load report; values that the site does not send are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Slots in use.
    pub in_flight: Option<f64>,
    /// Jobs that wait.
    pub queue: Option<f64>,
    /// Fraction of the slots in use.
    pub busy: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in the site's unit.
    pub free_memory: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Index into [`Settings::classes`]; `None`: a class that the settings do not name.
    pub class: Option<usize>,
    /// Expected work as time on a standard core (ms), where the client gave one.
    pub hint: Option<f64>,
    /// Slots that it takes at its worker.
    pub slots: f64,
    /// LearnedState that it takes at its worker, in the site's unit.
    pub memory: f64,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Clock time at which the client gives up.
    pub deadline: f64,
}

/// Inputs of the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list, or a change of it.
    List {
        /// Which kind of list.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A client's request.
    Request(Request),
    /// The answer of a streamed class has begun.
    First {
        /// The request.
        id: RequestId,
        /// Its attempt, from 0.
        attempt: usize,
    },
    /// The client left, or the answer is overdue: nothing is owed any more.
    Lapsed {
        /// The request.
        id: RequestId,
    },
    /// A timer that [`Action::Timer`] set has fired.
    Timer {
        /// The timer's token.
        token: u64,
    },
    /// A health check ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took (ms).
        latency: f64,
        /// The worker's load report.
        load: Option<Load>,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// Its attempt, from 0.
        attempt: usize,
        /// Where it ran.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took (ms).
        latency: f64,
        /// The request has its final answer with this.
        closed: bool,
        /// The worker's load report.
        load: Option<Load>,
    },
    /// The job began on its worker.
    Started {
        /// The request.
        id: RequestId,
        /// Its attempt, from 0.
        attempt: usize,
    },
    /// A progress report.
    Progress {
        /// The request.
        id: RequestId,
        /// Its attempt, from 0.
        attempt: usize,
        /// Fraction of the job that is done.
        share: f64,
    },
    /// New settings, for requests from now on.
    Settings {
        /// The settings.
        settings: Box<Settings>,
        /// For each of their classes, its index in the settings before.
        from: Vec<Option<usize>>,
    },
    /// Operators eject a worker by hand, whatever lists say, or put it back. Repeats are harmless.
    Ban {
        /// The worker.
        worker: WorkerId,
        /// Whether it is ejected.
        on: bool,
    },
}

/// Outputs of the module, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt; attempts of a request count from 0.
    Send {
        /// The request.
        id: RequestId,
        /// Where it goes.
        worker: WorkerId,
        /// Time limit of the attempt (ms); 0: the client's deadline.
        timeout: f64,
    },
    /// Final answer: refused; a retry by the client is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it asks again (ms); 0: nothing is said.
        retry_after: f64,
    },
    /// Final answer: failed; nothing is promised about whether it ran.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancels one attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Its attempt, from 0.
        attempt: usize,
    },
    /// Checks a worker's health.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Closes the idle connections to a worker.
    Release {
        /// The worker.
        worker: WorkerId,
    },
    /// Sets a timer; timers cannot be withdrawn.
    Timer {
        /// What [`Event::Timer`] will carry.
        token: u64,
        /// When it fires, from now (ms).
        delay: f64,
    },
    /// Subscribes to the changes of the worker list from now on.
    Watch,
    /// Calls for the whole worker list once.
    Fetch,
}
