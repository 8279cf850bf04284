//! The serving process's side. Until the place has been confirmed elsewhere, every failure ends in it serving.

use crate::{Action, Event, Limits, Message, Outcome, State, VERSION};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PredecessorPhase {
    /// The new process has been started; its first word is awaited.
    Started,
    /// It checks its settings.
    Offered,
    /// It loads the state.
    Loading,
    /// The baton is down: nobody accepts until the new process says so, or is known not to.
    Committing,
    /// The new process accepts and is watched.
    Probation,
    /// The place is to come back; the new process is asked ...
    TakingBack,
    /// ... or has been killed, which is not known to be done yet.
    Killing,
    /// The new process has it for good; own jobs run to their end.
    Draining,
    /// This process serves as before.
    FellBack,
    Done,
}

use PredecessorPhase as Phase;

#[derive(Clone, Debug, PartialEq)]
pub struct Predecessor {
    phase: Phase,
    limits: Limits,
    deadline: f64,
    reason: String,
    state: State,
    under_way: Vec<String>,
    /// Descriptors of inbound connections, and of next hops'.
    held: (usize, usize),
    /// Jobs that the new process still has, after the place came back.
    peer_jobs: Vec<String>,
}

impl Predecessor {
    /// The new process has just been started.
    pub fn new(limits: Limits, state: State, now: f64) -> Self {
        Predecessor {
            phase: Phase::Started,
            limits,
            deadline: now + limits.start,
            reason: String::new(),
            state,
            under_way: Vec::new(),
            held: (0, 0),
            peer_jobs: Vec::new(),
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// This process accepts.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Started | Phase::Offered | Phase::Loading | Phase::FellBack)
    }

    /// When `expire` is due (ms on the caller's clock).
    pub fn deadline(&self) -> f64 {
        self.deadline
    }

    /// Why the place stayed here.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Ids of the jobs that are under way here, to be told with the baton; kept up to date by the shell.
    pub fn set_under_way(&mut self, ids: Vec<String>) {
        self.under_way = ids;
    }

    /// What is held of descriptors, told with the baton: see [`Message::Commit`].
    pub fn set_held(&mut self, inbound: usize, worker_connections: usize) {
        self.held = (inbound, worker_connections);
    }

    /// A job of this id is the new process's: see [`crate::Taker::is_elsewhere`].
    pub fn is_peer_job(&self, id: &str) -> bool {
        self.peer_jobs.iter().any(|known| known == id)
    }

    fn enter(&mut self, phase: Phase, limit: f64, now: f64) {
        self.phase = phase;
        self.deadline = now + limit;
    }

    pub fn handle(&mut self, event: Event, now: f64, out: &mut Vec<Action>) {
        match event {
            Event::Message(message) => self.on_message(message, now, out),
            Event::PeerDied => self.on_peer_death(out),
            Event::Idle if self.phase == Phase::Draining => self.finish(out),
            Event::Stop => self.on_stop(now, out),
            Event::LocalFailure(reason) => self.fail(reason, now, out),
            Event::Idle | Event::SettingsChecked | Event::StateLoaded => {}
        }
    }

    /// A message that does not fit the phase is late or doubled: passed over.
    fn on_message(&mut self, message: Message, now: f64, out: &mut Vec<Action>) {
        match (self.phase, message) {
            (Phase::Started, Message::Hello { version, min_version, .. }) => {
                if version < VERSION || min_version > VERSION {
                    // Nothing has been given away.
                    return self.fail(format!("it speaks version {version}, this one {VERSION}"), now, out);
                }
                self.enter(Phase::Offered, self.limits.start, now);
                out.push(Action::LogStep("offered"));
                out.push(Action::Send(Message::Offer { version: VERSION }));
            }
            (Phase::Offered, Message::Checked) => {
                self.enter(Phase::Loading, self.limits.load, now);
                out.push(Action::LogStep("settings checked, state goes over"));
                out.push(Action::SendState);
                out.push(Action::Send(Message::State(self.state.clone())));
            }
            (Phase::Loading, Message::Ready) => {
                self.enter(Phase::Committing, self.limits.commit, now);
                out.push(Action::LogStep("ready, committing"));
                // Laid down before it is told.
                out.push(Action::StopAccepting);
                let (inbound, worker_connections) = self.held;
                let under_way = self.under_way.clone();
                out.push(Action::Send(Message::Commit { under_way, inbound, worker_connections }));
            }
            // Its word came late, and this process had gone on beside it.
            (Phase::FellBack, Message::Committed) if self.limits.platform_managed => {
                self.enter(Phase::Probation, self.limits.probation, now);
                out.push(Action::StopAccepting);
            }
            (Phase::Committing, Message::Committed) => {
                self.enter(Phase::Probation, self.limits.probation, now);
                out.push(Action::LogStep("the new process accepts, on probation"));
            }
            (Phase::Probation, Message::Report(report))
                if report.is_bad() && !self.limits.platform_managed =>
            {
                let reason = format!(
                    "{} of its first {} answers failed",
                    report.failed,
                    report.served + report.failed
                );
                self.fail(reason, now, out);
            }
            (Phase::TakingBack, Message::GivenBack { under_way }) => {
                self.peer_jobs = under_way;
                self.fall_back(out);
            }
            (Phase::FellBack, Message::JobEnded { id }) => self.peer_jobs.retain(|known| *known != id),
            (
                Phase::Started | Phase::Offered | Phase::Loading | Phase::Committing | Phase::Probation,
                Message::Abort { reason },
            ) => self.fail(reason, now, out),
            _ => {}
        }
    }

    /// The step's time is up.
    pub fn expire(&mut self, now: f64, out: &mut Vec<Action>) {
        match self.phase {
            Phase::Started => self.fail("it did not say who it is in time".to_owned(), now, out),
            Phase::Offered => self.fail("it did not check its settings in time".to_owned(), now, out),
            Phase::Loading => self.fail("it was not ready in time".to_owned(), now, out),
            Phase::Committing => self.fail("it did not accept in time".to_owned(), now, out),
            Phase::Probation => {
                self.enter(Phase::Draining, self.limits.drain, now);
                out.push(Action::LogStep("proven, draining the old process"));
                out.push(Action::Send(Message::Confirm));
                out.push(Action::Drain);
            }
            Phase::TakingBack => {
                self.enter(Phase::Killing, f64::INFINITY, now);
                out.push(Action::KillPeer);
            }
            Phase::Draining => self.finish(out),
            Phase::Killing | Phase::FellBack | Phase::Done => {}
        }
    }

    /// Something is wrong with the new process.
    fn fail(&mut self, reason: String, now: f64, out: &mut Vec<Action>) {
        match self.phase {
            Phase::Started | Phase::Offered | Phase::Loading => {
                self.reason = reason;
                out.push(Action::Send(Message::Abort { reason: self.reason.clone() }));
                // It has no place; but it must not find one when this process dies one day.
                if !self.limits.platform_managed {
                    out.push(Action::KillPeer);
                }
                self.fall_back(out);
            }
            Phase::Committing | Phase::Probation if self.limits.platform_managed => {
                self.reason = reason;
                self.fall_back(out);
            }
            Phase::Committing | Phase::Probation => {
                self.reason = reason;
                self.enter(Phase::TakingBack, self.limits.take_back, now);
                out.push(Action::LogStep("taking the place back"));
                out.push(Action::Send(Message::TakeBack));
            }
            _ => {}
        }
    }

    /// A dead process accepts nothing: wherever the baton was, it is here.
    fn on_peer_death(&mut self, out: &mut Vec<Action>) {
        self.peer_jobs.clear();
        match self.phase {
            Phase::FellBack | Phase::Done => {}
            // Also while it drains: better its place than none.
            _ => {
                if self.reason.is_empty() {
                    self.reason = "it ended".to_owned();
                }
                self.fall_back(out);
            }
        }
    }

    fn fall_back(&mut self, out: &mut Vec<Action>) {
        if !self.accepts() {
            out.push(Action::Accept);
        }
        (self.phase, self.deadline) = (Phase::FellBack, f64::INFINITY);
        out.push(Action::LogStep("fell back"));
    }

    /// Before the place has passed, the new process is told to go with it; afterwards this one just drains.
    fn on_stop(&mut self, now: f64, out: &mut Vec<Action>) {
        match self.phase {
            Phase::Started | Phase::Offered | Phase::Loading => {
                self.fail("told to stop".to_owned(), now, out)
            }
            // The new process accepts: it is the one that goes on.
            Phase::Probation => self.expire(now, out),
            _ => {}
        }
    }

    fn finish(&mut self, out: &mut Vec<Action>) {
        (self.phase, self.deadline) = (Phase::Done, f64::INFINITY);
        out.push(Action::LogStep("done"));
        out.push(Action::Exit(Outcome::HandedOver));
    }
}
