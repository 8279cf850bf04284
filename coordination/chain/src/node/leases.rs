//! Leases for the roles that this node competes for, and its votes on lease requests of other nodes.

use millrudder_clock::Instant;
use millrudder_lease::{
    FencingToken, Holder, HolderEvent, HolderId, LeaseAnswer, LeaseConfig, LeaseRelease, LeaseRequest, Role,
    Vote, Voter, VoterId, VoterState,
};
use millrudder_view::{Epoch, NodeId, View};

use super::{CoreNode, Output};
use crate::{CoreMessage, Machine, Record};

/// A lease was granted or lost.
pub(super) struct LeaseChange {
    role: Role,
    event: HolderEvent,
}

/// The result of polling the lease holder of one role.
pub(super) struct PolledLease {
    change: Option<LeaseChange>,
    /// Request to send to all voters.
    request: Option<LeaseRequest>,
}

/// Which lease requests a node may send.
#[derive(Clone, Copy)]
pub(super) struct Eligibility {
    can_renew: bool,
    can_claim: bool,
}

/// The holders of this node's roles, and its voter.
#[derive(Clone, Debug)]
pub(super) struct Leases {
    voter: Voter,
    holders: Vec<Holder>,
    /// The view whose voters' grants are counted.
    entered: Option<View>,
}

impl Leases {
    /// Restores the voter from its durable state; each holder gets a seed from `random`.
    pub(super) fn new(
        config: &LeaseConfig,
        roles: &[Role],
        state: VoterState,
        random: &mut fastrand::Rng,
        now: Instant,
    ) -> Leases {
        let holders = roles.iter().map(|role| Holder::new(config, role.clone(), random.u64(..)));
        Leases { voter: Voter::new(config, state, now), holders: holders.collect(), entered: None }
    }

    /// Skips the voter's grace period. Only valid for a disk that was never used, as no earlier process can have voted.
    pub(super) fn skip_grace_period(&mut self) {
        self.voter.skip_grace_period();
    }

    /// The durable state of the voter.
    pub(super) fn voter_state(&self) -> &VoterState {
        self.voter.state()
    }

    /// Fencing token of a role, while this node holds its lease.
    pub(super) fn fencing_token(&self, now: Instant, role: &Role) -> Option<FencingToken> {
        self.holders.iter().find(|holder| holder.role() == role)?.fencing_token(now)
    }

    /// When the next holder has to be polled.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.holders.iter().filter_map(Holder::next_deadline).min()
    }

    /// From now on, counts only grants by the voters of `view`.
    ///
    /// If the voters stay the same, they know to whom they have granted each role, and no grace period is needed. This
    /// holds only if the new epoch directly follows the previous one: otherwise the voters of a skipped view, which may
    /// have been different ones, may have granted leases.
    pub(super) fn enter_view(&mut self, now: Instant, view: &View) {
        let has_same_voters = self
            .entered
            .as_ref()
            .is_some_and(|before| before.epoch.next() == view.epoch && before.has_same_voters(view));
        if view.epoch > Epoch::FIRST && !has_same_voters {
            self.voter.handle_voters_changed(now);
        }
        self.entered = Some(view.clone());
        for holder in &mut self.holders {
            holder.set_voters(view.majority(), view.epoch.0);
        }
    }

    fn poll(&mut self, now: Instant, eligibility: Eligibility) -> Vec<PolledLease> {
        let poll = |holder: &mut Holder| {
            let step = holder.poll(now);
            let change = step.event.map(|event| LeaseChange { role: holder.role().clone(), event });
            let is_eligible = if holder.is_held(now) { eligibility.can_renew } else { eligibility.can_claim };
            PolledLease { change, request: step.request.filter(|_| is_eligible) }
        };
        self.holders.iter_mut().map(poll).collect()
    }

    fn release_all(&mut self, now: Instant) -> Vec<LeaseRelease> {
        self.holders.iter_mut().filter_map(|holder| holder.release(now)).collect()
    }

    fn handle_request(&mut self, now: Instant, from: NodeId, request: &LeaseRequest) -> Vote {
        self.voter.handle_request(now, HolderId(from.0), request)
    }

    fn handle_release(&mut self, now: Instant, from: NodeId, release: &LeaseRelease) {
        self.voter.handle_release(HolderId(from.0), release);
        let concerned = self.holders.iter_mut().filter(|holder| *holder.role() == release.role);
        concerned.for_each(|holder| holder.handle_release(now));
    }

    fn handle_answer(&mut self, now: Instant, from: NodeId, answer: &LeaseAnswer) -> Option<LeaseChange> {
        let holder = self.holders.iter_mut().find(|holder| holder.role() == answer.role())?;
        let event = holder.handle_answer(now, VoterId(from.0), answer).event?;
        Some(LeaseChange { role: answer.role().clone(), event })
    }
}

impl<M: Machine> CoreNode<M> {
    /// Renews held leases and requests those of the other roles.
    pub(super) fn poll_leases(&mut self, now: Instant) {
        let eligibility = self.lease_eligibility();
        for polled in self.leases.poll(now, eligibility) {
            self.report_lease(polled.change);
            if let Some(request) = polled.request {
                self.send_lease_request(&request);
            }
        }
    }

    /// Only a node that has caught up may claim a role: a member that has just rejoined would act on stale state. A
    /// holder may renew its lease while it catches up after a view change.
    fn lease_eligibility(&self) -> Eligibility {
        let can_renew = self.agreement.is_voter() && !self.departures.is_leaving();
        Eligibility { can_renew, can_claim: can_renew && self.is_caught_up() }
    }

    fn send_lease_request(&mut self, request: &LeaseRequest) {
        let epoch = self.agreement.epoch();
        for to in self.voters() {
            self.send_immediately(to, CoreMessage::LeaseRequest { epoch, request: request.clone() });
        }
    }

    /// Releases every held lease, so that other nodes need not wait for its expiry.
    pub(super) fn release_leases(&mut self, now: Instant) {
        for release in self.leases.release_all(now) {
            let LeaseRelease { role, fencing_token } = release.clone();
            self.outbox.push(Output::LeaseLost { role, fencing_token });
            for to in self.voters() {
                self.send(to, CoreMessage::LeaseReleased { release: release.clone() });
            }
        }
    }

    pub(super) fn handle_lease_request(
        &mut self,
        now: Instant,
        from: NodeId,
        epoch: Epoch,
        request: &LeaseRequest,
    ) {
        if !self.confirms_epoch() {
            return;
        }
        let vote = self.leases.handle_request(now, from, request);
        if let Some(record) = vote.record {
            self.outbox.persist(Record::Lease(record));
        }
        self.send(from, CoreMessage::LeaseAnswer { epoch, answer: vote.answer });
    }

    pub(super) fn handle_lease_released(&mut self, now: Instant, from: NodeId, release: &LeaseRelease) {
        self.leases.handle_release(now, from, release);
    }

    pub(super) fn handle_lease_answer(&mut self, now: Instant, from: NodeId, answer: &LeaseAnswer) {
        let change = self.leases.handle_answer(now, from, answer);
        self.report_lease(change);
    }

    fn report_lease(&mut self, change: Option<LeaseChange>) {
        let Some(LeaseChange { role, event }) = change else {
            return;
        };
        self.outbox.push(match event {
            HolderEvent::Granted { fencing_token } => Output::LeaseGranted { role, fencing_token },
            HolderEvent::Lost { fencing_token } => Output::LeaseLost { role, fencing_token },
        });
    }
}
