//! Failure detection: direct and indirect probes, and the handling of their results.

use std::net::SocketAddr;
use std::time::Duration;

use super::Membership;
use crate::events::{Event, Output};
use crate::identity::{MemberId, MemberName};
use crate::member::Status;
use crate::probes::{DueProbe, Probe};
use crate::relayed_probes::RelayedProbe;
use crate::wire::{Message, Sequence};

impl Membership {
    pub(super) fn begin_probe_if_due(&mut self, outputs: &mut Vec<Output>) {
        if !self.timers.take_due_probe(self.now(), self.config.probe_period) {
            return;
        }
        if let Some(name) = self.probe_order.advance(&mut self.random) {
            self.begin_probe(&name, outputs);
        }
        self.begin_queued_probes(outputs);
    }

    /// Probes a member immediately at the request of the embedder, if that process is still live.
    pub(super) fn handle_probe_request(&mut self, id: &MemberId, outputs: &mut Vec<Output>) {
        let is_known = self.table.get(&id.name).is_some_and(|member| member.id == *id && member.is_live());
        if is_known && *id != self.local_id {
            self.probe_out_of_turn(&id.name, outputs);
        }
    }

    pub(super) fn probe_out_of_turn(&mut self, name: &MemberName, outputs: &mut Vec<Output>) {
        if self.probes.has_capacity() {
            self.begin_probe(name, outputs);
        } else {
            self.probes.enqueue(name.clone());
        }
    }

    fn begin_queued_probes(&mut self, outputs: &mut Vec<Output>) {
        while self.probes.has_capacity() {
            let Some(name) = self.probes.pop_queued() else { return };
            self.begin_probe(&name, outputs);
        }
    }

    fn begin_probe(&mut self, name: &MemberName, outputs: &mut Vec<Output>) {
        if self.probes.is_probing(name) {
            return;
        }
        let Some(member) = self.table.get(name).filter(|member| member.is_live()) else { return };
        let (target, address) = (member.id.clone(), member.address);
        let sequence = self.probes.allocate_sequence();
        let probe = self.new_probe(target.clone());
        self.probes.insert(sequence, probe);
        self.send(address, Some(name), Message::Ping { sequence, target }, outputs);
    }

    fn new_probe(&mut self, target: MemberId) -> Probe {
        let now = self.now();
        let timeout = self.probe_timeout(&target.name);
        Probe {
            target,
            sent_at: now,
            last_sent_at: now,
            indirect_at: Some(now + timeout),
            ends_at: now + self.scaled_by_health(self.config.probe_period),
            has_relays: false,
            is_excused: false,
        }
    }

    /// Returns the time-out of a direct probe. It is derived from measured round trips, within bounds that leave time for
    /// indirect probes, and is extended while the local health score is raised.
    fn probe_timeout(&mut self, name: &MemberName) -> Duration {
        let measured = self.table.round_trip_mut(name).and_then(|round_trip| round_trip.timeout());
        let upper = self.config.probe_period * 2 / 5;
        let timeout = match measured {
            Some(measured) => measured.max(self.config.min_probe_timeout).min(upper),
            None => self.config.probe_timeout,
        };
        self.scaled_by_health(timeout)
    }

    fn scaled_by_health(&self, time: Duration) -> Duration {
        time * self.health.multiplier()
    }

    pub(super) fn run_due_probes(&mut self, outputs: &mut Vec<Output>) {
        while let Some(due) = self.probes.due(self.now()) {
            match due {
                DueProbe::Indirect(sequence) => self.probe_indirectly(sequence, outputs),
                DueProbe::Expire(sequence) => self.expire_probe(sequence, outputs),
            }
        }
    }

    /// Asks some members to ping the target, and pings it again, since the first datagram may have been lost.
    fn probe_indirectly(&mut self, sequence: Sequence, outputs: &mut Vec<Output>) {
        let now = self.now();
        let Some(probe) = self.probes.get_mut(sequence) else { return };
        probe.indirect_at = None;
        probe.last_sent_at = now;
        let target = probe.target.clone();
        let relays = self.choose_relays(&target.name);
        if let Some(probe) = self.probes.get_mut(sequence) {
            probe.has_relays = !relays.is_empty();
        }
        let Some(address) = self.table.get(&target.name).map(|member| member.address) else { return };
        self.send(address, Some(&target.name), Message::Ping { sequence, target: target.clone() }, outputs);
        for relay in relays {
            let message = Message::IndirectPing { sequence, target: target.clone(), address: address.into() };
            self.send_to_member(&relay, message, outputs);
        }
    }

