//! The read barrier of a core machine, which decides what the machine may send to its registrants and when.
//!
//! A linearizable read that completes proves that this machine's state was current when the read began (Raft's read
//! index: Ongaro, Ousterhout, 2014, section 8). The barrier starts such reads at an interval. It admits a registrant,
//! so that state may be sent to it, once a read that began after the registration has completed.

mod interface;
mod registrant;

pub use interface::{Input, Output, ReadNumber, RegistrantKind, RegistrantTime, StatePart};

use crate::versions::{ConnectionId, StateVersions};
use millrudder_clock::Instant;
use registrant::Registrant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between the starts of confirming reads.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// How long a confirmation is valid, counted from the start of its read. Longer than a view change of the core takes.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug)]
struct ReadInFlight {
    number: ReadNumber,
    started_at: Instant,
}

impl ReadInFlight {
    fn expires_at(&self) -> Instant {
        self.started_at + MAX_CONFIRMATION_AGE
    }
}

/// Allows this machine's state to be sent to registrants only while a quorum of the core has recently confirmed it.
#[derive(Clone, Debug)]
pub struct ReadBarrier {
    state: StateVersions,
    registrants: BTreeMap<ConnectionId, Registrant>,
    last_read: ReadNumber,
    read_in_flight: Option<ReadInFlight>,
    next_read_at: Instant,
    /// Start of the last completed read; `None` if none has completed or its confirmation no longer counts.
    confirmed_at: Option<Instant>,
    has_quorum_contact: bool,
    holds_controller_lease: bool,
    is_shutting_down: bool,
    /// Cached, since computing it iterates over all registrants.
    deadline: Option<Instant>,
}

impl ReadBarrier {
    /// Creates a barrier that sends no state until a first read completes. `state` has the versions found on disk.
    pub fn new(state: StateVersions) -> ReadBarrier {
        ReadBarrier {
            state,
            registrants: BTreeMap::new(),
            last_read: ReadNumber::default(),
            read_in_flight: None,
            next_read_at: Instant::ORIGIN,
            confirmed_at: None,
            has_quorum_contact: false,
            holds_controller_lease: false,
            is_shutting_down: false,
            deadline: Some(Instant::ORIGIN),
        }
    }

