//! Faults strike.

use crate::control_machine::ControlMachine;
use crate::event::Happening;
use crate::fault::Fault;
use crate::mechanism::Mechanism;
use crate::place::Place;
use crate::world::World;
use crate::{MILLISECOND, SECOND};
use millrudder_chain::SimulatedDisk;

/// A process that was told to stop serves on for so long after the others can do without it (microseconds).
const LINGER: u64 = 250 * MILLISECOND;
/// The platform waits for so long before it ends a process that was told to stop.
const GRACE: u64 = 6 * SECOND;
/// A machine without power may come back so much later than planned.
const LATER: u64 = 50 * MILLISECOND;

impl<M: ControlMachine> World<M> {
    /// Lets a fault happen now; one that takes a second disk before the first is made up for is left out.
    pub fn strike(&mut self, fault: &Fault) {
        if fault.takes_disk() && !self.may_lose_disk(fault) {
            return;
        }
        self.faults_end = self.faults_end.max(self.now + fault.micros() + LATER);
        match fault {
            Fault::Kill { place, down } => self.kill(*place, *down),
            Fault::PowerLoss { place, down } => self.lose_power(*place, *down),
            Fault::PowerLossOfAll { down } => {
                for place in self.disks() {
                    self.lose_power(place, *down);
                }
            }
            Fault::Wipe { place, down } => {
                self.lose_power(*place, *down);
                self.wipe(*place);
            }
            Fault::WipeInDarkness { place, down } => {
                for other in self.places() {
                    self.lose_power(other, *down);
                }
                self.wipe(*place);
            }
            Fault::Replace { place, down } => {
                self.lose_power(*place, *down);
                self.machine(*place).generation += 1;
                self.wipe(*place);
            }
            Fault::Stop { place, down } => self.stop(*place, *down),
            Fault::Freeze { place, micros } => self.freeze(*place, *micros),
            Fault::Suspend { place, micros } => self.suspend(*place, *micros),
            Fault::Isolate { place, micros } => self.split(&[*place], *micros),
            Fault::Split { places, micros } => self.split(places, *micros),
            Fault::Halves { places, micros } => self.halve(places, *micros),
            Fault::CutOneWay { from, to, micros } => self.network.cut(*from, *to, self.now + micros),
            Fault::Mute { place, micros } => {
                for other in self.places() {
                    self.network.cut(*place, other, self.now + micros);
                }
            }
            Fault::Reset { place } => self.reset(*place),
            Fault::SlowDisk { place, micros } => {
                let until = self.now + micros;
                self.machine(*place).slow_until = until;
            }
            Fault::LoseAnswers { micros } => self.lose_answers_until = self.now + micros,
        }
    }

    /// All machines.
    pub(crate) fn places(&self) -> Vec<Place> {
        self.machines.keys().copied().collect()
    }

    fn disks(&self) -> Vec<Place> {
        self.places().into_iter().filter(|place| place.has_disk()).collect()
    }

    /// Disks of one kind are lost one at a time: as many as are tolerated.
    fn may_lose_disk(&mut self, fault: &Fault) -> bool {
        let (Fault::Wipe { place, .. } | Fault::WipeInDarkness { place, .. } | Fault::Replace { place, .. }) =
            fault
        else {
            return true;
        };
        self.note_made_up_disks();
        let same_kind = |other: &Place| matches!(other, Place::Core(_)) == matches!(place, Place::Core(_));
        let lost = self.machines.iter().filter(|(other, _)| same_kind(other));
        lost.filter(|(_, machine)| machine.disk_lost).count() < self.plan.shape.tolerated_losses as usize
    }

    fn kill(&mut self, place: Place, down: u64) {
        self.end_process(place);
        match place {
            Place::Core(index) => {
                let kept = self.random.usize(0..=self.cores[index].disk.pending());
                self.cores[index].disk.crash(kept);
            }
            Place::Store(index) => self.stores[index].disk.process_died(),
            _ => {}
        }
        for connection in self.network.touching(place) {
            self.notice_closed(connection, place);
        }
        self.schedule_start(place, self.now + down);
    }

