//! What a core machine sends to its registrants, with and without contact with a quorum.

use millrudder_clock::Instant;
use millrudder_staleness::{
    ConnectionId, Input, Output, ReadBarrier, ReadNumber, RegistrantKind, RegistrantTime, StatePart,
    StateVersions, WorkerListVersion, CONFIRM_INTERVAL, MAX_CONFIRMATION_AGE,
};
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);

const FIRST: ConnectionId = ConnectionId(1);
const SECOND: ConnectionId = ConnectionId(2);

fn versions(configuration_version: u64, placement_epoch: u64) -> StateVersions {
    StateVersions { configuration_version, placement_epoch, workers: WorkerListVersion::default() }
}

/// A core machine: its barrier, its clock and whether it has contact with a quorum.
struct Machine {
    barrier: ReadBarrier,
    now: Instant,
    has_contact: bool,
}

impl Machine {
    fn with(state: StateVersions) -> Machine {
        Machine { barrier: ReadBarrier::new(state), now: Instant::from_millis(10_000), has_contact: true }
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.barrier.handle(self.now, self.has_contact, input, &mut outputs);
        outputs
    }

    fn register(
        &mut self,
        connection: ConnectionId,
        kind: RegistrantKind,
        versions: StateVersions,
    ) -> Vec<Output> {
        self.handle(Input::Registered { connection, kind, versions })
    }

    /// Handles a check that a registrant sends now. In this test, its clock is that of the machine.
    fn check_staleness(&mut self, connection: ConnectionId) -> Vec<Output> {
        self.handle(Input::StalenessCheck { connection, sent_at: RegistrantTime(self.now.as_millis()) })
    }

    fn tick_after(&mut self, span: Duration) -> Vec<Output> {
        self.now += span;
        self.handle(Input::Tick)
    }

    /// Completes the read that `outputs` starts.
    fn confirm(&mut self, outputs: &[Output]) -> Vec<Output> {
        let read = started(outputs).expect("no read was started");
        self.handle(Input::ReadCompleted { read })
    }

    /// Registers a registrant and completes the read that admits it.
    fn admit(&mut self, connection: ConnectionId, kind: RegistrantKind) -> Vec<Output> {
        let outputs = self.register(connection, kind, StateVersions::default());
        self.confirm(&outputs)
    }
}

fn started(outputs: &[Output]) -> Option<ReadNumber> {
    outputs.iter().find_map(|output| match output {
        Output::StartRead { read } => Some(*read),
        _ => None,
    })
}

fn sent(outputs: &[Output], connection: ConnectionId) -> Vec<StatePart> {
    let sent = outputs.iter().filter_map(|output| match output {
        Output::Send { connection: to, part } if *to == connection => Some(*part),
        _ => None,
    });
    sent.collect()
}

/// All outputs that go to registrants.
fn sent_to_registrants(outputs: &[Output]) -> Vec<Output> {
    let is_read = |output: &&Output| matches!(output, Output::StartRead { .. } | Output::AbandonRead { .. });
    outputs.iter().filter(|output| !is_read(output)).copied().collect()
}

fn confirmed_check(outputs: &[Output], connection: ConnectionId) -> Option<RegistrantTime> {
    outputs.iter().find_map(|output| match output {
        Output::Confirm { connection: to, sent_at } if *to == connection => Some(*sent_at),
        _ => None,
    })
}

#[test]
fn nothing_is_sent_before_a_quorum_confirms() {
    let mut machine = Machine::with(versions(5, 2));
    let outputs = machine.register(FIRST, RegistrantKind::Store, StateVersions::default());
    assert_eq!(sent(&outputs, FIRST), vec![]);
    assert_eq!(confirmed_check(&outputs, FIRST), None);
    machine.now += 7 * MILLISECOND;
    let outputs = machine.confirm(&outputs);
    assert_eq!(sent(&outputs, FIRST), vec![StatePart::Configuration, StatePart::Placement]);
}

