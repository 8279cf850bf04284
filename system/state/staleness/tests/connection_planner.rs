//! Which core machines a process connects to when machines reject it, are unresponsive, recover or shut down.

use millrudder_clock::Instant;
use millrudder_staleness::{
    ConnectionPlanner, ConnectionStep, CONFIRM_TIMEOUT, CONNECT_TIMEOUT, INITIAL_BACKOFF, MAX_BACKOFF,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);

fn core(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// A process that opens and closes connections as its planner requests.
struct Process {
    planner: ConnectionPlanner,
    now: Instant,
    connections: BTreeSet<SocketAddr>,
    opened: usize,
}

impl Process {
    fn with(max_connections: usize, machines: u16) -> Process {
        let mut planner = ConnectionPlanner::new(max_connections, 0);
        for number in 1..=machines {
            planner.add_address(core(number));
        }
        let mut process = Process { planner, now: Instant::ORIGIN, connections: BTreeSet::new(), opened: 0 };
        process.poll();
        process
    }

    /// Creates a process whose connected machines have all confirmed their state.
    fn confirmed(max_connections: usize, machines: u16) -> Process {
        let mut process = Process::with(max_connections, machines);
        for address in process.connections.clone() {
            process.planner.handle_opened(process.now, address);
            process.planner.handle_confirmation(process.now, address, process.now);
        }
        process
    }

    fn poll(&mut self) {
        for step in self.planner.poll(self.now) {
            match step {
                ConnectionStep::Close(address) => assert!(self.connections.remove(&address)),
                ConnectionStep::Open(address) => {
                    assert!(self.connections.insert(address));
                    self.opened += 1;
                }
            }
        }
    }

    /// Advances the time by `span` in small steps. In each step, `report` is called for every connected machine.
    fn advance(&mut self, span: Duration, report: impl Fn(&mut ConnectionPlanner, Instant, SocketAddr)) {
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.now += STEP;
            for address in self.connections.clone() {
                report(&mut self.planner, self.now, address);
            }
            self.poll();
        }
    }

    fn unconnected_machine(&self, machines: u16) -> SocketAddr {
        (1..=machines).map(core).find(|address| !self.connections.contains(address)).unwrap()
    }

    fn first_connected(&self) -> SocketAddr {
        *self.connections.first().unwrap()
    }
}

#[test]
fn connections_are_bounded_by_the_maximum_and_by_the_machines() {
    assert_eq!(Process::with(2, 3).connections.len(), 2);
    assert_eq!(Process::with(usize::MAX, 3).connections.len(), 3);
    assert_eq!(Process::with(2, 1).connections.len(), 1);
}

#[test]
fn a_machine_without_a_quorum_is_replaced_at_once() {
    let mut process = Process::confirmed(2, 3);
    let (without_quorum, spare) = (process.first_connected(), process.unconnected_machine(3));
    process.planner.handle_rejection(process.now, without_quorum);
    process.poll();
    assert!(!process.connections.contains(&without_quorum));
    assert!(process.connections.contains(&spare));
}

#[test]
fn a_replaced_machine_is_not_retried_before_its_backoff_is_over() {
    let mut process = Process::confirmed(2, 3);
    let (first, second) = (process.first_connected(), process.unconnected_machine(3));
    process.planner.handle_rejection(process.now, first);
    process.poll();
    process.planner.handle_rejection(process.now, second);
    process.poll();
    assert!(process.connections.contains(&second), "no other machine is available");
    process.now += INITIAL_BACKOFF;
    process.poll();
    assert!(process.connections.contains(&first));
    assert!(!process.connections.contains(&second));
}

#[test]
fn an_unresponsive_machine_is_replaced() {
    let mut process = Process::confirmed(2, 3);
    let (unresponsive, spare) = (process.first_connected(), process.unconnected_machine(3));
    process.advance(CONFIRM_TIMEOUT, |planner, now, address| {
        if address != unresponsive {
            planner.handle_confirmation(now, address, now);
        }
    });
    assert!(!process.connections.contains(&unresponsive));
    assert!(process.connections.contains(&spare));
}

