//! Connections between machines: opened, used, and ended.

use super::event::Event;
use super::{World, LATE, WATCH_EVERY};
use crate::control_machine::ControlMachine;
use crate::core_machine::CoreProcess;
use crate::dispatcher::Dispatcher;
use crate::event::{Connection, Happening, Payload, Target};
use crate::place::Place;
use crate::store_machine::StoreProcess;
use crate::MILLISECOND;

/// A connection on which nothing comes for so long is taken for lost.
const LINK_SILENCE: u64 = 1_600 * MILLISECOND;
/// Time in which the other end learns of a reset.
const NOTICE: std::ops::Range<u64> = 500..3_000;
/// Time in which it may learn where messages come late.
const LATE_NOTICE: std::ops::Range<u64> = 3_000..1_500_000;
/// Where messages straggle, ended connections are forgotten in every so many rounds.
const FORGET_EVERY: u64 = 20;

impl<M: ControlMachine> World<M> {
    pub(super) fn dial(&mut self) {
        let places: Vec<Place> = self.machines.keys().copied().collect();
        for place in places {
            if !self.runs(place) {
                continue;
            }
            let wanted = match place {
                Place::Core(index) => self.cores[index].process.as_ref().map(CoreProcess::wanted),
                Place::Store(index) => self.stores[index].process.as_ref().map(StoreProcess::wanted),
                Place::Dispatcher(index) => self.dispatchers[index].process.as_ref().map(Dispatcher::wanted),
                Place::Operator(_) => None,
            };
            for target in wanted.unwrap_or_default() {
                self.connect(place, target);
            }
        }
    }

    pub(super) fn connect(&mut self, place: Place, target: Target) {
        let Some(acceptor) = self.at_address(target.address) else { return };
        if !self.is_up(acceptor) || !self.network.can_talk(place, acceptor, self.now) {
            return;
        }
        let connection = self.network.open(place, acceptor);
        self.give(place, Happening::Dialed { connection, target });
    }

    pub(super) fn send(&mut self, from: Place, connection: Connection, payload: Payload) {
        let Some(link) = self.network.link(connection).copied() else { return };
        if !link.is_open_at(from) {
            return;
        }
        let to = link.other(from);
        let at = self.network.arrival(connection, to, self.now, &mut self.random);
        if let Payload::Core { .. } = payload {
            return self.send_between_cores(at, connection, to, payload);
        }
        if matches!(to, Place::Dispatcher(_)) && self.random.f64() < self.plan.noise.after_close {
            let late = at + self.random.u64(LATE);
            let payload = payload.clone();
            self.schedule(late, Event::Arrive { connection, to, payload, straggles: true });
        }
        self.schedule(at, Event::Arrive { connection, to, payload, straggles: false });
    }

    /// What core machines say to each other may come late or twice.
    pub(super) fn send_between_cores(
        &mut self,
        at: u64,
        connection: Connection,
        to: Place,
        payload: Payload,
    ) {
        let late = self.random.f64() < self.plan.noise.late;
        let at = if late { at + self.random.u64(LATE) } else { at };
        if self.random.f64() < self.plan.noise.doubled {
            let again = at + self.random.u64(LATE);
            let payload = payload.clone();
            self.schedule(again, Event::Arrive { connection, to, payload, straggles: false });
        }
        self.schedule(at, Event::Arrive { connection, to, payload, straggles: false });
    }

    pub(super) fn arrive(
        &mut self,
        order: u64,
        connection: Connection,
        to: Place,
        payload: Payload,
        straggles: bool,
    ) {
        let Some(link) = self.network.link(connection).copied() else { return };
        let passes_at = self.network.passes_at(link.other(to), to, self.now);
        if passes_at > self.now {
            let event = Event::Arrive { connection, to, payload, straggles };
            self.events.insert((passes_at, order), event);
            return;
        }
        if link.is_open_at(to) == straggles || !self.is_up(to) {
            return;
        }
        self.steps += 1;
        self.give(to, Happening::Arrived { connection, payload });
    }

    /// One end closes a connection.
    pub(super) fn close(&mut self, place: Place, connection: Connection) {
        self.schedule(self.now, Event::Closed { connection, at: place });
        self.notice_closed(connection, place);
    }

    /// The other end than `place` learns that a connection is closed.
    pub(crate) fn notice_closed(&mut self, connection: Connection, place: Place) {
        let Some(link) = self.network.link(connection).copied() else { return };
        let late = self.random.f64() < self.plan.noise.late;
        let after = self.random.u64(if late { LATE_NOTICE } else { NOTICE });
        self.schedule(self.now + after, Event::Closed { connection, at: link.other(place) });
    }

    pub(super) fn closed(&mut self, connection: Connection, at: Place) {
        let Some(link) = self.network.link_mut(connection).filter(|link| link.is_open_at(at)) else { return };
        link.close_at(at);
        self.give(at, Happening::Closed { connection });
    }

    /// Ends connections on which nothing passes for long, and forgets those that have ended.
    pub(super) fn drop_silent_links(&mut self) {
        for connection in self.network.connections() {
            let Some(link) = self.network.link(connection).copied() else { continue };
            let (one, other) = (link.dialer, link.acceptor);
            let blocked =
                !self.network.can_talk(one, other, self.now) || !self.runs(one) || !self.runs(other);
            let since = link.blocked_since.filter(|_| blocked).or(blocked.then_some(self.now));
            if let Some(link) = self.network.link_mut(connection) {
                link.blocked_since = since;
            }
            if since.is_some_and(|since| self.now - since >= LINK_SILENCE) {
                self.notice_closed(connection, one);
                self.notice_closed(connection, other);
            }
        }
        let rounds = self.now / WATCH_EVERY;
        if self.plan.noise.after_close == 0.0 || rounds.is_multiple_of(FORGET_EVERY) {
            self.network.forget_closed();
        }
    }
}
