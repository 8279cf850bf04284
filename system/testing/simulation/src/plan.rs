//! The plan of one run: cluster size, load, network fault rates and faults, drawn from a seed or chosen by a test.

use crate::fault::{Fault, PlannedFault, Trigger};
use crate::machine_id::MachineId;
use crate::mechanism::Mutant;
use crate::random_time::random_duration;
use crate::{MILLISECOND, SECOND};
use millrudder_clock::Instant;
use std::fmt;
use std::time::Duration;

/// Faults of a random plan are injected within this time.
const FAULTS_WITHIN: Duration = Duration::from_secs(6);
/// Greatest number of faults of a random plan.
const MAX_FAULTS: usize = 6;
/// Number of faults of a random plan with overlapping faults.
const OVERLAPPING_FAULTS: std::ops::RangeInclusive<usize> = 3..=9;
/// Overlapping faults are injected within this time.
const OVERLAPPING_FAULTS_WITHIN: Duration = Duration::from_secs(8);
/// A long partition, as the users' deployments have them.
const LONG_PARTITION: Duration = Duration::from_secs(20);

/// The number of machines of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterSize {
    /// Core machines.
    pub cores: usize,
    /// Stores.
    pub stores: usize,
    /// Dispatchers.
    pub dispatchers: usize,
    /// Operators.
    pub operators: usize,
    /// Disks of each kind that may be lost at the same time.
    pub tolerated_losses: u32,
}

impl Default for ClusterSize {
    fn default() -> Self {
        ClusterSize { cores: 3, stores: 3, dispatchers: 2, operators: 2, tolerated_losses: 1 }
    }
}

/// Permanent fault rates of the network, as fractions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultRates {
    /// Messages between core machines that are duplicated.
    pub duplicated: f64,
    /// Messages between core machines, and calls of operators, that are delayed for up to two seconds.
    pub delayed: f64,
    /// Responses to operators that are lost.
    pub lost_responses: f64,
    /// Messages to dispatchers that arrive once more after their connection was closed.
    pub after_close: f64,
}

/// The load of operators and clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Longest pause of an operator between two requests.
    pub max_operator_pause: Duration,
    /// Pause of a dispatcher between two messages of its clients.
    pub message_interval: Duration,
}

impl Default for Load {
    fn default() -> Self {
        Load { max_operator_pause: 400 * MILLISECOND, message_interval: 150 * MILLISECOND }
    }
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of everything random.
    pub seed: u64,
    /// The number of machines.
    pub cluster_size: ClusterSize,
    /// The load.
    pub load: Load,
    /// Permanent fault rates of the network.
    pub fault_rates: FaultRates,
    /// The faults to inject.
    pub faults: Vec<PlannedFault>,
    /// Disabled mechanisms.
    pub mutant: Mutant,
    /// The system must have recovered within this time after the end of the last fault.
    pub recovery_timeout: Duration,
}

impl Plan {
    /// A plan without faults.
    pub fn without_faults(seed: u64) -> Plan {
        Plan {
            seed,
            cluster_size: ClusterSize::default(),
            load: Load::default(),
            fault_rates: FaultRates::default(),
            faults: Vec::new(),
            mutant: Mutant::default(),
            recovery_timeout: 15 * SECOND,
        }
    }

    /// Adds a fault.
    pub fn with(mut self, trigger: Trigger, fault: Fault) -> Plan {
        self.faults.push(PlannedFault { trigger, fault });
        self
    }

    /// Replaces the set of disabled mechanisms.
    pub fn with_mutant(mut self, mutant: Mutant) -> Plan {
        self.mutant = mutant;
        self
    }

    /// A random plan with more faults, which overlap: partitions, suspensions, slow disks, power losses.
    pub fn random_overlapping(seed: u64, from: Instant) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed ^ 0xface);
        let mut plan = Plan::random(seed, from);
        plan.faults.clear();
        let count = random.usize(OVERLAPPING_FAULTS);
        plan.add_random_faults(
            &mut random,
            count,
            from..from + OVERLAPPING_FAULTS_WITHIN,
            random_overlapping_fault,
        );
        plan
    }

    fn add_random_faults(
        &mut self,
        random: &mut fastrand::Rng,
        count: usize,
        within: std::ops::Range<Instant>,
        draw: fn(&mut fastrand::Rng, &ClusterSize) -> Fault,
    ) {
        for _ in 0..count {
            let fault = draw(random, &self.cluster_size);
            let at = within.start + random_duration(random, Duration::ZERO..within.end - within.start);
            let trigger =
                if fault.takes_disk() && random.bool() { Trigger::OnceComplete(at) } else { Trigger::At(at) };
            self.faults.push(PlannedFault { trigger, fault });
        }
        self.faults.sort_by_key(|planned| planned.trigger);
    }

    /// A random plan; its faults are injected after the true time `from`.
    pub fn random(seed: u64, from: Instant) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut plan = Plan::without_faults(seed);
        plan.fault_rates = FaultRates {
            duplicated: [0.0, 0.02][random.usize(0..2)],
            delayed: [0.0, 0.0, 0.01][random.usize(0..3)],
            lost_responses: [0.0, 0.1, 0.5][random.usize(0..3)],
            after_close: [0.0, 0.5][random.usize(0..2)],
        };
        plan.load.max_operator_pause = [60, 400, 1_500][random.usize(0..3)] * MILLISECOND;
        let count = random.usize(1..=MAX_FAULTS);
        plan.add_random_faults(&mut random, count, from..from + FAULTS_WITHIN, random_fault);
        plan
    }
}

