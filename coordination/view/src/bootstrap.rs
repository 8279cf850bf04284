//! Bootstrap of a cluster: agreement on the members of its first view.

use std::collections::{BTreeMap, BTreeSet};

use crate::agreement::{Envelope, Step, ViewAgreement};
use crate::{Epoch, Member, NodeId, View, ViewMessage};

/// Forms the first view once all listed nodes have agreed to the same list of members.
///
/// A node records its agreement on disk and never agrees to another list afterwards. Every list needs the agreement of
/// all its members, so at most one of two lists that share a node can form a view. Only nodes with configured bootstrap
/// addresses propose a list. A node without them agrees to any list that contains it; such nodes cannot form a view on
/// their own.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    local: Member,
    /// Addresses of all nodes of the bootstrap. Empty if this node must not propose a list.
    bootstrap_addresses: Vec<String>,
    /// Maximum number of nodes that become voters of the first view.
    max_voters: usize,
    ids_by_address: BTreeMap<String, NodeId>,
    /// Nodes that have agreed to the list that this node agreed to.
    agreed_by: BTreeSet<NodeId>,
}

impl Bootstrap {
    /// Creates the bootstrap of the node `local`.
    ///
    /// `bootstrap_addresses` are the addresses of all nodes of the bootstrap including this one, or empty if this node must
    /// not propose a list. At most `max_voters` of the nodes form the first view; the number must be the same at all nodes.
    pub fn new(local: Member, bootstrap_addresses: Vec<String>, max_voters: usize) -> Bootstrap {
        let ids_by_address = BTreeMap::from([(local.address.clone(), local.id)]);
        Bootstrap { local, bootstrap_addresses, max_voters, ids_by_address, agreed_by: BTreeSet::new() }
    }

    /// Records that the node `id` was reached at `address`.
    pub fn add_peer(&mut self, id: NodeId, address: &str) {
        self.ids_by_address.insert(address.to_owned(), id);
    }

    /// Proposes the first view, or repeats this node's agreement. The embedder calls this at every heartbeat interval while
    /// no view is known.
    pub fn poll(&self, agreement: &mut ViewAgreement) -> Step {
        if agreement.epoch() != Epoch::NONE {
            return Step::default();
        }
        if let Some(members) = agreement.state().bootstrap_members() {
            return Step { record: None, messages: self.agreement_messages(members) };
        }
        self.own_proposal().map_or_else(Step::default, |members| self.agree(agreement, members))
    }

    /// Handles the agreement of the node `from` to the list `members`.
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

    /// Agrees to the list of a peer if it equals the list that this node would propose or, at a node without bootstrap
    /// addresses, if it contains this node.
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

    /// Adopts the first view once every listed node has agreed. This node's own agreement arrives as a message from itself.
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

    /// Returns the list that this node proposes, in the order of addresses. Returns `None` until the node at every
    /// bootstrap address is known, and at a node that must not propose a list.
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

/// Selects at most `count` members at even distances in the list, because members with neighbouring addresses often share
/// a failure domain.
fn evenly_spaced(members: Vec<Member>, count: usize) -> Vec<Member> {
    let total = members.len();
    let chosen = count.clamp(1, total.max(1)).min(total);
    (0..chosen).map(|index| members[index * total / chosen].clone()).collect()
}
