//! What one run does: its size, its load, its network, and its faults, drawn from a seed or placed by a test.

use crate::fault::{Fault, PlannedFault, When};
use crate::mechanism::Mutant;
use crate::place::Place;
use crate::{MILLISECOND, SECOND};
use std::fmt;

/// Faults of a drawn plan begin within this time after the founding.
const FAULTS_WITHIN: u64 = 6 * SECOND;
/// Most faults of a drawn plan.
const MOST_FAULTS: usize = 6;
/// Fewest and most faults of a plan that is drawn harder, and within how long they begin.
const HARDER_FAULTS: std::ops::RangeInclusive<usize> = 3..=9;
const HARDER_WITHIN: u64 = 8 * SECOND;
/// A long cut, as machines on the users' days meet it.
const LONG_CUT: u64 = 20 * SECOND;

/// How many of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    pub cores: usize,
    pub stores: usize,
    pub dispatchers: usize,
    pub operators: usize,
    /// Machines with a disk of each kind that may be lost at one time.
    pub tolerated_losses: u32,
}

impl Default for Shape {
    fn default() -> Self {
        Shape { cores: 3, stores: 3, dispatchers: 2, operators: 2, tolerated_losses: 1 }
    }
}

/// How the network misbehaves all the time; shares of messages, answers or connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Noise {
    /// Messages between core machines that come twice.
    pub doubled: f64,
    /// Messages between core machines, and calls of operators, that are held up for up to two seconds.
    pub late: f64,
    /// Answers to operators that are lost.
    pub lost_answers: f64,
    /// Messages on a connection that has ended that arrive still.
    pub after_close: f64,
}

/// How much is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Longest pause of an operator between two orders (microseconds).
    pub operator_pace: u64,
    /// Pause of a dispatcher between two messages (microseconds).
    pub message_every: u64,
}

impl Default for Load {
    fn default() -> Self {
        Load { operator_pace: 400 * MILLISECOND, message_every: 150 * MILLISECOND }
    }
}

/// What one run does.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub shape: Shape,
    pub load: Load,
    pub noise: Noise,
    pub faults: Vec<PlannedFault>,
    pub mutant: Mutant,
    /// After the last fault's end everything must be well again within this time (microseconds).
    pub recovery: u64,
}

impl Plan {
    /// No faults.
    pub fn calm(seed: u64) -> Plan {
        Plan {
            seed,
            shape: Shape::default(),
            load: Load::default(),
            noise: Noise::default(),
            faults: Vec::new(),
            mutant: Mutant::default(),
            recovery: 15 * SECOND,
        }
    }

    /// One more fault.
    pub fn with(mut self, when: When, fault: Fault) -> Plan {
        self.faults.push(PlannedFault { when, fault });
        self
    }

    /// The same plan with a mechanism switched off.
    pub fn mutated(mut self, mutant: Mutant) -> Plan {
        self.mutant = mutant;
        self
    }

    /// A plan drawn from a seed, with more faults that overlap: halves, suspensions, slow disks, losses of power.
    pub fn drawn_harder(seed: u64, from: u64) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed ^ 0xface);
        let mut plan = Plan::drawn(seed, from);
        plan.faults.clear();
        let count = random.usize(HARDER_FAULTS);
        plan.draw_faults(&mut random, count, from..from + HARDER_WITHIN, draw_harder_fault);
        plan
    }

    fn draw_faults(
        &mut self,
        random: &mut fastrand::Rng,
        count: usize,
        within: std::ops::Range<u64>,
        draw: fn(&mut fastrand::Rng, &Shape) -> Fault,
    ) {
        for _ in 0..count {
            let fault = draw(random, &self.shape);
            let at = random.u64(within.clone());
            let when = if fault.takes_disk() && random.bool() { When::WhenWhole(at) } else { When::At(at) };
            self.faults.push(PlannedFault { when, fault });
        }
        self.faults.sort_by_key(|planned| planned.when);
    }

    /// A plan drawn from a seed. Faults strike at times after `from` (microseconds).
    pub fn drawn(seed: u64, from: u64) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut plan = Plan::calm(seed);
        plan.noise = Noise {
            doubled: [0.0, 0.02][random.usize(0..2)],
            late: [0.0, 0.0, 0.01][random.usize(0..3)],
            lost_answers: [0.0, 0.1, 0.5][random.usize(0..3)],
            after_close: [0.0, 0.5][random.usize(0..2)],
        };
        plan.load.operator_pace = [60, 400, 1_500][random.usize(0..3)] * MILLISECOND;
        let count = random.usize(1..=MOST_FAULTS);
        plan.draw_faults(&mut random, count, from..from + FAULTS_WITHIN, draw_fault);
        plan
    }
}

