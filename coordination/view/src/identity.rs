//! Node identities, epochs, ballots, and views.

use std::collections::BTreeSet;

use speedy::{Readable, Writable};

/// Identity of a node, bound to its disk: a random number that is generated when the node starts with an empty disk, and
/// stored there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct NodeId(pub u64);

/// Number of a view; zero means that no view is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of a node that knows no view.
    pub const NONE: Epoch = Epoch(0);
    /// The epoch of the first view.
    pub const FIRST: Epoch = Epoch(1);

    /// Returns the epoch that follows this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
    }
}

/// Ballot number of a Paxos proposer, ordered by round and then by node, so that no two proposers use the same ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Ballot {
    /// Increases with each attempt of the proposer.
    pub round: u64,
    /// Identity of the proposer.
    pub node: NodeId,
}

/// One node of a view and its address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Member {
    /// Identity of the node.
    pub id: NodeId,
    /// Address in a notation chosen by the embedder.
    pub address: String,
}

/// The voters of one epoch, and those of them that hold the replicated state.
///
/// The voters decide the next view, grant leases and confirm the epoch, each by majority. The members are the voters that
/// hold the state, in chain order from head to tail. A failed voter remains a voter until another node replaces it, so
/// that the number of voters, and with it the size of a majority, does not shrink.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct View {
    /// Epoch of the view.
    pub epoch: Epoch,
    /// Nodes that vote, in any order.
    pub voters: Vec<Member>,
    /// The voters that hold the state, in chain order.
    pub members: Vec<Member>,
}

impl View {
    /// Creates a view in which every member votes and every voter is a member.
    pub fn of_members(epoch: Epoch, members: Vec<Member>) -> View {
        View { epoch, voters: members.clone(), members }
    }

    /// Returns whether `id` is a member, that is, whether it holds the state.
    pub fn is_member(&self, id: NodeId) -> bool {
        self.members.iter().any(|member| member.id == id)
    }

    /// Returns whether `id` votes.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }

    /// Returns the identities of the members in chain order.
    pub fn member_ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members.iter().map(|member| member.id)
    }

    /// Returns the identities of the voters.
    pub fn voter_ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().map(|voter| voter.id)
    }

    /// Returns whether the view has an epoch and at least one member, no duplicate voters or members, and no member that
    /// does not vote.
    pub fn is_well_formed(&self) -> bool {
        let members: BTreeSet<NodeId> = self.member_ids().collect();
        let voters: BTreeSet<NodeId> = self.voter_ids().collect();
        let has_no_duplicates = members.len() == self.members.len() && voters.len() == self.voters.len();
        self.epoch != Epoch::NONE
            && !self.members.is_empty()
            && has_no_duplicates
            && members.is_subset(&voters)
    }

    /// Returns the number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `voters` equal the voters of this view or differ in one that is added, removed or replaced.
    pub fn voters_change_by_one(&self, voters: &[Member]) -> bool {
        let before: BTreeSet<NodeId> = self.voter_ids().collect();
        let after: BTreeSet<NodeId> = voters.iter().map(|voter| voter.id).collect();
        before.difference(&after).count() <= 1 && after.difference(&before).count() <= 1
    }

    /// Returns whether the same nodes vote in both views.
    pub fn has_same_voters(&self, other: &View) -> bool {
        let own: BTreeSet<NodeId> = self.voter_ids().collect();
        own == other.voter_ids().collect()
    }

    /// Returns the first member, which assigns sequence numbers to commands.
    pub fn head(&self) -> Option<NodeId> {
        self.members.first().map(|member| member.id)
    }

    /// Returns the last member, at which commands are committed.
    pub fn tail(&self) -> Option<NodeId> {
        self.members.last().map(|member| member.id)
    }

    /// Returns the member before `id` in chain order.
    pub fn predecessor(&self, id: NodeId) -> Option<NodeId> {
        let index = self.position(id)?;
        index.checked_sub(1).map(|previous| self.members[previous].id)
    }

    /// Returns the member after `id` in chain order.
    pub fn successor(&self, id: NodeId) -> Option<NodeId> {
        let index = self.position(id)?;
        self.members.get(index + 1).map(|member| member.id)
    }

    /// Returns the index of `id` in chain order.
    pub fn position(&self, id: NodeId) -> Option<usize> {
        self.members.iter().position(|member| member.id == id)
    }

    /// Returns the address of a voter.
    pub fn address(&self, id: NodeId) -> Option<&str> {
        let voter = self.voters.iter().find(|voter| voter.id == id)?;
        Some(&voter.address)
    }
}