#[test]
fn only_a_read_that_began_after_a_check_confirms_it() {
    let mut machine = Machine::with(versions(5, 2));
    let first = machine.register(FIRST, RegistrantKind::Store, StateVersions::default());
    let sent_at = RegistrantTime(machine.now.as_millis());
    assert_eq!(machine.check_staleness(FIRST), vec![]);
    machine.now += 7 * MILLISECOND;
    let outputs = machine.confirm(&first);
    assert_eq!(confirmed_check(&outputs, FIRST), None);
    // The next read starts immediately for the first check, rather than at the usual interval.
    machine.now += 7 * MILLISECOND;
    let outputs = machine.confirm(&outputs);
    assert_eq!(confirmed_check(&outputs, FIRST), Some(sent_at));
    let outputs = machine.tick_after(CONFIRM_INTERVAL);
    let outputs = machine.confirm(&outputs);
    assert_eq!(confirmed_check(&outputs, FIRST), None, "the check was already confirmed");
}

#[test]
fn a_partitioned_machine_notifies_registrants_and_sends_nothing() {
    let mut machine = Machine::with(versions(5, 2));
    machine.has_contact = false;
    let outputs = machine.register(FIRST, RegistrantKind::Dispatcher, StateVersions::default());
    assert_eq!(sent_to_registrants(&outputs), vec![Output::NoQuorum { connection: FIRST }]);
    assert_eq!(sent_to_registrants(&machine.handle(Input::StateChanged(versions(6, 2)))), vec![]);
    assert!(!machine.barrier.accepts_requests(machine.now));
}

#[test]
fn a_read_that_began_before_a_registration_does_not_admit_it() {
    let mut machine = Machine::with(versions(5, 2));
    let first = machine.register(FIRST, RegistrantKind::Store, StateVersions::default());
    assert_eq!(machine.register(SECOND, RegistrantKind::Store, StateVersions::default()), vec![]);
    let outputs = machine.confirm(&first);
    assert_eq!(sent(&outputs, SECOND), vec![]);
    assert_eq!(confirmed_check(&outputs, SECOND), None);
    // The next read starts immediately.
    let outputs = machine.confirm(&outputs);
    assert_eq!(sent(&outputs, SECOND), vec![StatePart::Configuration, StatePart::Placement]);
}

#[test]
fn lost_contact_withdraws_all_admissions_until_a_new_read_completes() {
    let mut machine = Machine::with(versions(5, 2));
    machine.admit(FIRST, RegistrantKind::Dispatcher);
    machine.has_contact = false;
    let lost = machine.tick_after(50 * MILLISECOND);
    assert_eq!(sent_to_registrants(&lost), vec![Output::NoQuorum { connection: FIRST }]);
    assert!(!machine.barrier.accepts_requests(machine.now));
    assert_eq!(machine.handle(Input::StateChanged(versions(6, 2))), vec![]);
    assert_eq!(machine.tick_after(50 * MILLISECOND), vec![], "the registrant is notified only once");
    machine.has_contact = true;
    let outputs = machine.tick_after(50 * MILLISECOND);
    assert_eq!(sent_to_registrants(&outputs), vec![], "contact alone confirms nothing");
    let outputs = machine.confirm(&lost);
    assert_eq!(sent(&outputs, FIRST), vec![StatePart::Configuration]);
}

#[test]
fn a_read_that_began_before_contact_was_lost_confirms_nothing() {
    let mut machine = Machine::with(versions(5, 2));
    machine.admit(FIRST, RegistrantKind::Dispatcher);
    let in_flight = started(&machine.tick_after(CONFIRM_INTERVAL)).unwrap();
    machine.has_contact = false;
    let outputs = machine.tick_after(50 * MILLISECOND);
    assert!(outputs.contains(&Output::AbandonRead { read: in_flight }));
    machine.has_contact = true;
    assert_eq!(sent_to_registrants(&machine.handle(Input::ReadCompleted { read: in_flight })), vec![]);
}

/// A machine that has just started does not wait for the next heartbeats or for the next attempt of its read.
#[test]
fn the_first_connection_to_another_core_machine_restarts_the_read() {
    let mut machine = Machine::with(versions(5, 2));
    machine.has_contact = false;
    let lost = machine.register(FIRST, RegistrantKind::Store, StateVersions::default());
    let outputs = machine.handle(Input::PeerOpened);
    assert!(outputs.contains(&Output::AbandonRead { read: started(&lost).unwrap() }));
    let outputs = machine.confirm(&outputs);
    assert_eq!(sent(&outputs, FIRST), vec![StatePart::Configuration, StatePart::Placement]);
    assert!(machine.barrier.accepts_requests(machine.now));
    assert_eq!(
        machine.handle(Input::PeerOpened),
        vec![],
        "a machine that has a quorum does not restart reads"
    );
}

