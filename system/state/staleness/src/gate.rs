//! What a core machine may tell its registrants, and when.

use crate::state::{ConnectionId, StateVersions};
use std::collections::BTreeMap;

/// Pause between the starts of two confirming reads.
pub const CONFIRM_INTERVAL_MS: u64 = 300;
/// A confirmation counts for so long from the start of its read. Longer than a change of the core's view takes.
pub const MAX_CONFIRMATION_AGE_MS: u64 = 1500;

/// Number of a confirming read of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadNumber(pub u64);

impl ReadNumber {
    fn next(self) -> ReadNumber {
        ReadNumber(self.0 + 1)
    }
}

/// What kind of process has registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Dispatcher,
    Store,
}

/// What happens at a core machine.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// A process has registered and has these versions.
    Registered {
        connection: ConnectionId,
        kind: Kind,
        has: StateVersions,
    },
    Closed {
        connection: ConnectionId,
    },
    /// A process asks whether what it has is current at `moment`, a time of its own clock.
    Asked {
        connection: ConnectionId,
        moment: u64,
    },
    /// This machine's state has these versions now.
    State(StateVersions),
    /// This machine acts for the core, or not any more: it holds the controller's lease.
    Acting(bool),
    /// The read sees all that was committed before its start.
    ReadReady {
        round: ReadNumber,
    },
    Tick,
    /// There is a connection to another core machine: a read that was asked for without one may end now.
    PeerOpened,
    /// This machine's clock has stood still: no confirmation is known to be recent, nor a read that is under way.
    ClockStalled,
    /// This machine is about to end.
    Leaving,
}

/// A part of the control state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatePart {
    Configuration,
    Placement,
    Workers,
}

/// What the machine is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start a linearizable read, and report [`Input::ReadReady`].
    StartRead { round: ReadNumber },
    /// Nobody waits for this read any more.
    AbandonRead { round: ReadNumber },
    /// Tell a part of the state as it is now.
    Tell { connection: ConnectionId, part: StatePart },
    /// Confirm that what was told on this connection is all that was committed at `moment`, as the process said it.
    Confirm { connection: ConnectionId, moment: u64 },
    /// Say that this machine cannot confirm its state.
    NoQuorum { connection: ConnectionId },
    /// Send the process elsewhere: this machine ends.
    Redirect { connection: ConnectionId },
}

/// How a registrant stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Told nothing before this round, or a later one, is confirmed.
    Waiting { round: ReadNumber, since: u64, refused: bool },
    /// Told everything that comes into force.
    Admitted,
}

#[derive(Clone, Copy, Debug)]
struct Registrant {
    kind: Kind,
    told: StateVersions,
    standing: Standing,
    /// The last moment that the process has asked about ...
    asked: Option<u64>,
    /// ... that it had asked about before the last read began ...
    covered: Option<u64>,
    /// ... and that was confirmed.
    vouched: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Read {
    round: ReadNumber,
    started: u64,
}

/// Lets registrants hear this machine's state only while a majority of the core has confirmed it of late.
#[derive(Clone, Debug)]
pub struct ReadBarrier {
    state: StateVersions,
    registrants: BTreeMap<ConnectionId, Registrant>,
    last_round: ReadNumber,
    reading: Option<Read>,
    next_read: u64,
    /// Start of the last confirmed read.
    confirmed_at: Option<u64>,
    contact: bool,
    acting: bool,
    leaving: bool,
    /// When something is to be done next; kept, since it takes a look at all registrants.
    due: Option<u64>,
}

impl ReadBarrier {
    /// A gate that is closed until a first read is confirmed; `state` is what the disk holds.
    pub fn new(state: StateVersions) -> ReadBarrier {
        ReadBarrier {
            state,
            registrants: BTreeMap::new(),
            last_round: ReadNumber::default(),
            reading: None,
            next_read: 0,
            confirmed_at: None,
            contact: false,
            acting: false,
            leaving: false,
            due: Some(0),
        }
    }

    /// Whether a majority has confirmed this machine's state of late, so that answers may rest on it.
    pub fn has_majority(&self, now: u64) -> bool {
        let recent = |at: u64| now.saturating_sub(at) < MAX_CONFIRMATION_AGE_MS;
        self.confirmed_at.is_some_and(recent)
    }

    /// Whether this machine takes orders: not when it is cut off, and not when it ends.
    pub fn takes_orders(&self, now: u64) -> bool {
        self.has_majority(now) && !self.leaving
    }

