//! The voter's side: grants each role to one holder at a time, for the duration of a lease.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_clock::Instant;
use speedy::{Readable, Writable};

use crate::{
    FencingToken, HolderId, LeaseAnswer, LeaseConfig, LeaseRecord, LeaseRelease, LeaseRequest, Refusal, Role,
};

/// Durable state of a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VoterState {
    highest_tokens: BTreeMap<Role, FencingToken>,
}

impl VoterState {
    /// Folds one record into the state.
    pub fn apply(&mut self, record: &LeaseRecord) {
        let highest_token = self.highest_tokens.entry(record.role.clone()).or_default();
        *highest_token = record.fencing_token.max(*highest_token);
    }

    /// The highest fencing token granted for a role.
    pub fn highest_token(&self, role: &Role) -> FencingToken {
        self.highest_tokens.get(role).copied().unwrap_or_default()
    }
}

/// What the embedder has to do after a request: `answer` must not leave before `record` is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// To be made durable first.
    pub record: Option<LeaseRecord>,
    /// To be sent afterwards.
    pub answer: LeaseAnswer,
}

/// The newest grant of a role.
#[derive(Clone, Copy, Debug)]
struct Grant {
    holder: HolderId,
    fencing_token: FencingToken,
    expires_at: Instant,
}

/// Why a request is refused, and when it may be granted.
struct RefusedUntil {
    refusal: Refusal,
    retry_at: Instant,
}

/// A voter for any number of roles. Instants are readings of its own steady clock.
#[derive(Clone, Debug)]
pub struct Voter {
    duration: Duration,
    state: VoterState,
    grants: BTreeMap<Role, Grant>,
    /// Nothing is granted before: grants of an earlier process may still be valid.
    grace_period_ends_at: Instant,
    /// Only renewals are granted before: grants of earlier voters may still be valid.
    renewals_only_until: Instant,
}

impl Voter {
    /// A voter that starts at `now`. It grants nothing for one lease, since it has lost the grants of the process
    /// before.
    pub fn new(config: &LeaseConfig, state: VoterState, now: Instant) -> Voter {
        Voter {
            duration: config.duration,
            state,
            grants: BTreeMap::new(),
            grace_period_ends_at: now + config.duration,
            renewals_only_until: Instant::ORIGIN,
        }
    }

    /// Ends the grace period after a start. Only for a voter whose disk has never been used, so that no earlier process
    /// can have granted anything.
    pub fn skip_grace_period(&mut self) {
        self.grace_period_ends_at = Instant::ORIGIN;
    }

    /// Notes that the set of voters has changed at `now`.
    ///
    /// A majority of the earlier voters need not overlap one of the new voters, so only the present holder is granted
    /// anything until every lease of the earlier voters has expired.
    pub fn handle_voters_changed(&mut self, now: Instant) {
        self.renewals_only_until = now + self.duration;
    }

    /// The durable state.
    pub fn state(&self) -> &VoterState {
        &self.state
    }

    /// Decides on a request that was received at `now`.
    pub fn handle_request(&mut self, now: Instant, from: HolderId, request: &LeaseRequest) -> Vote {
        match self.reason_to_refuse(now, from, request) {
            Some(refused) => self.refuse(now, request, &refused),
            None => self.grant(now, from, request),
        }
    }

    /// A holder releases its lease: this voter is not bound by it any more.
    ///
    /// A late release of an earlier lease changes nothing: the token of a grant never falls while it binds.
    pub fn handle_release(&mut self, from: HolderId, release: &LeaseRelease) {
        let is_grant_of_lease =
            |grant: &Grant| grant.holder == from && grant.fencing_token == release.fencing_token;
        if self.grants.get(&release.role).is_some_and(is_grant_of_lease) {
            self.grants.remove(&release.role);
        }
    }

    fn active_grant(&self, now: Instant, role: &Role) -> Option<&Grant> {
        self.grants.get(role).filter(|grant| now < grant.expires_at)
    }

    fn reason_to_refuse(&self, now: Instant, from: HolderId, request: &LeaseRequest) -> Option<RefusedUntil> {
        if now < self.grace_period_ends_at {
            return Some(RefusedUntil { refusal: Refusal::GracePeriod, retry_at: self.grace_period_ends_at });
        }
        if let Some(competing_grant) =
            self.active_grant(now, &request.role).filter(|grant| grant.holder != from)
        {
            return Some(RefusedUntil {
                refusal: Refusal::HeldByOther,
                retry_at: competing_grant.expires_at,
            });
        }
        if now < self.renewals_only_until && !request.is_renewal {
            return Some(RefusedUntil { refusal: Refusal::GracePeriod, retry_at: self.renewals_only_until });
        }
        // A renewal keeps its token, also where this voter has since granted a higher one to a candidate that did not
        // win: that grant is over, and a later holder would have needed this voter's majority.
        let is_stale =
            !request.is_renewal && request.fencing_token <= self.state.highest_token(&request.role);
        is_stale.then_some(RefusedUntil { refusal: Refusal::StaleToken, retry_at: now })
    }

    /// Binds this voter, or confirms to a candidate that asks again that it is bound already.
    ///
    /// A candidate that asks again has not got its majority. If its grant grew with each request, candidates that each
    /// hold their own vote would keep it for ever; if the grant did not count for its later attempts, a candidate that
    /// collects votes one after the other would never have a majority at one time.
    ///
    /// A node keeps its identity over a restart, so a late renewal may come from its earlier process, which held an
    /// earlier lease. It must not lower the token of the grant that the present lease rests on: the release that follows
    /// such a renewal would end that grant.
    fn grant(&mut self, now: Instant, from: HolderId, request: &LeaseRequest) -> Vote {
        let active = self.active_grant(now, &request.role).copied();
        let grant_to_keep = active.filter(|_| !request.is_renewal);
        let expires_at = grant_to_keep.map_or(now + self.duration, |grant| grant.expires_at);
        let fencing_token = request.fencing_token;
        let grant_token = active.map_or(fencing_token, |grant| grant.fencing_token.max(fencing_token));
        let grant = Grant { holder: from, fencing_token: grant_token, expires_at };
        self.grants.insert(request.role.clone(), grant);
        let record = LeaseRecord { role: request.role.clone(), fencing_token };
        let is_new_token = fencing_token > self.state.highest_token(&request.role);
        self.state.apply(&record);
        let answer = LeaseAnswer::Granted {
            role: request.role.clone(),
            attempt: request.attempt,
            bound_micros: (expires_at - now).as_micros() as u64,
        };
        Vote { record: is_new_token.then_some(record), answer }
    }

    fn refuse(&self, now: Instant, request: &LeaseRequest, refused: &RefusedUntil) -> Vote {
        let answer = LeaseAnswer::Refused {
            role: request.role.clone(),
            attempt: request.attempt,
            refusal: refused.refusal,
            highest_token: self.state.highest_token(&request.role),
            retry_after_micros: (refused.retry_at - now).as_micros() as u64,
        };
        Vote { record: None, answer }
    }
}