/// A random fault at a random machine.
pub fn random_fault(random: &mut fastrand::Rng, cluster_size: &ClusterSize) -> Fault {
    let machine_id = random_machine(random, cluster_size);
    let disk = random_disk_machine(random, cluster_size);
    let downtime = random_duration(random, 50 * MILLISECOND..2 * SECOND);
    let duration = match random.u8(0..6) {
        0 => LONG_PARTITION,
        _ => random_duration(random, 20 * MILLISECOND..3 * SECOND),
    };
    match random.u8(0..20) {
        0 | 1 => Fault::Kill { machine_id, downtime },
        2 => Fault::PowerLoss { machine_id, downtime },
        3 => Fault::PowerLossOfAll { downtime },
        4 | 5 => Fault::Wipe { machine_id: disk, downtime },
        6 | 7 => Fault::Replace { machine_id: disk, downtime },
        8 => Fault::Shutdown { machine_id: disk, downtime },
        9 | 10 => Fault::Freeze { machine_id, duration },
        11 => Fault::Suspend { machine_id, duration },
        12 | 13 => Fault::Isolate { machine_id, duration },
        14 => Fault::Partition { machine_ids: random_zone(random, cluster_size), duration },
        15 => Fault::PartitionOneWay { from: machine_id, to: random_machine(random, cluster_size), duration },
        16 => Fault::BlockOutbound { machine_id, duration },
        17 => Fault::ResetConnections { machine_id },
        18 => Fault::SlowDisk { machine_id: disk, duration },
        _ => Fault::LoseResponses { duration: duration.min(2 * SECOND) },
    }
}

/// A random fault, often of a kind that [`random_fault`] seldom returns.
fn random_overlapping_fault(random: &mut fastrand::Rng, cluster_size: &ClusterSize) -> Fault {
    let machine_id = random_machine(random, cluster_size);
    let disk = random_disk_machine(random, cluster_size);
    let downtime = random_duration(random, 50 * MILLISECOND..2 * SECOND);
    let duration = random_duration(random, 100 * MILLISECOND..6 * SECOND);
    match random.u8(0..12) {
        0 | 1 => Fault::PartitionDisks { machine_ids: random_disk_group(random, cluster_size), duration },
        2 | 3 => Fault::SlowDisk { machine_id: disk, duration },
        4 => Fault::Suspend { machine_id, duration },
        5 => Fault::PowerLossOfAll { downtime },
        6 => Fault::PowerLoss { machine_id: disk, downtime },
        7 => Fault::Freeze { machine_id, duration },
        8 => Fault::WipeWithPowerLossOfOthers { machine_id: disk, downtime },
        9 => Fault::Wipe { machine_id: disk, downtime },
        _ => random_fault(random, cluster_size),
    }
}

/// A random side of a partition between the machines with disks.
fn random_disk_group(random: &mut fastrand::Rng, cluster_size: &ClusterSize) -> Vec<MachineId> {
    let cores = (0..cluster_size.cores).map(MachineId::Core);
    let stores = (0..cluster_size.stores).map(MachineId::Store);
    cores.chain(stores).filter(|_| random.bool()).collect()
}

fn random_machine(random: &mut fastrand::Rng, cluster_size: &ClusterSize) -> MachineId {
    match random.u8(0..5) {
        0 | 1 => MachineId::Core(random.usize(0..cluster_size.cores)),
        2 | 3 => MachineId::Store(random.usize(0..cluster_size.stores)),
        _ => MachineId::Dispatcher(random.usize(0..cluster_size.dispatchers)),
    }
}

fn random_disk_machine(random: &mut fastrand::Rng, cluster_size: &ClusterSize) -> MachineId {
    if random.bool() {
        MachineId::Core(random.usize(0..cluster_size.cores))
    } else {
        MachineId::Store(random.usize(0..cluster_size.stores))
    }
}

/// A random zone: a core machine, and possibly a store and a dispatcher.
fn random_zone(random: &mut fastrand::Rng, cluster_size: &ClusterSize) -> Vec<MachineId> {
    let mut group = vec![MachineId::Core(random.usize(0..cluster_size.cores))];
    if random.bool() {
        group.push(MachineId::Store(random.usize(0..cluster_size.stores)));
    }
    if random.bool() {
        group.push(MachineId::Dispatcher(random.usize(0..cluster_size.dispatchers)));
    }
    group
}

impl fmt::Display for Plan {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "seed {}, {:?}, {:?}", self.seed, self.load, self.fault_rates)?;
        for planned in &self.faults {
            writeln!(out, "  {:?} {:?}", planned.trigger, planned.fault)?;
        }
        Ok(())
    }
}