    /// Age of the last confirmation; `None` before the first.
    pub fn age_ms(&self, now: u64) -> Option<u64> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Registrants that are told what comes into force.
    pub fn admitted(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        let admitted = self.registrants.iter().filter(|(_, one)| one.standing == Standing::Admitted);
        admitted.map(|(connection, _)| *connection)
    }

    /// When [`Input::Tick`] is due; a change of contact is to be told at once.
    pub fn next_deadline(&self) -> Option<u64> {
        self.due
    }

    /// Whether [`Input::Tick`] is due.
    pub fn is_due(&self, now: u64, contact: bool) -> bool {
        contact != self.contact || self.due.is_some_and(|due| due <= now)
    }

    /// Handles one input. `contact` tells whether this machine hears a majority of the core now, and is heard by it.
    pub fn handle(&mut self, now: u64, contact: bool, input: Input, out: &mut Vec<Output>) {
        self.note_contact(now, contact, out);
        self.expire_read(now, out);
        self.refuse_unconfirmed(now, out);
        match input {
            Input::Registered { connection, kind, has } => {
                self.on_registered(now, connection, kind, has, out)
            }
            Input::Closed { connection } => {
                self.registrants.remove(&connection);
            }
            Input::Asked { connection, moment } => self.on_asked(now, connection, moment),
            Input::State(state) => self.on_state(state, out),
            Input::Acting(acting) => self.acting = acting,
            Input::ReadReady { round } => self.on_ready(now, round, out),
            Input::Tick => {}
            Input::PeerOpened => self.on_peer_opened(now, out),
            Input::ClockStalled => self.on_stood_still(now, out),
            Input::Leaving => self.on_leaving(out),
        }
        self.start_read_if_due(now, out);
        self.due = self.find_deadline();
    }

    /// Lost contact ends what was confirmed: the next confirmation must have begun later.
    fn note_contact(&mut self, now: u64, contact: bool, out: &mut Vec<Output>) {
        let is_lost = self.contact && !contact;
        self.contact = contact;
        if is_lost {
            self.confirmed_at = None;
            self.restart_read(now, out);
        }
    }

    fn restart_read(&mut self, now: u64, out: &mut Vec<Output>) {
        if let Some(read) = self.reading.take() {
            out.push(Output::AbandonRead { round: read.round });
        }
        self.next_read = now;
    }

    fn find_deadline(&self) -> Option<u64> {
        let read = match self.reading {
            Some(read) => Some(read.started + MAX_CONFIRMATION_AGE_MS),
            None => Some(self.next_read).filter(|_| !self.leaving),
        };
        let confirmed = self.confirmed_at.map(|at| at + MAX_CONFIRMATION_AGE_MS);
        let confirmed = confirmed.filter(|_| self.admitted().next().is_some());
        let waiting = self.registrants.values().filter_map(|one| match one.standing {
            Standing::Waiting { since, refused: false, .. } => Some(since + MAX_CONFIRMATION_AGE_MS),
            _ => None,
        });
        waiting.chain(confirmed).chain(read).min()
    }

    fn on_registered(
        &mut self,
        now: u64,
        connection: ConnectionId,
        kind: Kind,
        has: StateVersions,
        out: &mut Vec<Output>,
    ) {
        if self.leaving {
            out.push(Output::Redirect { connection });
            return;
        }
        let refused = !self.contact && !self.has_majority(now);
        if refused {
            out.push(Output::NoQuorum { connection });
        }
        let standing = Standing::Waiting { round: self.last_round.next(), since: now, refused };
        self.registrants.insert(connection, Registrant::new(kind, has, standing));
        self.next_read = now;
    }

    /// The first question is answered as soon as may be: the process is not ready before.
    fn on_asked(&mut self, now: u64, connection: ConnectionId, moment: u64) {
        let Some(registrant) = self.registrants.get_mut(&connection) else { return };
        registrant.asked = registrant.asked.max(Some(moment));
        if registrant.covered.is_none() {
            self.next_read = now;
        }
    }

    fn on_state(&mut self, state: StateVersions, out: &mut Vec<Output>) {
        self.state = state;
        for (connection, registrant) in &mut self.registrants {
            if registrant.standing == Standing::Admitted {
                registrant.tell_newer(*connection, &state, self.acting, out);
            }
        }
    }

    fn on_ready(&mut self, now: u64, round: ReadNumber, out: &mut Vec<Output>) {
        let Some(read) = self.reading.take_if(|read| read.round == round) else { return };
        self.confirmed_at = Some(read.started);
        for (connection, registrant) in &mut self.registrants {
            if registrant.is_admitted_by(round) {
                let is_new = registrant.standing != Standing::Admitted;
                registrant.standing = Standing::Admitted;
                registrant.tell_newer(*connection, &self.state, self.acting || is_new, out);
                registrant.vouch(*connection, out);
            }
        }
        if self.has_fresh_waiters() {
            self.next_read = now;
        }
    }

