//! Failure detection: direct and indirect probes, and what their ends mean.

use std::net::SocketAddr;
use std::time::Duration;

use crate::events::{Event, Output};
use crate::identity::{MemberId, MemberName};
use crate::member::Status;
use crate::probes::{DueProbe, Probe};
use crate::relayed_probes::Relay;
use crate::wire::{Message, Sequence};
use crate::Membership;

/// Probes in succession without any datagram at all that this process blames on its own connection.
const SILENT_PROBES_EXCUSED: u32 = 3;

impl Membership {
    pub(crate) fn begin_probe_if_due(&mut self, outputs: &mut Vec<Output>) {
        if self.timers.probe > self.now() {
            return;
        }
        self.timers.probe = self.now() + self.config.probe_period;
        if let Some(name) = self.order.advance(&mut self.random) {
            self.begin_probe(&name, outputs);
        }
        self.begin_waiting_probes(outputs);
    }

    /// Probes a member outside of the round.
    pub(crate) fn verify(&mut self, id: &MemberId, outputs: &mut Vec<Output>) {
        let is_known = self.table.get(&id.name).is_some_and(|member| member.id == *id && member.is_live());
        if is_known && *id != self.me {
            self.verify_name(&id.name, outputs);
        }
    }

    pub(crate) fn verify_name(&mut self, name: &MemberName, outputs: &mut Vec<Output>) {
        if self.probes.has_room() {
            self.begin_probe(name, outputs);
        } else {
            self.probes.wait(name.clone());
        }
    }

    fn begin_waiting_probes(&mut self, outputs: &mut Vec<Output>) {
        while self.probes.has_room() {
            let Some(name) = self.probes.take_waiting() else { return };
            self.begin_probe(&name, outputs);
        }
    }

    fn begin_probe(&mut self, name: &MemberName, outputs: &mut Vec<Output>) {
        if self.probes.probes(name) {
            return;
        }
        let Some(member) = self.table.get(name).filter(|member| member.is_live()) else { return };
        let (target, address) = (member.id.clone(), member.address);
        let sequence = self.probes.take_sequence();
        let probe = self.new_probe(target.clone());
        self.probes.open(sequence, probe);
        self.send(address, Some(name), Message::Ping { sequence, target }, outputs);
    }

    fn new_probe(&mut self, target: MemberId) -> Probe {
        let now = self.now();
        let timeout = self.probe_timeout(&target.name);
        Probe {
            target,
            sent_at: now,
            asked_at: now,
            indirect_at: Some(now + timeout),
            ends_at: now + self.scaled(self.config.probe_period),
            has_helpers: false,
            excused: false,
        }
    }

    /// Wait for a direct answer: what was measured, within bounds that leave others the time to answer for the target,
    /// and longer while this process is not well.
    fn probe_timeout(&mut self, name: &MemberName) -> Duration {
        let measured = self.table.round_trip_mut(name).and_then(|round_trip| round_trip.timeout());
        let upper = self.config.probe_period * 2 / 5;
        let timeout = match measured {
            Some(measured) => measured.max(self.config.min_probe_timeout).min(upper),
            None => self.config.probe_timeout,
        };
        self.scaled(timeout)
    }

    fn scaled(&self, time: Duration) -> Duration {
        time * self.health.multiplier()
    }

    pub(crate) fn run_open_probes(&mut self, outputs: &mut Vec<Output>) {
        while let Some(due) = self.probes.due(self.now()) {
            match due {
                DueProbe::AskOthers(sequence) => self.ask_others(sequence, outputs),
                DueProbe::End(sequence) => self.end_unanswered(sequence, outputs),
            }
        }
    }

    /// Asks some members to ping the target, and pings it once more since the first datagram may have been lost.
    fn ask_others(&mut self, sequence: Sequence, outputs: &mut Vec<Output>) {
        let now = self.now();
        let Some(probe) = self.probes.get_mut(sequence) else { return };
        probe.indirect_at = None;
        probe.asked_at = now;
        let target = probe.target.clone();
        let helpers = self.choose_helpers(&target.name);
        if let Some(probe) = self.probes.get_mut(sequence) {
            probe.has_helpers = !helpers.is_empty();
        }
        let Some(address) = self.table.get(&target.name).map(|member| member.address) else { return };
        self.send(address, Some(&target.name), Message::Ping { sequence, target: target.clone() }, outputs);
        for helper in helpers {
            let message = Message::IndirectPing { sequence, target: target.clone(), address: address.into() };
            self.send_to_member(&helper, message, outputs);
        }
    }