/// A fault of any kind at any machine.
pub fn draw_fault(random: &mut fastrand::Rng, shape: &Shape) -> Fault {
    let place = draw_place(random, shape);
    let disk = draw_disk(random, shape);
    let down = random.u64(50 * MILLISECOND..2 * SECOND);
    let micros = match random.u8(0..6) {
        0 => LONG_CUT,
        _ => random.u64(20 * MILLISECOND..3 * SECOND),
    };
    match random.u8(0..20) {
        0 | 1 => Fault::Kill { place, down },
        2 => Fault::PowerLoss { place, down },
        3 => Fault::PowerLossOfAll { down },
        4 | 5 => Fault::Wipe { place: disk, down },
        6 | 7 => Fault::Replace { place: disk, down },
        8 => Fault::Stop { place: disk, down },
        9 | 10 => Fault::Freeze { place, micros },
        11 => Fault::Suspend { place, micros },
        12 | 13 => Fault::Isolate { place, micros },
        14 => Fault::Split { places: draw_group(random, shape), micros },
        15 => Fault::CutOneWay { from: place, to: draw_place(random, shape), micros },
        16 => Fault::Mute { place, micros },
        17 => Fault::Reset { place },
        18 => Fault::SlowDisk { place: disk, micros },
        _ => Fault::LoseAnswers { micros: micros.min(2 * SECOND) },
    }
}

/// A fault of a kind that other draws bring seldom, or of any.
fn draw_harder_fault(random: &mut fastrand::Rng, shape: &Shape) -> Fault {
    let place = draw_place(random, shape);
    let disk = draw_disk(random, shape);
    let down = random.u64(50 * MILLISECOND..2 * SECOND);
    let micros = random.u64(100 * MILLISECOND..6 * SECOND);
    match random.u8(0..12) {
        0 | 1 => Fault::Halves { places: draw_half(random, shape), micros },
        2 | 3 => Fault::SlowDisk { place: disk, micros },
        4 => Fault::Suspend { place, micros },
        5 => Fault::PowerLossOfAll { down },
        6 => Fault::PowerLoss { place: disk, down },
        7 => Fault::Freeze { place, micros },
        8 => Fault::WipeInDarkness { place: disk, down },
        9 => Fault::Wipe { place: disk, down },
        _ => draw_fault(random, shape),
    }
}

/// Each machine with a disk on one side or the other.
fn draw_half(random: &mut fastrand::Rng, shape: &Shape) -> Vec<Place> {
    let cores = (0..shape.cores).map(Place::Core);
    let stores = (0..shape.stores).map(Place::Store);
    cores.chain(stores).filter(|_| random.bool()).collect()
}

fn draw_place(random: &mut fastrand::Rng, shape: &Shape) -> Place {
    match random.u8(0..5) {
        0 | 1 => Place::Core(random.usize(0..shape.cores)),
        2 | 3 => Place::Store(random.usize(0..shape.stores)),
        _ => Place::Dispatcher(random.usize(0..shape.dispatchers)),
    }
}

fn draw_disk(random: &mut fastrand::Rng, shape: &Shape) -> Place {
    match random.bool() {
        true => Place::Core(random.usize(0..shape.cores)),
        false => Place::Store(random.usize(0..shape.stores)),
    }
}

/// One core machine with some of the others: a zone that is cut off.
fn draw_group(random: &mut fastrand::Rng, shape: &Shape) -> Vec<Place> {
    let mut group = vec![Place::Core(random.usize(0..shape.cores))];
    if random.bool() {
        group.push(Place::Store(random.usize(0..shape.stores)));
    }
    if random.bool() {
        group.push(Place::Dispatcher(random.usize(0..shape.dispatchers)));
    }
    group
}

impl fmt::Display for Plan {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "seed {}, {:?}, {:?}", self.seed, self.load, self.noise)?;
        for planned in &self.faults {
            writeln!(out, "  {:?} {:?}", planned.when, planned.fault)?;
        }
        Ok(())
    }
}
