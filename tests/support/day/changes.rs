//! Changes around the dispatcher during a day: lists, workers, operators and upgrades.

use super::{with_recorded_names, Day, Occurrence, CLASSES};
use millrudder::*;
use std::fmt::Write;

/// Mean time between changes of the list (ms).
const CHANGE_MS: f64 = 500.0;
/// Mean time between load reports (ms).
const REPORT_MS: f64 = 100.0;
/// Mean time between commands of operators (ms).
const OPERATOR_MS: f64 = 400.0;
/// Mean time between upgrades (ms).
const UPGRADE_MS: f64 = 6_000.0;
/// Time from an upgrade to the end of the predecessor (ms).
const PREDECESSOR_MS: f64 = 1_500.0;
/// Additional workers on some days that the first list names and later ones do not: more than the module
/// keeps.
const EXCESS_WORKERS: u32 = 1_100;

impl Day {
    pub(super) fn report(&mut self) {
        let worker = self.rng.u32(..self.machines.len() as u32);
        let load = Some(self.load(worker));
        self.event(Event::Probed { worker, outcome: Outcome::Ok, latency: 1.0, load });
        self.after_random_time(REPORT_MS, Occurrence::Report);
    }

    fn entries(&self) -> Vec<Entry> {
        self.machines.iter().filter(|m| m.listed).map(|m| m.entry.clone()).collect()
    }

    pub(super) fn list(&mut self, kind: ListKind) {
        let entries = self.entries();
        self.event(Event::List { kind, entries });
    }

    /// A list that names one worker twice.
    fn list_with_duplicate(&mut self, kind: ListKind, entry: Entry) {
        let entries = self.entries().into_iter().chain([entry]).collect();
        self.event(Event::List { kind, entries });
    }

    pub(super) fn list_unavailable(&mut self) {
        self.event(Event::List { kind: ListKind::Unavailable, entries: Vec::new() });
    }

    /// One worker changes, and a list may report it.
    pub(super) fn change_list(&mut self) {
        let now = self.now;
        let i = self.rng.usize(..self.machines.len());
        let act = self.rng.usize(..12);
        let machine = &mut self.machines[i];
        match act {
            0 | 1 => (machine.entry.ready_at, machine.entry.mode) = (Some(now), Mode::Ready),
            2 => machine.entry.mode = Mode::Draining,
            3 => machine.entry.mode = Mode::Gone,
            4 | 5 => machine.entry.mode = Mode::Ready,
            6 => machine.listed = !machine.listed,
            7 => machine.down = !machine.down,
            8 => machine.failure_rate = 0.7 - machine.failure_rate,
            9 => machine.speed *= if machine.speed > 0.3 { 0.2 } else { 5.0 },
            10 => machine.entry.ready_at = Some(now + 700.0),
            _ => machine.entry.kind = machine.entry.kind.map(|kind| kind ^ 1),
        }
        let entry = machine.entry.clone();
        match self.rng.usize(..24) {
            0..3 => self.list_unavailable(),
            3..6 => self.list(ListKind::Replace),
            6..9 => self.list_with_duplicate(ListKind::Replace, entry),
            9 => self.event(Event::List { kind: ListKind::Replace, entries: vec![entry] }),
            _ => self.event(Event::List { kind: ListKind::Update, entries: vec![entry] }),
        }
        self.after_random_time(CHANGE_MS, Occurrence::ListChange);
    }

    /// Lists more workers than the module keeps, and removes them again.
    pub(super) fn list_excess_workers(&mut self) {
        let first = self.machines.len() as u32;
        let any = self.machines[0].entry.clone();
        let excess: Vec<Entry> =
            (first..first + EXCESS_WORKERS).map(|worker| Entry { worker, ..any.clone() }).collect();
        self.event(Event::List { kind: ListKind::Update, entries: excess.clone() });
        for part in excess.chunks(EXCESS_WORKERS as usize / 8) {
            self.now += 1.0;
            let entries = part.iter().map(|entry| Entry { mode: Mode::Gone, ..entry.clone() }).collect();
            self.event(Event::List { kind: ListKind::Update, entries });
        }
        self.list(ListKind::Replace);
    }

    pub(super) fn operate(&mut self) {
        let worker = self.rng.u32(..self.machines.len() as u32);
        match self.rng.usize(..16) {
            0 => self.change_settings(),
            1..8 => self.event(Event::Ban { worker, on: true }),
            // A restart that lists report before the worker is restored.
            8 => self.machines[worker as usize].entry.ready_at = Some(self.now),
            _ => self.restore_all(),
        }
        self.after_random_time(OPERATOR_MS, Occurrence::Operator);
    }

    fn restore_all(&mut self) {
        for worker in 0..self.machines.len() as u32 {
            self.event(Event::Ban { worker, on: false });
        }
    }

    /// Applies new settings: the classes in another order, one of them new.
    fn change_settings(&mut self) {
        let turn = self.rng.usize(..CLASSES);
        self.settings.classes.rotate_left(turn);
        self.settings.limits.max_attempts = self.rng.usize(1..6);
        let place = |i| (i + turn) % CLASSES;
        let from = (0..CLASSES).map(|i| (i > 0).then_some(place(i))).collect();
        self.event(Event::Settings { settings: Box::new(self.settings.clone()), from });
    }

    /// A successor takes over; open attempts stay with the predecessor.
    pub(super) fn upgrade(&mut self) {
        let predecessor_state = self.balancer.export();
        let learned = with_recorded_names(format!("{predecessor_state:?}"));
        write!(self.digest, "{learned}").expect("writing to a digest never fails");
        self.process += 1;
        self.balancer = Balancer::new(self.settings.clone(), self.rng.u64(..));
        self.list(ListKind::Restored);
        if self.rng.f64() < 0.8 {
            self.balancer.import(&predecessor_state).expect("the state is valid and of this version");
        }
        self.after(PREDECESSOR_MS, Occurrence::PredecessorGone);
        self.after_random_time(UPGRADE_MS, Occurrence::Upgrade);
    }
}
