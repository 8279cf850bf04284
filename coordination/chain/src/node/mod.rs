//! The core node: a sans-I/O state machine that dispatches inputs to its components.

mod catch_up;
mod contact;
mod departures;
mod disk_lag;
mod input;
mod leases;
mod messages;
mod outbox;
mod output;
mod peers;
mod requests;
mod target_view;
mod view_change;

use millrudder_clock::Instant;
use millrudder_lease::{FencingToken, Role};
use millrudder_view::{Bootstrap, Detector, Member, NodeId, View, ViewAgreement};
use thiserror::Error;

use self::contact::ContactMonitor;
use self::departures::Departures;
use self::disk_lag::DiskLag;
pub use self::input::Input;
use self::leases::Leases;
use self::outbox::{Effect, Outbox};
pub use self::output::{Output, PersistToken};
use self::peers::PeerTable;
use self::requests::PendingRequests;
use self::view_change::ProposalTimer;
use crate::read_confirmation::ReadConfirmations;
use crate::replica::{Replica, ReplicaLimits, ReplicaOutput};
use crate::store::{LogRetention, Store};
use crate::{ConfigError, CoreConfig, CoreMessage, DurableState, Epoch, Machine, RestoreError, Sequence};

/// Why a node cannot start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The durable state cannot be restored.
    #[error(transparent)]
    Restore(#[from] RestoreError),
}

/// Number of items that wait for a node's disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskBacklog {
    /// Records issued but not yet durable.
    pub records: u64,
    /// Messages and other effects deferred until earlier records are durable.
    pub effects: usize,
}

/// A member of the core, or a node that can be admitted as one. See the [crate documentation](crate).
///
/// Instants are readings of the node's steady clock, in whole microseconds: messages carry no finer resolution.
#[derive(Clone, Debug)]
pub struct CoreNode<M: Machine> {
    config: CoreConfig,
    id: NodeId,
    agreement: ViewAgreement,
    bootstrap: Bootstrap,
    replica: Replica<M>,
    detector: Detector,
    leases: Leases,
    read_confirmations: ReadConfirmations,
    contact: ContactMonitor,
    requests: PendingRequests,
    peers: PeerTable,
    proposals: ProposalTimer,
    departures: Departures,
    outbox: Outbox<M>,
    disk_lag: DiskLag,
    next_heartbeat: Instant,
    /// When the next voter becomes suspect unless another heartbeat arrives from it.
    next_detector_timeout: Option<Instant>,
}

impl<M: Machine> CoreNode<M> {
    /// Starts a node from its durable state, or with a new identity drawn from `seed` if there is none.
    ///
    /// `seed` must differ between nodes and starts.
    ///
    /// # Errors
    ///
    /// The configuration is invalid, or the machine's snapshot cannot be restored.
    pub fn new(
        config: CoreConfig,
        durable: Option<DurableState>,
        seed: u64,
        now: Instant,
    ) -> Result<CoreNode<M>, StartError> {
        config.check()?;
        let mut random = fastrand::Rng::with_seed(seed);
        let is_new = durable.is_none();
        let drawn = NodeId(random.u64(1..));
        let state = durable.unwrap_or_else(|| DurableState { id: drawn, ..DurableState::default() });
        let mut node = CoreNode::restore(config, state, random, now)?;
        if is_new {
            node.leases.skip_grace_period();
            node.outbox.persist_identity(node.id);
        }
        node.enter_view(now);
        Ok(node)
    }

