//! Identities of nodes, epochs, ballots, and the membership view itself.

use std::collections::BTreeSet;

use speedy::{Readable, Writable};

/// Identity of one disk: drawn at random when a node starts with an empty disk, and stored on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct NodeId(pub u64);

/// Number of a membership view; zero stands for "no view known".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of a node that knows no view.
    pub const NONE: Epoch = Epoch(0);
    /// The epoch of the first view.
    pub const FIRST: Epoch = Epoch(1);

    /// The epoch that follows this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
    }
}

/// Ballot of a Paxos proposer: ordered by round, then by node, so that no two proposers share a ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Ballot {
    /// Grows with each attempt.
    pub round: u64,
    /// The proposer.
    pub node: NodeId,
}

/// One member of a view, with the address at which others find it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Member {
    /// Identity of the member's disk.
    pub id: NodeId,
    /// Address in the embedding program's own notation.
    pub address: String,
}

/// Who decides in one epoch, and who holds the state in it.
///
/// The voters decide the next view, grant leases and confirm the epoch, each by a majority. The members are those of
/// them that hold the state, in chain order: head first, tail last. A voter that is lost stays a voter until another
/// node takes its place, so that the others remain a majority of the same number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct View {
    /// Number of the view.
    pub epoch: Epoch,
    /// Who votes, in any order.
    pub voters: Vec<Member>,
    /// The voters that hold the state, in chain order.
    pub members: Vec<Member>,
}

impl View {
    /// A view in which every voter is a member.
    pub fn of_members(epoch: Epoch, members: Vec<Member>) -> View {
        View { epoch, voters: members.clone(), members }
    }

    /// Whether `id` is a member, which holds the state.
    pub fn is_member(&self, id: NodeId) -> bool {
        self.members.iter().any(|member| member.id == id)
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }

    /// Identities of the members in chain order.
    pub fn member_ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members.iter().map(|member| member.id)
    }

    /// Identities of the voters.
    pub fn voter_ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().map(|voter| voter.id)
    }

    /// Whether the view has an epoch and members, nobody twice, and no member that does not vote.
    pub fn is_well_formed(&self) -> bool {
        let members: BTreeSet<NodeId> = self.member_ids().collect();
        let voters: BTreeSet<NodeId> = self.voter_ids().collect();
        let has_no_duplicates = members.len() == self.members.len() && voters.len() == self.voters.len();
        self.epoch != Epoch::NONE
            && !self.members.is_empty()
            && has_no_duplicates
            && members.is_subset(&voters)
    }

    /// Number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `voters` are the same, or differ by one that is added, removed, or replaced.
    pub fn voters_change_by_one(&self, voters: &[Member]) -> bool {
        let before: BTreeSet<NodeId> = self.voter_ids().collect();
        let after: BTreeSet<NodeId> = voters.iter().map(|voter| voter.id).collect();
        before.difference(&after).count() <= 1 && after.difference(&before).count() <= 1
    }

    /// Whether the same nodes vote in both views.
    pub fn has_same_voters(&self, other: &View) -> bool {
        let own: BTreeSet<NodeId> = self.voter_ids().collect();
        own == other.voter_ids().collect()
    }

    /// The first member, at which commands get their sequence numbers.
    pub fn head(&self) -> Option<NodeId> {
        self.members.first().map(|member| member.id)
    }

    /// The last member, at which commands are committed.
    pub fn tail(&self) -> Option<NodeId> {
        self.members.last().map(|member| member.id)
    }

    /// The member before `id` in chain order.
    pub fn predecessor(&self, id: NodeId) -> Option<NodeId> {
        let index = self.position(id)?;
        index.checked_sub(1).map(|previous| self.members[previous].id)
    }

    /// The member after `id` in chain order.
    pub fn successor(&self, id: NodeId) -> Option<NodeId> {
        let index = self.position(id)?;
        self.members.get(index + 1).map(|member| member.id)
    }

    /// Index of `id` in chain order.
    pub fn position(&self, id: NodeId) -> Option<usize> {
        self.members.iter().position(|member| member.id == id)
    }

    /// Address of a voter.
    pub fn address(&self, id: NodeId) -> Option<&str> {
        let voter = self.voters.iter().find(|voter| voter.id == id)?;
        Some(&voter.address)
    }
}
