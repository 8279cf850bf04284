//! Bootstrapped worlds, explorations and random runs, and how a failure is reported.

use millrudder_control_state::ControlState;
use millrudder_simulation::control_machine::ControlMachine;
use millrudder_simulation::explore::{Exploration, ExplorationStart, Failure};
use millrudder_simulation::fault::{Fault, Trigger};
use millrudder_simulation::mechanism::{Mechanism, Mutant};
use millrudder_simulation::plan::Plan;
use millrudder_simulation::shrink::shrink;
use millrudder_simulation::violation::Violation;
use millrudder_simulation::world::World;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Random runs use this many threads, unless `SIMULATION_THREADS` sets another number.
pub const THREADS: usize = 4;
/// Number of worlds that runs start from.
const BOOTSTRAPPED_WORLDS: u64 = 8;
/// Steps within which the faults of random plans are injected.
const DRAWN_STEPS: u64 = 1_500;

/// A bootstrapped world of the default cluster size.
pub fn bootstrapped(seed: u64) -> World {
    World::<ControlState>::bootstrapped(Plan::without_faults(seed))
        .expect("a world without faults bootstraps")
}

/// Bootstrapped worlds that random runs start from.
pub fn bootstrapped_worlds() -> Vec<World> {
    (0..BOOTSTRAPPED_WORLDS).map(bootstrapped).collect()
}

/// The stride of explorations, unless the environment sets another.
pub fn stride(default: usize) -> usize {
    std::env::var("SIMULATION_STRIDE").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Seeds of the random runs, unless the environment sets others.
pub fn seeds(default: impl Iterator<Item = u64>) -> Vec<u64> {
    let Ok(text) = std::env::var("SIMULATION_SEEDS") else { return default.collect() };
    let (from, to) = text.split_once("..").expect("SIMULATION_SEEDS is from..to");
    let number = |text: &str| text.parse().expect("SIMULATION_SEEDS has two numbers");
    (number(from)..number(to)).collect()
}

/// Explores from a bootstrapped world.
pub fn explore(
    plan: &Plan,
    faults: Vec<Fault>,
    window: Duration,
    default_stride: usize,
) -> Result<(), Failure> {
    explore_from(&bootstrapped(plan.seed), plan, ExplorationStart::Immediate, faults, window, default_stride)
}

/// Explores from when the first disk that the plan loses is restored.
pub fn explore_after_repair(
    plan: &Plan,
    faults: Vec<Fault>,
    window: Duration,
    default_stride: usize,
) -> Result<(), Failure> {
    explore_from(
        &bootstrapped(plan.seed),
        plan,
        ExplorationStart::AfterDiskRestored,
        faults,
        window,
        default_stride,
    )
}

/// Explores from a world.
pub fn explore_from<M>(
    world: &World<M>,
    plan: &Plan,
    start: ExplorationStart,
    faults: Vec<Fault>,
    window: Duration,
    default_stride: usize,
) -> Result<(), Failure>
where
    M: ControlMachine + Send + Sync,
    World<M>: Send + Sync,
{
    let stride = stride(default_stride);
    let exploration = Exploration { faults, start, window, stride, threads: THREADS };
    let explored = exploration.explore(world, plan);
    println!("{} runs after {} steps", explored.runs, explored.steps);
    explored.failure.map_or(Ok(()), Err)
}

/// Runs a plan from one of the bootstrapped worlds.
pub fn play(worlds: &[World], plan: &Plan) -> Result<(), Violation> {
    let mut world = worlds[plan.seed as usize % worlds.len()].clone();
    world.resume(plan.clone());
    world.play()
}

/// Two or three of the faults at random steps.
pub fn random_plan(worlds: &[World], plan: &Plan, menu: &[Fault], seed: u64) -> Plan {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut plan = Plan { seed, ..plan.clone() };
    let first = worlds[seed as usize % worlds.len()].steps;
    for _ in 0..random.usize(2..=3) {
        let fault = menu[random.usize(0..menu.len())].clone();
        plan = plan.with(Trigger::Step(first + 1 + random.u64(0..DRAWN_STEPS)), fault);
    }
    plan
}

/// Runs the plan of each seed on several threads and prints each failure; returns the one of the lowest seed, shrunk.
pub fn play_seeds(
    worlds: &[World],
    seeds: Vec<u64>,
    plan_of: impl Fn(u64) -> Plan + Sync,
) -> Result<(), Failure> {
    let failures: Mutex<BTreeMap<u64, Failure>> = Mutex::new(BTreeMap::new());
    let threads = std::env::var("SIMULATION_THREADS").ok().and_then(|text| text.parse().ok());
    let threads: u64 = threads.unwrap_or(THREADS as u64);
    thread::scope(|scope| {
        for thread in 0..threads {
            let (seeds, plan_of, failures) = (&seeds, &plan_of, &failures);
            scope.spawn(move || {
                for seed in seeds.iter().copied().filter(|seed| seed % threads == thread) {
                    let plan = Box::new(plan_of(seed));
                    if let Err(violation) = play(worlds, &plan) {
                        println!("seed {seed}: {violation}");
                        let mut failures = failures.lock().expect("no thread panics");
                        failures.insert(seed, Failure { plan, violation });
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no thread panics");
    println!("{} of {} runs failed", failures.len(), seeds.len());
    let first = failures.into_values().next();
    first.map_or(Ok(()), |failure| Err(shrink(failure, |plan| play(worlds, plan))))
}

/// Fails the test with what is needed to reproduce the failure.
pub fn expect_no_violation(result: Result<(), Failure>) {
    if let Err(Failure { plan, violation }) = result {
        panic!("{violation}\n{plan}");
    }
}

/// Checks that a scenario failed without one of its mechanisms; returns the violation.
pub fn expect_violation(result: Result<(), Failure>, mechanism: Mechanism) -> Violation {
    match result {
        Err(failure) => {
            println!("without {mechanism:?}: {}", failure.violation);
            failure.violation
        }
        Ok(()) => panic!("the scenario does not detect that {mechanism:?} is disabled"),
    }
}

/// The plan with a mechanism disabled.
pub fn without(plan: &Plan, mechanism: Mechanism) -> Plan {
    plan.clone().with_mutant(Mutant::without(mechanism))
}
