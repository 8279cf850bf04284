//! On the ordinary path a message goes to the worker whose index is highest: checked against equation (15) and the
//! estimates that the design names, computed here from what the dispatcher has seen.

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
/// Time constant of the arrival rate (ms), jobs that stand before a worker's own, share of the step (`src/rules.rs`).
const ARRIVAL_MS: f64 = 5000.0;
const PRIOR_JOBS: f64 = 2.0;
const STEP_SHARE: f64 = 0.1;
const ARRIVALS_REMEMBERED: f64 = 200.0;
/// Work of a message while none has been completed (ms).
const AIM_MS: f64 = 1000.0;

fn rate((work, time): (f64, f64)) -> Option<f64> {
    (work > 0.0 && time > 0.0).then(|| work / time)
}

/// It takes no more of our messages.
fn is_full(counts: &BTreeMap<u32, f64>, number: u32) -> bool {
    counts.get(&number).is_some_and(|count| *count >= f64::from(2 * CAPACITY))
}

/// Index of each worker at its present count, when one more message arrives at `now`. `usual_before`: the kind's speed
/// when this was last reckoned, which the length of the step still rests on.
fn indices(
    memory: &LearnedState,
    now: f64,
    counts: &BTreeMap<u32, f64>,
    usual_before: &mut f64,
) -> BTreeMap<u32, f64> {
    let arrivals = memory.arrivals.0 * (-(now - memory.arrivals.1) / ARRIVAL_MS).exp() + 1.0;
    let seen = (now - memory.started_at.unwrap_or(now)).max(1.0);
    let arrival_rate = arrivals / (ARRIVAL_MS * (1.0 - (-seen / ARRIVAL_MS).exp()));
    let work = rate(memory.class_time[0]).or(rate(memory.mean_work)).unwrap_or(AIM_MS);
    let keep = 1.0 - 1.0 / ARRIVALS_REMEMBERED;
    let mean_work = (memory.mean_work.0 * keep + work) / (memory.mean_work.1 * keep + 1.0);
    let kind = memory.kinds.iter().find(|kind| rate(kind.speed).is_some());
    let usual = kind.and_then(|kind| rate(kind.speed)).or(rate(memory.all_speed)).unwrap_or(1.0);
    let speed = |worker: &LearnedWorker, usual: f64| {
        let prior = PRIOR_JOBS * mean_work;
        (worker.speed.0 + prior) / (worker.speed.1 + prior / usual)
    };
    let before = std::mem::replace(usual_before, usual);
    let able = memory.workers.iter().filter(|worker| !is_full(counts, worker.id));
    let speeds = able.map(|worker| speed(worker, before) / mean_work);
    let fastest = speeds.fold(arrival_rate, f64::max);
    let step = STEP_SHARE / fastest;
    let index = |worker: &LearnedWorker| {
        let q = (speed(worker, usual) / mean_work * step).min(1.0);
        let n = counts.get(&worker.id).copied().unwrap_or(0.0) / f64::from(CAPACITY);
        (worker.id, whittle_index(arrival_rate * step, q, n))
    };
    memory.workers.iter().map(index).collect()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive,
    /// The oldest message that is out at this worker succeeds.
    Finish(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let finish = (1..=WORKERS).prop_map(Step::Finish);
    proptest::collection::vec(prop_oneof![3 => Just(Step::Arrive), 2 => finish], 1..120)
}

fn entries() -> Vec<WorkerEntry> {
    (1..=WORKERS).map(|number| WorkerEntry { capacity: CAPACITY, ..worker(number) }).collect()
}

/// Workers in the order of the list, as they are numbered.
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
        // No attempt is given up here.
        fixture.routes(vec![Route { prefix: "/a", service: LISTED, timeout_ms: 600_000 }]);
        fixture.workers(entries());
        let mut out: BTreeMap<u32, VecDeque<AttemptId>> = BTreeMap::new();
        let mut usual = 1.0;
        for (unique, step) in steps.into_iter().enumerate() {
            fixture.pass(gap);
            match step {
                Step::Arrive => {
                    // Estimates are renewed with the list: then what is seen here is what decides.
                    fixture.workers(entries());
                    let counts: BTreeMap<u32, f64> =
                        out.iter().map(|(number, out)| (*number, out.len() as f64)).collect();
                    if out.values().map(VecDeque::len).sum::<usize>() >= usize::from(WORKERS) * 2 * CAPACITY as usize {
                        continue;
                    }
                    let memory = fixture.delivery.learned_state(LISTED).unwrap();
                    let indices = indices(&memory, fixture.now as f64, &counts, &mut usual);
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
                    let elapsed_ms = 40 * slowness[usize::from(worker) - 1];
                    let whole = Answer { signature: Some("s".into()), elapsed_ms, ..answer(200) };
                    fixture.end(attempt, AttemptResult::Answer(whole));
                }
            }
        }
    }
}

#[test]
fn a_slow_worker_holds_fewer_messages() {
    let mut fixture = Fixture::new(2);
    let mut held = [0u32; 2];
    for unique in 0..200 {
        let sent = fixture.send(unique, 1, "/a");
        let slow = sent.worker.address == worker(2).address;
        held[usize::from(slow)] += 1;
        fixture.now += 10;
        let elapsed_ms = if slow { 400 } else { 40 };
        let whole = Answer { signature: Some("s".into()), elapsed_ms, ..answer(200) };
        fixture.end(sent.attempt, AttemptResult::Answer(whole));
    }
    assert!(held[0] > 3 * held[1], "{held:?}");
}
