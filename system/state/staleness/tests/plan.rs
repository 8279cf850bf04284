//! Which core machines a process is connected to, whatever these say and do not say.

use millrudder_staleness::{
    ConnectionPlanner, ConnectionStep, CONFIRM_TIMEOUT_MS, CONNECT_TIMEOUT_MS, INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn core(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// A process that is connected to what its plan asks for.
struct Process {
    plan: ConnectionPlanner,
    now: u64,
    links: BTreeSet<SocketAddr>,
    opened: usize,
}

impl Process {
    fn with(most: usize, machines: u16) -> Process {
        let mut plan = ConnectionPlanner::new(most, 0);
        for number in 1..=machines {
            plan.know(core(number));
        }
        let mut process = Process { plan, now: 0, links: BTreeSet::new(), opened: 0 };
        process.poll();
        process
    }

    /// One with connections to machines that all vouch.
    fn served(most: usize, machines: u16) -> Process {
        let mut process = Process::with(most, machines);
        for address in process.links.clone() {
            process.plan.opened(process.now, address);
            process.plan.vouched(process.now, address, process.now);
        }
        process
    }

    fn poll(&mut self) {
        for step in self.plan.poll(self.now) {
            match step {
                ConnectionStep::Close(address) => assert!(self.links.remove(&address)),
                ConnectionStep::Open(address) => {
                    assert!(self.links.insert(address));
                    self.opened += 1;
                }
            }
        }
    }

    /// Time passes in small steps, in which the machines that are not silent say what they do.
    fn pass(&mut self, millis: u64, says: impl Fn(&mut ConnectionPlanner, u64, SocketAddr)) {
        for _ in 0..millis / 100 {
            self.now += 100;
            for address in self.links.clone() {
                says(&mut self.plan, self.now, address);
            }
            self.poll();
        }
    }

    fn spare(&self, machines: u16) -> SocketAddr {
        (1..=machines).map(core).find(|address| !self.links.contains(address)).unwrap()
    }

    fn first(&self) -> SocketAddr {
        *self.links.first().unwrap()
    }
}

#[test]
fn as_many_connections_as_wanted_and_no_more_than_machines() {
    assert_eq!(Process::with(2, 3).links.len(), 2);
    assert_eq!(Process::with(usize::MAX, 3).links.len(), 3);
    assert_eq!(Process::with(2, 1).links.len(), 1);
}

#[test]
fn a_machine_without_a_majority_is_left_at_once() {
    let mut process = Process::served(2, 3);
    let (cut_off, spare) = (process.first(), process.spare(3));
    process.plan.refused(process.now, cut_off);
    process.poll();
    assert!(!process.links.contains(&cut_off));
    assert!(process.links.contains(&spare));
}

#[test]
fn a_machine_that_was_left_is_not_tried_again_at_once() {
    let mut process = Process::served(2, 3);
    let (first, second) = (process.first(), process.spare(3));
    process.plan.refused(process.now, first);
    process.poll();
    process.plan.refused(process.now, second);
    process.poll();
    assert!(process.links.contains(&second), "there is no other machine");
    process.now += INITIAL_BACKOFF_MS;
    process.poll();
    assert!(process.links.contains(&first));
    assert!(!process.links.contains(&second));
}

#[test]
fn a_silent_machine_is_left() {
    let mut process = Process::served(2, 3);
    let (silent, spare) = (process.first(), process.spare(3));
    process.pass(CONFIRM_TIMEOUT_MS, |plan, now, address| {
        if address != silent {
            plan.vouched(now, address, now);
        }
    });
    assert!(!process.links.contains(&silent));
    assert!(process.links.contains(&spare));
}

#[test]
fn a_machine_that_cannot_be_reached_is_left() {
    let mut process = Process::with(1, 2);
    let dark = process.first();
    process.pass(CONNECT_TIMEOUT_MS, |_, _, _| {});
    assert!(!process.links.contains(&dark));
}

#[test]
fn without_another_machine_nothing_is_left() {
    let mut process = Process::served(usize::MAX, 3);
    process.pass(20_000, |plan, now, address| plan.refused(now, address));
    assert_eq!(process.links.len(), 3);
    assert_eq!(process.opened, 3);
}

#[test]
fn while_nobody_has_a_majority_the_machines_are_tried_now_and_then() {
    let mut process = Process::served(2, 3);
    let opened = process.opened;
    process.pass(20_000, |plan, now, address| plan.refused(now, address));
    let tries = process.opened - opened;
    // Each machine rests when it was left: three machines, one of them resting.
    let most = 20_000 / MAX_BACKOFF_MS as usize * 2 + 4;
    assert!(tries <= most, "{tries} connections were opened");
    assert!(tries >= 8, "only {tries} connections were opened");
}

#[test]
fn a_machine_that_has_a_majority_again_is_kept() {
    let mut process = Process::served(2, 3);
    process.pass(6000, |plan, now, address| plan.refused(now, address));
    process.pass(3000, |plan, now, address| plan.vouched(now, address, now));
    let (kept, opened) = (process.links.clone(), process.opened);
    assert!(process.plan.is_served());
    process.pass(5000, |plan, now, address| plan.vouched(now, address, now));
    assert_eq!((process.links, process.opened), (kept, opened));
}

#[test]
fn a_machine_that_sends_away_and_closes_is_replaced_by_the_next_one() {
    let mut process = Process::served(2, 3);
    let (ending, spare) = (process.first(), process.spare(3));
    process.plan.refused(process.now, ending);
    process.plan.closed(process.now, ending);
    process.poll();
    assert!(process.links.contains(&spare) && !process.links.contains(&ending));
}

#[test]
fn a_connection_that_opens_anew_gets_its_time_again() {
    let mut process = Process::served(2, 3);
    let address = process.first();
    process.plan.closed(process.now, address);
    process.now += 900;
    process.plan.opened(process.now, address);
    process.now += 900;
    for other in process.links.clone() {
        if other != address {
            process.plan.vouched(process.now, other, process.now);
        }
    }
    process.poll();
    assert!(process.links.contains(&address));
}

#[test]
fn a_process_that_stood_still_keeps_its_connections() {
    let mut process = Process::served(2, 3);
    let before = process.links.clone();
    process.now += 20_000;
    process.poll();
    assert_eq!(process.links, before);
}

/// What a machine said before the process stood still says nothing of now.
#[test]
fn a_confirmation_of_long_ago_does_not_keep_a_machine() {
    let mut process = Process::served(2, 3);
    let silent = process.first();
    process.pass(CONFIRM_TIMEOUT_MS, |plan, now, address| {
        let moment = if address == silent { 0 } else { now };
        plan.vouched(now, address, moment);
    });
    process.pass(CONFIRM_TIMEOUT_MS, |plan, now, address| {
        let moment = if address == silent { 0 } else { now };
        plan.vouched(now, address, moment);
    });
    assert!(!process.links.contains(&silent));
}
