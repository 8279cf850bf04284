//! Changes around the dispatcher during a day: lists, workers, operators and upgrades.

use super::{with_recorded_names, Day, Due, CLASSES};
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
const CROWD: u32 = 1_100;

impl Day {
    pub(super) fn report(&mut self) {
        let worker = self.dice.u32(..self.machines.len() as u32);
        let load = Some(self.load(worker));
        self.event(Event::Probed { worker, outcome: Outcome::Ok, latency: 1.0, load });
        self.some_time(REPORT_MS, Due::Report);
    }

    fn entries(&self) -> Vec<Entry> {
        self.machines.iter().filter(|m| m.named).map(|m| m.entry.clone()).collect()
    }

    pub(super) fn list(&mut self, kind: ListKind) {
        let entries = self.entries();
        self.event(Event::List { kind, entries });
    }

    /// A list that names one worker twice.
    fn list_again(&mut self, kind: ListKind, entry: Entry) {
        let entries = self.entries().into_iter().chain([entry]).collect();
        self.event(Event::List { kind, entries });
    }

    pub(super) fn list_lost(&mut self) {
        self.event(Event::List { kind: ListKind::Unavailable, entries: Vec::new() });
    }

    /// One worker changes, and a list may report it.
    pub(super) fn change_list(&mut self) {
        let now = self.now;
        let i = self.dice.usize(..self.machines.len());
        let act = self.dice.usize(..12);
        let machine = &mut self.machines[i];
        match act {
            0 | 1 => (machine.entry.ready_at, machine.entry.mode) = (Some(now), Mode::Ready),
            2 => machine.entry.mode = Mode::Draining,
            3 => machine.entry.mode = Mode::Gone,
            4 | 5 => machine.entry.mode = Mode::Ready,
            6 => machine.named = !machine.named,
            7 => machine.down = !machine.down,
            8 => machine.failing = 0.7 - machine.failing,
            9 => machine.speed *= if machine.speed > 0.3 { 0.2 } else { 5.0 },
            10 => machine.entry.ready_at = Some(now + 700.0),
            _ => machine.entry.kind = machine.entry.kind.map(|kind| kind ^ 1),
        }
        let entry = machine.entry.clone();
        match self.dice.usize(..24) {
            0..3 => self.list_lost(),
            3..6 => self.list(ListKind::Replace),
            6..9 => self.list_again(ListKind::Replace, entry),
            9 => self.event(Event::List { kind: ListKind::Replace, entries: vec![entry] }),
            _ => self.event(Event::List { kind: ListKind::Update, entries: vec![entry] }),
        }
        self.some_time(CHANGE_MS, Due::ListChange);
    }

    /// Lists more workers than the module keeps, and removes them again.
    pub(super) fn crowd(&mut self) {
        let first = self.machines.len() as u32;
        let any = self.machines[0].entry.clone();
        let crowd: Vec<Entry> =
            (first..first + CROWD).map(|worker| Entry { worker, ..any.clone() }).collect();
        self.event(Event::List { kind: ListKind::Update, entries: crowd.clone() });
        for part in crowd.chunks(CROWD as usize / 8) {
            self.now += 1.0;
            let entries = part.iter().map(|entry| Entry { mode: Mode::Gone, ..entry.clone() }).collect();
            self.event(Event::List { kind: ListKind::Update, entries });
        }
        self.list(ListKind::Replace);
    }

    pub(super) fn operate(&mut self) {
        let worker = self.dice.u32(..self.machines.len() as u32);
        match self.dice.usize(..16) {
            0 => self.retune(),
            1..8 => self.event(Event::Ban { worker, on: true }),
            // A restart that lists report before the worker is restored.
            8 => self.machines[worker as usize].entry.ready_at = Some(self.now),
            _ => self.put_back(),
        }
        self.some_time(OPERATOR_MS, Due::Operator);
    }

    fn put_back(&mut self) {
        for worker in 0..self.machines.len() as u32 {
            self.event(Event::Ban { worker, on: false });
        }
    }

    /// Applies new settings: the classes in another order, one of them new.
    fn retune(&mut self) {
        let turn = self.dice.usize(..CLASSES);
        self.settings.classes.rotate_left(turn);
        self.settings.limits.max_attempts = self.dice.usize(1..6);
        let place = |i| (i + turn) % CLASSES;
        let from = (0..CLASSES).map(|i| (i > 0).then_some(place(i))).collect();
        self.event(Event::Settings { settings: Box::new(self.settings.clone()), from });
    }

    /// A successor takes over; open attempts stay with the predecessor.
    pub(super) fn upgrade(&mut self) {
        let memory = self.balancer.export();
        let learnt = with_recorded_names(format!("{memory:?}"));
        write!(self.digest, "{learnt}").expect("a digest takes all");
        self.process += 1;
        self.balancer = Balancer::new(self.settings.clone(), self.dice.u64(..));
        self.list(ListKind::Restored);
        if self.dice.f64() < 0.8 {
            self.balancer.import(&memory).expect("it is of this version and sound");
        }
        self.after(PREDECESSOR_MS, Due::PredecessorGone);
        self.some_time(UPGRADE_MS, Due::Upgrade);
    }
}
