//! The holder: asks for a role, renews it, and stops before it expires.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{FencingToken, LeaseAnswer, LeaseConfig, LeaseRelease, LeaseRequest, Refusal, Role, VoterId};

/// A change in the possession of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderEvent {
    /// The role is held from now on.
    Granted { fencing: FencingToken },
    /// The role must not be exercised any more.
    Lost { fencing: FencingToken },
}

/// What follows from an input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct HolderStep {
    /// To be sent to all voters.
    pub request: Option<LeaseRequest>,
    /// A change in possession.
    pub event: Option<HolderEvent>,
}

#[derive(Clone, Debug)]
struct Round {
    number: u64,
    sent_at: u64,
    fencing: FencingToken,
    grants: BTreeSet<VoterId>,
    /// For how long all of them bind their voters, counted from the request.
    bound: u64,
    /// When the first of those that refused may grant.
    retry_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fencing: FencingToken,
    until: u64,
}

/// Candidate for, and holder of, one role. Times are microseconds of its own steady clock.
#[derive(Clone, Debug)]
pub struct Holder {
    role: Role,
    duration: u64,
    safety: u64,
    renew_every: u64,
    random: fastrand::Rng,
    majority: usize,
    highest: FencingToken,
    next_request: u64,
    last_round: u64,
    round: Option<Round>,
    held: Option<Held>,
}

impl Holder {
    /// A candidate that has not heard of any voter yet; `seed` spreads the attempts of competing candidates.
    pub fn new(config: &LeaseConfig, role: Role, seed: u64) -> Holder {
        let mut random = fastrand::Rng::with_seed(seed);
        // Drawn at random, so that late grants to an earlier process never count.
        let last_round = random.u64(..);
        Holder {
            role,
            duration: config.duration.as_micros() as u64,
            safety: config.safety.as_micros() as u64,
            renew_every: config.renew_every.as_micros() as u64,
            random,
            majority: 0,
            highest: FencingToken::default(),
            next_request: 0,
            last_round,
            round: None,
            held: None,
        }
    }

    /// Sets how many grants are needed from now on (zero: no voters), and the generation of the voters.
    ///
    /// Grants of earlier voters do not count any more. A lease that is held goes on and is claimed anew.
    pub fn voters_changed(&mut self, majority: usize, generation: u64) {
        self.majority = majority;
        self.highest = self.highest.max(FencingToken::floor(generation));
        self.round = None;
        self.next_request = 0;
    }

    /// The role.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Whether the role may be exercised at `now`.
    pub fn is_held(&self, now: u64) -> bool {
        self.held.is_some_and(|held| now < held.until)
    }

    /// FencingToken number of the lease, while it is held.
    pub fn fencing(&self, now: u64) -> Option<FencingToken> {
        self.held.filter(|held| now < held.until).map(|held| held.fencing)
    }

    /// When [`poll`](Holder::poll) is due next.
    pub fn next_deadline(&self) -> Option<u64> {
        let request = (self.majority > 0).then_some(self.next_request);
        let expiry = self.held.map(|held| held.until);
        request.into_iter().chain(expiry).min()
    }

    /// Gives the lease back, if it is held: the role must not be exercised from now on, and voters may be told.
    pub fn release(&mut self, now: u64) -> Option<LeaseRelease> {
        let held = self.held.take();
        self.round = None;
        let fencing = held.filter(|held| now < held.until)?.fencing;
        Some(LeaseRelease { role: self.role.clone(), fencing })
    }

    /// Another has given the role back: asks again within a short random time.
    pub fn released(&mut self, now: u64) {
        let spread = self.random.u64(0..self.renew_every / 2 + 1);
        self.next_request = self.next_request.min(now + spread);
    }

    /// Ends the lease when its time is over, and sends the next request when it is due.
    pub fn poll(&mut self, now: u64) -> HolderStep {
        let event = self.expire(now);
        if self.majority == 0 || now < self.next_request {
            return HolderStep { request: None, event };
        }
        self.next_request = now + self.renew_every;
        HolderStep { request: Some(self.start_round(now)), event }
    }

    /// Counts a voter's answer.
    pub fn answer(&mut self, now: u64, from: VoterId, answer: &LeaseAnswer) -> HolderStep {
        let event = self.expire(now);
        if event.is_some() {
            return HolderStep { request: None, event };
        }
        let event = match answer {
            LeaseAnswer::Granted { round, bound_micros, .. } => {
                self.granted(now, from, *round, *bound_micros)
            }
            LeaseAnswer::Refused { round, refusal, highest, retry_after_micros, .. } => {
                self.refused(now, *round, *refusal, *highest, Duration::from_micros(*retry_after_micros));
                None
            }
        };
        HolderStep { request: None, event }
    }

    fn start_round(&mut self, now: u64) -> LeaseRequest {
        self.last_round = self.last_round.wrapping_add(1);
        let held = self.held.filter(|held| now < held.until);
        let fencing = held.map_or(self.highest.next(), |held| held.fencing);
        self.highest = self.highest.max(fencing);
        let number = self.last_round;
        let request = LeaseRequest { role: self.role.clone(), round: number, fencing, held: held.is_some() };
        self.round = Some(Round {
            number,
            sent_at: now,
            fencing,
            grants: BTreeSet::new(),
            bound: self.duration,
            retry_at: None,
        });
        request
    }

    fn granted(&mut self, now: u64, from: VoterId, number: u64, bound: u64) -> Option<HolderEvent> {
        let round = self.round.as_mut().filter(|round| round.number == number)?;
        round.grants.insert(from);
        round.bound = round.bound.min(bound);
        let (fencing, until) = (round.fencing, round.sent_at + round.bound.saturating_sub(self.safety));
        // A lease that some voter grants for a shorter time is renewed at once.
        let is_whole = round.bound == self.duration;
        let renewal = if is_whole { round.sent_at + self.renew_every } else { now };
        if round.grants.len() < self.majority || now >= until {
            return None;
        }
        let is_new = self.held.is_none();
        // One that refused has set a later time, which was meant for a candidate.
        self.next_request = self.next_request.min(renewal.max(now));
        let until = self.held.map_or(until, |held| held.until.max(until));
        self.held = Some(Held { fencing, until });
        self.highest = self.highest.max(fencing);
        is_new.then_some(HolderEvent::Granted { fencing })
    }

    fn refused(
        &mut self,
        now: u64,
        number: u64,
        refusal: Refusal,
        highest: FencingToken,
        retry_after: Duration,
    ) {
        self.highest = self.highest.max(highest);
        let spread = self.random.u64(0..self.renew_every / 2 + 1);
        let Some(round) = self.round.as_mut().filter(|round| round.number == number) else {
            return;
        };
        if self.held.is_some() {
            return;
        }
        let wait = match refusal {
            Refusal::Outdated => spread,
            // To ask earlier would be in vain.
            Refusal::Taken | Refusal::Withheld => retry_after.as_micros() as u64 + spread,
        };
        let retry_at = round.retry_at.map_or(now + wait, |earlier| earlier.min(now + wait));
        round.retry_at = Some(retry_at);
        self.next_request = retry_at;
    }

    /// Ends a lease whose time is over, and its renewal with it: others may have held the role since.
    fn expire(&mut self, now: u64) -> Option<HolderEvent> {
        let held = self.held.filter(|held| now >= held.until)?;
        self.held = None;
        self.round = None;
        Some(HolderEvent::Lost { fencing: held.fencing })
    }
}
