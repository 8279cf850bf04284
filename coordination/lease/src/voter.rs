//! The voter: binds itself to one holder a role for the time of a lease.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

use crate::{
    FencingToken, HolderId, LeaseAnswer, LeaseConfig, LeaseRecord, LeaseRelease, LeaseRequest, Refusal, Role,
};

/// Durable state of a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VoterState {
    highest: BTreeMap<Role, FencingToken>,
}

impl VoterState {
    /// Folds one record into the state.
    pub fn apply(&mut self, record: &LeaseRecord) {
        let highest = self.highest.entry(record.role.clone()).or_default();
        *highest = record.fencing.max(*highest);
    }

    /// The highest fencing number granted for a role.
    pub fn highest(&self, role: &Role) -> FencingToken {
        self.highest.get(role).copied().unwrap_or_default()
    }
}

/// What follows from a request: `answer` must not leave before `record` is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// To be made durable first.
    pub record: Option<LeaseRecord>,
    /// To be sent afterwards.
    pub answer: LeaseAnswer,
}

#[derive(Clone, Copy, Debug)]
struct Granted {
    holder: HolderId,
    fencing: FencingToken,
    until: u64,
}

/// A voter for any number of roles. Times are microseconds of its own steady clock.
#[derive(Clone, Debug)]
pub struct Voter {
    duration: u64,
    state: VoterState,
    granted: BTreeMap<Role, Granted>,
    withhold_all_until: u64,
    withhold_new_until: u64,
}

impl Voter {
    /// A voter that starts at `now` and withholds every grant for one lease, as it has forgotten its earlier ones.
    pub fn new(config: &LeaseConfig, state: VoterState, now: u64) -> Voter {
        let duration = config.duration.as_micros() as u64;
        let withhold_all_until = now + duration;
        Voter { duration, state, granted: BTreeMap::new(), withhold_all_until, withhold_new_until: 0 }
    }

    /// Lifts the initial pause of a voter whose disk has never been used, so that it cannot have granted anything.
    pub fn never_voted(&mut self) {
        self.withhold_all_until = 0;
    }

    /// Notes that the set of voters has changed at `now`.
    ///
    /// The earlier majority need not overlap a new one, so only the present holder is granted anything until every
    /// lease of the earlier voters has run out.
    pub fn voters_changed(&mut self, now: u64) {
        self.withhold_new_until = now + self.duration;
    }

    /// The durable state.
    pub fn state(&self) -> &VoterState {
        &self.state
    }

    /// Decides on a request that was received at `now`.
    pub fn request(&mut self, now: u64, from: HolderId, request: &LeaseRequest) -> Vote {
        match self.objection(now, from, request) {
            Some((refusal, retry_at)) => self.refuse(now, request, refusal, retry_at),
            None => self.bind(now, from, request),
        }
    }

    /// Binds this voter, or confirms to a candidate that asks again that it is bound already.
    ///
    /// A candidate that asks again has not got its majority. If its grant grew with each request, candidates that each
    /// hold their own vote would keep it for ever; if the grant did not count for its later rounds, one that collects
    /// votes one after the other would never have a majority at one time.
    fn bind(&mut self, now: u64, from: HolderId, request: &LeaseRequest) -> Vote {
        let bound = self.granted.get(&request.role).filter(|granted| now < granted.until);
        let until = bound.filter(|_| !request.held).map_or(now + self.duration, |granted| granted.until);
        self.grant(now, from, request, until)
    }

    /// A holder gives its lease back: this voter is not bound by it any more.
    ///
    /// A release of an earlier lease, which comes late, changes nothing.
    pub fn release(&mut self, from: HolderId, release: &LeaseRelease) {
        let is_that = |granted: &Granted| granted.holder == from && granted.fencing == release.fencing;
        if self.granted.get(&release.role).is_some_and(is_that) {
            self.granted.remove(&release.role);
        }
    }

    fn objection(&self, now: u64, from: HolderId, request: &LeaseRequest) -> Option<(Refusal, u64)> {
        if now < self.withhold_all_until {
            return Some((Refusal::Withheld, self.withhold_all_until));
        }
        let bound = self.granted.get(&request.role).filter(|granted| now < granted.until);
        if let Some(taken) = bound.filter(|granted| granted.holder != from) {
            return Some((Refusal::Taken, taken.until));
        }
        if now < self.withhold_new_until && !request.held {
            return Some((Refusal::Withheld, self.withhold_new_until));
        }
        // A lease that is held keeps its number, also where this voter has since given a higher one to a candidate that
        // did not win: the grant to that one is over, and a later holder would have needed this voter's majority.
        let outdated = !request.held && request.fencing <= self.state.highest(&request.role);
        outdated.then_some((Refusal::Outdated, now))
    }

    fn grant(&mut self, now: u64, from: HolderId, request: &LeaseRequest, until: u64) -> Vote {
        self.granted.insert(request.role.clone(), Granted { holder: from, fencing: request.fencing, until });
        let record = LeaseRecord { role: request.role.clone(), fencing: request.fencing };
        let is_new = request.fencing > self.state.highest(&request.role);
        self.state.apply(&record);
        let (role, round) = (request.role.clone(), request.round);
        let answer = LeaseAnswer::Granted { role, round, bound_micros: until - now };
        Vote { record: is_new.then_some(record), answer }
    }

    fn refuse(&self, now: u64, request: &LeaseRequest, refusal: Refusal, retry_at: u64) -> Vote {
        let answer = LeaseAnswer::Refused {
            role: request.role.clone(),
            round: request.round,
            refusal,
            highest: self.state.highest(&request.role),
            retry_after_micros: retry_at.saturating_sub(now),
        };
        Vote { record: None, answer }
    }
}
