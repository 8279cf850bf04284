//! Checks invariants on the observations of all processes.

use crate::event::Observation;
use crate::history::{History, Operation, Request, Response};
use crate::linearizability::{is_linearizable, shrink};
use crate::machine_id::MachineId;
use crate::message_log::MessageLog;
use crate::violation::Violation;
use millrudder_chain::{Epoch, RequestId, View};
use millrudder_clock::Instant;
use millrudder_control_state::{Command, Reply};
use millrudder_staleness::MAX_CONFIRMATION_AGE;
use speedy::Readable;
use std::collections::BTreeMap;
use std::time::Duration;

/// Greatest staleness of a configuration that a core machine publishes, compared to the one acknowledged last: the
/// greatest age of a confirmation by a quorum, and the delay of a message.
pub const STALENESS_BOUND: Duration = MAX_CONFIRMATION_AGE.saturating_add(Duration::from_millis(100));
/// A dispatcher that can reach a core machine with a quorum gets an acknowledged configuration within this time.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Adopted {
    configuration: u64,
    placement: u64,
    workers: (u64, u64),
}

/// Everything observed so far that an invariant is checked against.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    /// Requests of operators and the responses.
    pub history: History,
    /// Acknowledged messages.
    pub messages: MessageLog,
    views: BTreeMap<Epoch, View>,
    committed: BTreeMap<u64, Vec<u8>>,
    /// The request by which each configuration took effect.
    effects: BTreeMap<Vec<u8>, RequestId>,
    /// Acknowledged versions with their times, each higher than all before.
    acknowledged: Vec<(Instant, u64)>,
    highest_fencing: u64,
    highest_act: u64,
    adopted: BTreeMap<usize, Adopted>,
}

impl Checks {
    /// Checks an observation of a process at true time `now`.
    ///
    /// # Errors
    /// The invariant that the observation violates.
    pub fn observe(
        &mut self,
        machine_id: MachineId,
        now: Instant,
        observation: Observation,
    ) -> Result<(), Violation> {
        match observation {
            Observation::ConfigurationPublished { version } => self.check_published(machine_id, now, version),
            Observation::Committed { sequence, request_id, command, reply } => {
                self.committed(sequence, request_id, command, reply)
            }
            Observation::ViewEntered { view } => self.view(view),
            Observation::LeaseGranted { fencing } => self.lease_granted(fencing.0),
            Observation::ActedAsLeaseHolder { fencing } => self.acted(machine_id, now, fencing.0),
            Observation::Adopted { .. } => self.adopted(machine_id, observation),
            Observation::Accepted { id } => {
                if let MachineId::Dispatcher(dispatcher) = machine_id {
                    self.messages.accepted(dispatcher, id, now);
                }
                Ok(())
            }
            Observation::Executed { id } if self.messages.is_recorded(id) => {
                Err(Violation::ExecutedAgain { id })
            }
            Observation::Executed { .. } => Ok(()),
            Observation::Recorded { id } => {
                self.messages.recorded(id);
                Ok(())
            }
        }
    }

    /// Records the response of a core machine to an operator.
    pub fn responded(&mut self, request: Request, response: Response, now: Instant) {
        let Request::Put { configuration, .. } = request else { return };
        let highest = self.acknowledged.last().map_or(0, |(_, version)| *version);
        if response == Response::Accepted && configuration.version > highest {
            self.acknowledged.push((now, configuration.version));
        }
    }

    /// The highest version acknowledged up to a true time.
    pub fn acknowledged_at(&self, time: Instant) -> u64 {
        let before = self.acknowledged.partition_point(|(at, _)| *at <= time);
        before.checked_sub(1).map_or(0, |index| self.acknowledged[index].1)
    }

    /// When a version above this was first acknowledged.
    fn acknowledged_since(&self, version: u64) -> Instant {
        self.acknowledged.iter().find(|(_, known)| *known > version).map_or(Instant::ORIGIN, |(at, _)| *at)
    }

    /// Checks that the history of operators is linearizable.
    ///
    /// # Errors
    /// [`Violation::NotLinearizable`].
    pub fn check_history(&self) -> Result<(), Violation> {
        let operations: &[Operation] = self.history.operations();
        if is_linearizable(operations) {
            return Ok(());
        }
        Err(Violation::NotLinearizable { history: shrink(operations) })
    }

    fn check_published(&self, machine: MachineId, now: Instant, published: u64) -> Result<(), Violation> {
        let acknowledged = self.acknowledged_at(now.checked_sub(STALENESS_BOUND).unwrap_or(Instant::ORIGIN));
        if published >= acknowledged {
            return Ok(());
        }
        let age = now - self.acknowledged_since(published);
        Err(Violation::StalePublished { machine, published, acknowledged, at: now, age })
    }

    fn view(&mut self, view: View) -> Result<(), Violation> {
        let first = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        if *first == view {
            return Ok(());
        }
        Err(Violation::ConflictingViews { first: first.clone(), second: view })
    }

    fn committed(
        &mut self,
        sequence: u64,
        request_id: RequestId,
        command: Vec<u8>,
        reply: Reply,
    ) -> Result<(), Violation> {
        let first = self.committed.entry(sequence).or_insert_with(|| command.clone());
        if *first != command {
            return Err(Violation::ConflictingCommands { sequence });
        }
        if reply != Reply::ConfigurationAccepted {
            return Ok(());
        }
        let Ok(Command::PutConfiguration { configuration, .. }) = Command::read_from_buffer(&command) else {
            return Ok(());
        };
        let text = String::from_utf8_lossy(&configuration.json).into_owned();
        // A duplicate of a request gets the remembered reply, and has no second effect.
        let first = *self.effects.entry(configuration.json).or_insert(request_id);
        if first == request_id {
            Ok(())
        } else {
            Err(Violation::DuplicateEffect { text })
        }
    }

    fn lease_granted(&mut self, number: u64) -> Result<(), Violation> {
        let before = self.highest_fencing;
        if number <= before {
            return Err(Violation::FencingNotIncreased { before, number });
        }
        self.highest_fencing = number;
        Ok(())
    }

    fn acted(&mut self, machine: MachineId, at: Instant, number: u64) -> Result<(), Violation> {
        let later = self.highest_act;
        if number < later {
            return Err(Violation::ActedAfterSuccessor { machine, number, later, at });
        }
        self.highest_act = number;
        Ok(())
    }

    /// Handles a restart of a dispatcher's process, which adopts state from the beginning.
    pub fn restarted(&mut self, dispatcher: usize) {
        self.adopted.remove(&dispatcher);
    }

    fn adopted(&mut self, machine_id: MachineId, observation: Observation) -> Result<(), Violation> {
        let (MachineId::Dispatcher(index), Observation::Adopted { configuration, placement, workers }) =
            (machine_id, &observation)
        else {
            return Ok(());
        };
        let (configuration, placement, workers) = (*configuration, *placement, *workers);
        let now = Adopted { configuration, placement, workers };
        let Some(before) = self.adopted.insert(index, now) else { return Ok(()) };
        let has_regressed =
            before.configuration > configuration || before.placement > placement || before.workers > workers;
        if !has_regressed {
            return Ok(());
        }
        let (before, now) = (format!("{before:?}"), format!("{now:?}"));
        Err(Violation::Regressed { dispatcher: machine_id, before, now })
    }
}