    fn on_peer_opened(&mut self, now: u64, out: &mut Vec<Output>) {
        if !self.has_majority(now) {
            self.restart_read(now, out);
        }
    }

    fn on_stood_still(&mut self, now: u64, out: &mut Vec<Output>) {
        self.confirmed_at = None;
        self.restart_read(now, out);
        self.refuse_unconfirmed(now, out);
    }

    fn on_leaving(&mut self, out: &mut Vec<Output>) {
        self.leaving = true;
        let connections = std::mem::take(&mut self.registrants);
        out.extend(connections.into_keys().map(|connection| Output::Redirect { connection }));
    }

    /// Gives up a read that has taken so long that its confirmation would not count.
    fn expire_read(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.reading.is_some_and(|read| now.saturating_sub(read.started) >= MAX_CONFIRMATION_AGE_MS) {
            self.restart_read(now, out);
        }
    }

    /// Takes back the admission of all when the state cannot be confirmed, and says so to those who wait too long.
    fn refuse_unconfirmed(&mut self, now: u64, out: &mut Vec<Output>) {
        let has_majority = self.has_majority(now);
        let next = self.last_round.next();
        for (connection, registrant) in &mut self.registrants {
            let is_refused = match registrant.standing {
                Standing::Admitted => !has_majority,
                Standing::Waiting { refused: true, .. } => false,
                Standing::Waiting { since, .. } => now.saturating_sub(since) >= MAX_CONFIRMATION_AGE_MS,
            };
            if is_refused {
                registrant.standing = Standing::Waiting { round: next, since: now, refused: true };
                out.push(Output::NoQuorum { connection: *connection });
            }
        }
    }

    fn start_read_if_due(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.reading.is_some() || now < self.next_read || self.leaving {
            return;
        }
        let round = self.last_round.next();
        self.last_round = round;
        self.reading = Some(Read { round, started: now });
        self.next_read = now + CONFIRM_INTERVAL_MS;
        for registrant in self.registrants.values_mut() {
            registrant.covered = registrant.asked;
        }
        out.push(Output::StartRead { round });
    }

    /// Whether somebody waits for a read that has not been started.
    fn has_fresh_waiters(&self) -> bool {
        self.registrants.values().any(|registrant| registrant.waits_for_more_than(self.last_round))
    }
}

impl Registrant {
    fn new(kind: Kind, told: StateVersions, standing: Standing) -> Registrant {
        Registrant { kind, told, standing, asked: None, covered: None, vouched: None }
    }

    fn waits_for_more_than(&self, last: ReadNumber) -> bool {
        let is_waiting = matches!(self.standing, Standing::Waiting { round, .. } if round > last);
        is_waiting || (self.asked.is_some() && self.covered.is_none())
    }

    /// Confirms what was asked about before the read began, once.
    fn vouch(&mut self, connection: ConnectionId, out: &mut Vec<Output>) {
        if let Some(moment) = self.covered.filter(|_| self.covered > self.vouched) {
            self.vouched = self.covered;
            out.push(Output::Confirm { connection, moment });
        }
    }

    fn is_admitted_by(&self, confirmed: ReadNumber) -> bool {
        match self.standing {
            Standing::Admitted => true,
            Standing::Waiting { round, .. } => round <= confirmed,
        }
    }

    /// Tells what is newer than what was told last.
    ///
    /// Every store is connected to every core machine, and a configuration may be large: a store that has been admitted
    /// is told later ones by the machine that acts (`in_full`). A store that this one does not hear leads no shard.
    fn tell_newer(
        &mut self,
        connection: ConnectionId,
        state: &StateVersions,
        in_full: bool,
        out: &mut Vec<Output>,
    ) {
        let mut tell = |part| out.push(Output::Tell { connection, part });
        let wants_configuration = in_full || self.kind == Kind::Dispatcher;
        if wants_configuration && state.configuration_version > self.told.configuration_version {
            tell(StatePart::Configuration);
            self.told.configuration_version = state.configuration_version;
        }
        if state.placement_epoch > self.told.placement_epoch {
            tell(StatePart::Placement);
            self.told.placement_epoch = state.placement_epoch;
        }
        if self.kind == Kind::Dispatcher && state.workers > self.told.workers {
            tell(StatePart::Workers);
            self.told.workers = state.workers;
        }
    }
}
