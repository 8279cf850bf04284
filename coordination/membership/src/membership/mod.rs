//! The state machine's shape: construction, inputs, timers and what may be read from it.

mod dissemination;
mod failure_detection;
mod local;
mod merge;
mod receive;
mod suspect;
mod sync;

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::broadcast::BroadcastQueue;
use crate::clock::ActiveClock;
use crate::config::{Config, ConfigError};
use crate::deadlines::Deadlines;
use crate::events::{Input, Output};
use crate::health::LocalHealth;
use crate::identity::{Incarnation, MemberId, MemberName};
use crate::member::{LocalMember, Member, Status, MAX_METADATA_BYTES};
use crate::membership::local::{Phase, Rivals};
use crate::membership::suspect::Suspicions;
use crate::membership::sync::SyncPace;
use crate::probe_order::ProbeOrder;
use crate::probes::Probes;
use crate::relayed_probes::Relays;
use crate::table::MemberTable;

/// Membership of one process in its group.
///
/// All times given and returned are readings of one steady clock, as time since any fixed origin.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) me: MemberId,
    pub(crate) phase: Phase,
    pub(crate) rivals: Rivals,
    pub(crate) table: MemberTable,
    pub(crate) order: ProbeOrder,
    pub(crate) probes: Probes,
    pub(crate) relays: Relays,
    pub(crate) suspicions: Suspicions,
    pub(crate) forget: Deadlines<MemberName>,
    pub(crate) broadcasts: BroadcastQueue,
    pub(crate) sync: SyncPace,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) timers: Timers,
    pub(crate) contact: Contact,
    pub(crate) health: LocalHealth,
    pub(crate) clock: ActiveClock,
    pub(crate) random: Rng,
}

/// Next times of what happens again and again, in active time.
#[derive(Clone, Debug)]
pub(crate) struct Timers {
    pub probe: Duration,
    pub gossip: Option<Duration>,
    pub reconnect: Duration,
    pub join: Option<Duration>,
    /// Wait after the next attempt to join.
    pub join_wait: Duration,
}

/// When something was last heard, and whether its absence has been reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    /// In active time.
    pub last: Option<Duration>,
    /// On the steady clock.
    pub last_steady: Option<Duration>,
    /// Probes in succession during which nothing was heard.
    pub silent_probes: u32,
    pub lost: bool,
}

impl Membership {
    /// Starts with this process as the only known member; [`Input::Join`] tells where others may be.
    ///
    /// `seed` feeds all random choices: equal seeds and inputs give equal outputs. Processes should have different
    /// ones.
    ///
    /// # Errors
    /// [`ConfigError`] when a setting or the local member cannot be used.
    pub fn new(config: Config, local: LocalMember, seed: u64, now: Duration) -> Result<Self, ConfigError> {
        config.validate()?;
        check_local(&local)?;
        let mut random = Rng::with_seed(seed);
        let timers = Timers::new(&config, now, &mut random);
        let sync = SyncPace::new();
        let me = local.id.clone();
        let mut table = MemberTable::new();
        table.put(first_record(local));
        Ok(Self {
            order: ProbeOrder::new(me.name.clone()),
            config,
            me,
            phase: Phase::Active,
            rivals: Rivals::default(),
            table,
            probes: Probes::new(random.u32(..)),
            relays: Relays::default(),
            suspicions: Suspicions::new(),
            forget: Deadlines::new(),
            broadcasts: BroadcastQueue::default(),
            sync,
            seeds: Vec::new(),
            timers,
            contact: Contact::default(),
            health: LocalHealth::default(),
            clock: ActiveClock::new(now),
            random,
        })
    }

    /// Handles one input and all timers that are due, and appends what is to be done to `outputs`.
    ///
    /// Garbage and datagrams of other groups are ignored; a reading of `now` before the last one counts as that one.
    pub fn handle(&mut self, now: Duration, input: Input<'_>, outputs: &mut Vec<Output>) {
        self.advance_clock(now);
        match input {
            Input::Datagram { from, bytes } => self.on_datagram(from, bytes, outputs),
            Input::Tick => {}
            Input::Join { seeds } => self.set_seeds(seeds),
            Input::Verify(id) => self.verify(&id, outputs),
            Input::UpdateMetadata(metadata) => self.update_metadata(metadata),
            Input::Leave => self.leave(outputs),
        }
        self.run_due_timers(outputs);
    }

    /// When [`Input::Tick`] is due, on the steady clock; nothing once this process has ended its part.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.next_active_deadline().map(|deadline| self.clock.steady(deadline))
    }

    /// This process as the others are told of it.
    #[must_use]
    pub fn local(&self) -> &Member {
        self.table.get(&self.me.name).expect("the local member is never removed")
    }

    /// A member by its name, this process included.
    #[must_use]
    pub fn member(&self, name: &MemberName) -> Option<&Member> {
        self.table.get(name)
    }

    /// All members by name, this process and the dead that are not forgotten yet included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Members that count as part of the group, this process included.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter().filter(|member| member.is_live())
    }

    /// Digest of the live members' records; equal in all members once their lists agree.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.digest().total()
    }

    /// When a datagram of the group last came, on the steady clock.
    #[must_use]
    pub const fn last_contact(&self) -> Option<Duration> {
        self.contact.last_steady
    }

    pub(crate) const fn now(&self) -> Duration {
        self.clock.now()
    }

    fn advance_clock(&mut self, now: Duration) {
        let deadline = self.next_active_deadline();
        let Some(late) = self.clock.advance(now, deadline, self.config.late_tolerance) else { return };
        self.health.worsen();
        self.probes.excuse_all();
        if late >= self.config.probe_period {
            self.suspicions.withhold_until(self.now() + self.config.probe_period);
        }
    }

    fn next_active_deadline(&self) -> Option<Duration> {
        match self.phase {
            Phase::Ended => None,
            Phase::Leaving => self.timers.gossip,
            Phase::Active => self.active_deadlines().into_iter().flatten().min(),
        }
    }

    fn active_deadlines(&self) -> [Option<Duration>; 9] {
        [
            Some(self.timers.probe),
            Some(self.timers.reconnect),
            self.timers.gossip,
            self.timers.join,
            self.probes.next_deadline(),
            self.relays.next_deadline(),
            self.suspicions.next_deadline(),
            self.forget.next(),
            self.sync.next_deadline(),
        ]
    }

    fn run_due_timers(&mut self, outputs: &mut Vec<Output>) {
        if self.phase == Phase::Active {
            self.run_open_probes(outputs);
            self.begin_probe_if_due(outputs);
            self.report_unanswered_relays(outputs);
            self.expire_suspicions(outputs);
            self.join_if_due(outputs);
            self.reconnect_if_due(outputs);
            self.continue_sync_if_due(outputs);
            self.forget_due();
        }
        if self.phase != Phase::Ended {
            self.gossip_if_due(outputs);
        }
    }

    fn forget_due(&mut self) {
        while let Some(name) = self.forget.pop_due(self.now()) {
            self.table.remove(&name);
            self.broadcasts.remove(&name);
        }
    }
}

impl Timers {
    fn new(config: &Config, now: Duration, random: &mut Rng) -> Self {
        Self {
            probe: now + random_part(config.probe_period, random),
            gossip: None,
            reconnect: now + config.reconnect_interval + random_part(config.reconnect_interval, random),
            join: None,
            join_wait: config.join_interval,
        }
    }
}

/// A random part of a time, so that the members of a group do not act in step.
fn random_part(whole: Duration, random: &mut Rng) -> Duration {
    whole.mul_f64(random.f64())
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