    /// Members under no suspicion themselves, at random.
    fn choose_helpers(&mut self, target: &MemberName) -> Vec<MemberName> {
        let mut helpers = self.order.sample(self.config.indirect_probes * 2, Some(target), &mut self.random);
        helpers.retain(|name| self.table.get(name).is_some_and(|member| member.status == Status::Alive));
        helpers.truncate(self.config.indirect_probes);
        helpers
    }

    fn end_unanswered(&mut self, sequence: Sequence, outputs: &mut Vec<Output>) {
        let Some(probe) = self.probes.end(sequence) else { return };
        if probe.excused || self.suspicions.are_withheld(self.now()) {
            self.probes.wait(probe.target.name);
            return;
        }
        self.health.fail(&probe.target.name);
        if self.excuses_silence(&probe, outputs) {
            self.probes.wait(probe.target.name);
            return;
        }
        self.suspect(&probe.target.name, outputs);
        // The next probe carries the suspicion to its subject, which can refute at once.
        self.probes.wait(probe.target.name);
    }

    /// Whether all were silent since the helpers were asked, so that this process rather than the target may be cut off.
    fn excuses_silence(&mut self, probe: &Probe, outputs: &mut Vec<Output>) -> bool {
        if self.contact.last.is_some_and(|last| last >= probe.asked_at) {
            return false;
        }
        self.contact.silent_probes += 1;
        let is_excused = self.contact.silent_probes <= SILENT_PROBES_EXCUSED;
        if !is_excused && !self.contact.lost {
            self.contact.lost = true;
            outputs.push(Output::Event(Event::ContactLost));
        }
        probe.has_helpers && is_excused
    }

    pub(crate) fn on_ping(
        &mut self,
        from: SocketAddr,
        sender: &MemberName,
        sequence: Sequence,
        target: &MemberId,
        outputs: &mut Vec<Output>,
    ) {
        if *target == self.me {
            self.send(from, Some(sender), Message::Ack { sequence }, outputs);
        } else {
            self.send_with_own_record(from, Message::WrongTarget { sequence }, outputs);
        }
    }

    pub(crate) fn on_ack(&mut self, sender: &MemberId, sequence: Sequence, outputs: &mut Vec<Output>) {
        if let Some(relay) = self.relays.close(sequence) {
            let answer = Message::Ack { sequence: relay.requested };
            self.send(relay.requester, None, answer, outputs);
            return;
        }
        let Some(probe) = self.probes.close(sequence) else {
            self.on_late_ack(sequence);
            return;
        };
        let sample = self.now().saturating_sub(probe.sent_at);
        if sample <= self.config.probe_period {
            self.health.improve();
        }
        // An answer to the second ping counts from the first: too long at worst, and never beyond the period.
        if *sender == probe.target && !probe.excused {
            if let Some(round_trip) = self.table.round_trip_mut(&sender.name) {
                round_trip.record(sample);
            }
        }
    }

    /// The target lives, and this process or its connection is slow: the target gets more time to refute.
    fn on_late_ack(&mut self, sequence: Sequence) {
        let Some(target) = self.probes.take_ended(sequence) else { return };
        self.health.worsen();
        if self.table.get(&target.name).is_some_and(|held| held.id == target) {
            self.extend_suspicion(&target.name);
        }
    }

    /// Another process answers at the target's address: the target is no longer there.
    pub(crate) fn on_wrong_target(&mut self, sequence: Sequence, outputs: &mut Vec<Output>) {
        if let Some(relay) = self.relays.close(sequence) {
            let answer = Message::WrongTarget { sequence: relay.requested };
            self.send(relay.requester, None, answer, outputs);
            return;
        }
        let Some(probe) = self.probes.close(sequence) else { return };
        let is_same_process = self.table.get(&probe.target.name).is_some_and(|held| held.id == probe.target);
        if is_same_process {
            self.declare_dead(&probe.target.name, outputs);
        }
    }

    pub(crate) fn report_unanswered_relays(&mut self, outputs: &mut Vec<Output>) {
        while let Some(relay) = self.relays.take_unanswered(self.now()) {
            let answer = Message::Nack { sequence: relay.requested };
            self.send(relay.requester, None, answer, outputs);
        }
    }

    pub(crate) fn on_indirect_ping(
        &mut self,
        from: SocketAddr,
        requested: Sequence,
        target: MemberId,
        address: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        let sequence = self.probes.take_sequence();
        // Early enough for the requester to hear of it within its period.
        let nack_at = Some(self.now() + self.config.probe_period / 4);
        self.relays.open(sequence, Relay { requester: from, requested, nack_at });
        let name = target.name.clone();
        self.send(address, Some(&name), Message::Ping { sequence, target }, outputs);
    }
}
