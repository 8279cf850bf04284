//! Connections between machines: dialing, sending, closing.

use super::event::Event;
use super::{World, CHECK_INTERVAL, LONG_DELAY};
use crate::control_machine::ControlMachine;
use crate::core_machine::CoreProcess;
use crate::dispatcher::Dispatcher;
use crate::event::{Connection, Payload, ProcessInput, Target};
use crate::machine_id::MachineId;
use crate::random_time::{random_duration, whole_micros};
use crate::store_machine::StoreProcess;
use millrudder_clock::Instant;
use std::time::Duration;

/// A connection that is blocked for this time is closed at both ends.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Delay until the peer notices that a connection is closed.
const CLOSE_NOTICE: std::ops::Range<Duration> = Duration::from_micros(500)..Duration::from_micros(3_000);
/// The same where messages are delayed.
const DELAYED_CLOSE_NOTICE: std::ops::Range<Duration> =
    Duration::from_micros(3_000)..Duration::from_micros(1_500_000);
/// Where messages arrive after the close, closed connections are forgotten in every so many rounds only.
const FORGET_CLOSED_EVERY: u64 = 20;

impl<M: ControlMachine> World<M> {
    pub(super) fn dial(&mut self) {
        let machine_ids: Vec<MachineId> = self.machines.keys().copied().collect();
        for machine_id in machine_ids {
            if !self.is_running(machine_id) {
                continue;
            }
            let targets = match machine_id {
                MachineId::Core(index) => {
                    self.cores[index].process.as_ref().map(CoreProcess::missing_connections)
                }
                MachineId::Store(index) => {
                    self.stores[index].process.as_ref().map(StoreProcess::missing_connections)
                }
                MachineId::Dispatcher(index) => {
                    self.dispatchers[index].process.as_ref().map(Dispatcher::missing_connections)
                }
                MachineId::Operator(_) => None,
            };
            for target in targets.unwrap_or_default() {
                self.connect(machine_id, target);
            }
        }
    }

    pub(super) fn connect(&mut self, machine_id: MachineId, target: Target) {
        let Some(acceptor) = self.at_address(target.address) else { return };
        if !self.is_up(acceptor) || !self.network.can_communicate(machine_id, acceptor, self.now) {
            return;
        }
        let connection = self.network.open(machine_id, acceptor);
        self.deliver(machine_id, ProcessInput::Connected { connection, target });
    }

    pub(super) fn send(&mut self, from: MachineId, connection: Connection, payload: Payload) {
        let Some(link) = self.network.link(connection).copied() else { return };
        if !link.is_open_at(from) {
            return;
        }
        let to = link.other(from);
        let at = self.network.arrival(connection, to, self.now, &mut self.random);
        if let Payload::Core { .. } = payload {
            return self.send_between_cores(at, connection, to, payload);
        }
        if matches!(to, MachineId::Dispatcher(_)) && self.random.f64() < self.plan.fault_rates.after_close {
            let late = at + random_duration(&mut self.random, LONG_DELAY);
            let payload = payload.clone();
            self.schedule(late, Event::Arrive { connection, to, payload, after_close: true });
        }
        self.schedule(at, Event::Arrive { connection, to, payload, after_close: false });
    }

    /// Sends a message between core machines, which may be delayed or duplicated.
    pub(super) fn send_between_cores(
        &mut self,
        at: Instant,
        connection: Connection,
        to: MachineId,
        payload: Payload,
    ) {
        let late = self.random.f64() < self.plan.fault_rates.delayed;
        let at = if late { at + random_duration(&mut self.random, LONG_DELAY) } else { at };
        if self.random.f64() < self.plan.fault_rates.duplicated {
            let again = at + random_duration(&mut self.random, LONG_DELAY);
            let payload = payload.clone();
            self.schedule(again, Event::Arrive { connection, to, payload, after_close: false });
        }
        self.schedule(at, Event::Arrive { connection, to, payload, after_close: false });
    }

    pub(super) fn arrive(
        &mut self,
        sequence: u64,
        connection: Connection,
        to: MachineId,
        payload: Payload,
        after_close: bool,
    ) {
        let Some(link) = self.network.link(connection).copied() else { return };
        let passes_at = self.network.passes_at(link.other(to), to, self.now);
        if passes_at > self.now {
            let event = Event::Arrive { connection, to, payload, after_close };
            self.events.insert((passes_at, sequence), event);
            return;
        }
        if link.is_open_at(to) == after_close || !self.is_up(to) {
            return;
        }
        self.steps += 1;
        self.deliver(to, ProcessInput::Received { connection, payload });
    }

    /// Closes a connection at one end.
    pub(super) fn close(&mut self, machine_id: MachineId, connection: Connection) {
        self.schedule(self.now, Event::Closed { connection, at: machine_id });
        self.notify_peer_closed(connection, machine_id);
    }

    /// Schedules that the peer of `machine_id` notices that a connection is closed.
    pub(crate) fn notify_peer_closed(&mut self, connection: Connection, machine_id: MachineId) {
        let Some(link) = self.network.link(connection).copied() else { return };
        let late = self.random.f64() < self.plan.fault_rates.delayed;
        let after = random_duration(&mut self.random, if late { DELAYED_CLOSE_NOTICE } else { CLOSE_NOTICE });
        self.schedule(self.now + after, Event::Closed { connection, at: link.other(machine_id) });
    }

    pub(super) fn closed(&mut self, connection: Connection, at: MachineId) {
        let Some(link) = self.network.link_mut(connection).filter(|link| link.is_open_at(at)) else { return };
        link.close_at(at);
        self.deliver(at, ProcessInput::Closed { connection });
    }

    /// Closes connections that were blocked for long, and forgets those that are closed at both ends.
    pub(super) fn close_blocked_connections(&mut self) {
        for connection in self.network.connections() {
            let Some(link) = self.network.link(connection).copied() else { continue };
            let (one, other) = (link.dialer, link.acceptor);
            let blocked = !self.network.can_communicate(one, other, self.now)
                || !self.is_running(one)
                || !self.is_running(other);
            let since = link.blocked_since.filter(|_| blocked).or(blocked.then_some(self.now));
            if let Some(link) = self.network.link_mut(connection) {
                link.blocked_since = since;
            }
            if since.is_some_and(|since| self.now - since >= CONNECTION_TIMEOUT) {
                self.notify_peer_closed(connection, one);
                self.notify_peer_closed(connection, other);
            }
        }
        let rounds = self.now.as_micros() / whole_micros(CHECK_INTERVAL);
        if self.plan.fault_rates.after_close == 0.0 || rounds.is_multiple_of(FORGET_CLOSED_EVERY) {
            self.network.forget_closed();
        }
    }
}
