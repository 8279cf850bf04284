//! Constants of the decision rules, each with its unit and the reason for it.

/// Shortest time between two refreshes of the estimates behind the indices (ms). Between refreshes only the
/// index entry that is read is computed: building whole tables costs 100 us a request.
pub(super) const REFRESH_MS: f64 = 500.0;
/// Requests of this dispatcher between two refreshes, at least: with hundreds of dispatchers each receives
/// about one a second.
pub(super) const REFRESH_REQUESTS: f64 = 4.0;
/// Largest probability that any event (an arrival, or a completion at any worker) has in one time step of
/// the index. Small enough to keep p < 1 and q <= 1 with a margin.
pub(super) const MAX_STEP_PROBABILITY: f64 = 0.1;
/// Equation (15) divides by q - p, so a q closer to p than this (relative to p) is moved to this distance.
pub(super) const MIN_RELATIVE_GAP: f64 = 0.05;
/// Number of recent served jobs in a worker's speed estimate.
pub(super) const SPEED_MEMORY_JOBS: f64 = 16.0;
/// Number of recent served jobs in the speed estimate of a kind of workers.
pub(super) const KIND_SPEED_MEMORY_JOBS: f64 = SPEED_MEMORY_JOBS * 4.0;
/// Number of recent served jobs in the mean speed of the fleet, and in the mean running time of a class.
pub(super) const FLEET_SPEED_MEMORY_JOBS: f64 = SPEED_MEMORY_JOBS * 8.0;
/// Number of recent requests in the means of work and value.
pub(super) const REQUEST_MEMORY: f64 = 200.0;
/// Upper bound of the expected work of a request (ms on a standard core), whatever its hint.
pub(super) const MAX_WORK_MS: f64 = 1e9;
/// Number of jobs that the mean speed of the worker's kind counts for in the worker's estimate, as a prior.
pub(super) const PRIOR_JOBS: f64 = 2.0;
/// Time constant of the estimated arrival rate (ms).
pub(super) const ARRIVAL_TIME_CONSTANT_MS: f64 = 5000.0;
/// Fraction of the load budget of a warming-up worker that is used, since job sizes are only estimates.
pub(super) const WARM_UP_SAFETY: f64 = 0.6;
/// Retry budget: retries allowed per first attempt.
pub(super) const RETRY_RATIO: f64 = 0.2;
/// Retry budget: retries that may be saved up for a burst.
pub(super) const RETRY_BURST: f64 = 10.0;
/// How long a worker is ejected whose latest outcomes all failed (ms); others for the failed fraction of it.
pub(super) const MAX_EJECTION_MS: f64 = 8000.0;
/// A worker whose running times alone make jobs late is ejected, like one that fails, if its speed is below
/// this fraction of the mean speed of its kind.
pub(super) const SLOW_SPEED_RATIO: f64 = 0.4;
/// Interval at which parked requests are checked (ms), besides the checks on each outcome and list change.
pub(super) const PARKED_CHECK_MS: f64 = 20.0;
/// A job that waits for its start longer than this fraction of a mean running time found its worker full.
pub(super) const KNEE_WAIT_SHARE: f64 = 0.25;
/// Parked requests that no worker could take after which dispatching them stops, to save CPU time.
pub(super) const MAX_PARKED_MISSES: u32 = 4;
/// A request may be hedged if its job has not started after this many start lags of its pool.
pub(super) const HEDGE_START_LAGS: f64 = 3.0;
/// A job that has not started after this many start lags of its pool (plus two batches of events) waits, even
/// if its worker seems to have a free core.
pub(super) const WAITING_START_LAGS: f64 = 4.0;
/// Assumed probability that a hedged copy saves a waiting job; the price of the copy is compared with it.
pub(super) const HEDGE_SUCCESS_PROBABILITY: f64 = 0.07;
/// The speed measured on one served job counts up to this multiple of the known speed, as hints may be false.
pub(super) const MAX_HINT_SPEED_RATIO: f64 = 4.0;
/// Failed fraction of a worker's latest outcomes from which it is ejected; isolated errors are ignored.
pub(super) const ERROR_THRESHOLD: f64 = 0.25;
/// Weight of one outcome in the exponential moving average of the failed fraction.
pub(super) const ERROR_EWMA_WEIGHT: f64 = 0.1;
/// A connection that fails within this time of the worker's last answer or report is an isolated error (ms).
pub(super) const RECENTLY_SEEN_MS: f64 = 1000.0;
/// Indices that differ by less than this (relative) are ties where this dispatcher's own counts tell little
/// about the workers: otherwise hundreds of dispatchers would pick the same fastest worker.
pub(super) const INDEX_TIE_TOLERANCE: f64 = 0.25;
/// Fraction of jobs that may start late before admission becomes stricter.
pub(super) const TOLERATED_LATE_SHARE: f64 = 0.3;
/// The same fraction where a miss costs more than a refusal.
pub(super) const TOLERATED_LATE_SHARE_PROMISED: f64 = 0.1;
/// Change of the admission price (natural logarithm) for each late start.
pub(super) const LOG_PRICE_STEP: f64 = 0.25;
/// Lower bound of the admission price (natural logarithm, relative to the mean value of a unit of work).
pub(super) const MIN_LOG_PRICE: f64 = -2.5;
/// Upper bound of the admission price (natural logarithm, relative to the mean value of a unit of work).
pub(super) const MAX_LOG_PRICE: f64 = 2.0;
/// Width of the random variation of the admission price from request to request (natural logarithm).
pub(super) const LOG_PRICE_SPREAD: f64 = 1.0;
/// A cross-zone attempt must save this many times the delay that it is charged as, because a delay within
/// the latency target loses no value.
pub(super) const CROSS_ZONE_FACTOR: f64 = 4.0;
/// A start is late once this fraction of the job's start slack has passed.
pub(super) const LATE_START_SHARE: f64 = 0.8;
/// Number of recent load reports in the mean of a pool.
pub(super) const LOAD_REPORT_MEMORY: f64 = 8.0;
/// Time constant with which the report of one worker decays to the mean of its pool (ms).
pub(super) const LOAD_REPORT_TIME_CONSTANT_MS: f64 = 1000.0;
/// Upper limit on the free slots of a load report that count as cores of the worker.
pub(super) const MAX_REPORTED_CORES: f64 = 64.0;
/// A started job is lost after this many progress intervals without a report (see `detect_lost_attempts`).
pub(super) const LOST_PROGRESS_INTERVALS: f64 = 1.6;
/// A job without any report is lost after this many mean start waits (see `detect_lost_attempts`).
pub(super) const LOST_START_WAITS: f64 = 6.0;
/// Number of recent starts in the mean start wait.
pub(super) const START_WAIT_MEMORY: f64 = 64.0;
/// A dispatcher keeps to a subset of the fleet that is small enough for each worker in it to report load at
/// least this many times while a report is recent (`LOAD_REPORT_TIME_CONSTANT_MS`).
pub(super) const MIN_REPORTS_PER_WORKER: f64 = 0.5;
/// Smallest subset of the fleet (workers in each zone) that one of many dispatchers chooses from.
pub(super) const MIN_SUBSET_SIZE: f64 = 20.0;
/// After a failed connection a worker is ejected for the time in which it would have received this many jobs.
pub(super) const CONNECT_ERROR_SKIPPED_JOBS: f64 = 2.0;
/// First requests of a tenant that count as within its quota.
pub(super) const TENANT_BURST_REQUESTS: f64 = 5.0;
/// A worker that fails before it has ever answered is ejected for this many times `MAX_EJECTION_MS`.
pub(super) const UNPROVEN_EJECTION_FACTOR: f64 = 2.0;
/// This many jobs reset at one worker at the same moment, with none left there, mean that its process died.
pub(super) const CRASH_RESETS: u32 = 3;
/// Longest time for which one dispatcher's call for the worker list occupies discovery (ms).
pub(super) const LIST_CALL_MS: f64 = 20.0;
/// Longest backoff after failed list calls, in rounds of one call by each dispatcher.
pub(super) const LIST_BACKOFF_ROUNDS: f64 = 8.0;
/// Backoff after the first failed list call, as a fraction of `list_interval`.
pub(super) const LIST_FIRST_BACKOFF_SHARE: f64 = 1.0 / 128.0;
/// Longest backoff after failed list calls, as a fraction of `list_interval`, if that is more than
/// `LIST_BACKOFF_ROUNDS`.
pub(super) const LIST_MAX_BACKOFF_SHARE: f64 = 0.25;
/// Workers that are kept after they have disappeared from the list.
pub(super) const MAX_UNLISTED_WORKERS: usize = 1000;
/// How long a dispatcher's turn at a warming-up worker stays open, as a fraction of `overload_time`.
pub(super) const TURN_WINDOW_SHARE: f64 = 0.25;
/// Fractional part of the golden ratio. It spreads the first turn at a warming-up worker over the
/// dispatchers, by the time of the worker's start.
pub(super) const TURN_SPREAD: f64 = 0.618_034;
/// Largest job that is sent to a warming-up worker, as a multiple of the mean work.
pub(super) const MAX_WARM_UP_JOB_SIZE: f64 = 2.0;
/// Added to the index of a worker that operators have restored. Above any index, so it gets the next job.
pub(super) const RESTORED_BONUS: f64 = 1e300;
