//! The side of the old process. Until the successor has passed probation, every failure leaves the old process
//! serving.

use crate::{Action, Event, Limits, Message, Outcome, State, VERSION};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PredecessorPhase {
    /// The new process has been started; its `Hello` is awaited.
    Started,
    /// The new process checks its settings.
    Offered,
    /// The new process loads the state.
    Loading,
    /// This process has stopped accepting. Neither process accepts until the new one reports that it does, or this
    /// one knows that it does not.
    Committing,
    /// The new process accepts and is watched.
    Probation,
    /// The new process has been asked to return the serving role.
    TakingBack,
    /// The new process has been sent a kill; its death is not confirmed yet.
    Killing,
    /// The new process has passed probation; this process finishes its own jobs.
    Draining,
    /// The handover has failed; this process serves as before.
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
    /// Descriptors held for inbound connections, and for connections to workers.
    held: (usize, usize),
    /// Ids of the jobs that the new process still has after it has returned the serving role.
    peer_jobs: Vec<String>,
}

impl Predecessor {
    /// Starts a handover to a new process that has just been started.
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

    /// Whether this process accepts connections.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Started | Phase::Offered | Phase::Loading | Phase::FellBack)
    }

    /// When [`Predecessor::expire`] is due (ms on the caller's clock).
    pub fn deadline(&self) -> f64 {
        self.deadline
    }

    /// Why this process kept the serving role or took it back.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Sets the ids of this process's open jobs, which are sent in [`Message::Commit`]. The caller keeps them up to
    /// date.
    pub fn set_under_way(&mut self, ids: Vec<String>) {
        self.under_way = ids;
    }

    /// Sets the numbers of descriptors that are sent in [`Message::Commit`].
    pub fn set_held(&mut self, inbound: usize, worker_connections: usize) {
        self.held = (inbound, worker_connections);
    }

    /// Whether the job with this id is the new process's: see [`crate::Successor::is_peer_job`].
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

    /// Handles a message. One that does not fit the phase is late or duplicated, and is ignored.
    fn on_message(&mut self, message: Message, now: f64, out: &mut Vec<Action>) {
        match (self.phase, message) {
            (Phase::Started, Message::Hello { version, min_version, .. }) => {
                if version < VERSION || min_version > VERSION {
                    // No state has been sent yet, so this process just goes on serving.
                    return self.fail(format!("it speaks version {version}, this one {VERSION}"), now, out);
                }
                self.enter(Phase::Offered, self.limits.start, now);
                out.push(Action::LogStep("offered"));
                out.push(Action::Send(Message::Offer { version: VERSION }));
            }
            (Phase::Offered, Message::Checked) => {
                self.enter(Phase::Loading, self.limits.load, now);
                out.push(Action::LogStep("settings checked, sending the state"));
                out.push(Action::SendState);
                out.push(Action::Send(Message::State(self.state.clone())));
            }
            (Phase::Loading, Message::Ready) => {
                self.enter(Phase::Committing, self.limits.commit, now);
                out.push(Action::LogStep("ready, committing"));
                // Stop before the message goes out, so that both never accept at the same time.
                out.push(Action::StopAccepting);
                let (inbound, worker_connections) = self.held;
                let under_way = self.under_way.clone();
                out.push(Action::Send(Message::Commit { under_way, inbound, worker_connections }));
            }
            // `Committed` came after the time limit, when this process had already started to accept again.
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

    /// Handles the end of the current step's time limit.
    pub fn expire(&mut self, now: f64, out: &mut Vec<Action>) {
        match self.phase {
            Phase::Started => self.fail("it did not say who it is in time".to_owned(), now, out),
            Phase::Offered => self.fail("it did not check its settings in time".to_owned(), now, out),
            Phase::Loading => self.fail("it was not ready in time".to_owned(), now, out),
            Phase::Committing => self.fail("it did not accept in time".to_owned(), now, out),
            Phase::Probation => {
                self.enter(Phase::Draining, self.limits.drain, now);
                out.push(Action::LogStep("probation passed, draining the old process"));
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

    /// Ends the handover after a failure, in the way that the phase needs.
    fn fail(&mut self, reason: String, now: f64, out: &mut Vec<Action>) {
        match self.phase {
            Phase::Started | Phase::Offered | Phase::Loading => {
                self.reason = reason;
                out.push(Action::Send(Message::Abort { reason: self.reason.clone() }));
                // The new process does not serve, but left alive it would take the serving role when this process
                // dies at some later time.
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
                out.push(Action::LogStep("taking the serving role back"));
                out.push(Action::Send(Message::TakeBack));
            }
            _ => {}
        }
    }

    /// Handles the death of the new process. It can no longer accept, so this process has the serving role,
    /// whichever of them had it before.
    fn on_peer_death(&mut self, out: &mut Vec<Action>) {
        self.peer_jobs.clear();
        match self.phase {
            Phase::FellBack | Phase::Done => {}
            // Also while draining: otherwise no process would serve.
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

    /// Handles an order to stop. Before the serving role has passed, the new process is stopped as well; on probation,
    /// this process confirms it at once and drains.
    fn on_stop(&mut self, now: f64, out: &mut Vec<Action>) {
        match self.phase {
            Phase::Started | Phase::Offered | Phase::Loading => {
                self.fail("told to stop".to_owned(), now, out)
            }
            // The new process already accepts, so it is the one to go on serving.
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
