//! Inputs and outputs of the decision module: settings, events and actions. Nothing here decides.
//!
//! Times are in milliseconds on the caller's clock. Identifiers are numbers that the caller assigns; they are
//! unique within an instance.

/// Number of a request, assigned by the caller and never used for two requests of one instance.
pub type RequestId = u64;
/// Number of a worker, assigned by the caller. A worker keeps its number when its process restarts.
pub type WorkerId = u32;

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// Retries are harmless.
    Idempotent,
    /// The workers within [`Class::dedup_scope`] drop repeats for [`Class::dedup_window`].
    Deduplicated,
    /// Must never run twice.
    #[default]
    AtMostOnce,
}

/// Among which workers repeats of a deduplicated request are recognised and dropped.
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
    /// Latency target (ms): an answer within `latency_target + target_stretch * work` earns the full value.
    pub latency_target: f64,
    /// Multiple of a request's work (ms on a standard core) that is added to its latency target.
    pub target_stretch: f64,
    /// How long a client waits in total (ms).
    pub deadline: f64,
    /// Value of an answer within the latency target.
    pub value: f64,
    /// Fraction of the value that a late answer earns.
    pub late_value: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Among which workers repeats are dropped, where `effect` is [`Effect::Deduplicated`].
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped (ms), from the first attempt that may have run.
    pub dedup_window: f64,
    /// The answer is streamed.
    pub stream: bool,
    /// The kind of worker that this class needs; `None`: any kind can run it.
    pub kind: Option<u32>,
    /// Priority among classes.
    pub priority: i64,
}

/// Quota of one tenant. A request is within it if either figure allows it.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests per second, over all dispatchers.
    pub quota_per_s: f64,
    /// Fraction of all traffic that counts as within the quota.
    pub share: f64,
}

/// Costs, each as a fraction of the full value, per first attempt.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// Work that was done and whose result was not used.
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
    /// Longest wait that clients are advised (ms).
    pub max_retry_after: f64,
    /// Time limit of connecting to a worker (ms).
    pub connect_timeout: f64,
}

/// Parameters of the site's rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time by which a final answer may exceed the client's deadline (ms).
    pub answer_slack: f64,
    /// Longest time between two calls for the worker list (ms): a change counts as known only after it.
    pub list_interval: f64,
    /// Time after which nothing may be sent to a worker that is listed as draining (ms).
    pub drain_grace: f64,
    /// Idle connections to a draining worker are closed within this (ms); 0: no such rule.
    pub drain_close: f64,
    /// Only an entry that shows [`Mode::Draining`] closes a worker to new jobs; one that is listed as gone or
    /// has disappeared from the list stays in use.
    pub unlisted_stay_open: bool,
    /// Slow start: least fraction of its full capacity that a worker has when its process starts. The
    /// capacity then rises linearly.
    pub warm_up_from: f64,
    /// Slow start: time from the start of its process until a worker has its full capacity (ms).
    pub warm_up: f64,
    /// A worker that is warming up crashes if it is sent more than this multiple of its present capacity for
    /// `overload_time`.
    pub overload_multiple: f64,
    /// Length of the window over which `overload_multiple` holds (ms).
    pub overload_time: f64,
}

/// Settings of an instance. They can be replaced later with [`Event::Settings`].
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
    /// Shortest time between two batches of events (ms).
    pub period: f64,
    /// The worker list must be called for; changes of it are not pushed.
    pub list_by_call: bool,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Fraction of its value that a request beyond its tenant's quota earns.
    pub over_quota_value: f64,
    /// The value of a class is per unit of work, not per request.
    pub value_by_work: bool,
    /// Workers report when a job starts.
    pub reports_starts: bool,
    /// Interval of progress reports on running jobs (ms); 0: there are none.
    pub progress_interval: f64,
    /// Workers start waiting jobs in the order of their arrival.
    pub fifo: bool,
    /// Workers send load reports with outcomes.
    pub load_reports: bool,
    /// Weight of kept latency targets in the site's goal, where accepting a request and missing its target
    /// costs more than refusing it within the target; 0: this does not count.
    pub promise_weight: f64,
    /// Fraction of requests that may miss their latency target.
    pub tolerated_misses: f64,
    /// Costs of attempts and other means.
    pub prices: Prices,
    /// What the site permits.
    pub limits: Limits,
    /// Parameters of the site's rules.
    pub rules: Rules,
}