#[test]
fn a_machine_that_cannot_be_reached_is_replaced() {
    let mut process = Process::with(1, 2);
    let unreachable = process.first_connected();
    process.advance(CONNECT_TIMEOUT, |_, _, _| {});
    assert!(!process.connections.contains(&unreachable));
}

#[test]
fn without_another_machine_no_connection_is_closed() {
    let mut process = Process::confirmed(usize::MAX, 3);
    process.advance(Duration::from_millis(20_000), |planner, now, address| {
        planner.handle_rejection(now, address)
    });
    assert_eq!(process.connections.len(), 3);
    assert_eq!(process.opened, 3);
}

#[test]
fn while_no_machine_has_a_quorum_attempts_are_bounded_by_backoff() {
    let mut process = Process::confirmed(2, 3);
    let opened = process.opened;
    process.advance(Duration::from_millis(20_000), |planner, now, address| {
        planner.handle_rejection(now, address)
    });
    let attempts = process.opened - opened;
    // A replaced machine backs off. With three machines and two connections, only one is backing off at a time.
    let max_attempts = (20_000 / MAX_BACKOFF.as_millis() as usize) * 2 + 4;
    assert!(attempts <= max_attempts, "{attempts} connections were opened");
    assert!(attempts >= 8, "only {attempts} connections were opened");
}

#[test]
fn a_machine_that_has_a_quorum_again_keeps_its_connection() {
    let mut process = Process::confirmed(2, 3);
    process
        .advance(Duration::from_millis(6000), |planner, now, address| planner.handle_rejection(now, address));
    process.advance(Duration::from_millis(3000), |planner, now, address| {
        planner.handle_confirmation(now, address, now)
    });
    let (kept, opened) = (process.connections.clone(), process.opened);
    assert!(process.planner.has_confirmed_connection());
    process.advance(Duration::from_millis(5000), |planner, now, address| {
        planner.handle_confirmation(now, address, now)
    });
    assert_eq!((process.connections, process.opened), (kept, opened));
}

#[test]
fn a_machine_that_redirects_and_closes_is_replaced_by_the_next_one() {
    let mut process = Process::confirmed(2, 3);
    let (shutting_down, spare) = (process.first_connected(), process.unconnected_machine(3));
    process.planner.handle_rejection(process.now, shutting_down);
    process.planner.handle_closed(process.now, shutting_down);
    process.poll();
    assert!(process.connections.contains(&spare) && !process.connections.contains(&shutting_down));
}

#[test]
fn the_timeout_restarts_when_a_connection_reopens() {
    let mut process = Process::confirmed(2, 3);
    let address = process.first_connected();
    process.planner.handle_closed(process.now, address);
    process.now += Duration::from_millis(900);
    process.planner.handle_opened(process.now, address);
    process.now += Duration::from_millis(900);
    for other in process.connections.clone() {
        if other != address {
            process.planner.handle_confirmation(process.now, other, process.now);
        }
    }
    process.poll();
    assert!(process.connections.contains(&address));
}

#[test]
fn a_process_that_was_paused_keeps_its_connections() {
    let mut process = Process::confirmed(2, 3);
    let before = process.connections.clone();
    process.now += Duration::from_millis(20_000);
    process.poll();
    assert_eq!(process.connections, before);
}

/// A confirmation of a check that was sent long ago, for instance before a pause, does not show that the machine's
/// state is current now.
#[test]
fn an_outdated_confirmation_does_not_keep_a_connection() {
    let mut process = Process::confirmed(2, 3);
    let unresponsive = process.first_connected();
    process.advance(CONFIRM_TIMEOUT, |planner, now, address| {
        let sent_at = if address == unresponsive { Instant::ORIGIN } else { now };
        planner.handle_confirmation(now, address, sent_at);
    });
    process.advance(CONFIRM_TIMEOUT, |planner, now, address| {
        let sent_at = if address == unresponsive { Instant::ORIGIN } else { now };
        planner.handle_confirmation(now, address, sent_at);
    });
    assert!(!process.connections.contains(&unresponsive));
}