#[test]
fn a_confirmation_expires_without_a_new_read() {
    let mut machine = Machine::with(versions(5, 2));
    machine.admit(FIRST, RegistrantKind::Dispatcher);
    assert!(machine.barrier.accepts_requests(machine.now));
    let outputs = machine.tick_after(CONFIRM_INTERVAL);
    assert!(started(&outputs).is_some());
    // There is contact with the quorum, but the tail does not respond to the read.
    let outputs = machine.tick_after(MAX_CONFIRMATION_AGE - CONFIRM_INTERVAL);
    assert_eq!(outputs, vec![Output::NoQuorum { connection: FIRST }]);
    assert!(!machine.barrier.accepts_requests(machine.now));
}

#[test]
fn a_read_that_took_too_long_confirms_nothing() {
    let mut machine = Machine::with(versions(5, 2));
    let outputs = machine.register(FIRST, RegistrantKind::Store, StateVersions::default());
    let late = started(&outputs).unwrap();
    // The process was paused while an old confirmation was in its socket buffer.
    machine.now += MAX_CONFIRMATION_AGE;
    let outputs = machine.handle(Input::ReadCompleted { read: late });
    assert!(outputs.contains(&Output::AbandonRead { read: late }));
    assert_eq!(sent(&outputs, FIRST), vec![]);
    let outputs = machine.confirm(&outputs);
    assert_eq!(sent(&outputs, FIRST), vec![StatePart::Configuration, StatePart::Placement]);
}

#[test]
fn a_registrant_that_waits_too_long_is_notified_that_there_is_no_quorum() {
    let mut machine = Machine::with(versions(5, 2));
    machine.register(FIRST, RegistrantKind::Dispatcher, StateVersions::default());
    assert_eq!(machine.barrier.next_deadline(), Some(machine.now + MAX_CONFIRMATION_AGE));
    let outputs = machine.tick_after(MAX_CONFIRMATION_AGE);
    assert!(outputs.contains(&Output::NoQuorum { connection: FIRST }));
}

#[test]
fn only_newer_parts_are_sent() {
    let mut machine = Machine::with(versions(5, 2));
    let outputs = machine.register(FIRST, RegistrantKind::Store, versions(5, 1));
    let outputs = machine.confirm(&outputs);
    assert_eq!(sent(&outputs, FIRST), vec![StatePart::Placement]);
    machine.handle(Input::ControllerLease { is_held: true });
    let outputs = machine.handle(Input::StateChanged(versions(7, 2)));
    assert_eq!(sent(&outputs, FIRST), vec![StatePart::Configuration]);
    assert_eq!(machine.handle(Input::StateChanged(versions(7, 2))), vec![]);
}

#[test]
fn a_store_gets_later_configurations_from_the_holder_of_the_controllers_lease() {
    let mut machine = Machine::with(versions(5, 2));
    assert_eq!(
        sent(&machine.admit(FIRST, RegistrantKind::Store), FIRST),
        vec![StatePart::Configuration, StatePart::Placement]
    );
    let outputs = machine.handle(Input::StateChanged(versions(7, 3)));
    assert_eq!(
        sent(&outputs, FIRST),
        vec![StatePart::Placement],
        "the holder of the lease sends the configuration"
    );
    let outputs = machine.tick_after(CONFIRM_INTERVAL);
    assert_eq!(sent(&machine.confirm(&outputs), FIRST), vec![]);
    machine.handle(Input::ControllerLease { is_held: true });
    let outputs = machine.tick_after(CONFIRM_INTERVAL);
    assert_eq!(
        sent(&machine.confirm(&outputs), FIRST),
        vec![StatePart::Configuration],
        "the store may have missed the configuration"
    );
    let outputs = machine.handle(Input::StateChanged(versions(8, 3)));
    assert_eq!(sent(&outputs, FIRST), vec![StatePart::Configuration]);
    machine.handle(Input::ControllerLease { is_held: false });
    assert_eq!(machine.handle(Input::StateChanged(versions(9, 3))), vec![]);
}

