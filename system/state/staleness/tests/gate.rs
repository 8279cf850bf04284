//! What a core machine tells its registrants, with and without contact with a majority.

use millrudder_staleness::{
    ConnectionId, Input, Kind, Output, ReadBarrier, ReadNumber, StatePart, StateVersions, WorkerListVersion,
    CONFIRM_INTERVAL_MS, MAX_CONFIRMATION_AGE_MS,
};

const FIRST: ConnectionId = ConnectionId(1);
const SECOND: ConnectionId = ConnectionId(2);

fn numbers(configuration_version: u64, placement_epoch: u64) -> StateVersions {
    StateVersions { configuration_version, placement_epoch, workers: WorkerListVersion::default() }
}

/// A gate with its clock, and whether it hears a majority.
struct Machine {
    gate: ReadBarrier,
    now: u64,
    contact: bool,
}

impl Machine {
    fn with(state: StateVersions) -> Machine {
        Machine { gate: ReadBarrier::new(state), now: 10_000, contact: true }
    }

    fn give(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.gate.handle(self.now, self.contact, input, &mut out);
        out
    }

    fn register(&mut self, connection: ConnectionId, kind: Kind, has: StateVersions) -> Vec<Output> {
        self.give(Input::Registered { connection, kind, has })
    }

    /// A registrant asks at this moment; its clock is the machine's here.
    fn ask(&mut self, connection: ConnectionId) -> Vec<Output> {
        self.give(Input::Asked { connection, moment: self.now })
    }

    fn tick_after(&mut self, millis: u64) -> Vec<Output> {
        self.now += millis;
        self.give(Input::Tick)
    }

    /// Ends the read that `out` starts.
    fn confirm(&mut self, out: &[Output]) -> Vec<Output> {
        let round = started(out).expect("no read was started");
        self.give(Input::ReadReady { round })
    }

    /// A dispatcher that is told everything.
    fn admit(&mut self, connection: ConnectionId, kind: Kind) -> Vec<Output> {
        let out = self.register(connection, kind, StateVersions::default());
        self.confirm(&out)
    }
}

fn started(out: &[Output]) -> Option<ReadNumber> {
    out.iter().find_map(|output| match output {
        Output::StartRead { round } => Some(*round),
        _ => None,
    })
}

fn told(out: &[Output], connection: ConnectionId) -> Vec<StatePart> {
    let told = out.iter().filter_map(|output| match output {
        Output::Tell { connection: to, part } if *to == connection => Some(*part),
        _ => None,
    });
    told.collect()
}

/// All that registrants hear.
fn said(out: &[Output]) -> Vec<Output> {
    let is_read = |output: &&Output| matches!(output, Output::StartRead { .. } | Output::AbandonRead { .. });
    out.iter().filter(|output| !is_read(output)).copied().collect()
}

fn vouched(out: &[Output], connection: ConnectionId) -> Option<u64> {
    out.iter().find_map(|output| match output {
        Output::Confirm { connection: to, moment } if *to == connection => Some(*moment),
        _ => None,
    })
}

#[test]
fn nothing_is_told_before_a_majority_confirms() {
    let mut machine = Machine::with(numbers(5, 2));
    let out = machine.register(FIRST, Kind::Store, StateVersions::default());
    assert_eq!(told(&out, FIRST), vec![]);
    assert_eq!(vouched(&out, FIRST), None);
    machine.now += 7;
    let out = machine.confirm(&out);
    assert_eq!(told(&out, FIRST), vec![StatePart::Configuration, StatePart::Placement]);
}

#[test]
fn only_a_read_that_began_after_a_question_answers_it() {
    let mut machine = Machine::with(numbers(5, 2));
    let first = machine.register(FIRST, Kind::Store, StateVersions::default());
    let asked_at = machine.now;
    assert_eq!(machine.ask(FIRST), vec![]);
    machine.now += 7;
    let out = machine.confirm(&first);
    assert_eq!(vouched(&out, FIRST), None);
    // The first question is not kept waiting for the next read that is due.
    machine.now += 7;
    let out = machine.confirm(&out);
    assert_eq!(vouched(&out, FIRST), Some(asked_at));
    let out = machine.tick_after(CONFIRM_INTERVAL_MS);
    let out = machine.confirm(&out);
    assert_eq!(vouched(&out, FIRST), None, "it was answered already");
}