    /// The order in which components draw from `random` must not change: the behaviour for a given seed depends on it.
    fn restore(
        config: CoreConfig,
        state: DurableState,
        mut random: fastrand::Rng,
        now: Instant,
    ) -> Result<CoreNode<M>, StartError> {
        let id = state.id;
        let local = Member { id, address: config.address.clone() };
        let retention = LogRetention { entries: config.retained_entries, bytes: config.retained_bytes };
        let store = Store::new(&state.snapshot, &state.log, state.committed, retention)?;
        let limits = ReplicaLimits {
            batch_bytes: config.batch_bytes,
            uncommitted_bytes: config.uncommitted_bytes,
            retry_after: config.retry_after,
        };
        let bootstrap_addresses = config.bootstrap_addresses.clone();
        Ok(CoreNode {
            id,
            agreement: ViewAgreement::new(id, state.view, config.minimum_members),
            bootstrap: Bootstrap::new(local, bootstrap_addresses, config.founder_count, config.voters),
            replica: Replica::new(id, limits, store, state.complete, state.sealed),
            detector: Detector::new(&config.detector, now),
            leases: Leases::new(&config.lease, &config.roles, state.lease, &mut random, now),
            read_confirmations: ReadConfirmations::new(random.u64(..)),
            contact: ContactMonitor::new(&config, random.u64(1..)),
            requests: PendingRequests::default(),
            peers: PeerTable::default(),
            proposals: ProposalTimer::new(random),
            departures: Departures::default(),
            outbox: Outbox::new(),
            disk_lag: DiskLag::default(),
            next_heartbeat: now,
            next_detector_timeout: None,
            config,
        })
    }

    /// Identity of this node's disk. Must not be announced to other nodes before the first record is durable.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The newest decided view.
    pub fn view(&self) -> Option<&View> {
        self.agreement.view()
    }

    /// Whether this node votes in the newest decided view.
    pub fn is_voter(&self) -> bool {
        self.agreement.is_voter()
    }

    /// Whether this node is a member of the newest decided view.
    pub fn is_member(&self) -> bool {
        self.agreement.is_member()
    }

    /// Whether this node is a member and has caught up with the chain of its view.
    pub fn is_caught_up(&self) -> bool {
        self.is_member() && self.replica.is_caught_up()
    }

    /// The committed state as far as this node has applied it; for a linearizable read, wait for [`Output::ReadReady`].
    pub fn machine(&self) -> &M {
        self.replica.store().machine()
    }

    /// The last command that this node knows to be committed.
    pub fn committed(&self) -> Sequence {
        self.replica.committed()
    }

    /// Address of a node, if known.
    pub fn address(&self, id: NodeId) -> Option<&str> {
        self.peers.address(id).or_else(|| self.view()?.address(id))
    }

    /// Fencing token of a role, while this node holds it.
    pub fn holds(&self, now: Instant, role: &Role) -> Option<FencingToken> {
        self.leases.fencing_token(now, role)
    }

    /// Number of items that wait for this node's disk.
    pub fn disk_backlog(&self) -> DiskBacklog {
        let records = self.outbox.issued().0 - self.outbox.durable().0;
        DiskBacklog { records, effects: self.outbox.deferred() }
    }