/// State of a worker according to the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Mode {
    /// It takes jobs.
    #[default]
    Ready,
    /// It finishes the jobs that it has and takes no new ones.
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
    /// Its cell: the group of workers among which repeats are dropped under [`DedupScope::Cell`].
    pub cell: i64,
    /// Its state.
    pub mode: Mode,
    /// Its weight in the list.
    pub weight: f64,
    /// When its process last started; `None`: long ago, so it is not warming up.
    pub ready_at: Option<f64>,
}

/// What a list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Update,
    /// The whole list; workers that are missing from it are gone.
    Replace,
    /// The list as this instance last saw it before a restart.
    Restored,
    /// No entries: a call for the list failed, or the subscription ended.
    Unavailable,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job was served.
    Ok,
    /// The worker reported an error.
    Failed,
    /// The worker's queue was full: the attempt did not run.
    QueueFull,
    /// No answer came in time: the attempt may have run.
    TimedOut,
    /// No connection could be made: the attempt did not run.
    ConnectError,
    /// The connection broke after the request was written: the attempt may have run.
    ResetByPeer,
    /// Cancelled by this dispatcher: the attempt may have run.
    Canceled,
    /// The attempt was never sent, so it did not run.
    Ignored,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::QueueFull | Outcome::ConnectError | Outcome::Ignored)
    }
}

/// A worker's load report; values that workers of the site do not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Slots in use.
    pub in_flight: Option<f64>,
    /// Jobs that wait for their start.
    pub queue: Option<f64>,
    /// Fraction of the slots in use.
    pub busy: Option<f64>,
    /// Errors per second.
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
    /// Expected work (ms on a standard core), if the client stated it.
    pub hint: Option<f64>,
    /// Slots that it takes at its worker.
    pub slots: f64,
    /// Memory that it takes at its worker, in the site's unit.
    pub memory: f64,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Time at which the client gives up.
    pub deadline: f64,
}

/// Inputs of the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list, or a change of it.
    List {
        /// What it contains.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A client's request.
    Request(Request),
    /// The first part of a streamed answer has arrived.
    AnswerStarted {
        /// The request.
        id: RequestId,
        /// Its attempt, from 0.
        attempt: usize,
    },
    /// The client left or its deadline has passed: the request needs no answer any more.
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
        /// The worker that it was sent to.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took (ms).
        latency: f64,
        /// The request has its final answer with this outcome.
        closed: bool,
        /// The worker's load report.
        load: Option<Load>,
    },
    /// A start report: the job has started on its worker.
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
    /// New settings, for requests that arrive from now on.
    Settings {
        /// The settings.
        settings: Box<Settings>,
        /// For each class of the new settings, its index in the previous settings; `None`: a new class.
        from: Vec<Option<usize>>,
    },
    /// Operators eject a worker, whatever lists say, or restore it. Repeats are harmless.
    Ban {
        /// The worker.
        worker: WorkerId,
        /// Whether it is ejected (`true`) or restored.
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
        /// The worker to send it to.
        worker: WorkerId,
        /// Time limit of the attempt (ms); 0: the client's deadline.
        timeout: f64,
    },
    /// Final answer: refused. The job did not run, or repeating it is harmless, so the client may retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries (ms); 0: no advice.
        retry_after: f64,
    },
    /// Final answer: failed. The job may have run.
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
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// Sets a timer. Timers cannot be cancelled.
    Timer {
        /// Token that [`Event::Timer`] will carry.
        token: u64,
        /// When it fires, from now (ms).
        delay: f64,
    },
    /// Subscribes to changes of the worker list from now on.
    Watch,
    /// Calls for the whole worker list once.
    Fetch,
}
