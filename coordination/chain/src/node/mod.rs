//! The whole core node as one state machine.

mod catch_up;
mod contact;
mod departures;
mod disk_lag;
mod leases;
mod messages;
mod outbox;
mod peers;
mod requests;
mod target_view;
mod view_change;

use std::collections::{BTreeMap, BTreeSet};

use millrudder_lease::{FencingToken, Holder, Role, Voter};
use millrudder_view::{Bootstrap, Detector, Member, NodeId, Step, View, ViewAgreement};
use thiserror::Error;

use self::disk_lag::DiskLag;
use self::outbox::{Effect, Outbox};
use self::peers::PeerStatus;
use self::requests::{PendingRead, PendingSubmit};
use crate::quorum_contact::QuorumContact;
use crate::read_confirmation::Confirmations;
use crate::replica::{Replica, ReplicaLimits, ReplicaOutput};
use crate::store::{KeptLog, Store};
use crate::{
    ConfigError, CoreConfig, CoreMessage, DurableState, Epoch, Machine, Record, RequestId, RestoreError,
    Sequence,
};

/// Number of an issued record; a higher one is issued later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistToken(pub u64);

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Input<Command> {
    /// A message from another node.
    Message { from: NodeId, message: CoreMessage },
    /// Time has passed; due at [`CoreNode::next_deadline`].
    Tick,
    /// A command is to be committed. The same request may be submitted again, here or elsewhere.
    Submit { request_id: RequestId, command: Command },
    /// A read wants to see every command that was committed before now.
    Read { request_id: RequestId },
    /// The caller no longer waits for a command or read; the command may still be committed.
    Abandon { request_id: RequestId },
    /// Everything issued up to `token` is durable.
    Persisted { token: PersistToken },
    /// This process is about to end: the others replace this node at once instead of waiting for its silence. It goes
    /// on as a member meanwhile; [`CoreNode::may_go`] tells when it may end.
    Leave,
    /// These nodes, and no others, are to be taken out for good; to be given again after a start. Those that have the
    /// state are replaced by others first; see [`CoreNode::can_do_without`].
    Exclude { ids: BTreeSet<NodeId> },
    /// The machine stood still, its steady clock with it: leases have run out meanwhile, and contact has.
    ClockStalled,
    /// A node answers at an address.
    PeerSeen { id: NodeId, address: String },
}

/// What a node asks of the program around it.
#[derive(Clone, Debug)]
pub enum Output<Command, Reply> {
    /// Send a message; it may be lost, late or doubled.
    Send { to: NodeId, message: CoreMessage },
    /// Append a record to the journal, then report [`Input::Persisted`]. Reports may be joined.
    Persist { token: PersistToken, record: Record },
    /// Replace the journal up to and including the record of `token` by this state.
    Checkpoint { token: PersistToken, state: Box<DurableState> },
    /// A command was committed; given in order at every node that follows the state.
    Committed { sequence: Sequence, request_id: RequestId, command: Command, reply: Reply },
    /// The whole state was replaced by that of a peer, up to and including `sequence`.
    Replaced { sequence: Sequence },
    /// The reply to a command submitted here.
    Reply { request_id: RequestId, reply: Reply },
    /// The read sees what it must in [`CoreNode::machine`].
    ReadReady { request_id: RequestId },
    /// A newer view is in force.
    ViewChanged(View),
    /// This node holds a role from now on.
    LeaseGranted { role: Role, fencing: FencingToken },
    /// This node must not exercise a role any more.
    LeaseLost { role: Role, fencing: FencingToken },
    /// [`CoreNode::has_majority_contact`] has become true.
    QuorumContactGained,
    /// [`CoreNode::has_majority_contact`] has become false.
    QuorumContactLost,
}

/// Why a node cannot start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The configuration is not usable.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The state on disk is not usable.
    #[error(transparent)]
    Restore(#[from] RestoreError),
}

/// A member of the core, or a node that wants to be one. See the [crate documentation](crate).
///
/// All times are microseconds of the node's steady clock.
#[derive(Clone, Debug)]
pub struct CoreNode<M: Machine> {
    config: CoreConfig,
    id: NodeId,
    agreement: ViewAgreement,
    foundation: Bootstrap,
    replica: Replica<M>,
    detector: Detector,
    voter: Voter,
    holders: Vec<Holder>,
    confirmations: Confirmations,
    contact: QuorumContact,
    /// When the contact that was reported expires unless it is renewed.
    contact_until: Option<u64>,
    submits: BTreeMap<RequestId, PendingSubmit>,
    reads: BTreeMap<RequestId, PendingRead>,
    peers: BTreeMap<NodeId, PeerStatus>,
    outbox: Outbox<M>,
    lag: DiskLag,
    random: fastrand::Rng,
    next_heartbeat: u64,
    /// When the next voter that is heard now becomes suspect unless it is heard again.
    next_loss: Option<u64>,
    proposal_due: Option<u64>,
    /// Attempts to change the view since the last one came about, as far as they lengthen the pause.
    attempts: u32,
    leaving: bool,
    /// Since when the others can do without this node, which is about to end.
    dispensable_since: Option<u64>,
    excluded: BTreeSet<NodeId>,
    /// The view whose voters are counted.
    entered: Option<View>,
}