    /// When [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let deadlines = [
            self.leases.next_deadline(),
            self.proposals.next_deadline(),
            self.contact.next_deadline(),
            self.next_detector_timeout,
        ];
        deadlines.into_iter().flatten().fold(self.next_heartbeat, Instant::min)
    }

    /// Removes and returns the next output.
    pub fn next_output(&mut self) -> Option<Output<M::Command, M::Reply>> {
        self.outbox.pop()
    }

    /// Handles one input; take the outputs with [`next_output`](CoreNode::next_output).
    pub fn handle(&mut self, now: Instant, input: Input<M::Command>) {
        self.detector.poll(now);
        self.expire_contact(now);
        match input {
            Input::Message { from, message } => self.handle_message(now, from, message),
            Input::Tick => self.handle_tick(now),
            Input::Submit { request_id, command } => self.handle_submit(now, request_id, &command),
            Input::Read { request_id } => self.handle_read(now, request_id),
            Input::Abandon { request_id } => self.handle_abandon(request_id),
            Input::Persisted { token } => self.outbox.handle_persisted(token),
            Input::Leave => self.handle_leave(now),
            Input::Decommission { ids } => self.handle_decommission(now, ids),
            Input::ClockStalled => self.handle_clock_stall(now),
            Input::FounderFound { address } => self.bootstrap.add_founder(address),
            Input::PeerSeen { id, address } => self.handle_peer_seen(now, id, address),
        }
        self.run_effects(now);
        self.disk_lag.update(now, self.outbox.issued(), self.outbox.durable());
        self.update_contact(now);
        self.next_detector_timeout = self.detector.next_timeout(now, self.voters().into_iter());
    }

    fn handle_tick(&mut self, now: Instant) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.config.detector.heartbeat_interval;
            self.send_heartbeats(now);
            self.poll_bootstrap(now);
            let (detector, peers) = (&self.detector, &self.peers);
            self.replica.handle_tick(now, |id| !peers.contains(id) || detector.is_suspect(now, id));
            self.retry_requests(now);
            self.remove_stale_peers(now);
        }
        self.propose_view_if_needed(now);
        self.update_dispensable(now);
        self.poll_leases(now);
    }

    /// Runs every effect that need not wait for the disk, including effects that these cause.
    fn run_effects(&mut self, now: Instant) {
        loop {
            self.take_replica_outputs();
            let Some(effect) = self.outbox.next_effect() else {
                break;
            };
            self.run_effect(now, effect);
        }
        self.report_ready_reads();
        self.checkpoint_if_due();
    }

    fn run_effect(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Watermark(watermark) => self.replica.handle_durable(now, watermark),
            Effect::Send { to, message } if to == self.id => self.handle_message(now, to, message),
            Effect::Send { to, message } => self.outbox.push(Output::Send { to, message }),
        }
    }

    /// Sends a message once every record issued so far is durable.
    fn send(&mut self, to: NodeId, message: CoreMessage) {
        self.outbox.defer(Effect::Send { to, message });
    }

    /// Sends a message that does not depend on any record being durable, except that of the node's identity.
    fn send_immediately(&mut self, to: NodeId, message: CoreMessage) {
        self.outbox.send_immediately(to, message);
    }

    fn take_replica_outputs(&mut self) {
        for output in self.replica.take_outputs() {
            match output {
                ReplicaOutput::Persist(record) => self.outbox.persist(record),
                ReplicaOutput::WhenDurable(watermark) => self.outbox.defer(Effect::Watermark(watermark)),
                ReplicaOutput::Send { to, message } => self.send(to, message),
                ReplicaOutput::SnapshotInstalled { sequence } => {
                    self.outbox.push(Output::SnapshotInstalled { sequence })
                }
                ReplicaOutput::Applied(applied) => self.handle_applied(applied),
            }
        }
    }

    /// Starts a checkpoint if one is due. Only one is pending at a time, since each holds a copy of the whole state in
    /// memory while it waits for the disk.
    fn checkpoint_if_due(&mut self) {
        let is_due = self.outbox.bytes_since_checkpoint() >= self.config.checkpoint_bytes;
        if !is_due || self.outbox.is_checkpoint_pending() {
            return;
        }
        let state = Box::new(self.durable_state());
        let token = self.outbox.start_checkpoint();
        self.outbox.push(Output::Checkpoint { token, state });
    }

    /// What the durable state will be once every issued record is durable.
    pub fn durable_state(&self) -> DurableState {
        let store = self.replica.store();
        DurableState {
            id: self.id,
            view: self.agreement.state().clone(),
            lease: self.leases.voter_state().clone(),
            snapshot: store.snapshot(),
            log: store.uncommitted(),
            committed: store.applied().sequence,
            complete: self.replica.is_complete(),
            sealed: self.replica.sealed(),
        }
    }

    /// Identities of the voters of the newest decided view.
    fn voters(&self) -> Vec<NodeId> {
        self.agreement.view().into_iter().flat_map(View::voter_ids).collect()
    }

    /// Whether this node may confirm that its view is current: it is a voter and has accepted no next view.
    fn confirms_epoch(&self) -> bool {
        self.agreement.is_voter() && !self.agreement.has_accepted_next_view()
    }

    /// Epoch of the current view.
    pub fn epoch(&self) -> Epoch {
        self.agreement.epoch()
    }
}