#[test]
fn a_dispatcher_gets_configurations_from_each_of_its_machines() {
    let mut machine = Machine::with(versions(5, 2));
    machine.admit(FIRST, RegistrantKind::Dispatcher);
    let outputs = machine.handle(Input::StateChanged(versions(7, 2)));
    assert_eq!(sent(&outputs, FIRST), vec![StatePart::Configuration]);
}

#[test]
fn lists_of_workers_are_sent_to_dispatchers_only() {
    let workers = WorkerListVersion { fencing: 4, number: 1 };
    let mut machine = Machine::with(StateVersions { workers, ..StateVersions::default() });
    let store = machine.admit(FIRST, RegistrantKind::Store);
    let dispatcher = machine.admit_after_read(SECOND, RegistrantKind::Dispatcher);
    assert_eq!(sent(&store, FIRST), vec![]);
    assert_eq!(sent(&dispatcher, SECOND), vec![StatePart::Workers]);
    let older = WorkerListVersion { fencing: 3, number: 9 };
    assert_eq!(
        machine.handle(Input::StateChanged(StateVersions { workers: older, ..StateVersions::default() })),
        vec![]
    );
}

impl Machine {
    /// Like `admit`, for a machine that has completed a read before: advances the clock by a millisecond first.
    fn admit_after_read(&mut self, connection: ConnectionId, kind: RegistrantKind) -> Vec<Output> {
        self.now += MILLISECOND;
        self.admit(connection, kind)
    }
}

#[test]
fn the_state_is_confirmed_at_an_interval() {
    let mut machine = Machine::with(versions(5, 2));
    machine.admit(FIRST, RegistrantKind::Dispatcher);
    let outputs = machine.check_staleness(FIRST);
    machine.confirm(&outputs);
    assert_eq!(machine.barrier.next_deadline(), Some(machine.now + CONFIRM_INTERVAL));
    for _ in 0..10 {
        assert!(started(&machine.tick_after(CONFIRM_INTERVAL - MILLISECOND)).is_none());
        machine.check_staleness(FIRST);
        let sent_at = RegistrantTime(machine.now.as_millis());
        let outputs = machine.tick_after(MILLISECOND);
        let outputs = machine.confirm(&outputs);
        assert_eq!(confirmed_check(&outputs, FIRST), Some(sent_at));
    }
}

#[test]
fn a_machine_that_shuts_down_redirects_all_registrants() {
    let mut machine = Machine::with(versions(5, 2));
    machine.admit(FIRST, RegistrantKind::Dispatcher);
    assert_eq!(machine.handle(Input::ShuttingDown), vec![Output::Redirect { connection: FIRST }]);
    let outputs = machine.register(SECOND, RegistrantKind::Store, StateVersions::default());
    assert_eq!(outputs, vec![Output::Redirect { connection: SECOND }]);
    assert!(!machine.barrier.accepts_requests(machine.now));
    assert_eq!(machine.barrier.next_deadline(), None);
}

/// Models the core: what it has committed, and what a machine that is partitioned at times has received.
struct Core {
    machine: Machine,
    rng: fastrand::Rng,
    committed: u64,
    received: u64,
    /// The read in flight, and the version that was committed when it began.
    read: Option<(ReadNumber, u64)>,
    /// The version that was committed when each connection registered, which is the lowest that may be sent to it.
    minimum_versions: Vec<(ConnectionId, u64)>,
    /// The committed version over time.
    history: Vec<(Instant, u64)>,
    next_connection: u64,
    confirmations: u64,
}

impl Core {
    fn new(seed: u64) -> Core {
        Core {
            machine: Machine::with(versions(1, 0)),
            rng: fastrand::Rng::with_seed(seed),
            committed: 1,
            received: 1,
            read: None,
            minimum_versions: Vec::new(),
            history: vec![(Instant::ORIGIN, 1)],
            next_connection: 0,
            confirmations: 0,
        }
    }

