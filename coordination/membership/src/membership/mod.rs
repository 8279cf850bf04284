//! The state machine of one process: construction, inputs, timers and queries.
//!
//! Its parts, such as the table and the probes, keep their state private. The submodules pass inputs and time-outs between
//! them.

mod dissemination;
mod failure_detection;
mod local;
mod merge;
mod receive;
mod suspect;
mod sync;

use std::net::SocketAddr;

use fastrand::Rng;
use millrudder_clock::Instant;

use crate::broadcast::BroadcastQueue;
use crate::clock::ActiveClock;
use crate::config::{Config, ConfigError};
use crate::deadlines::Deadlines;
use crate::events::{Input, Output};
use crate::group_contact::GroupContact;
use crate::health::LocalHealth;
use crate::identity::{Incarnation, MemberId, MemberName};
use crate::member::{LocalMember, Member, Status, MAX_METADATA_BYTES};
use crate::probe_order::ProbeOrder;
use crate::probes::Probes;
use crate::relayed_probes::RelayedProbes;
use crate::suspicions::Suspicions;
use crate::sync_state::SyncState;
use crate::table::MemberTable;
use crate::timers::Timers;

use self::local::{NameClaims, Phase};

/// Membership of one process in its group.
///
/// All instants in arguments and return values are readings of the same steady clock.
#[derive(Clone, Debug)]
pub struct Membership {
    config: Config,
    local_id: MemberId,
    phase: Phase,
    name_claims: NameClaims,
    table: MemberTable,
    probe_order: ProbeOrder,
    probes: Probes,
    relayed_probes: RelayedProbes,
    suspicions: Suspicions,
    /// Times at which dead and left members are removed from the table.
    removals: Deadlines<MemberName>,
    broadcasts: BroadcastQueue,
    sync: SyncState,
    seeds: Vec<SocketAddr>,
    timers: Timers,
    contact: GroupContact,
    health: LocalHealth,
    clock: ActiveClock,
    random: Rng,
}

impl Membership {
    /// Creates a membership in which this process is the only known member. [`Input::Join`] provides the addresses of others.
    ///
    /// `seed` initializes the random number generator: equal seeds and inputs produce equal outputs. It should differ between
    /// processes.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] if a setting or the local member is invalid.
    pub fn new(config: Config, local: LocalMember, seed: u64, now: Instant) -> Result<Self, ConfigError> {
        config.validate()?;
        check_local(&local)?;
        let mut random = Rng::with_seed(seed);
        let timers = Timers::new(&config, now, &mut random);
        let local_id = local.id.clone();
        let mut table = MemberTable::new();
        table.put(first_record(local));
        Ok(Self {
            probe_order: ProbeOrder::new(local_id.name.clone()),
            config,
            local_id,
            phase: Phase::Active,
            name_claims: NameClaims::default(),
            table,
            probes: Probes::new(random.u32(..)),
            relayed_probes: RelayedProbes::default(),
            suspicions: Suspicions::new(),
            removals: Deadlines::new(),
            broadcasts: BroadcastQueue::default(),
            sync: SyncState::default(),
            seeds: Vec::new(),
            timers,
            contact: GroupContact::default(),
            health: LocalHealth::default(),
            clock: ActiveClock::new(now),
            random,
        })
    }

    /// Handles one input and all timers that are due, and appends the resulting actions to `outputs`.
    ///
    /// Datagrams that cannot be decoded and those of other groups are ignored. If `now` is earlier than the previous reading,
    /// the previous reading is used.
    pub fn handle(&mut self, now: Instant, input: Input<'_>, outputs: &mut Vec<Output>) {
        self.advance_clock(now);
        match input {
            Input::Datagram { from, bytes } => self.handle_datagram(from, bytes, outputs),
            Input::Tick => {}
            Input::Join { seeds } => self.set_seeds(seeds),
            Input::Probe(id) => self.handle_probe_request(&id, outputs),
            Input::UpdateMetadata(metadata) => self.update_metadata(metadata),
            Input::Leave => self.leave(outputs),
        }
        self.run_due_timers(outputs);
    }

    /// Returns the time at which [`Input::Tick`] is due, on the steady clock, or `None` once this process has left the group or
    /// was superseded.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.next_active_deadline().map(|deadline| self.clock.to_steady(deadline))
    }

    /// Returns the record of this process, as it is sent to others.
    ///
    /// # Panics
    ///
    /// Does not panic, since the table always contains this process.
    #[must_use]
    pub fn local(&self) -> &Member {
        self.table.get(&self.local_id.name).expect("the local member is never removed")
    }

    /// Returns the member with this name, which may be this process.
    #[must_use]
    pub fn member(&self, name: &MemberName) -> Option<&Member> {
        self.table.get(name)
    }

    /// Iterates over all members in the order of names, including this process and dead or left members that are not removed
    /// yet.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Iterates over the members that count as part of the group, including this process.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter().filter(|member| member.is_live())
    }

    /// Returns the digest of the live members' records. It is equal at all members once their lists agree.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.digest().total()
    }

    /// Returns the time at which the last datagram of the group arrived, on the steady clock.
    #[must_use]
    pub const fn last_contact(&self) -> Option<Instant> {
        self.contact.last_datagram_steady()
    }

    const fn now(&self) -> Instant {
        self.clock.now()
    }

    fn advance_clock(&mut self, now: Instant) {
        let deadline = self.next_active_deadline();
        let Some(lateness) = self.clock.advance(now, deadline, self.config.late_tolerance) else { return };
        self.health.record_degradation();
        self.probes.excuse_all();
        if lateness >= self.config.probe_period {
            self.suspicions.suspend_until(self.now() + self.config.probe_period);
        }
    }

    fn next_active_deadline(&self) -> Option<Instant> {
        match self.phase {
            Phase::Ended => None,
            Phase::Leaving => self.timers.gossip(),
            Phase::Active => {
                self.active_deadlines().into_iter().chain(self.timers.deadlines()).flatten().min()
            }
        }
    }

    fn active_deadlines(&self) -> [Option<Instant>; 5] {
        [
            self.probes.next_deadline(),
            self.relayed_probes.next_deadline(),
            self.suspicions.next_deadline(),
            self.removals.next(),
            self.sync.next_deadline(),
        ]
    }

    fn run_due_timers(&mut self, outputs: &mut Vec<Output>) {
        if self.phase == Phase::Active {
            self.run_due_probes(outputs);
            self.begin_probe_if_due(outputs);
            self.report_unanswered_relays(outputs);
            self.expire_suspicions(outputs);
            self.join_if_due(outputs);
            self.reconnect_if_due(outputs);
            self.continue_sync_if_due(outputs);
            self.remove_expired_members();
        }
        if self.phase != Phase::Ended {
            self.gossip_if_due(outputs);
        }
    }

    fn remove_expired_members(&mut self) {
        while let Some(name) = self.removals.pop_due(self.now()) {
            self.table.remove(&name);
            self.broadcasts.remove(&name);
        }
    }
}

fn check_local(local: &LocalMember) -> Result<(), ConfigError> {
    if local.metadata.len() > MAX_METADATA_BYTES {
        return Err(ConfigError::MetadataTooLong { length: local.metadata.len() });
    }
    if local.id.start.0 > Incarnation::LIMIT.0 {
        return Err(ConfigError::StartTooLarge { start: local.id.start.0 });
    }
    Ok(())
}

fn first_record(local: LocalMember) -> Member {
    Member {
        incarnation: Incarnation(local.id.start.0),
        id: local.id,
        address: local.address,
        zone: local.zone,
        metadata: local.metadata,
        status: Status::Alive,
    }
}
