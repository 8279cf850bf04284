//! Outputs of a node, and the rule that nothing that rests on records leaves before they are durable.

use std::collections::VecDeque;

use millrudder_view::NodeId;
use speedy::Writable;

use super::{Output, PersistToken};
use crate::replica::DurableWatermark;
use crate::{CoreMessage, Machine, Record};

/// What happens once earlier records are durable.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// A message leaves.
    Send { to: NodeId, message: CoreMessage },
    /// The replica learns that its records are durable.
    Watermark(DurableWatermark),
}

impl Effect {
    fn heartbeat_to(&self) -> Option<NodeId> {
        match self {
            Effect::Send { to, message: CoreMessage::Heartbeat(_) } => Some(*to),
            _ => None,
        }
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
    /// Messages that rest on no record but that of the identity.
    immediate: VecDeque<Effect>,
    /// The record of the identity, if this process has drawn it.
    identity: PersistToken,
    issued: PersistToken,
    durable: PersistToken,
    bytes_since_checkpoint: usize,
}

impl<M: Machine> Outbox<M> {
    pub(super) fn new() -> Outbox<M> {
        Outbox {
            outputs: VecDeque::new(),
            deferred: VecDeque::new(),
            immediate: VecDeque::new(),
            identity: PersistToken(0),
            issued: PersistToken(0),
            durable: PersistToken(0),
            bytes_since_checkpoint: 0,
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

    /// Issues the record of an identity that was just drawn: no message leaves before it is durable.
    pub(super) fn persist_identity(&mut self, id: NodeId) {
        self.persist(Record::Identity { id });
        self.identity = self.issued;
    }

    /// The newest record issued.
    pub(super) fn issued(&self) -> PersistToken {
        self.issued
    }

    /// The newest record that is durable.
    pub(super) fn durable(&self) -> PersistToken {
        self.durable
    }

    /// Effects that wait for the disk.
    pub(super) fn deferred(&self) -> usize {
        self.deferred.len()
    }

    pub(super) fn bytes_since_checkpoint(&self) -> usize {
        self.bytes_since_checkpoint
    }

    pub(super) fn reset_bytes_since_checkpoint(&mut self) {
        self.bytes_since_checkpoint = 0;
    }

    /// Defers `effect` until everything issued so far is durable.
    ///
    /// A heartbeat replaces an earlier one to the same peer, so that a hanging disk does not pile up stale heartbeats.
    pub(super) fn defer(&mut self, effect: Effect) {
        if let Some(to) = effect.heartbeat_to() {
            self.deferred.retain(|deferred| deferred.effect.heartbeat_to() != Some(to));
        }
        self.deferred.push_back(DeferredEffect { after: self.issued, effect });
    }

    /// Sends a message without waiting for the disk, since it says nothing that a crash could make untrue. A slow disk
    /// must not delay those who ask whether the view is current.
    pub(super) fn send_immediately(&mut self, to: NodeId, message: CoreMessage) {
        self.immediate.push_back(Effect::Send { to, message });
    }

    /// Every record up to `token` is durable.
    pub(super) fn handle_persisted(&mut self, token: PersistToken) {
        self.durable = token.min(self.issued).max(self.durable);
    }

    /// The next effect that need not wait any more.
    pub(super) fn next_effect(&mut self) -> Option<Effect> {
        if self.identity <= self.durable {
            if let Some(effect) = self.immediate.pop_front() {
                return Some(effect);
            }
        }
        let is_ready = self.deferred.front().is_some_and(|deferred| deferred.after <= self.durable);
        let deferred = if is_ready { self.deferred.pop_front() } else { None };
        deferred.map(|deferred| deferred.effect)
    }
}