    /// Whether a quorum has recently confirmed this machine's state, so that responses may be based on it.
    pub fn has_quorum(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|at| now - at < MAX_CONFIRMATION_AGE)
    }

    /// Whether this machine accepts requests that change the state: it is neither partitioned nor shutting down.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        self.has_quorum(now) && !self.is_shutting_down
    }

    /// Registrants to which state changes are sent.
    pub fn admitted(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        let admitted = self.registrants.iter().filter(|(_, registrant)| registrant.is_admitted());
        admitted.map(|(connection, _)| *connection)
    }

    /// When the next [`Input::Tick`] is due. After a change of contact with the quorum, it is due immediately.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Whether [`Input::Tick`] is due.
    pub fn is_due(&self, now: Instant, has_quorum_contact: bool) -> bool {
        let is_past_deadline = self.deadline.is_some_and(|deadline| deadline <= now);
        has_quorum_contact != self.has_quorum_contact || is_past_deadline
    }

    /// Handles one input. `has_quorum_contact` tells whether this machine currently exchanges messages, in both
    /// directions, with a quorum of the core.
    pub fn handle(
        &mut self,
        now: Instant,
        has_quorum_contact: bool,
        input: Input,
        outputs: &mut Vec<Output>,
    ) {
        self.update_contact(now, has_quorum_contact, outputs);
        self.expire_read(now, outputs);
        self.withdraw_unconfirmed(now, outputs);
        match input {
            Input::Registered { connection, kind, versions } => {
                self.register(now, connection, kind, versions, outputs);
            }
            Input::Closed { connection } => {
                self.registrants.remove(&connection);
            }
            Input::StalenessCheck { connection, sent_at } => self.add_check(now, connection, sent_at),
            Input::StateChanged(state) => self.update_state(state, outputs),
            Input::ControllerLease { is_held } => self.holds_controller_lease = is_held,
            Input::ReadCompleted { read } => self.complete_read(now, read, outputs),
            Input::Tick => {}
            Input::PeerOpened => self.handle_peer_opened(now, outputs),
            Input::ClockStalled => self.handle_clock_stall(now, outputs),
            Input::ShuttingDown => self.shut_down(outputs),
        }
        self.start_read_if_due(now, outputs);
        self.deadline = self.find_deadline();
    }

    /// Updates the contact with the quorum. Losing it invalidates the last confirmation and abandons the read in
    /// flight, so that only a read that starts after the loss counts.
    fn update_contact(&mut self, now: Instant, has_quorum_contact: bool, outputs: &mut Vec<Output>) {
        let is_lost = self.has_quorum_contact && !has_quorum_contact;
        self.has_quorum_contact = has_quorum_contact;
        if is_lost {
            self.confirmed_at = None;
            self.restart_read(now, outputs);
        }
    }

    fn restart_read(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if let Some(read) = self.read_in_flight.take() {
            outputs.push(Output::AbandonRead { read: read.number });
        }
        self.next_read_at = now;
    }

    fn find_deadline(&self) -> Option<Instant> {
        let read = match self.read_in_flight {
            Some(read) => Some(read.expires_at()),
            None => Some(self.next_read_at).filter(|_| !self.is_shutting_down),
        };
        let confirmation = self.confirmed_at.map(|at| at + MAX_CONFIRMATION_AGE);
        let confirmation = confirmation.filter(|_| self.admitted().next().is_some());
        let waiting = self.registrants.values().filter_map(Registrant::notification_deadline);
        waiting.chain(confirmation).chain(read).min()
    }

    fn register(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        kind: RegistrantKind,
        versions: StateVersions,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_shutting_down {
            outputs.push(Output::Redirect { connection });
            return;
        }
        let is_partitioned = !self.has_quorum_contact && !self.has_quorum(now);
        if is_partitioned {
            outputs.push(Output::NoQuorum { connection });
        }
        let registrant = Registrant::waiting(kind, versions, self.last_read.next(), now, is_partitioned);
        self.registrants.insert(connection, registrant);
        self.next_read_at = now;
    }

    fn add_check(&mut self, now: Instant, connection: ConnectionId, sent_at: RegistrantTime) {
        let Some(registrant) = self.registrants.get_mut(&connection) else { return };
        if registrant.add_check(sent_at) {
            self.next_read_at = now;
        }
    }

    fn update_state(&mut self, state: StateVersions, outputs: &mut Vec<Output>) {
        self.state = state;
        for (connection, registrant) in &mut self.registrants {
            if registrant.is_admitted() {
                registrant.send_newer(*connection, &state, self.holds_controller_lease, outputs);
            }
        }
    }

    fn complete_read(&mut self, now: Instant, number: ReadNumber, outputs: &mut Vec<Output>) {
        let Some(read) = self.read_in_flight.take_if(|read| read.number == number) else { return };
        self.confirmed_at = Some(read.started_at);
        let holds_lease = self.holds_controller_lease;
        for (connection, registrant) in &mut self.registrants {
            registrant.complete_read(*connection, number, &self.state, holds_lease, outputs);
        }
        if self.registrants.values().any(|registrant| registrant.waits_for_read_after(self.last_read)) {
            self.next_read_at = now;
        }
    }

    fn handle_peer_opened(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if !self.has_quorum(now) {
            self.restart_read(now, outputs);
        }
    }

    fn handle_clock_stall(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.confirmed_at = None;
        self.restart_read(now, outputs);
        self.withdraw_unconfirmed(now, outputs);
    }

    fn shut_down(&mut self, outputs: &mut Vec<Output>) {
        self.is_shutting_down = true;
        let registrants = std::mem::take(&mut self.registrants);
        outputs.extend(registrants.into_keys().map(|connection| Output::Redirect { connection }));
    }

    /// Restarts a read that has taken so long that its confirmation would no longer be valid.
    fn expire_read(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.read_in_flight.is_some_and(|read| now >= read.expires_at()) {
            self.restart_read(now, outputs);
        }
    }

    /// Withdraws all admissions if the state cannot be confirmed, and notifies the affected registrants and those that
    /// have waited too long.
    fn withdraw_unconfirmed(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let has_quorum = self.has_quorum(now);
        let next_read = self.last_read.next();
        for (connection, registrant) in &mut self.registrants {
            if registrant.withdraw_unless_confirmed(now, has_quorum, next_read) {
                outputs.push(Output::NoQuorum { connection: *connection });
            }
        }
    }

    fn start_read_if_due(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.read_in_flight.is_some() || now < self.next_read_at || self.is_shutting_down {
            return;
        }
        let number = self.last_read.next();
        self.last_read = number;
        self.read_in_flight = Some(ReadInFlight { number, started_at: now });
        self.next_read_at = now + CONFIRM_INTERVAL;
        for registrant in self.registrants.values_mut() {
            registrant.begin_read();
        }
        outputs.push(Output::StartRead { read: number });
    }
}
