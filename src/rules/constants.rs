//! The figures behind the decisions, each with its unit and reason.

/// Estimates are renewed this often (ms); of a table, the entry that is read (all cost 100 us a request).
pub(super) const REFRESH_MS: f64 = 500.0;
/// ... and after this many requests of ours at the earliest: hundreds of dispatchers have one a second each.
pub(super) const REFRESH_REQUESTS: f64 = 4.0;
/// The larger of p and the q's in one step: small enough that p < 1 and q <= 1 with room.
pub(super) const MAX_STEP_PROBABILITY: f64 = 0.1;
/// DESIGN: a q this near to p is moved to the edge, since (15) divides by q - p.
pub(super) const MIN_RELATIVE_GAP: f64 = 0.05;
/// Served jobs that a worker's speed estimate remembers; its kind's counts for `PRIOR_JOBS` more.
pub(super) const SPEED_MEMORY_JOBS: f64 = 16.0;
pub(super) const PRIOR_JOBS: f64 = 2.0;
/// Time constant of our arrival rate (ms).
pub(super) const ARRIVAL_TIME_CONSTANT_MS: f64 = 5000.0;
/// Share of our part of the budget of a worker that is warming up that is used: sizes are estimates.
pub(super) const WARM_UP_SAFETY: f64 = 0.6;
/// Further tries may be this share of first tries, plus a small burst (retry budget).
pub(super) const RETRY_RATIO: f64 = 0.2;
pub(super) const RETRY_BURST: f64 = 10.0;
/// A failing worker is ejected for this long times the share of its latest outcomes that failed.
pub(super) const MAX_EJECTION_MS: f64 = 8000.0;
/// A worker that makes jobs late by their running time alone is ejected like one that fails, once it is
/// slower than this share of its kind.
pub(super) const SLOW_SPEED_RATIO: f64 = 0.4;
/// Held requests are looked at again this often (ms), besides on every outcome and list change.
pub(super) const PARKED_CHECK_MS: f64 = 20.0;
/// A job that waits longer for its start than this share of a mean running time met a full worker.
pub(super) const KNEE_WAIT_SHARE: f64 = 0.25;
/// Chance taken for a second copy to save a job that waits: what its price is set against.
pub(super) const HEDGE_SUCCESS_PROBABILITY: f64 = 0.07;
/// One served job's speed is believed up to this multiple of what was known: hints may lie.
pub(super) const MAX_HINT_SPEED_RATIO: f64 = 4.0;
/// Errors count once they are this share of a worker's latest outcomes: stray ones do not.
pub(super) const ERROR_THRESHOLD: f64 = 0.25;
pub(super) const ERROR_EWMA_WEIGHT: f64 = 0.1;
/// So long after a sign of life a failed connection counts as a stray error.
pub(super) const RECENTLY_SEEN_MS: f64 = 1000.0;
/// Indices nearer than this (relative) are a tie where our own counts tell little: hundreds of dispatchers
/// would pick the same fastest worker.
pub(super) const INDEX_TIE_TOLERANCE: f64 = 0.25;
/// Share of jobs that may start late before less is taken on, also where a miss costs more than a refusal;
/// the price's step (log) for each, its bounds (in mean worths of a unit of work), its spread over requests.
pub(super) const TOLERATED_LATE_SHARE: f64 = 0.3;
pub(super) const TOLERATED_LATE_SHARE_PROMISED: f64 = 0.1;
pub(super) const LOG_PRICE_STEP: f64 = 0.25;
pub(super) const MIN_LOG_PRICE: f64 = -2.5;
pub(super) const MAX_LOG_PRICE: f64 = 2.0;
pub(super) const LOG_PRICE_SPREAD: f64 = 1.0;
/// A delay inside the slack loses nothing: a crossing must save this many times the delay that it costs.
pub(super) const CROSS_ZONE_FACTOR: f64 = 4.0;
/// A start is late once this share of the job's slack has passed.
pub(super) const LATE_START_SHARE: f64 = 0.8;
/// Load reports that a pool's mean remembers, and how fast one worker's fades to that mean (ms).
pub(super) const LOAD_REPORT_MEMORY: f64 = 8.0;
pub(super) const LOAD_REPORT_TIME_CONSTANT_MS: f64 = 1000.0;
/// Lost (see `watch`): a started job without a note for this many of the times between two; one without any
/// after this many mean waits for a start, of the latest `START_WAIT_MEMORY`.
pub(super) const LOST_PROGRESS_INTERVALS: f64 = 1.6;
pub(super) const LOST_START_WAITS: f64 = 6.0;
pub(super) const START_WAIT_MEMORY: f64 = 64.0;
/// Of more workers than report to us so often while the news is fresh, we keep to a part.
pub(super) const MIN_REPORTS_PER_WORKER: f64 = 0.5;
/// Workers at the least among which one of many dispatchers chooses.
pub(super) const MIN_SUBSET_SIZE: f64 = 20.0;
/// Jobs of ours that one to which we could not connect would have had meanwhile.
pub(super) const CONNECT_ERROR_SKIPPED_JOBS: f64 = 2.0;
/// First requests of a tenant that count as within its share.
pub(super) const TENANT_BURST_REQUESTS: f64 = 5.0;
/// One that fails before any sign of life is ejected for this many times `MAX_EJECTION_MS`.
pub(super) const UNPROVEN_EJECTION_FACTOR: f64 = 2.0;
/// So many of our jobs reset at a worker at once, with none left, are its process that died.
pub(super) const CRASH_RESETS: u32 = 3;
/// What one dispatcher's call for the list takes of discovery at the most (ms), and how many rounds of the
/// fleet's calls one of us waits after failures; as shares of `list_interval`, the first wait
/// and the longest.
pub(super) const LIST_CALL_MS: f64 = 20.0;
pub(super) const LIST_BACKOFF_ROUNDS: f64 = 8.0;
pub(super) const LIST_FIRST_BACKOFF_SHARE: f64 = 1.0 / 128.0;
pub(super) const LIST_MAX_BACKOFF_SHARE: f64 = 0.25;
/// Workers kept that no list names any more.
pub(super) const MAX_UNLISTED_WORKERS: usize = 1000;
/// How long a turn at a worker that is warming up lasts, as a share of the budget's window; the largest job
/// then, in means.
pub(super) const TURN_WINDOW_SHARE: f64 = 0.25;
pub(super) const MAX_WARM_UP_JOB_SIZE: f64 = 2.0;
/// Above any index: the next job goes to a worker that operators have restored.
pub(super) const RESTORED_BONUS: f64 = 1e300;
