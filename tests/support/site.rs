//! Random sites: settings, and workers with different speeds and failure rates.

use fastrand::Rng;
use millrudder::*;

/// Number of classes of each site.
pub const CLASSES: usize = 6;
/// Number of tenants of each site.
pub const TENANTS: usize = 2;

/// The true state of one worker, which the dispatcher can only estimate.
pub struct Machine {
    pub entry: Entry,
    /// Work (ms on a standard core) that each core does per ms.
    pub speed: f64,
    /// Time at which each core becomes free.
    pub free_at: Vec<f64>,
    /// Fraction of its jobs that fail.
    pub failure_rate: f64,
    /// It refuses connections.
    pub down: bool,
    /// Lists name it.
    pub listed: bool,
}

impl Machine {
    pub fn reachable(&self) -> bool {
        !self.down && self.entry.mode != Mode::Gone
    }

    /// Runs a job that arrives at time `ready`. Returns the times of its start and end.
    pub fn run(&mut self, work: f64, ready: f64) -> (f64, f64) {
        let core =
            self.free_at.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a worker has at least one core");
        let start = core.max(ready);
        *core = start + work / self.speed;
        (start, *core)
    }
}

fn pick<T: Copy>(rng: &mut Rng, of: &[T]) -> T {
    of[rng.usize(..of.len())]
}

fn class(rng: &mut Rng, effect: Effect, dedup_scope: DedupScope, kind: Option<u32>) -> Class {
    Class {
        latency_target: pick(rng, &[0.0, 80.0, 200.0, 200.0]),
        target_stretch: pick(rng, &[0.0, 1.5, 3.0]),
        deadline: pick(rng, &[0.0, 900.0, 5000.0]),
        value: pick(rng, &[0.3, 1.0, 4.0]),
        late_value: pick(rng, &[0.0, 0.0, 0.4]),
        effect,
        dedup_scope,
        dedup_window: pick(rng, &[300.0, 2000.0, 7500.0]),
        kind,
        ..Class::default()
    }
}

fn classes(rng: &mut Rng, kinds: u32) -> Vec<Class> {
    let required_kind = (kinds > 1 && rng.bool()).then_some(0);
    let classes = vec![
        class(rng, Effect::Idempotent, DedupScope::All, None),
        class(rng, Effect::Idempotent, DedupScope::Cell, required_kind),
        class(rng, Effect::Deduplicated, DedupScope::Cell, None),
        class(rng, Effect::Deduplicated, DedupScope::Zone, None),
        class(rng, Effect::Deduplicated, DedupScope::All, None),
        class(rng, Effect::AtMostOnce, DedupScope::All, None),
    ];
    assert_eq!(classes.len(), CLASSES);
    classes
}

fn limits(rng: &mut Rng) -> Limits {
    Limits {
        max_attempts: rng.usize(1..6),
        hedging: rng.bool(),
        cancel: rng.f64() < 0.7,
        retry_after: rng.bool(),
        max_retry_after: 400.0,
        ..Limits::default()
    }
}

fn rules(rng: &mut Rng) -> Rules {
    Rules {
        answer_slack: 8.0,
        list_interval: 10_000.0,
        drain_grace: 500.0,
        drain_close: 1000.0,
        unlisted_stay_open: rng.bool(),
        warm_up_from: 0.31,
        warm_up: pick(rng, &[0.0, 3000.0, 9000.0]),
        overload_multiple: 3.0,
        overload_time: 2000.0,
    }
}

/// Random settings for a site with this many kinds and zones of workers.
pub fn settings(rng: &mut Rng, kinds: u32, zones: u32) -> Settings {
    let replicas = pick(rng, &[1, 2, 2, 20, 100]);
    let tenant = |quota_per_s, share| Tenant { quota_per_s, share };
    Settings {
        instance: rng.u32(0..replicas),
        replicas,
        zone: Some(rng.u32(0..zones)),
        zones,
        period: pick(rng, &[0.0, 2.0, 5.0]),
        list_by_call: rng.bool(),
        classes: classes(rng, kinds),
        tenants: vec![tenant(40.0, 0.5), tenant(2.0, 0.1)],
        over_quota_value: 0.2,
        value_by_work: rng.bool(),
        reports_starts: rng.f64() < 0.7,
        progress_interval: pick(rng, &[0.0, 40.0, 150.0]),
        fifo: rng.bool(),
        load_reports: true,
        promise_weight: pick(rng, &[0.0, 0.5]),
        prices: Prices { cross_zone: pick(rng, &[0.0, 0.01, 0.2]), waste: 0.02, ..Prices::default() },
        limits: limits(rng),
        rules: rules(rng),
        ..Settings::default()
    }
}

/// A site's workers, most of them healthy.
pub fn machines(rng: &mut Rng, count: u32, kinds: u32, zones: u32) -> Vec<Machine> {
    let machine = |worker| {
        let kind = worker % kinds;
        let speed = (0.5 + f64::from(kind)) * (0.8 + 0.4 * rng.f64());
        Machine {
            entry: Entry {
                worker,
                zone: Some(worker / 2 % zones),
                kind: Some(kind),
                cell: i64::from(worker / 4),
                mode: Mode::Ready,
                weight: 1.0,
                ready_at: None,
            },
            speed: if rng.f64() < 0.2 { speed * 0.15 } else { speed },
            free_at: vec![0.0; rng.usize(1..4)],
            failure_rate: if rng.f64() < 0.1 { 0.6 } else { 0.02 },
            down: false,
            listed: true,
        }
    };
    (0..count).map(machine).collect()
}
