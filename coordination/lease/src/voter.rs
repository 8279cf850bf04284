//! The voter's side of a lease: grants each role to at most one candidate at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_clock::Instant;
use speedy::{Readable, Writable};

use crate::{
    FencingToken, HolderId, LeaseAnswer, LeaseConfig, LeaseRecord, LeaseRelease, LeaseRequest, Refusal, Role,
};

/// Durable state of a voter: the highest fencing token granted for each role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VoterState {
    highest_tokens: BTreeMap<Role, FencingToken>,
}

impl VoterState {
    /// Applies one durable record to the state.
    pub fn apply(&mut self, record: &LeaseRecord) {
        let highest_token = self.highest_tokens.entry(record.role.clone()).or_default();
        *highest_token = record.fencing_token.max(*highest_token);
    }

    /// Returns the highest fencing token granted for a role.
    pub fn highest_token(&self, role: &Role) -> FencingToken {
        self.highest_tokens.get(role).copied().unwrap_or_default()
    }
}

/// Actions for the embedder after a request. `answer` must not be sent before `record` is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Record to make durable first, if the request changed the durable state.
    pub record: Option<LeaseRecord>,
    /// Answer to send to the candidate afterwards.
    pub answer: LeaseAnswer,
}

/// Latest grant of a role.
#[derive(Clone, Copy, Debug)]
struct Grant {
    holder: HolderId,
    fencing_token: FencingToken,
    expires_at: Instant,
}

/// Reason for refusing a request, and the time from which a request may be granted.
struct RefusedUntil {
    refusal: Refusal,
    retry_at: Instant,
}

/// State machine of a voter for any number of roles. Instants are readings of the voter's own steady clock.
#[derive(Clone, Debug)]
pub struct Voter {
    duration: Duration,
    state: VoterState,
    grants: BTreeMap<Role, Grant>,
    /// No request is granted before this time, because grants of an earlier process may still be valid.
    grace_period_ends_at: Instant,
    /// Only renewals are granted before this time, because grants of the earlier voters may still be valid.
    renewals_only_until: Instant,
}

impl Voter {
    /// Creates a voter that starts at `now`. It grants nothing for the duration of one lease: grants are kept in memory
    /// only, so those of the previous process are unknown and may still be valid.
    pub fn new(config: &LeaseConfig, state: VoterState, now: Instant) -> Voter {
        Voter {
            duration: config.duration,
            state,
            grants: BTreeMap::new(),
            grace_period_ends_at: now + config.duration,
            renewals_only_until: Instant::ORIGIN,
        }
    }

    /// Ends the grace period immediately. This is safe only for a voter whose disk has never been used, since no earlier
    /// process can have granted anything.
    pub fn skip_grace_period(&mut self) {
        self.grace_period_ends_at = Instant::ORIGIN;
    }

    /// Handles a change of the set of voters at `now`.
    ///
    /// A majority of the earlier voters need not intersect a majority of the new ones. Until every lease granted by the
    /// earlier voters has expired, this voter therefore grants only renewals by the current holder.
    pub fn handle_voters_changed(&mut self, now: Instant) {
        self.renewals_only_until = now + self.duration;
    }

    /// Returns the durable state.
    pub fn state(&self) -> &VoterState {
        &self.state
    }

    /// Grants or refuses a request received at `now`.
    pub fn handle_request(&mut self, now: Instant, from: HolderId, request: &LeaseRequest) -> Vote {
        match self.reason_to_refuse(now, from, request) {
            Some(refused) => self.refuse(now, request, &refused),
            None => self.grant(now, from, request),
        }
    }

    /// Removes the grant of a lease that its holder released.
    ///
    /// A delayed release of an earlier lease has no effect: it carries a lower token, and the token of a grant never
    /// decreases before the grant expires.
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
        // A renewal is granted even if this voter has granted a higher token in the meantime to a candidate that got no
        // majority: that grant has expired, and to become the holder the other candidate would have needed a voter that
        // is still bound to the sender of the renewal.
        let is_stale =
            !request.is_renewal && request.fencing_token <= self.state.highest_token(&request.role);
        is_stale.then_some(RefusedUntil { refusal: Refusal::StaleToken, retry_at: now })
    }

    /// Grants a request, or confirms an unexpired grant to a candidate that repeats its request.
    ///
    /// A candidate repeats its request as long as it has no majority. The repeated request does not extend the grant:
    /// otherwise candidates that each hold only their own vote would keep it forever. The grant does count for later
    /// attempts: otherwise a candidate that collects votes one after another would never have a majority at one time.
    ///
    /// A node keeps its identity across a restart, so a delayed renewal may come from its earlier process, which held an
    /// earlier lease. Such a renewal must not lower the token of the grant that the current lease depends on: the release
    /// that follows it would then match and remove that grant.
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
