//! A holder keeps its lease as long as a majority of the voters runs, whatever they granted to candidates that got no
//! majority.

use millrudder_clock::Instant;
use millrudder_lease::{
    Holder, HolderId, LeaseAnswer, LeaseConfig, LeaseRequest, Role, Voter, VoterId, VoterState,
};

const MACHINES: usize = 3;
const MAJORITY: usize = 2;
/// Step of the clock, in microseconds.
const STEP_MICROS: u64 = 1_000;

/// Returns the clock reading `micros` microseconds after the origin.
fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

fn role() -> Role {
    Role("role".to_owned())
}

/// A machine that is both voter and candidate.
struct Machine {
    voter: Voter,
    holder: Holder,
    is_running: bool,
}

/// Machines that compete for one role. A request to another machine arrives one clock step after it was sent. Requests to the
/// sending machine itself and all answers arrive without delay.
struct Cluster {
    config: LeaseConfig,
    machines: Vec<Machine>,
    /// Requests in flight: sender, receiver, request.
    requests: Vec<(usize, usize, LeaseRequest)>,
    step: u64,
}

impl Cluster {
    fn new() -> Cluster {
        let config = LeaseConfig::default();
        let machine = |number| {
            let mut voter = Voter::new(&config, VoterState::default(), Instant::ORIGIN);
            voter.skip_grace_period();
            Machine { voter, holder: candidate(&config, number as u64), is_running: true }
        };
        let machines = (0..MACHINES).map(machine).collect();
        Cluster { config, machines, requests: Vec::new(), step: 0 }
    }

    fn now(&self) -> u64 {
        self.step * STEP_MICROS
    }

    /// Restarts the process of a machine from the durable state of its voter.
    fn restart(&mut self, number: usize) {
        let now = self.now();
        let state = self.machines[number].voter.state().clone();
        let voter = Voter::new(&self.config, state, at(now));
        let holder = candidate(&self.config, 50 + number as u64);
        self.machines[number] = Machine { voter, holder, is_running: true };
    }

    fn run_for(&mut self, micros: u64) {
        for _ in 0..micros / STEP_MICROS {
            self.step += 1;
            self.run_step();
        }
    }

    fn run_step(&mut self) {
        let now = self.now();
        for (from, to, request) in std::mem::take(&mut self.requests) {
            self.deliver(now, from, to, &request);
        }
        for number in 0..MACHINES {
            if !self.machines[number].is_running {
                continue;
            }
            let Some(request) = self.machines[number].holder.poll(at(now)).request else { continue };
            self.deliver(now, number, number, &request);
            let others = (0..MACHINES).filter(|to| *to != number);
            self.requests.extend(others.map(|to| (number, to, request.clone())));
        }
    }

    fn deliver(&mut self, now: u64, from: usize, to: usize, request: &LeaseRequest) {
        if !self.machines[from].is_running || !self.machines[to].is_running {
            return;
        }
        let answer: LeaseAnswer =
            self.machines[to].voter.handle_request(at(now), HolderId(from as u64), request).answer;
        let _ = self.machines[from].holder.handle_answer(at(now), VoterId(to as u64), &answer);
    }

    fn holder(&self) -> Option<usize> {
        let now = self.now();
        (0..MACHINES).find(|number| {
            self.machines[*number].is_running && self.machines[*number].holder.is_held(at(now))
        })
    }
}

fn candidate(config: &LeaseConfig, seed: u64) -> Holder {
    let mut holder = Holder::new(config, role(), seed);
    holder.set_voters(MAJORITY, 1);
    holder
}

#[test]
fn a_lease_outlasts_the_restart_of_one_voter_and_the_loss_of_another() {
    let mut cluster = Cluster::new();
    let lease = cluster.config.duration.as_micros() as u64;
    cluster.run_for(10 * lease);
    let holder = cluster.holder().expect("one machine holds the role");
    let (restarted, stopped) = ((holder + 1) % MACHINES, (holder + 2) % MACHINES);
    cluster.restart(restarted);
    // The restarted machine competes for the role without success. Between two of its attempts its voter is free to grant
    // the holder's renewals.
    cluster.run_for(20 * lease);
    assert_eq!(cluster.holder(), Some(holder));
    cluster.machines[stopped].is_running = false;
    for _ in 0..50 {
        cluster.run_for(lease / 10);
        assert_eq!(cluster.holder(), Some(holder), "two of three voters are running");
    }
}

#[test]
fn a_token_granted_to_a_losing_candidate_is_not_granted_again() {
    let config = LeaseConfig::default();
    let lease = config.duration.as_micros() as u64;
    let mut voter = Voter::new(&config, VoterState::default(), Instant::ORIGIN);
    voter.skip_grace_period();
    let request = |fencing_token, is_renewal| LeaseRequest {
        role: role(),
        attempt: 1,
        fencing_token: millrudder_lease::FencingToken(fencing_token),
        is_renewal,
    };
    let is_granted = |answer: LeaseAnswer| matches!(answer, LeaseAnswer::Granted { .. });
    assert!(is_granted(voter.handle_request(Instant::ORIGIN, HolderId(2), &request(9, false)).answer));
    assert!(
        !is_granted(voter.handle_request(at(lease - 1), HolderId(1), &request(1, true)).answer),
        "the voter is bound to the other candidate"
    );
    assert!(
        is_granted(voter.handle_request(at(lease), HolderId(1), &request(1, true)).answer),
        "the renewal is granted after the other candidate's grant expired"
    );
    assert!(!is_granted(voter.handle_request(at(3 * lease), HolderId(3), &request(9, false)).answer));
    assert!(is_granted(voter.handle_request(at(3 * lease), HolderId(3), &request(10, false)).answer));
}

/// A core machine's lease was lost for 570 ms when a machine that did not hold the lease lost power
/// (`docs/design/control/days.md`). The cause was not found. The hypothesis tested here: the machine that lost power had
/// just voted for the holder, and the holder's other vote was bound to a competing candidate.
#[test]
fn a_lease_outlasts_the_loss_of_another_machine_at_any_moment() {
    let lease = LeaseConfig::default().duration.as_micros() as u64;
    for delay_micros in (0..3 * lease).step_by(10_000) {
        for offset in 1..MACHINES {
            let mut cluster = Cluster::new();
            while cluster.holder().is_none() {
                cluster.run_for(STEP_MICROS);
            }
            cluster.run_for(delay_micros);
            let holder = cluster.holder().expect("the holder keeps the role while all machines run");
            cluster.machines[(holder + offset) % MACHINES].is_running = false;
            for _ in 0..40 {
                cluster.run_for(lease / 10);
                let held = cluster.holder();
                assert_eq!(
                    held,
                    Some(holder),
                    "stopped {delay_micros} us after the lease began: the machine {offset} after the holder"
                );
            }
        }
    }
}
