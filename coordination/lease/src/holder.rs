//! The holder's side: acquires a role, renews its lease, and stops before the lease expires.

use std::collections::BTreeSet;
use std::time::Duration;

use millrudder_clock::Instant;

use crate::{FencingToken, LeaseAnswer, LeaseConfig, LeaseRelease, LeaseRequest, Refusal, Role, VoterId};

/// A change in the possession of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderEvent {
    /// The lease is held from now on.
    Granted {
        /// Token of the lease.
        fencing_token: FencingToken,
    },
    /// The lease has expired: the role must not be exercised any more.
    Lost {
        /// Token of the lease.
        fencing_token: FencingToken,
    },
}

/// What the embedder has to do after an input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct HolderStep {
    /// To be sent to all voters.
    pub request: Option<LeaseRequest>,
    /// A change in possession.
    pub event: Option<HolderEvent>,
}

/// One attempt to acquire or renew the lease, with the grants counted for it.
#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    sent_at: Instant,
    fencing_token: FencingToken,
    grants: BTreeSet<VoterId>,
    /// For how long every grant binds its voter, counted from the request.
    granted_for: Duration,
    /// When the first of the voters that refused may grant.
    retry_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveLease {
    fencing_token: FencingToken,
    expires_at: Instant,
}

/// Candidate for, and holder of, one role. Instants are readings of its own steady clock.
#[derive(Clone, Debug)]
pub struct Holder {
    role: Role,
    duration: Duration,
    safety_margin: Duration,
    renew_interval: Duration,
    rng: fastrand::Rng,
    majority: usize,
    highest_token: FencingToken,
    next_request_at: Instant,
    last_attempt_number: u64,
    attempt: Option<Attempt>,
    lease: Option<ActiveLease>,
}

impl Holder {
    /// A candidate that knows no voters yet.
    ///
    /// `seed` spreads the attempts of competing candidates; it must differ between processes.
    pub fn new(config: &LeaseConfig, role: Role, seed: u64) -> Holder {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Drawn at random, so that late grants to an earlier process never count.
        let last_attempt_number = rng.u64(..);
        Holder {
            role,
            duration: config.duration,
            safety_margin: config.safety_margin,
            renew_interval: config.renew_interval,
            rng,
            majority: 0,
            highest_token: FencingToken::default(),
            next_request_at: Instant::ORIGIN,
            last_attempt_number,
            attempt: None,
            lease: None,
        }
    }

    /// Sets how many grants are needed from now on (zero: there are no voters), and the generation of the voters.
    ///
    /// Grants of earlier voters do not count any more. An active lease stays valid and is renewed at once.
    pub fn set_voters(&mut self, majority: usize, generation: u64) {
        self.majority = majority;
        self.highest_token = self.highest_token.max(FencingToken::floor(generation));
        self.attempt = None;
        self.next_request_at = Instant::ORIGIN;
    }

