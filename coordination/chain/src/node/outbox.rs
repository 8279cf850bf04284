//! Outputs of a node, and the rule that nothing that rests on records leaves before they are durable.

use std::collections::VecDeque;

use millrudder_view::NodeId;
use speedy::Writable;

use super::{Output, PersistToken};
use crate::replica::DurableMark;
use crate::{CoreMessage, Machine, Record};

/// What happens once earlier records are durable.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// A message leaves.
    Send { to: NodeId, message: CoreMessage },
    /// The replica learns that its records are durable.
    Mark(DurableMark),
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
struct Held {
    after: PersistToken,
    effect: Effect,
}

/// Outputs in order, and effects that wait for the disk.
#[derive(Clone, Debug)]
pub(super) struct Outbox<M: Machine> {
    outputs: VecDeque<Output<M::Command, M::Reply>>,
    held: VecDeque<Held>,
    /// Messages that rest on no record but that of the identity.
    urgent: VecDeque<Effect>,
    /// The record of the identity, where this process has drawn it.
    identity: PersistToken,
    issued: PersistToken,
    durable: PersistToken,
    bytes_since_checkpoint: usize,
}

impl<M: Machine> Outbox<M> {
    pub(super) fn new() -> Outbox<M> {
        Outbox {
            outputs: VecDeque::new(),
            held: VecDeque::new(),
            urgent: VecDeque::new(),
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

    /// Issues the record of an identity that was drawn just now: no message leaves before it is durable.
    pub(super) fn persist_identity(&mut self, id: NodeId) {
        self.persist(Record::Identity { id });
        self.identity = self.issued;
    }

    /// The newest record issued.
    pub(super) fn issued(&self) -> PersistToken {
        self.issued
    }

    /// The newest record that is durable.
    pub(super) fn on_disk(&self) -> PersistToken {
        self.durable
    }

    pub(super) fn bytes_since_checkpoint(&self) -> usize {
        self.bytes_since_checkpoint
    }

    pub(super) fn checkpoint_issued(&mut self) {
        self.bytes_since_checkpoint = 0;
    }

    /// Lets `effect` happen once everything issued so far is durable.
    ///
    /// A heartbeat takes the place of an earlier one to the same peer, so that a disk that hangs does not pile up
    /// signs of life from the past.
    pub(super) fn after_issued(&mut self, effect: Effect) {
        if let Some(to) = effect.heartbeat_to() {
            self.held.retain(|held| held.effect.heartbeat_to() != Some(to));
        }
        self.held.push_back(Held { after: self.issued, effect });
    }

    /// Lets a message leave without waiting for the disk, since it says nothing that a crash could make untrue. A disk
    /// that is slow must not hold up those who ask whether the view is current.
    pub(super) fn at_once(&mut self, to: NodeId, message: CoreMessage) {
        self.urgent.push_back(Effect::Send { to, message });
    }

    /// Everything up to `token` is durable.
    pub(super) fn durable(&mut self, token: PersistToken) {
        self.durable = token.min(self.issued).max(self.durable);
    }

    /// The next effect that need not wait any more.
    pub(super) fn next_effect(&mut self) -> Option<Effect> {
        if self.identity <= self.durable {
            if let Some(effect) = self.urgent.pop_front() {
                return Some(effect);
            }
        }
        let ready = self.held.front().is_some_and(|held| held.after <= self.durable);
        let held = if ready { self.held.pop_front() } else { None };
        held.map(|held| held.effect)
    }
}