#[test]
fn a_machine_that_is_cut_off_says_so_and_tells_nothing() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.contact = false;
    let out = machine.register(FIRST, Kind::Dispatcher, StateVersions::default());
    assert_eq!(said(&out), vec![Output::NoQuorum { connection: FIRST }]);
    assert_eq!(said(&machine.give(Input::State(numbers(6, 2)))), vec![]);
    assert!(!machine.gate.takes_orders(machine.now));
}

#[test]
fn a_read_that_began_before_a_registration_does_not_admit_it() {
    let mut machine = Machine::with(numbers(5, 2));
    let first = machine.register(FIRST, Kind::Store, StateVersions::default());
    assert_eq!(machine.register(SECOND, Kind::Store, StateVersions::default()), vec![]);
    let out = machine.confirm(&first);
    assert_eq!(told(&out, SECOND), vec![]);
    assert_eq!(vouched(&out, SECOND), None);
    // The next one starts at once.
    let out = machine.confirm(&out);
    assert_eq!(told(&out, SECOND), vec![StatePart::Configuration, StatePart::Placement]);
}

#[test]
fn lost_contact_takes_all_admissions_back_until_it_is_confirmed_anew() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.admit(FIRST, Kind::Dispatcher);
    machine.contact = false;
    let lost = machine.tick_after(50);
    assert_eq!(said(&lost), vec![Output::NoQuorum { connection: FIRST }]);
    assert!(!machine.gate.takes_orders(machine.now));
    assert_eq!(machine.give(Input::State(numbers(6, 2))), vec![]);
    assert_eq!(machine.tick_after(50), vec![], "said once");
    machine.contact = true;
    let out = machine.tick_after(50);
    assert_eq!(said(&out), vec![], "contact alone confirms nothing");
    let out = machine.confirm(&lost);
    assert_eq!(told(&out, FIRST), vec![StatePart::Configuration]);
}

#[test]
fn a_read_that_began_before_contact_was_lost_confirms_nothing() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.admit(FIRST, Kind::Dispatcher);
    let under_way = started(&machine.tick_after(CONFIRM_INTERVAL_MS)).unwrap();
    machine.contact = false;
    let out = machine.tick_after(50);
    assert!(out.contains(&Output::AbandonRead { round: under_way }));
    machine.contact = true;
    assert_eq!(said(&machine.give(Input::ReadReady { round: under_way })), vec![]);
}

/// A machine that has just started waits neither for the next heartbeats nor for the next try of its read.
#[test]
fn the_first_connection_to_another_core_machine_starts_the_read_anew() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.contact = false;
    let lost = machine.register(FIRST, Kind::Store, StateVersions::default());
    let out = machine.give(Input::PeerOpened);
    assert!(out.contains(&Output::AbandonRead { round: started(&lost).unwrap() }));
    let out = machine.confirm(&out);
    assert_eq!(told(&out, FIRST), vec![StatePart::Configuration, StatePart::Placement]);
    assert!(machine.gate.takes_orders(machine.now));
    assert_eq!(machine.give(Input::PeerOpened), vec![], "it has a majority");
}

#[test]
fn a_state_that_is_not_confirmed_for_long_is_not_vouched_for() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.admit(FIRST, Kind::Dispatcher);
    assert!(machine.gate.takes_orders(machine.now));
    let out = machine.tick_after(CONFIRM_INTERVAL_MS);
    assert!(started(&out).is_some());
    // Contact there is, but the tail does not answer.
    let out = machine.tick_after(MAX_CONFIRMATION_AGE_MS - CONFIRM_INTERVAL_MS);
    assert_eq!(out, vec![Output::NoQuorum { connection: FIRST }]);
    assert!(!machine.gate.takes_orders(machine.now));
}

#[test]
fn a_read_that_took_too_long_confirms_nothing() {
    let mut machine = Machine::with(numbers(5, 2));
    let out = machine.register(FIRST, Kind::Store, StateVersions::default());
    let late = started(&out).unwrap();
    // The process stood still, with the confirmation of long ago in its sockets.
    machine.now += MAX_CONFIRMATION_AGE_MS;
    let out = machine.give(Input::ReadReady { round: late });
    assert!(out.contains(&Output::AbandonRead { round: late }));
    assert_eq!(told(&out, FIRST), vec![]);
    let out = machine.confirm(&out);
    assert_eq!(told(&out, FIRST), vec![StatePart::Configuration, StatePart::Placement]);
}