    /// The role.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Whether the role may be exercised at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.active_lease(now).is_some()
    }

    /// Fencing token of the lease, while it is held.
    pub fn fencing_token(&self, now: Instant) -> Option<FencingToken> {
        self.active_lease(now).map(|lease| lease.fencing_token)
    }

    /// When [`poll`](Holder::poll) is due next.
    pub fn next_deadline(&self) -> Option<Instant> {
        let request = (self.majority > 0).then_some(self.next_request_at);
        let expiry = self.lease.map(|lease| lease.expires_at);
        request.into_iter().chain(expiry).min()
    }

    /// Releases the lease, if it is held: the role must not be exercised from now on. The message is for all voters.
    pub fn release(&mut self, now: Instant) -> Option<LeaseRelease> {
        let lease = self.lease.take();
        self.attempt = None;
        let fencing_token = lease.filter(|lease| now < lease.expires_at)?.fencing_token;
        Some(LeaseRelease { role: self.role.clone(), fencing_token })
    }

    /// Another holder has released the role: brings the next request forward to within half a renewal interval, at
    /// random so that candidates rarely collide.
    pub fn handle_release(&mut self, now: Instant) {
        let jitter = self.random_jitter();
        self.next_request_at = self.next_request_at.min(now + jitter);
    }

    /// Ends an expired lease, and sends the next request when it is due.
    pub fn poll(&mut self, now: Instant) -> HolderStep {
        let event = self.expire(now);
        if self.majority == 0 || now < self.next_request_at {
            return HolderStep { request: None, event };
        }
        self.next_request_at = now + self.renew_interval;
        HolderStep { request: Some(self.start_attempt(now)), event }
    }

    /// Counts the answer of the voter `from`.
    pub fn handle_answer(&mut self, now: Instant, from: VoterId, answer: &LeaseAnswer) -> HolderStep {
        let event = self.expire(now);
        if event.is_some() {
            return HolderStep { request: None, event };
        }
        let event = match answer {
            LeaseAnswer::Granted { attempt, bound_micros, .. } => {
                self.handle_grant(now, from, *attempt, Duration::from_micros(*bound_micros))
            }
            LeaseAnswer::Refused { attempt, refusal, highest_token, retry_after_micros, .. } => {
                self.highest_token = self.highest_token.max(*highest_token);
                let retry_after = Duration::from_micros(*retry_after_micros);
                self.handle_refusal(now, *attempt, *refusal, retry_after);
                None
            }
        };
        HolderStep { request: None, event }
    }

    fn active_lease(&self, now: Instant) -> Option<ActiveLease> {
        self.lease.filter(|lease| now < lease.expires_at)
    }

    fn start_attempt(&mut self, now: Instant) -> LeaseRequest {
        self.last_attempt_number = self.last_attempt_number.wrapping_add(1);
        let active = self.active_lease(now);
        let fencing_token = active.map_or(self.highest_token.next(), |lease| lease.fencing_token);
        self.highest_token = self.highest_token.max(fencing_token);
        self.attempt = Some(Attempt {
            number: self.last_attempt_number,
            sent_at: now,
            fencing_token,
            grants: BTreeSet::new(),
            granted_for: self.duration,
            retry_at: None,
        });
        LeaseRequest {
            role: self.role.clone(),
            attempt: self.last_attempt_number,
            fencing_token,
            is_renewal: active.is_some(),
        }
    }

    fn handle_grant(
        &mut self,
        now: Instant,
        from: VoterId,
        number: u64,
        granted_for: Duration,
    ) -> Option<HolderEvent> {
        let attempt = self.attempt.as_mut().filter(|attempt| attempt.number == number)?;
        attempt.grants.insert(from);
        attempt.granted_for = attempt.granted_for.min(granted_for);
        let fencing_token = attempt.fencing_token;
        let expires_at = attempt.sent_at + attempt.granted_for.saturating_sub(self.safety_margin);
        // A lease that some voter grants for a shorter time is renewed at once.
        let is_full_duration = attempt.granted_for == self.duration;
        let renew_at = if is_full_duration { attempt.sent_at + self.renew_interval } else { now };
        if attempt.grants.len() < self.majority || now >= expires_at {
            return None;
        }
        let is_new_lease = self.lease.is_none();
        // A voter that refused has set a later time, which was meant for a candidate.
        self.next_request_at = self.next_request_at.min(renew_at.max(now));
        let expires_at = self.lease.map_or(expires_at, |lease| lease.expires_at.max(expires_at));
        self.lease = Some(ActiveLease { fencing_token, expires_at });
        self.highest_token = self.highest_token.max(fencing_token);
        is_new_lease.then_some(HolderEvent::Granted { fencing_token })
    }

    fn handle_refusal(&mut self, now: Instant, number: u64, refusal: Refusal, retry_after: Duration) {
        let jitter = self.random_jitter();
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.number == number) else {
            return;
        };
        if self.lease.is_some() {
            return;
        }
        let wait = match refusal {
            Refusal::StaleToken => jitter,
            // An earlier request would be refused again.
            Refusal::HeldByOther | Refusal::GracePeriod => retry_after.saturating_add(jitter),
        };
        let retry_at = attempt.retry_at.map_or(now + wait, |earlier| earlier.min(now + wait));
        attempt.retry_at = Some(retry_at);
        self.next_request_at = retry_at;
    }

    /// A random span of at most half a renewal interval, in whole microseconds.
    fn random_jitter(&mut self) -> Duration {
        let half_interval_micros = self.renew_interval.as_micros() as u64 / 2;
        Duration::from_micros(self.rng.u64(0..half_interval_micros + 1))
    }

    /// Ends an expired lease, and its renewal with it: others may have held the role since.
    fn expire(&mut self, now: Instant) -> Option<HolderEvent> {
        let lease = self.lease.filter(|lease| now >= lease.expires_at)?;
        self.lease = None;
        self.attempt = None;
        Some(HolderEvent::Lost { fencing_token: lease.fencing_token })
    }
}
