//! The founding of the first view.

use std::collections::{BTreeMap, BTreeSet};

use crate::agreement::{Envelope, Step, ViewAgreement};
use crate::{Epoch, Member, NodeId, View, ViewMessage};

/// Forms the first view once all founders have agreed to the same list of members.
///
/// A node agrees to one list in the life of its disk. Every list needs the agreement of all its members, so two
/// lists that share a living disk cannot both be founded. Only a node with a list of founders proposes; a node
/// without one agrees to a list that names it, which cannot found anything by itself.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    me: Member,
    /// Addresses of all founders; empty at a node that must not propose a foundation.
    founders: Vec<String>,
    /// No more founders than this become voters.
    voters: usize,
    known: BTreeMap<String, NodeId>,
    agreed_by: BTreeSet<NodeId>,
}

impl Bootstrap {
    /// `founders` are the addresses of the first machines, empty where founding is not allowed. At most `voters` of
    /// them form the first view; this number must be the same at all nodes.
    pub fn new(me: Member, founders: Vec<String>, voters: usize) -> Bootstrap {
        let known = BTreeMap::from([(me.address.clone(), me.id)]);
        Bootstrap { me, founders, voters, known, agreed_by: BTreeSet::new() }
    }

    /// Notes which node answers at an address.
    pub fn peer_seen(&mut self, id: NodeId, address: &str) {
        self.known.insert(address.to_owned(), id);
    }

    /// Proposes the foundation, or repeats this node's agreement. To be called now and then while no view is known.
    pub fn poll(&self, agreement: &mut ViewAgreement) -> Step {
        if agreement.epoch() != Epoch::NONE {
            return Step::default();
        }
        if let Some(members) = agreement.state().founding() {
            return Step { record: None, messages: self.announcement(members) };
        }
        self.list().map_or_else(Step::default, |members| self.agree(agreement, members))
    }

    /// Handles a peer's agreement to `members`.
    pub fn handle(&mut self, agreement: &mut ViewAgreement, from: NodeId, members: Vec<Member>) -> Step {
        if agreement.epoch() != Epoch::NONE {
            return agreement.on_query(from, Epoch::NONE);
        }
        let Some(agreed) = agreement.state().founding().map(<[Member]>::to_vec) else {
            return self.join(agreement, from, members);
        };
        if agreed != members {
            return Step::default();
        }
        self.agreed_by.insert(from);
        self.found(agreement, agreed)
    }

    /// Agrees to a list proposed by another founder, if it is the own list or the node has none.
    fn join(&mut self, agreement: &mut ViewAgreement, from: NodeId, members: Vec<Member>) -> Step {
        let acceptable = match self.founders.is_empty() {
            true => members.contains(&self.me),
            false => self.list().is_some_and(|list| list == members),
        };
        if !acceptable {
            return Step::default();
        }
        self.agreed_by.insert(from);
        self.agree(agreement, members)
    }

    fn agree(&self, agreement: &mut ViewAgreement, members: Vec<Member>) -> Step {
        let mut step = agreement.agree_to_foundation(members.clone());
        step.messages = self.announcement(&members);
        step
    }

    /// Adopts the founding view once every member has agreed; its own agreement arrives as a message to itself.
    fn found(&self, agreement: &mut ViewAgreement, members: Vec<Member>) -> Step {
        if !members.iter().all(|member| self.agreed_by.contains(&member.id)) {
            return Step::default();
        }
        let others: Vec<NodeId> =
            members.iter().map(|member| member.id).filter(|id| *id != self.me.id).collect();
        let view = View::of_members(Epoch::FOUNDING, spread_over(members, self.voters));
        let decided = ViewMessage::Decided { view: view.clone() };
        let messages = others.into_iter().map(|to| Envelope { to, message: decided.clone() }).collect();
        let mut step = agreement.adopt(view);
        step.messages = messages;
        step
    }

    /// The founding list, once the node behind every founder's address is known.
    fn list(&self) -> Option<Vec<Member>> {
        if !self.founders.contains(&self.me.address) {
            return None;
        }
        let member = |address: &String| {
            let id = *self.known.get(address)?;
            Some(Member { id, address: address.clone() })
        };
        let mut members: Vec<Member> = self.founders.iter().map(member).collect::<Option<_>>()?;
        members.sort_by(|left, right| left.address.cmp(&right.address));
        Some(members)
    }

    fn announcement(&self, members: &[Member]) -> Vec<Envelope> {
        let message = ViewMessage::BootstrapAgreed { members: members.to_vec() };
        members.iter().map(|member| Envelope { to: member.id, message: message.clone() }).collect()
    }
}

/// At most `count` members at even distances in the list, since neighbours by address often share what they lose.
fn spread_over(members: Vec<Member>, count: usize) -> Vec<Member> {
    let total = members.len();
    let chosen = count.clamp(1, total.max(1)).min(total);
    (0..chosen).map(|place| members[place * total / chosen].clone()).collect()
}