#[test]
fn a_registrant_that_waits_long_is_told_that_there_is_no_majority() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.register(FIRST, Kind::Dispatcher, StateVersions::default());
    assert_eq!(machine.gate.next_deadline(), Some(machine.now + MAX_CONFIRMATION_AGE_MS));
    let out = machine.tick_after(MAX_CONFIRMATION_AGE_MS);
    assert!(out.contains(&Output::NoQuorum { connection: FIRST }));
}

#[test]
fn only_news_is_told() {
    let mut machine = Machine::with(numbers(5, 2));
    let out = machine.register(FIRST, Kind::Store, numbers(5, 1));
    let out = machine.confirm(&out);
    assert_eq!(told(&out, FIRST), vec![StatePart::Placement]);
    machine.give(Input::Acting(true));
    let out = machine.give(Input::State(numbers(7, 2)));
    assert_eq!(told(&out, FIRST), vec![StatePart::Configuration]);
    assert_eq!(machine.give(Input::State(numbers(7, 2))), vec![]);
}

#[test]
fn a_store_is_told_later_configurations_by_the_machine_that_acts() {
    let mut machine = Machine::with(numbers(5, 2));
    assert_eq!(
        told(&machine.admit(FIRST, Kind::Store), FIRST),
        vec![StatePart::Configuration, StatePart::Placement]
    );
    let out = machine.give(Input::State(numbers(7, 3)));
    assert_eq!(told(&out, FIRST), vec![StatePart::Placement], "another one tells it the configuration");
    let out = machine.tick_after(CONFIRM_INTERVAL_MS);
    assert_eq!(told(&machine.confirm(&out), FIRST), vec![]);
    machine.give(Input::Acting(true));
    let out = machine.tick_after(CONFIRM_INTERVAL_MS);
    assert_eq!(told(&machine.confirm(&out), FIRST), vec![StatePart::Configuration], "it may have missed it");
    let out = machine.give(Input::State(numbers(8, 3)));
    assert_eq!(told(&out, FIRST), vec![StatePart::Configuration]);
    machine.give(Input::Acting(false));
    assert_eq!(machine.give(Input::State(numbers(9, 3))), vec![]);
}

#[test]
fn a_dispatcher_is_told_the_configuration_by_each_of_its_machines() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.admit(FIRST, Kind::Dispatcher);
    let out = machine.give(Input::State(numbers(7, 2)));
    assert_eq!(told(&out, FIRST), vec![StatePart::Configuration]);
}

#[test]
fn workers_are_for_dispatchers() {
    let workers = WorkerListVersion { fencing: 4, number: 1 };
    let mut machine = Machine::with(StateVersions { workers, ..StateVersions::default() });
    let store = machine.admit(FIRST, Kind::Store);
    let dispatcher = machine.admit_next(SECOND, Kind::Dispatcher);
    assert_eq!(told(&store, FIRST), vec![]);
    assert_eq!(told(&dispatcher, SECOND), vec![StatePart::Workers]);
    let older = WorkerListVersion { fencing: 3, number: 9 };
    assert_eq!(
        machine.give(Input::State(StateVersions { workers: older, ..StateVersions::default() })),
        vec![]
    );
}

impl Machine {
    /// The same where a read may be due already.
    fn admit_next(&mut self, connection: ConnectionId, kind: Kind) -> Vec<Output> {
        self.now += 1;
        self.admit(connection, kind)
    }
}

#[test]
fn the_state_is_confirmed_again_and_again() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.admit(FIRST, Kind::Dispatcher);
    let out = machine.ask(FIRST);
    machine.confirm(&out);
    assert_eq!(machine.gate.next_deadline(), Some(machine.now + CONFIRM_INTERVAL_MS));
    for _ in 0..10 {
        assert!(started(&machine.tick_after(CONFIRM_INTERVAL_MS - 1)).is_none());
        machine.ask(FIRST);
        let asked_at = machine.now;
        let out = machine.tick_after(1);
        let out = machine.confirm(&out);
        assert_eq!(vouched(&out, FIRST), Some(asked_at));
    }
}

#[test]
fn a_machine_that_ends_sends_all_elsewhere() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.admit(FIRST, Kind::Dispatcher);
    assert_eq!(machine.give(Input::Leaving), vec![Output::Redirect { connection: FIRST }]);
    let out = machine.register(SECOND, Kind::Store, StateVersions::default());
    assert_eq!(out, vec![Output::Redirect { connection: SECOND }]);
    assert!(!machine.gate.takes_orders(machine.now));
    assert_eq!(machine.gate.next_deadline(), None);
}