    /// Chooses random members that are not suspected themselves.
    fn choose_relays(&mut self, target: &MemberName) -> Vec<MemberName> {
        let mut relays =
            self.probe_order.sample(self.config.indirect_probes * 2, Some(target), &mut self.random);
        relays.retain(|name| self.table.get(name).is_some_and(|member| member.status == Status::Alive));
        relays.truncate(self.config.indirect_probes);
        relays
    }

    fn expire_probe(&mut self, sequence: Sequence, outputs: &mut Vec<Output>) {
        let Some(probe) = self.probes.expire(sequence) else { return };
        if probe.is_excused || self.suspicions.are_suspended(self.now()) {
            self.probes.enqueue(probe.target.name);
            return;
        }
        self.health.record_missing_answer(&probe.target.name);
        if self.is_excused_by_isolation(&probe, outputs) {
            self.probes.enqueue(probe.target.name);
            return;
        }
        self.suspect(&probe.target.name, outputs);
        // The next probe carries the suspicion to the suspect, which can then refute it immediately.
        self.probes.enqueue(probe.target.name);
    }

    /// Returns whether no datagram at all has arrived since the last pings of the probe, so that this process rather than the
    /// target may be isolated.
    fn is_excused_by_isolation(&mut self, probe: &Probe, outputs: &mut Vec<Output>) -> bool {
        let missed = self.contact.handle_missed_probe(probe.last_sent_at);
        if missed.is_contact_lost {
            outputs.push(Output::Event(Event::ContactLost));
        }
        probe.has_relays && missed.is_excused
    }

    pub(super) fn handle_ping(
        &mut self,
        from: SocketAddr,
        sender: &MemberName,
        sequence: Sequence,
        target: &MemberId,
        outputs: &mut Vec<Output>,
    ) {
        if *target == self.local_id {
            self.send(from, Some(sender), Message::Ack { sequence }, outputs);
        } else {
            self.send_with_own_record(from, Message::WrongTarget { sequence }, outputs);
        }
    }

    pub(super) fn handle_ack(&mut self, sender: &MemberId, sequence: Sequence, outputs: &mut Vec<Output>) {
        if let Some(relay) = self.relayed_probes.remove(sequence) {
            let answer = Message::Ack { sequence: relay.requester_sequence };
            self.send(relay.requester, None, answer, outputs);
            return;
        }
        let Some(probe) = self.probes.remove(sequence) else {
            self.handle_late_ack(sequence);
            return;
        };
        let sample = self.now() - probe.sent_at;
        if sample <= self.config.probe_period {
            self.health.record_timely_answer();
        }
        // The round trip is measured from the first ping even if the second one was answered. The result may be too long, but
        // never exceeds the extended probe period.
        if *sender == probe.target && !probe.is_excused {
            if let Some(round_trip) = self.table.round_trip_mut(&sender.name) {
                round_trip.record(sample);
            }
        }
    }

    /// Handles an answer to an expired probe: the target is alive and this process or its connection is slow, so the target
    /// gets more time to refute a suspicion.
    fn handle_late_ack(&mut self, sequence: Sequence) {
        let Some(target) = self.probes.take_expired(sequence) else { return };
        self.health.record_degradation();
        if self.table.get(&target.name).is_some_and(|known| known.id == target) {
            self.extend_suspicion(&target.name);
        }
    }

    /// Handles the answer of another process at the target's address: the target no longer runs there and is declared dead.
    pub(super) fn handle_wrong_target(&mut self, sequence: Sequence, outputs: &mut Vec<Output>) {
        if let Some(relay) = self.relayed_probes.remove(sequence) {
            let answer = Message::WrongTarget { sequence: relay.requester_sequence };
            self.send(relay.requester, None, answer, outputs);
            return;
        }
        let Some(probe) = self.probes.remove(sequence) else { return };
        let is_same_process =
            self.table.get(&probe.target.name).is_some_and(|known| known.id == probe.target);
        if is_same_process {
            self.declare_dead(&probe.target.name, outputs);
        }
    }

    pub(super) fn report_unanswered_relays(&mut self, outputs: &mut Vec<Output>) {
        while let Some(relay) = self.relayed_probes.take_unanswered(self.now()) {
            let answer = Message::Nack { sequence: relay.requester_sequence };
            self.send(relay.requester, None, answer, outputs);
        }
    }

    pub(super) fn handle_indirect_ping(
        &mut self,
        from: SocketAddr,
        requester_sequence: Sequence,
        target: MemberId,
        address: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        let sequence = self.probes.allocate_sequence();
        // A quarter of the period, so that the requester receives the notice within its own period.
        let nack_at = Some(self.now() + self.config.probe_period / 4);
        self.relayed_probes.insert(sequence, RelayedProbe { requester: from, requester_sequence, nack_at });
        let name = target.name.clone();
        self.send(address, Some(&name), Message::Ping { sequence, target }, outputs);
    }
}
