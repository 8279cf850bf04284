//! Bootstrap of a cluster: the members of its first view agree on it.

use std::collections::{BTreeMap, BTreeSet};

use crate::agreement::{Envelope, Step, ViewAgreement};
use crate::{Epoch, Member, NodeId, View, ViewMessage};

/// Forms the first view once all its nodes have agreed to the same list of members.
///
/// A node agrees to one list in the life of its disk. Every list needs the agreement of all its members, so of two
/// lists that share a disk at most one forms a view. Only a node that was given bootstrap addresses proposes a list; a
/// node without them agrees to a list that names it, which cannot form a view by itself.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    local: Member,
    /// Addresses of all nodes of the bootstrap; empty at a node that must not propose one.
    bootstrap_addresses: Vec<String>,
    /// No more of them than this become voters.
    max_voters: usize,
    ids_by_address: BTreeMap<String, NodeId>,
    agreed_by: BTreeSet<NodeId>,
}

impl Bootstrap {
    /// `addresses` are those of all nodes of the bootstrap, this one included; empty where this node must not propose
    /// one. At most `max_voters` of them form the first view; this number must be the same at all nodes.
    pub fn new(local: Member, bootstrap_addresses: Vec<String>, max_voters: usize) -> Bootstrap {
        let ids_by_address = BTreeMap::from([(local.address.clone(), local.id)]);
        Bootstrap { local, bootstrap_addresses, max_voters, ids_by_address, agreed_by: BTreeSet::new() }
    }

    /// Learns which node answers at an address.
    pub fn add_peer(&mut self, id: NodeId, address: &str) {
        self.ids_by_address.insert(address.to_owned(), id);
    }

    /// Proposes the first view, or repeats this node's agreement. To be called at the heartbeat's pace while no view is
    /// known.
    pub fn poll(&self, agreement: &mut ViewAgreement) -> Step {
        if agreement.epoch() != Epoch::NONE {
            return Step::default();
        }
        if let Some(members) = agreement.state().bootstrap_members() {
            return Step { record: None, messages: self.agreement_messages(members) };
        }
        self.own_proposal().map_or_else(Step::default, |members| self.agree(agreement, members))
    }

    /// Handles a peer's agreement to `members`.
    pub fn handle(&mut self, agreement: &mut ViewAgreement, from: NodeId, members: Vec<Member>) -> Step {
        if agreement.epoch() != Epoch::NONE {
            return agreement.handle_query(from, Epoch::NONE);
        }
        let Some(agreed) = agreement.state().bootstrap_members().map(<[Member]>::to_vec) else {
            return self.agree_to_peer_list(agreement, from, members);
        };
        if agreed != members {
            return Step::default();
        }
        self.agreed_by.insert(from);
        self.adopt_if_all_agree(agreement, agreed)
    }

    /// Agrees to a list that another node proposed, if it is the own list or this node has none.
    fn agree_to_peer_list(
        &mut self,
        agreement: &mut ViewAgreement,
        from: NodeId,
        members: Vec<Member>,
    ) -> Step {
        let is_acceptable = match self.bootstrap_addresses.is_empty() {
            true => members.contains(&self.local),
            false => self.own_proposal().is_some_and(|list| list == members),
        };
        if !is_acceptable {
            return Step::default();
        }
        self.agreed_by.insert(from);
        self.agree(agreement, members)
    }

    fn agree(&self, agreement: &mut ViewAgreement, members: Vec<Member>) -> Step {
        let mut step = agreement.record_bootstrap_agreement(members.clone());
        step.messages = self.agreement_messages(&members);
        step
    }

    /// Adopts the first view once every member has agreed; the own agreement arrives as a message to itself.
    fn adopt_if_all_agree(&self, agreement: &mut ViewAgreement, members: Vec<Member>) -> Step {
        if !members.iter().all(|member| self.agreed_by.contains(&member.id)) {
            return Step::default();
        }
        let others: Vec<NodeId> =
            members.iter().map(|member| member.id).filter(|id| *id != self.local.id).collect();
        let view = View::of_members(Epoch::FIRST, evenly_spaced(members, self.max_voters));
        let decided = ViewMessage::Decided { view: view.clone() };
        let messages = others.into_iter().map(|to| Envelope { to, message: decided.clone() }).collect();
        let mut step = agreement.adopt(view);
        step.messages = messages;
        step
    }

    /// The members of the first view, once the node behind every address is known.
    fn own_proposal(&self) -> Option<Vec<Member>> {
        if !self.bootstrap_addresses.contains(&self.local.address) {
            return None;
        }
        let member = |address: &String| {
            let id = *self.ids_by_address.get(address)?;
            Some(Member { id, address: address.clone() })
        };
        let mut members: Vec<Member> = self.bootstrap_addresses.iter().map(member).collect::<Option<_>>()?;
        members.sort_by(|left, right| left.address.cmp(&right.address));
        Some(members)
    }

    fn agreement_messages(&self, members: &[Member]) -> Vec<Envelope> {
        let message = ViewMessage::BootstrapAgreed { members: members.to_vec() };
        members.iter().map(|member| Envelope { to: member.id, message: message.clone() }).collect()
    }
}

/// At most `count` members at even distances in the list, since neighbours by address often share a failure domain.
fn evenly_spaced(members: Vec<Member>, count: usize) -> Vec<Member> {
    let total = members.len();
    let chosen = count.clamp(1, total.max(1)).min(total);
    (0..chosen).map(|index| members[index * total / chosen].clone()).collect()
}