    fn step(&mut self) {
        self.machine.now += Duration::from_millis(self.rng.u64(1..200));
        let outputs = match self.rng.u32(0..10) {
            0 => {
                self.machine.has_contact = !self.machine.has_contact;
                self.machine.handle(Input::Tick)
            }
            1 | 2 => {
                self.committed += 1;
                self.history.push((self.machine.now, self.committed));
                vec![]
            }
            3 | 4 if self.machine.has_contact => {
                self.received = self.committed;
                self.machine.handle(Input::StateChanged(versions(self.received, 0)))
            }
            5 => self.register(),
            6 | 7 => self.end_read(),
            8 => self.check_staleness(),
            9 if self.rng.u32(0..5) == 0 => {
                self.machine.now += 5000 * MILLISECOND;
                self.machine.handle(Input::Tick)
            }
            _ => self.machine.handle(Input::Tick),
        };
        self.check(&outputs);
    }

    fn register(&mut self) -> Vec<Output> {
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        self.minimum_versions.push((connection, self.committed));
        self.machine.register(connection, RegistrantKind::Dispatcher, StateVersions::default())
    }

    fn check_staleness(&mut self) -> Vec<Output> {
        let connection = ConnectionId(self.rng.u64(0..=self.next_connection));
        self.machine.check_staleness(connection)
    }

    /// Completes the read in flight if the machine has received everything that was committed when it began.
    fn end_read(&mut self) -> Vec<Output> {
        match self.read.take_if(|(_, committed_at_start)| *committed_at_start <= self.received) {
            Some((read, _)) => self.machine.handle(Input::ReadCompleted { read }),
            None => vec![],
        }
    }

    fn check(&mut self, outputs: &[Output]) {
        for output in outputs {
            match output {
                Output::StartRead { read } => self.read = Some((*read, self.committed)),
                Output::Send { connection, .. } => self.check_sent(*connection),
                Output::Confirm { connection, sent_at } => {
                    self.check_sent(*connection);
                    self.check_confirmed(*sent_at);
                    self.confirmations += 1;
                }
                _ => {}
            }
        }
    }

    /// Checks that a registrant is sent nothing older than what was committed when it registered.
    fn check_sent(&self, connection: ConnectionId) {
        let minimum_versions = self
            .minimum_versions
            .iter()
            .find(|(registered, _)| *registered == connection)
            .map(|(_, version)| *version);
        assert!(
            Some(self.received) >= minimum_versions,
            "{connection:?} is sent version {}; {minimum_versions:?} was committed when it registered",
            self.received
        );
    }

    /// Checks that the confirmed state includes everything that was committed when the registrant sent its check.
    fn check_confirmed(&self, sent_at: RegistrantTime) {
        let committed = self.history.iter().rev().find(|(at, _)| at.as_millis() <= sent_at.0).unwrap().1;
        assert!(
            self.received >= committed,
            "version {} is confirmed, but {committed} was committed when the check was sent",
            self.received
        );
    }
}

#[test]
fn no_registrant_is_ever_sent_state_that_was_outdated_when_it_registered() {
    let mut confirmations = 0;
    for seed in 0..300 {
        let mut core = Core::new(seed);
        for _ in 0..400 {
            core.step();
        }
        confirmations += core.confirmations;
    }
    assert!(confirmations > 1000, "only {confirmations} confirmations were given");
}

#[test]
fn after_a_clock_stall_only_a_read_that_begins_later_confirms_anything() {
    let mut machine = Machine::with(versions(5, 2));
    machine.admit(FIRST, RegistrantKind::Dispatcher);
    let in_flight = started(&machine.tick_after(CONFIRM_INTERVAL)).unwrap();
    // Whether or not there is contact, the response to the old read may still be unread in a socket buffer.
    for contact in [true, false] {
        machine.has_contact = contact;
        let outputs = machine.handle(Input::ClockStalled);
        assert!(!machine.barrier.accepts_requests(machine.now));
        assert_eq!(sent_to_registrants(&machine.handle(Input::ReadCompleted { read: in_flight })), vec![]);
        assert!(started(&outputs).is_some_and(|later| later > in_flight), "a new read starts");
    }
}