impl<M: Machine> CoreNode<M> {
    /// Starts a node from what its disk holds, or with a new identity drawn from `seed` if the disk is empty.
    ///
    /// `seed` must differ between nodes and starts.
    pub fn new(
        config: CoreConfig,
        durable: Option<DurableState>,
        seed: u64,
        now: u64,
    ) -> Result<CoreNode<M>, StartError> {
        config.check()?;
        let mut random = fastrand::Rng::with_seed(seed);
        let is_new = durable.is_none();
        let drawn = NodeId(random.u64(1..));
        let state = durable.unwrap_or_else(|| DurableState { id: drawn, ..DurableState::default() });
        let mut node = CoreNode::continued(config, state, random, now)?;
        if is_new {
            node.voter.never_voted();
            node.outbox.persist_identity(node.id);
        }
        node.enter_view(now);
        Ok(node)
    }

    fn continued(
        config: CoreConfig,
        state: DurableState,
        mut random: fastrand::Rng,
        now: u64,
    ) -> Result<CoreNode<M>, StartError> {
        let id = state.id;
        let me = Member { id, address: config.address.clone() };
        let kept = KeptLog { entries: config.kept_entries, bytes: config.kept_bytes };
        let store = Store::new(&state.snapshot, &state.log, state.committed, kept)?;
        let retry_after = config.retry_after.as_micros() as u64;
        let limits = ReplicaLimits { batch_bytes: config.batch_bytes, retry_after };
        let holders =
            config.roles.iter().map(|role| Holder::new(&config.lease, role.clone(), random.u64(..)));
        Ok(CoreNode {
            id,
            agreement: ViewAgreement::new(id, state.view, config.minimum_members),
            foundation: Bootstrap::new(me, config.founders.clone(), config.voters),
            replica: Replica::new(id, limits, store, state.complete, state.sealed),
            detector: Detector::new(&config.detector, now),
            voter: Voter::new(&config.lease, state.lease, now),
            holders: holders.collect(),
            confirmations: Confirmations::new(random.u64(..)),
            contact: QuorumContact::new(random.u64(1..)),
            contact_until: None,
            submits: BTreeMap::new(),
            reads: BTreeMap::new(),
            peers: BTreeMap::new(),
            outbox: Outbox::new(),
            lag: DiskLag::default(),
            random,
            next_heartbeat: now,
            next_loss: None,
            proposal_due: None,
            attempts: 0,
            leaving: false,
            dispensable_since: None,
            excluded: BTreeSet::new(),
            entered: None,
            config,
        })
    }

    /// Identity of this node's disk. To be told to others only once the first record is durable.
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
    pub fn is_in_step(&self) -> bool {
        self.is_member() && self.replica.is_synced()
    }

    /// The committed state as far as this node has it; for a linearizable read wait for [`Output::ReadReady`].
    pub fn machine(&self) -> &M {
        self.replica.store().machine()
    }

    /// The last command that this node knows to be committed.
    pub fn committed(&self) -> Sequence {
        self.replica.committed()
    }

    /// Address of a node, as far as it is known.
    pub fn address(&self, id: NodeId) -> Option<&str> {
        let seen = self.peers.get(&id).map(|peer| peer.address.as_str());
        seen.or_else(|| self.view()?.address(id))
    }

    /// FencingToken number of a role, while this node holds it.
    pub fn holds(&self, now: u64, role: &Role) -> Option<FencingToken> {
        self.holders.iter().find(|holder| holder.role() == role)?.fencing(now)
    }

