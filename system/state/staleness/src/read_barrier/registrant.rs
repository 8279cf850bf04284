//! State of a single registrant: its admission, the versions sent to it and its pending staleness checks.

use super::interface::{Output, ReadNumber, RegistrantKind, RegistrantTime, StatePart};
use super::MAX_CONFIRMATION_AGE;
use crate::versions::{ConnectionId, StateVersions};
use millrudder_clock::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    /// Nothing is sent until `read` or a later read has confirmed the state.
    Waiting { read: ReadNumber, since: Instant, was_notified: bool },
    /// Every state change is sent.
    Admitted,
}

/// The staleness checks of one registrant; only the newest of them matters.
#[derive(Clone, Copy, Debug, Default)]
struct StalenessChecks {
    newest: Option<RegistrantTime>,
    /// The newest one that had arrived when the last read began.
    covered_by_read: Option<RegistrantTime>,
    /// The newest one that has been confirmed.
    confirmed: Option<RegistrantTime>,
}

impl StalenessChecks {
    /// Whether checks have arrived, but none of them before the start of the last read.
    fn is_first_uncovered(&self) -> bool {
        self.newest.is_some() && self.covered_by_read.is_none()
    }

    /// Returns the check to confirm after a read has completed. Each check is confirmed at most once.
    fn take_confirmable(&mut self) -> Option<RegistrantTime> {
        let confirmable = self.covered_by_read.filter(|_| self.covered_by_read > self.confirmed)?;
        self.confirmed = Some(confirmable);
        Some(confirmable)
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Registrant {
    kind: RegistrantKind,
    /// Versions that it had when it registered or that have been sent to it since.
    sent: StateVersions,
    admission: Admission,
    checks: StalenessChecks,
}

impl Registrant {
    /// Creates a registrant that waits for `read`. `was_notified` tells whether it already knows that there is no
    /// quorum.
    pub fn waiting(
        kind: RegistrantKind,
        versions: StateVersions,
        read: ReadNumber,
        now: Instant,
        was_notified: bool,
    ) -> Registrant {
        Registrant {
            kind,
            sent: versions,
            admission: Admission::Waiting { read, since: now, was_notified },
            checks: StalenessChecks::default(),
        }
    }

    pub fn is_admitted(&self) -> bool {
        self.admission == Admission::Admitted
    }

    /// Whether it waits for a read later than `last`.
    pub fn waits_for_read_after(&self, last: ReadNumber) -> bool {
        let is_waiting = matches!(self.admission, Admission::Waiting { read, .. } if read > last);
        is_waiting || self.checks.is_first_uncovered()
    }

    /// When it must be notified that there is no quorum, unless the state is confirmed before.
    pub fn notification_deadline(&self) -> Option<Instant> {
        match self.admission {
            Admission::Waiting { since, was_notified: false, .. } => Some(since + MAX_CONFIRMATION_AGE),
            _ => None,
        }
    }

    /// Withdraws the admission if there is no quorum, or gives up a wait that has taken too long. Returns whether the
    /// registrant must be notified that the state cannot be confirmed.
    pub fn withdraw_unless_confirmed(
        &mut self,
        now: Instant,
        has_quorum: bool,
        next_read: ReadNumber,
    ) -> bool {
        let is_refused = match self.admission {
            Admission::Admitted => !has_quorum,
            Admission::Waiting { was_notified: true, .. } => false,
            Admission::Waiting { since, .. } => now - since >= MAX_CONFIRMATION_AGE,
        };
        if is_refused {
            self.admission = Admission::Waiting { read: next_read, since: now, was_notified: true };
        }
        is_refused
    }

    /// Records a staleness check. Returns whether no read has covered an earlier check yet. A read should then start as
    /// soon as possible, because the process is not ready before its first check is confirmed.
    pub fn add_check(&mut self, sent_at: RegistrantTime) -> bool {
        self.checks.newest = self.checks.newest.max(Some(sent_at));
        self.checks.covered_by_read.is_none()
    }

    /// Records the start of a read, which covers all checks that have arrived so far.
    pub fn begin_read(&mut self) {
        self.checks.covered_by_read = self.checks.newest;
    }

    /// Handles the completion of a read: admits the registrant, sends the state that it lacks and confirms its check.
    /// Does nothing if the registrant waits for a later read.
    pub fn complete_read(
        &mut self,
        connection: ConnectionId,
        read: ReadNumber,
        state: &StateVersions,
        holds_lease: bool,
        outputs: &mut Vec<Output>,
    ) {
        let is_new = match self.admission {
            Admission::Admitted => false,
            Admission::Waiting { read: awaited, .. } if awaited <= read => true,
            Admission::Waiting { .. } => return,
        };
        self.admission = Admission::Admitted;
        self.send_newer(connection, state, holds_lease || is_new, outputs);
        if let Some(sent_at) = self.checks.take_confirmable() {
            outputs.push(Output::Confirm { connection, sent_at });
        }
    }

    /// Sends the parts of the state that are newer than those last sent.
    ///
    /// Every store is connected to every core machine, and a configuration may be large. Therefore, a store that is
    /// already admitted receives later configurations only from the machine that holds the controller lease
    /// (`with_configuration`). A store that this machine cannot reach is not the primary of any shard, so missing a
    /// configuration does no harm.
    pub fn send_newer(
        &mut self,
        connection: ConnectionId,
        state: &StateVersions,
        with_configuration: bool,
        outputs: &mut Vec<Output>,
    ) {
        let mut send = |part| outputs.push(Output::Send { connection, part });
        let is_dispatcher = self.kind == RegistrantKind::Dispatcher;
        let wants_configuration = with_configuration || is_dispatcher;
        if wants_configuration && state.configuration_version > self.sent.configuration_version {
            send(StatePart::Configuration);
            self.sent.configuration_version = state.configuration_version;
        }
        if state.placement_epoch > self.sent.placement_epoch {
            send(StatePart::Placement);
            self.sent.placement_epoch = state.placement_epoch;
        }
        if is_dispatcher && state.workers > self.sent.workers {
            send(StatePart::Workers);
            self.sent.workers = state.workers;
        }
    }
}
