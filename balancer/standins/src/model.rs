//! One worker, without I/O or clock: slots, a bounded queue, speed, a cold start and a fall-over. Times in ms, work
//! in ms at speed 1.

use std::collections::VecDeque;

/// While it is cold its speed changes; it is looked at this often (ms).
const COLD_STEP_MS: f64 = 25.0;
/// What is left over by rounding is none: a step that is too small for the time's digits would never end.
const ROUNDING_MS: f64 = 1e-3;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    pub cores: usize,
    pub slots: usize,
    pub queue: usize,
    pub speed: f64,
    /// Part of its capacity that it starts with, and how long until it has all of it.
    pub cold_from: f64,
    pub cold_ms: f64,
    /// Sent more than so many times what it can do for so long while cold, it falls over.
    pub fall_multiple: f64,
    pub fall_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Finishes what it has.
    Draining,
    /// Fallen over, or gone.
    Down,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    pub id: String,
    left: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Started(String),
    Done(String),
    /// It fell over with this job.
    Lost(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Accepted,
    Full,
    /// Nobody is there.
    Down,
}

pub struct Worker {
    pub spec: Spec,
    pub mode: Mode,
    /// When it came up; far back: warm.
    pub since: f64,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    at: f64,
    /// Work sent while cold: when, how much.
    sent: VecDeque<(f64, f64)>,
    /// The most that was sent while cold, over what it may be sent: over 1 it falls.
    pub worst: f64,
}

impl Worker {
    pub fn new(spec: Spec, since: f64, now: f64) -> Self {
        Worker {
            spec,
            mode: Mode::Up,
            since,
            running: Vec::new(),
            waiting: VecDeque::new(),
            at: now,
            sent: VecDeque::new(),
            worst: 0.0,
        }
    }

    /// Part of its full capacity.
    pub fn warmth(&self, now: f64) -> f64 {
        let age = ((now - self.since) / self.spec.cold_ms.max(1e-9)).clamp(0.0, 1.0);
        self.spec.cold_from + (1.0 - self.spec.cold_from) * age
    }

    pub fn take(&mut self, id: &str, work: f64, now: f64, out: &mut Vec<Event>) -> Taken {
        self.advance(now, out);
        if self.mode == Mode::Down {
            return Taken::Down;
        }
        if self.warmth(now) < 1.0 && self.falls(work, now) {
            self.fall(out);
            return Taken::Down;
        }
        if self.running.len() >= self.spec.slots && self.waiting.len() >= self.spec.queue {
            return Taken::Full;
        }
        self.waiting.push_back(Run { id: id.to_owned(), left: work });
        self.fill(out);
        Taken::Accepted
    }

    /// Books work sent to it while cold; true if that was too much.
    fn falls(&mut self, work: f64, now: f64) -> bool {
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|(at, _)| now - at > self.spec.fall_ms) {
            self.sent.pop_front();
        }
        let sent: f64 = self.sent.iter().map(|(_, work)| work).sum();
        let capacity = self.spec.cores as f64 * self.spec.speed * self.warmth(now);
        self.worst = self.worst.max(sent / (self.spec.fall_multiple * capacity * self.spec.fall_ms));
        self.worst > 1.0
    }

    pub fn fall(&mut self, out: &mut Vec<Event>) {
        self.mode = Mode::Down;
        let jobs = self.running.drain(..).chain(self.waiting.drain(..));
        out.extend(jobs.map(|run| Event::Lost(run.id)));
    }

    /// A job is given up: what waits is dropped, what runs stops.
    pub fn give_up(&mut self, id: &str, now: f64, out: &mut Vec<Event>) {
        self.advance(now, out);
        self.waiting.retain(|run| run.id != id);
        self.running.retain(|run| run.id != id);
        self.fill(out);
    }

    fn rate(&self) -> f64 {
        let share = (self.spec.cores as f64 / self.running.len().max(1) as f64).min(1.0);
        self.spec.speed * self.warmth(self.at) * share
    }

    fn fill(&mut self, out: &mut Vec<Event>) {
        while self.running.len() < self.spec.slots {
            let Some(run) = self.waiting.pop_front() else { return };
            out.push(Event::Started(run.id.clone()));
            if run.left <= 0.0 {
                out.push(Event::Done(run.id));
            } else {
                self.running.push(run);
            }
        }
    }

    /// Carries the work on to this time.
    pub fn advance(&mut self, now: f64, out: &mut Vec<Event>) {
        while self.at < now {
            let step = self.next().map_or(now, |next| next.min(now)).max(self.at);
            let done = self.rate() * (step - self.at);
            self.running.iter_mut().for_each(|run| run.left -= done);
            let stuck = step <= self.at;
            self.at = step;
            let (over, on): (Vec<Run>, Vec<Run>) =
                self.running.drain(..).partition(|run| run.left <= ROUNDING_MS);
            self.running = on;
            out.extend(over.into_iter().map(|run| Event::Done(run.id)));
            self.fill(out);
            if stuck {
                self.at = now;
            }
        }
    }

    /// When something changes next by itself.
    pub fn next(&self) -> Option<f64> {
        let least = self.running.iter().map(|run| run.left).fold(f64::INFINITY, f64::min);
        let done = self.at + least / self.rate();
        let step = if self.warmth(self.at) < 1.0 { self.at + COLD_STEP_MS } else { f64::INFINITY };
        done.is_finite().then_some(done.min(step))
    }

    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub fn free_slots(&self) -> usize {
        self.spec.slots - self.running.len()
    }
}

#[cfg(test)]
mod tests;