    /// When [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> u64 {
        let holders = self.holders.iter().filter_map(Holder::next_deadline);
        let others = holders.chain(self.proposal_due).chain(self.contact_until).chain(self.next_loss).min();
        others.map_or(self.next_heartbeat, |due| due.min(self.next_heartbeat))
    }

    /// The next output of the inputs handled so far.
    pub fn next_output(&mut self) -> Option<Output<M::Command, M::Reply>> {
        self.outbox.pop()
    }

    /// Handles one input; take the outputs with [`next_output`](CoreNode::next_output).
    pub fn handle(&mut self, now: u64, input: Input<M::Command>) {
        self.detector.poll(now);
        self.check_contact(now);
        match input {
            Input::Message { from, message } => self.on_message(now, from, message),
            Input::Tick => self.on_tick(now),
            Input::Submit { request_id, command } => self.on_submit(now, request_id, &command),
            Input::Read { request_id } => self.on_read(now, request_id),
            Input::Abandon { request_id } => self.on_abandon(request_id),
            Input::Persisted { token } => self.outbox.durable(token),
            Input::Leave => self.on_leave(now),
            Input::Exclude { ids } => self.on_exclude(now, ids),
            Input::ClockStalled => self.on_stood_still(now),
            Input::PeerSeen { id, address } => self.on_peer_seen(now, id, address),
        }
        self.settle(now);
        self.lag.look(now, self.outbox.issued(), self.outbox.on_disk());
        self.renew_contact(now);
        self.next_loss = self.detector.next_loss(now, self.voters().into_iter());
    }

    fn on_tick(&mut self, now: u64) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.config.detector.heartbeat.as_micros() as u64;
            self.send_heartbeats(now);
            self.poll_foundation(now);
            let (detector, peers) = (&self.detector, &self.peers);
            self.replica.tick(now, |id| !peers.contains_key(&id) || detector.is_suspect(now, id));
            self.retry_requests(now);
            self.forget_peers(now);
        }
        self.consider_view(now);
        self.note_departure(now);
        self.poll_leases(now);
    }

    /// Carries out what has become possible, until nothing more follows.
    fn settle(&mut self, now: u64) {
        loop {
            self.take_replica_outputs();
            let Some(effect) = self.outbox.next_effect() else {
                break;
            };
            self.carry_out(now, effect);
        }
        self.finish_reads();
        self.checkpoint_if_due();
    }

    fn carry_out(&mut self, now: u64, effect: Effect) {
        match effect {
            Effect::Mark(mark) => self.replica.durable(now, mark),
            Effect::Send { to, message } if to == self.id => self.on_message(now, to, message),
            Effect::Send { to, message } => self.outbox.push(Output::Send { to, message }),
        }
    }

    fn send(&mut self, to: NodeId, message: CoreMessage) {
        self.outbox.after_issued(Effect::Send { to, message });
    }

    /// Sends a message that rests on no record of this node.
    fn send_at_once(&mut self, to: NodeId, message: CoreMessage) {
        self.outbox.at_once(to, message);
    }

    fn take_replica_outputs(&mut self) {
        for output in self.replica.take_outputs() {
            match output {
                ReplicaOutput::Persist(record) => self.outbox.persist(record),
                ReplicaOutput::WhenDurable(mark) => self.outbox.after_issued(Effect::Mark(mark)),
                ReplicaOutput::Send { to, message } => self.send(to, message),
                ReplicaOutput::Replaced { sequence } => self.outbox.push(Output::Replaced { sequence }),
                ReplicaOutput::Applied(applied) => self.on_applied(applied),
            }
        }
    }

    /// Carries out a step of the agreement on views, and enters a newer view if that was decided.
    fn take_step(&mut self, now: u64, step: Step) {
        if let Some(record) = step.record {
            self.outbox.persist(Record::View(record));
        }
        for envelope in step.messages {
            self.send(envelope.to, CoreMessage::View(envelope.message));
        }
        if self.agreement.epoch() > self.replica.epoch() {
            self.enter_view(now);
        }
    }

    fn checkpoint_if_due(&mut self) {
        if self.outbox.bytes_since_checkpoint() < self.config.checkpoint_bytes {
            return;
        }
        self.outbox.checkpoint_issued();
        let state = Box::new(self.durable_state());
        self.outbox.push(Output::Checkpoint { token: self.outbox.issued(), state });
    }

    /// The state that the disk holds once every issued record is durable.
    pub fn durable_state(&self) -> DurableState {
        let store = self.replica.store();
        DurableState {
            id: self.id,
            view: self.agreement.state().clone(),
            lease: self.voter.state().clone(),
            snapshot: store.snapshot(),
            log: store.uncommitted(),
            committed: store.applied().sequence,
            complete: self.replica.is_complete(),
            sealed: self.replica.sealed(),
        }
    }

    /// Epoch of the present view.
    pub fn epoch(&self) -> Epoch {
        self.agreement.epoch()
    }
}
