//! Ordinarily a message is sent to the worker with the highest index. The index is recomputed here by equation (15)
//! from the estimates that the design defines, based on the state that the balancer has learned.

mod common;
use common::*;
use millrudder::{whittle_index, LearnedState, LearnedWorker};
use millrudder_delivery::*;
use millrudder_protocol::control::WorkerEntry;
use millrudder_protocol::Address;
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};

const CAPACITY: u32 = 4;
const WORKERS: u16 = 5;
/// Parameters of the balancer (`src/rules.rs`): time constant of the arrival rate (ms), number of assumed messages in
/// the estimate of a worker's speed, time step as a share of the shortest mean time between two events, and number of
/// arrivals that the mean work is averaged over.
const ARRIVAL_TIME_CONSTANT_MS: f64 = 5000.0;
const PRIOR_JOBS: f64 = 2.0;
const STEP_SHARE: f64 = 0.1;
const ARRIVALS_REMEMBERED: f64 = 200.0;
/// Assumed work of a message (ms) before any has been completed.
const DEFAULT_WORK_MS: f64 = 1000.0;

fn rate((work, time): (f64, f64)) -> Option<f64> {
    (work > 0.0 && time > 0.0).then(|| work / time)
}

/// Whether the worker gets no more messages from this dispatcher.
fn is_full(counts: &BTreeMap<u32, f64>, number: u32) -> bool {
    counts.get(&number).is_some_and(|count| *count >= f64::from(2 * CAPACITY))
}

/// Index of each worker by its number of messages, when one more message arrives at `now`. `kind_speed_before` is the
/// speed of the workers' kind at the previous computation, which the length of the time step is still based on; it is
/// replaced by the current one.
fn indices(
    learned: &LearnedState,
    now: f64,
    counts: &BTreeMap<u32, f64>,
    kind_speed_before: &mut f64,
) -> BTreeMap<u32, f64> {
    let arrivals = learned.arrivals.0 * (-(now - learned.arrivals.1) / ARRIVAL_TIME_CONSTANT_MS).exp() + 1.0;
    let seen = (now - learned.started_at.unwrap_or(now)).max(1.0);
    let arrival_rate =
        arrivals / (ARRIVAL_TIME_CONSTANT_MS * (1.0 - (-seen / ARRIVAL_TIME_CONSTANT_MS).exp()));
    let work = rate(learned.class_time[0]).or(rate(learned.mean_work)).unwrap_or(DEFAULT_WORK_MS);
    let keep = 1.0 - 1.0 / ARRIVALS_REMEMBERED;
    let mean_work = (learned.mean_work.0 * keep + work) / (learned.mean_work.1 * keep + 1.0);
    let kind = learned.kinds.iter().find(|kind| rate(kind.speed).is_some());
    let kind_speed = kind.and_then(|kind| rate(kind.speed)).or(rate(learned.fleet_speed)).unwrap_or(1.0);
    let speed = |worker: &LearnedWorker, kind_speed: f64| {
        let prior = PRIOR_JOBS * mean_work;
        (worker.speed.0 + prior) / (worker.speed.1 + prior / kind_speed)
    };
    let before = std::mem::replace(kind_speed_before, kind_speed);
    let open_workers = learned.workers.iter().filter(|worker| !is_full(counts, worker.id));
    let speeds = open_workers.map(|worker| speed(worker, before) / mean_work);
    let fastest = speeds.fold(arrival_rate, f64::max);
    let step = STEP_SHARE / fastest;
    let index = |worker: &LearnedWorker| {
        let q = (speed(worker, kind_speed) / mean_work * step).min(1.0);
        let n = counts.get(&worker.id).copied().unwrap_or(0.0) / f64::from(CAPACITY);
        (worker.id, whittle_index(arrival_rate * step, q, n))
    };
    learned.workers.iter().map(index).collect()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive,
    /// The oldest message in flight at this worker succeeds.
    Finish(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let finish = (1..=WORKERS).prop_map(Step::Finish);
    proptest::collection::vec(prop_oneof![3 => Just(Step::Arrive), 2 => finish], 1..120)
}

fn entries() -> Vec<WorkerEntry> {
    (1..=WORKERS).map(|number| WorkerEntry { capacity: CAPACITY, ..worker(number) }).collect()
}

/// Number of a worker: workers are numbered in the order of the list.
fn number_of(address: Address) -> u32 {
    let place = (1..=WORKERS).position(|number| worker(number).address == address);
    u32::try_from(place.unwrap()).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_worker_with_the_highest_index_is_chosen(
        steps in steps(),
        slowness in proptest::collection::vec(1u32..6, usize::from(WORKERS)),
        gap in 5u64..400,
    ) {
        let mut fixture = Fixture::new(0);
        // A time-out so long that no attempt is given up.
        fixture.routes(vec![Route { prefix: "/a", service: LISTED, timeout_ms: 600_000 }]);
        fixture.workers(entries());
        let mut out: BTreeMap<u32, VecDeque<AttemptId>> = BTreeMap::new();
        let mut kind_speed = 1.0;
        for (unique, step) in steps.into_iter().enumerate() {
            fixture.pass(gap);
            match step {
                Step::Arrive => {
                    // The balancer updates its estimates with each list, so that it decides by the state read below.
                    fixture.workers(entries());
                    let counts: BTreeMap<u32, f64> =
                        out.iter().map(|(number, out)| (*number, out.len() as f64)).collect();
                    if out.values().map(VecDeque::len).sum::<usize>() >= usize::from(WORKERS) * 2 * CAPACITY as usize {
                        continue;
                    }
                    let learned = fixture.delivery.learned_state(LISTED).unwrap();
                    let indices = indices(&learned, fixture.now as f64, &counts, &mut kind_speed);
                    let best = indices.iter().filter(|(number, _)| !is_full(&counts, **number)).map(|(_, index)| *index);
                    let best = best.fold(f64::NEG_INFINITY, f64::max);
                    let sent = fixture.send(unique as u64, 1, "/a");
                    let chosen = number_of(sent.worker.address);
                    let margin = 1e-9 * best.abs().max(1.0);
                    prop_assert!(indices[&chosen] >= best - margin, "chose {chosen} of {indices:?}");
                    out.entry(chosen).or_default().push_back(sent.attempt);
                }
                Step::Finish(worker) => {
                    let number = u32::from(worker) - 1;
                    let Some(attempt) = out.get_mut(&number).and_then(VecDeque::pop_front) else { continue };
                    let elapsed_ms = u64::from(40 * slowness[usize::from(worker) - 1]);
                    let complete = Answer { signature: Some("s".into()), elapsed_ms, ..answer(200) };
                    fixture.end(attempt, AttemptResult::Answer(complete));
                }
            }
        }
    }
}

#[test]
fn a_slow_worker_gets_fewer_messages() {
    let mut fixture = Fixture::new(2);
    let mut messages_by_worker = [0u32; 2];
    for unique in 0..200 {
        let sent = fixture.send(unique, 1, "/a");
        let slow = sent.worker.address == worker(2).address;
        messages_by_worker[usize::from(slow)] += 1;
        fixture.now += 10;
        let elapsed_ms = if slow { 400 } else { 40 };
        let complete = Answer { signature: Some("s".into()), elapsed_ms, ..answer(200) };
        fixture.end(sent.attempt, AttemptResult::Answer(complete));
    }
    assert!(messages_by_worker[0] > 3 * messages_by_worker[1], "{messages_by_worker:?}");
}
