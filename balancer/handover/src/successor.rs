//! The side of the new process. It accepts when the predecessor passes it the serving role, or when the predecessor is
//! dead. A successor that gives up exits, except in an upgrade by the platform, where it serves instead.

use crate::{Action, Event, Limits, Message, Outcome, VERSION};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SuccessorPhase {
    /// `Hello` is sent; the predecessor's offer is awaited.
    HelloSent,
    /// It checks its settings.
    Checking,
    /// Its settings are valid; the predecessor's state is awaited.
    Checked,
    /// It loads the state.
    Loading,
    /// The state is loaded; it can accept as soon as it is told to.
    Ready,
    /// It accepts.
    Serving,
    /// It has returned the serving role and finishes its own jobs.
    Draining,
    /// It has given up; the process ends.
    Exiting,
}

use SuccessorPhase as Phase;

const RETURNED_TO_PREDECESSOR: &str = "the place went back";

#[derive(Clone, Debug, PartialEq)]
pub struct Successor {
    phase: Phase,
    limits: Limits,
    deadline: f64,
    /// Ids of the predecessor's jobs, until it reports their end.
    peer_jobs: Vec<String>,
    /// Ids of this process's open jobs, sent if it has to return the serving role.
    under_way: Vec<String>,
}

impl Successor {
    /// Starts the successor's side, on a new connection to the predecessor.
    pub fn new(limits: Limits, program: &str, now: f64, out: &mut Vec<Action>) -> Self {
        out.push(Action::Send(Message::Hello {
            version: VERSION,
            min_version: VERSION,
            program: program.to_owned(),
        }));
        Successor {
            phase: Phase::HelloSent,
            limits,
            deadline: now + limits.start,
            peer_jobs: Vec::new(),
            under_way: Vec::new(),
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn accepts(&self) -> bool {
        self.phase == Phase::Serving
    }

    pub fn deadline(&self) -> f64 {
        self.deadline
    }

    /// Whether the job with this id is the predecessor's: then a repeat of it is refused here, and a call-back for it
    /// is passed on to the predecessor.
    pub fn is_peer_job(&self, id: &str) -> bool {
        self.peer_jobs.iter().any(|known| known == id)
    }

    fn enter(&mut self, phase: Phase, limit: f64, now: f64) {
        (self.phase, self.deadline) = (phase, now + limit);
    }

    pub fn set_under_way(&mut self, ids: Vec<String>) {
        self.under_way = ids;
    }

    pub fn handle(&mut self, event: Event, now: f64, out: &mut Vec<Action>) {
        match event {
            Event::Message(message) => self.on_message(message, now, out),
            Event::PeerDied => self.on_peer_death(out),
            Event::SettingsChecked if self.phase == Phase::Checking => {
                self.enter(Phase::Checked, self.limits.load, now);
                out.push(Action::Send(Message::Checked));
            }
            Event::StateLoaded if self.phase == Phase::Loading => {
                // The predecessor decides what follows: without a message from it this process must not accept,
                // unless the platform manages the upgrade; then both may serve.
                let limit = if self.limits.platform_managed { self.limits.commit } else { f64::INFINITY };
                self.enter(Phase::Ready, limit, now);
                out.push(Action::Send(Message::Ready));
            }
            Event::Idle if self.phase == Phase::Draining => self.end(RETURNED_TO_PREDECESSOR.to_owned(), out),
            Event::LocalFailure(reason) if !self.accepts() => self.give_up(reason, out),
            // A serving successor stops like any other dispatcher: the predecessor sees it end and takes the serving
            // role back, or has already gone.
            Event::Stop if !self.accepts() => self.give_up("told to stop".to_owned(), out),
            _ => {}
        }
    }

    fn on_message(&mut self, message: Message, now: f64, out: &mut Vec<Action>) {
        match (self.phase, message) {
            (Phase::HelloSent, Message::Offer { .. }) => {
                self.enter(Phase::Checking, self.limits.start, now);
                out.push(Action::CheckSettings);
            }
            (Phase::Checked, Message::State(_)) => {
                self.enter(Phase::Loading, self.limits.load, now);
                out.push(Action::LoadState);
            }
            (Phase::Ready, Message::Commit { under_way, .. }) => {
                self.peer_jobs = under_way;
                self.accept(out);
                out.push(Action::Send(Message::Committed));
            }
            (Phase::Serving, Message::JobStarted { id }) => self.peer_jobs.push(id),
            (Phase::Serving, Message::JobEnded { id }) => self.peer_jobs.retain(|known| *known != id),
            (Phase::Ready | Phase::Serving, Message::TakeBack) => {
                // Stop before the message goes out, so that both never accept at the same time.
                if self.accepts() {
                    out.push(Action::StopAccepting);
                }
                self.enter(Phase::Draining, self.limits.drain, now);
                out.push(Action::Send(Message::GivenBack { under_way: self.under_way.clone() }));
                out.push(Action::Drain);
            }
            // A repeated request: the first `GivenBack` was lost.
            (Phase::Draining, Message::TakeBack) => {
                out.push(Action::Send(Message::GivenBack { under_way: self.under_way.clone() }));
            }
            (Phase::Serving | Phase::Draining | Phase::Exiting, Message::Abort { .. }) => {}
            (_, Message::Abort { reason }) => self.end(reason, out),
            _ => {}
        }
    }

    /// Handles the end of the current step's time limit.
    pub fn expire(&mut self, _now: f64, out: &mut Vec<Action>) {
        match self.phase {
            Phase::HelloSent | Phase::Checking | Phase::Checked | Phase::Loading => {
                self.give_up("a step took too long".to_owned(), out);
            }
            Phase::Draining => self.end(RETURNED_TO_PREDECESSOR.to_owned(), out),
            Phase::Ready if self.limits.platform_managed => {
                self.accept(out);
                out.push(Action::Send(Message::Committed));
            }
            Phase::Ready | Phase::Serving | Phase::Exiting => {}
        }
    }

    /// Handles the death of the predecessor, which can no longer accept. A successor that has loaded the state serves
    /// in its stead; an earlier one cannot.
    fn on_peer_death(&mut self, out: &mut Vec<Action>) {
        self.peer_jobs.clear();
        match self.phase {
            Phase::Ready | Phase::Draining => self.accept(out),
            Phase::Serving | Phase::Exiting => {}
            _ => self.end("the giver has ended".to_owned(), out),
        }
    }

    fn accept(&mut self, out: &mut Vec<Action>) {
        (self.phase, self.deadline) = (Phase::Serving, f64::INFINITY);
        out.push(Action::Accept);
    }

    fn give_up(&mut self, reason: String, out: &mut Vec<Action>) {
        if self.phase != Phase::Exiting {
            out.push(Action::Send(Message::Abort { reason: reason.clone() }));
            self.end(reason, out);
        }
    }

    fn end(&mut self, reason: String, out: &mut Vec<Action>) {
        if self.limits.platform_managed {
            // The platform has started this process to replace the old one: it serves even without a handover.
            if !self.accepts() {
                self.accept(out);
            }
            return;
        }
        (self.phase, self.deadline) = (Phase::Exiting, f64::INFINITY);
        out.push(Action::Exit(Outcome::FellBack(reason)));
    }
}