    fn lose_power(&mut self, place: Place, down: u64) {
        self.end_process(place);
        match place {
            Place::Core(index) => self.cores[index].disk.crash(0),
            Place::Store(index) => self.stores[index].disk.power_lost(),
            _ => {}
        }
        let later = self.random.u64(0..LATER);
        self.schedule_start(place, self.now + down + later);
    }

    fn end_process(&mut self, place: Place) {
        match place {
            Place::Core(index) => self.cores[index].process = None,
            Place::Store(index) => self.stores[index].process = None,
            Place::Dispatcher(index) => self.dispatchers[index].process = None,
            Place::Operator(_) => {}
        }
        for connection in self.network.touching(place) {
            if let Some(link) = self.network.link_mut(connection) {
                link.close_at(place);
            }
        }
        let machine = self.machine(place);
        machine.life += 1;
        machine.frozen_until = 0;
    }

    fn wipe(&mut self, place: Place) {
        self.machine(place).disk_lost = true;
        match place {
            Place::Core(index) => {
                let keeps_name = !self.plan.mutant.has(Mechanism::NewIdentityAfterWipe);
                let core = &mut self.cores[index];
                core.lost_a_disk = true;
                let id = core.disk.state().map(|state| state.id).filter(|_| keeps_name);
                core.disk = id.map_or_else(SimulatedDisk::default, SimulatedDisk::with_identity);
            }
            Place::Store(index) => {
                let keeps_name = !self.plan.mutant.has(Mechanism::FilledBeforeCounted);
                let id = self.stores[index].id;
                self.new_store_disk(index);
                if keeps_name {
                    self.stores[index].id = id;
                }
            }
            _ => {}
        }
    }

    fn stop(&mut self, place: Place, down: u64) {
        let grace = match place {
            Place::Core(_) | Place::Store(_) if self.plan.mutant.has(Mechanism::LeaverLingers) => GRACE,
            _ => 0,
        };
        self.give(place, Happening::Leaving);
        self.faults_end = self.faults_end.max(self.now + grace + down + LATER);
        let linger = LINGER.min(grace);
        self.schedule_end(place, self.now + linger, down, self.now + grace);
    }

    fn freeze(&mut self, place: Place, micros: u64) {
        let until = self.now + micros;
        let machine = self.machine(place);
        machine.frozen_until = machine.frozen_until.max(until);
    }

    fn suspend(&mut self, place: Place, micros: u64) {
        if !self.runs(place) {
            return;
        }
        self.freeze(place, micros);
        match place {
            Place::Core(index) => self.cores[index].clock.stood_still += micros,
            Place::Store(index) => self.stores[index].clock.stood_still += micros,
            Place::Dispatcher(index) => self.dispatchers[index].clock.stood_still += micros,
            Place::Operator(_) => {}
        }
    }

    fn split(&mut self, places: &[Place], micros: u64) {
        let until = self.now + micros;
        for inside in places {
            for outside in self.places() {
                if !places.contains(&outside) {
                    self.network.cut(*inside, outside, until);
                    self.network.cut(outside, *inside, until);
                }
            }
        }
    }

    fn halve(&mut self, places: &[Place], micros: u64) {
        let until = self.now + micros;
        let (ours, theirs): (Vec<Place>, Vec<Place>) =
            self.disks().into_iter().partition(|place| places.contains(place));
        for one in ours {
            for other in &theirs {
                self.network.cut(one, *other, until);
                self.network.cut(*other, one, until);
            }
        }
    }

    fn reset(&mut self, place: Place) {
        for connection in self.network.touching(place) {
            let Some(link) = self.network.link(connection).copied() else { continue };
            self.notice_closed(connection, link.dialer);
            self.notice_closed(connection, link.acceptor);
        }
    }
}