/// What is committed by the core, and what a machine that is cut off now and then has of it.
struct Core {
    machine: Machine,
    random: fastrand::Rng,
    committed: u64,
    has: u64,
    /// The read under way, and what was committed when it began.
    read: Option<(ReadNumber, u64)>,
    /// Committed when each connection registered; dropped once that was told or vouched for.
    owed: Vec<(ConnectionId, u64)>,
    /// Committed by time.
    history: Vec<(u64, u64)>,
    next_connection: u64,
    vouched: u64,
}

impl Core {
    fn new(seed: u64) -> Core {
        Core {
            machine: Machine::with(numbers(1, 0)),
            random: fastrand::Rng::with_seed(seed),
            committed: 1,
            has: 1,
            read: None,
            owed: Vec::new(),
            history: vec![(0, 1)],
            next_connection: 0,
            vouched: 0,
        }
    }

    fn step(&mut self) {
        self.machine.now += self.random.u64(1..200);
        let out = match self.random.u32(0..10) {
            0 => {
                self.machine.contact = !self.machine.contact;
                self.machine.give(Input::Tick)
            }
            1 | 2 => {
                self.committed += 1;
                self.history.push((self.machine.now, self.committed));
                vec![]
            }
            3 | 4 if self.machine.contact => {
                self.has = self.committed;
                self.machine.give(Input::State(numbers(self.has, 0)))
            }
            5 => self.register(),
            6 | 7 => self.end_read(),
            8 => self.ask(),
            9 if self.random.u32(0..5) == 0 => {
                self.machine.now += 5000;
                self.machine.give(Input::Tick)
            }
            _ => self.machine.give(Input::Tick),
        };
        self.check(&out);
    }

    fn register(&mut self) -> Vec<Output> {
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        self.owed.push((connection, self.committed));
        self.machine.register(connection, Kind::Dispatcher, StateVersions::default())
    }

    fn ask(&mut self) -> Vec<Output> {
        let connection = ConnectionId(self.random.u64(0..=self.next_connection));
        self.machine.ask(connection)
    }

    /// A read ends only once the machine has what was committed when it began.
    fn end_read(&mut self) -> Vec<Output> {
        match self.read.take_if(|(_, begun_at)| *begun_at <= self.has) {
            Some((round, _)) => self.machine.give(Input::ReadReady { round }),
            None => vec![],
        }
    }

    fn check(&mut self, out: &[Output]) {
        for output in out {
            match output {
                Output::StartRead { round } => self.read = Some((*round, self.committed)),
                Output::Tell { connection, .. } => self.check_told(*connection),
                Output::Confirm { connection, moment } => {
                    self.check_told(*connection);
                    self.check_moment(*moment);
                    self.vouched += 1;
                }
                _ => {}
            }
        }
    }

    /// What a registrant hears is no older than what was committed when it came.
    fn check_told(&self, connection: ConnectionId) {
        let owed = self.owed.iter().find(|(owed_to, _)| *owed_to == connection).map(|(_, version)| *version);
        assert!(Some(self.has) >= owed, "{connection:?} is told {}, but {owed:?} was committed", self.has);
    }

    /// What is vouched for holds all that was committed when the registrant asked.
    fn check_moment(&self, moment: u64) {
        let then = self.history.iter().rev().find(|(at, _)| *at <= moment).unwrap().1;
        assert!(self.has >= then, "{} is vouched for, but {then} was committed then", self.has);
    }
}

#[test]
fn no_registrant_ever_hears_what_was_outdated_when_it_came() {
    let mut vouched = 0;
    for seed in 0..300 {
        let mut core = Core::new(seed);
        for _ in 0..400 {
            core.step();
        }
        vouched += core.vouched;
    }
    assert!(vouched > 1000, "only {vouched} confirmations were given");
}

#[test]
fn after_a_standstill_only_a_read_that_begins_later_confirms_anything() {
    let mut machine = Machine::with(numbers(5, 2));
    machine.admit(FIRST, Kind::Dispatcher);
    let under_way = started(&machine.tick_after(CONFIRM_INTERVAL_MS)).unwrap();
    // With or without contact: a read that was answered meanwhile lies unread.
    for contact in [true, false] {
        machine.contact = contact;
        let out = machine.give(Input::ClockStalled);
        assert!(!machine.gate.takes_orders(machine.now));
        assert_eq!(said(&machine.give(Input::ReadReady { round: under_way })), vec![]);
        assert!(started(&out).is_some_and(|later| later > under_way), "a read begins anew");
    }
}
