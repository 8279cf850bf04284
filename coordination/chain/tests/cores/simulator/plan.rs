//! Plans for simulation runs, generated from a seed: core size, network and faults over time.

use super::faults::Fault;
use super::network::NetworkFaults;

/// A fault scheduled at a time (microseconds).
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub at: u64,
    /// Whether the fault is injected directly after the first acknowledgement from `at` on, instead of at `at`.
    pub after_acknowledgement: bool,
    pub fault: Fault,
}

/// Parameters of one simulation run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub machines: usize,
    pub minimum_members: usize,
    pub network: NetworkFaults,
    pub faults: Vec<PlannedFault>,
    /// Time after which no fault is injected (microseconds).
    pub faults_end_at: u64,
    /// Range of the pause between two client requests, in microseconds.
    pub client_pause: std::ops::Range<u64>,
    /// Committed commands that a node retains in memory.
    pub retained_entries: usize,
    /// Bytes of entries or of a snapshot in one message.
    pub batch_bytes: usize,
}

/// Range of the pause between client requests under light load, in microseconds.
const CLIENT_MICROS: std::ops::Range<u64> = 5_000..100_000;
/// Small, so that snapshots are often needed.
const RETAINED_ENTRIES: usize = 20;
/// Small, so that snapshots are sent in many chunks.
const BATCH_BYTES: usize = 1 << 10;

/// Time of the first fault in microseconds, when the bootstrap can have completed.
const FIRST_FAULT_MICROS: u64 = 2_000_000;

/// Time, in microseconds, for which a machine counts as failed after its return. A disk is destroyed only while no
/// machine counts as failed.
const CATCH_UP_MICROS: u64 = 4_500_000;

/// Time, in microseconds, within which a fault that waits for an acknowledgement is usually injected.
const ACKNOWLEDGED_WITHIN_MICROS: u64 = 200_000;

impl Plan {
    /// Three machines on a network without faults, with one fault of a machine.
    pub fn with_fault(seed: u64, at: u64, fault: Fault) -> Plan {
        let network = NetworkFaults { loss: 0.0, duplicated: 0.0, delayed: 0.0 };
        let faults = vec![PlannedFault { at, after_acknowledgement: false, fault }];
        Plan {
            seed,
            machines: 3,
            minimum_members: 2,
            network,
            faults,
            faults_end_at: at,
            client_pause: CLIENT_MICROS,
            retained_entries: RETAINED_ENTRIES,
            batch_bytes: BATCH_BYTES,
        }
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, at: u64, fault: Fault) {
        self.faults.push(PlannedFault { at, after_acknowledgement: false, fault });
    }

    /// A random plan generated from a seed.
    pub fn drawn(seed: u64) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed);
        let machines = [3, 3, 3, 5][random.usize(0..4)];
        let faults_end_at = 11_000_000;
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT_MICROS + random.u64(0..1_000_000);
        let mut healthy_since = 0;
        loop {
            let fault = draw_fault(&mut random, machines);
            if fault.loses_disk() {
                at = at.max(healthy_since + CATCH_UP_MICROS);
            }
            if at >= faults_end_at {
                break;
            }
            let after_acknowledgement = fault.loses_writes() && random.bool();
            faults.push(PlannedFault { at, after_acknowledgement, fault });
            healthy_since = healthy_since.max(at + fault.micros() + ACKNOWLEDGED_WITHIN_MICROS);
            at += random.u64(100_000..3_000_000);
        }
        let network = NetworkFaults {
            loss: [0.0, 0.01, 0.05][random.usize(0..3)],
            duplicated: [0.0, 0.02][random.usize(0..2)],
            delayed: [0.0, 0.0, 0.005][random.usize(0..3)],
        };
        Plan {
            seed,
            machines,
            minimum_members: machines / 2 + 1,
            network,
            faults,
            faults_end_at,
            client_pause: CLIENT_MICROS,
            retained_entries: RETAINED_ENTRIES,
            batch_bytes: BATCH_BYTES,
        }
    }
}

impl Plan {
    /// A plan in which failures follow each other closely: disks are lost at random times if that is tolerated then,
    /// while machines are stopped, killed and partitioned.
    pub fn with_close_losses(seed: u64) -> Plan {
        let mut plan = Plan::drawn(seed);
        let mut random = fastrand::Rng::with_seed(seed ^ 0xc105e);
        plan.faults.retain(|planned| !planned.fault.loses_disk());
        for _ in 0..random.usize(2..6) {
            let machine = random.usize(0..plan.machines);
            let down_micros = random.u64(50_000..1_500_000);
            let at = random.u64(FIRST_FAULT_MICROS..plan.faults_end_at);
            plan.add_fault(at, Fault::WipeDiskIfTolerated { machine, down_micros });
        }
        plan
    }
}

impl Plan {
    /// A plan with further faults while the first view is formed: one machine is lost for good or loses its disk, and then
    /// others are killed, partitioned or slow.
    pub fn with_losses_in_the_first_start(seed: u64) -> Plan {
        let mut plan = Plan::drawn(seed);
        let mut random = fastrand::Rng::with_seed(seed ^ 0xf125);
        let lost = random.usize(0..plan.machines);
        let down_micros = [random.u64(50_000..1_500_000), plan.faults_end_at][random.usize(0..2)];
        let lost_at = random.u64(0..FIRST_FAULT_MICROS);
        let tolerated_again_at = lost_at + down_micros + CATCH_UP_MICROS;
        plan.faults.retain(|planned| !planned.fault.loses_disk() || planned.at >= tolerated_again_at);
        plan.add_fault(lost_at, Fault::WipeDisk { machine: lost, down_micros });
        for _ in 0..random.usize(0..3) {
            let fault = draw_fault(&mut random, plan.machines);
            if !fault.loses_disk() {
                plan.add_fault(random.u64(lost_at..FIRST_FAULT_MICROS), fault);
            }
        }
        plan
    }
}

fn draw_fault(random: &mut fastrand::Rng, machines: usize) -> Fault {
    let machine = random.usize(0..machines);
    let other = (machine + random.usize(1..machines)) % machines;
    let down_micros = random.u64(50_000..2_000_000);
    let micros = random.u64(20_000..2_500_000);
    match random.u32(0..14) {
        0 | 1 => Fault::Kill { machine, down_micros },
        2 => Fault::PowerLoss { machine, down_micros },
        3 => Fault::KillAll { down_micros },
        4 => Fault::PowerLossOfAll { down_micros },
        5 if machines > 3 => Fault::WipeTwoDisks { machines: [machine, other], down_micros },
        5 => Fault::WipeDisk { machine, down_micros },
        6 => Fault::WipeDiskWithPowerLossOfOthers { machine, down_micros },
        7 | 8 => Fault::Freeze { machine, micros },
        9 => Fault::PartitionOneWay { from: machine, to: other, micros },
        10 => Fault::PartitionBothWays { one: machine, other, micros },
        11 => Fault::Isolate { machine, micros },
        12 => Fault::Stop { machine, down_micros },
        _ => Fault::SlowDisk { machine, micros },
    }
}
