//! The new process's side. It accepts when told that the place is its own, or when the giver is dead; giving up means
//! ending.

use crate::{Action, Event, Limits, Message, Outcome, VERSION};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SuccessorPhase {
    /// It has said who it is.
    HelloSent,
    Checking,
    /// Its settings can be used; the state is awaited ...
    Checked,
    /// ... and taken in.
    Loading,
    /// It could accept at once.
    Ready,
    /// It accepts.
    Serving,
    /// The place went back; its own jobs run to their end.
    Draining,
    /// It has ended, or is about to.
    Exiting,
}

use SuccessorPhase as Phase;

const RETURNED_TO_PREDECESSOR: &str = "the place went back";

#[derive(Clone, Debug, PartialEq)]
pub struct Successor {
    phase: Phase,
    limits: Limits,
    deadline: f64,
    /// Ids that belong to the giver until it says that they have ended.
    peer_jobs: Vec<String>,
    /// Ids of the jobs that are under way here, to be told if the place goes back.
    under_way: Vec<String>,
}

impl Successor {
    /// It has just started, with the giver's socket.
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

    /// A job of this id is the giver's: a repeat of it is refused here, a call-back for it is passed on.
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
                // The giver says what follows; without a word from it the place is not ours, unless the platform
                // wants both to serve.
                let limit = if self.limits.platform_managed { self.limits.commit } else { f64::INFINITY };
                self.enter(Phase::Ready, limit, now);
                out.push(Action::Send(Message::Ready));
            }
            Event::Idle if self.phase == Phase::Draining => self.end(RETURNED_TO_PREDECESSOR.to_owned(), out),
            Event::LocalFailure(reason) if !self.accepts() => self.give_up(reason, out),
            // Told to stop while it serves it stops as ever: the giver sees it end and takes back or has gone.
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
                // First it stops, then it says so.
                if self.accepts() {
                    out.push(Action::StopAccepting);
                }
                self.enter(Phase::Draining, self.limits.drain, now);
                out.push(Action::Send(Message::GivenBack { under_way: self.under_way.clone() }));
                out.push(Action::Drain);
            }
            // The word was lost.
            (Phase::Draining, Message::TakeBack) => {
                out.push(Action::Send(Message::GivenBack { under_way: self.under_way.clone() }));
            }
            (Phase::Serving | Phase::Draining | Phase::Exiting, Message::Abort { .. }) => {}
            (_, Message::Abort { reason }) => self.end(reason, out),
            _ => {}
        }
    }

    /// The step's time is up.
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

    /// A dead giver accepts nothing. One that was ready takes its place; one that was not cannot.
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
            // This process has been started to stay.
            if !self.accepts() {
                self.accept(out);
            }
            return;
        }
        (self.phase, self.deadline) = (Phase::Exiting, f64::INFINITY);
        out.push(Action::Exit(Outcome::FellBack(reason)));
    }
}
