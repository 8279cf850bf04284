//! Outputs of a node. Enforces that an effect that depends on records happens only after they are durable.

use std::collections::VecDeque;

use millrudder_view::NodeId;
use speedy::Writable;

use super::{Output, PersistToken};
use crate::replica::DurableWatermark;
use crate::{CoreMessage, Machine, Record};

/// Number of pending records from which the disk counts as stalled, and messages that would add records are dropped.
///
/// A peer may have one mebibyte in flight to this node, which amounts to fewer records however small its commands are.
const MAX_PENDING_RECORDS: u64 = 1 << 15;

/// An action that is run once all earlier records are durable.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Effect {
    /// Sends a message.
    Send { to: NodeId, message: CoreMessage },
    /// Notifies the replica that its records are durable.
    Watermark(DurableWatermark),
}

impl Effect {
    /// Whether this effect makes an earlier one obsolete. A heartbeat replaces an earlier one to the same peer, as it
    /// repeats all of its fields. A lease answer replaces an earlier one for the same role to the same node, which
    /// considers only answers to its newest request.
    fn supersedes(&self, earlier: &Effect) -> bool {
        let (Effect::Send { to, message }, Effect::Send { to: earlier_to, message: earlier }) =
            (self, earlier)
        else {
            return false;
        };
        let is_superseded = match (message, earlier) {
            (CoreMessage::Heartbeat(_), CoreMessage::Heartbeat(_)) => true,
            (CoreMessage::LeaseAnswer { answer, .. }, CoreMessage::LeaseAnswer { answer: earlier, .. }) => {
                answer.role() == earlier.role()
            }
            _ => false,
        };
        to == earlier_to && is_superseded
    }
}

#[derive(Clone, Debug)]
struct DeferredEffect {
    after: PersistToken,
    effect: Effect,
}

/// Outputs in order, and effects that wait for the disk.
#[derive(Clone, Debug)]
pub(super) struct Outbox<M: Machine> {
    outputs: VecDeque<Output<M::Command, M::Reply>>,
    deferred: VecDeque<DeferredEffect>,
    /// Messages that depend on no record except that of the identity.
    immediate: VecDeque<Effect>,
    /// Token of the identity record if this process generated the identity; zero otherwise.
    identity_token: PersistToken,
    issued: PersistToken,
    durable: PersistToken,
    bytes_since_checkpoint: usize,
    /// The newest record contained in the last checkpoint issued.
    last_checkpoint: PersistToken,
}

impl<M: Machine> Outbox<M> {
    pub(super) fn new() -> Outbox<M> {
        Outbox {
            outputs: VecDeque::new(),
            deferred: VecDeque::new(),
            immediate: VecDeque::new(),
            identity_token: PersistToken(0),
            issued: PersistToken(0),
            durable: PersistToken(0),
            bytes_since_checkpoint: 0,
            last_checkpoint: PersistToken(0),
        }
    }

    pub(super) fn push(&mut self, output: Output<M::Command, M::Reply>) {
        self.outputs.push_back(output);
    }

    pub(super) fn pop(&mut self) -> Option<Output<M::Command, M::Reply>> {
        self.outputs.pop_front()
    }

    /// Issues a record.
    pub(super) fn persist(&mut self, record: Record) {
        self.issued = PersistToken(self.issued.0 + 1);
        let bytes = Writable::<speedy::LittleEndian>::bytes_needed(&record).unwrap_or_default();
        self.bytes_since_checkpoint += bytes;
        self.outputs.push_back(Output::Persist { token: self.issued, record });
    }

    /// Issues the record of a newly generated identity. No message is sent before it is durable.
    pub(super) fn persist_identity(&mut self, id: NodeId) {
        self.persist(Record::Identity { id });
        self.identity_token = self.issued;
    }

    /// The newest record issued.
    pub(super) fn issued(&self) -> PersistToken {
        self.issued
    }

    /// The newest record that is durable.
    pub(super) fn durable(&self) -> PersistToken {
        self.durable
    }

    /// Whether [`MAX_PENDING_RECORDS`] is reached, so that no message may add another record.
    pub(super) fn is_full(&self) -> bool {
        self.issued.0 - self.durable.0 >= MAX_PENDING_RECORDS
    }

    /// Number of effects that wait for the disk.
    pub(super) fn deferred(&self) -> usize {
        self.deferred.len()
    }

    pub(super) fn bytes_since_checkpoint(&self) -> usize {
        self.bytes_since_checkpoint
    }

    /// Whether the last checkpoint issued is not durable yet.
    pub(super) fn is_checkpoint_pending(&self) -> bool {
        self.last_checkpoint > self.durable
    }

    /// Begins a checkpoint of everything issued so far. Returns the newest record that it contains.
    pub(super) fn start_checkpoint(&mut self) -> PersistToken {
        self.bytes_since_checkpoint = 0;
        self.last_checkpoint = self.issued;
        self.issued
    }

    /// Defers `effect` until everything issued so far is durable.
    ///
    /// Drops effects that this one supersedes, and ignores an effect that is already queued, so that neither stale
    /// answers nor duplicate messages accumulate while the disk is stalled.
    pub(super) fn defer(&mut self, effect: Effect) {
        self.deferred.retain(|deferred| !effect.supersedes(&deferred.effect));
        if self.deferred.iter().any(|deferred| deferred.effect == effect) {
            return;
        }
        self.deferred.push_back(DeferredEffect { after: self.issued, effect });
    }

    /// Sends a message without waiting for the disk. Only for messages that stay true after a crash of this node.
    /// Without this, a slow disk would delay nodes that ask whether the view is current.
    pub(super) fn send_immediately(&mut self, to: NodeId, message: CoreMessage) {
        self.immediate.push_back(Effect::Send { to, message });
    }

    /// Every record up to `token` is durable.
    pub(super) fn handle_persisted(&mut self, token: PersistToken) {
        self.durable = token.min(self.issued).max(self.durable);
    }

    /// Removes and returns the next effect that does not have to wait for the disk.
    pub(super) fn next_effect(&mut self) -> Option<Effect> {
        if self.identity_token <= self.durable {
            if let Some(effect) = self.immediate.pop_front() {
                return Some(effect);
            }
        }
        let is_ready = self.deferred.front().is_some_and(|deferred| deferred.after <= self.durable);
        let deferred = if is_ready { self.deferred.pop_front() } else { None };
        deferred.map(|deferred| deferred.effect)
    }
}
