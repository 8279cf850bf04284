//! The holder's side of a lease: acquires a role, renews its lease, and gives the role up before the voters' grants
//! expire.

use std::collections::BTreeSet;
use std::time::Duration;

use millrudder_clock::Instant;

use crate::{FencingToken, LeaseAnswer, LeaseConfig, LeaseRelease, LeaseRequest, Refusal, Role, VoterId};

/// Reports that the local node acquired or lost a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderEvent {
    /// A majority of the voters granted the lease; the role may be exercised from now on.
    Granted {
        /// Token of the lease.
        fencing_token: FencingToken,
    },
    /// The lease expired; the role must no longer be exercised.
    Lost {
        /// Token of the lease.
        fencing_token: FencingToken,
    },
}

/// Actions for the embedder after an input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct HolderStep {
    /// Request to send to all voters.
    pub request: Option<LeaseRequest>,
    /// Whether the role was acquired or lost.
    pub event: Option<HolderEvent>,
}

/// One attempt to acquire or renew the lease, and the grants received for it.
#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    sent_at: Instant,
    fencing_token: FencingToken,
    grants: BTreeSet<VoterId>,
    /// Shortest duration among the grants received so far, counted from [`Attempt::sent_at`].
    granted_for: Duration,
    /// Earliest time at which one of the voters that refused may grant a request.
    retry_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveLease {
    fencing_token: FencingToken,
    expires_at: Instant,
}

/// State machine of a node that competes for one role and holds it once elected. Instants are readings of the node's own
/// steady clock.
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
    /// Creates a candidate without voters; it sends no requests before [`Holder::set_voters`].
    ///
    /// `seed` initializes the random delays that spread the attempts of competing candidates. It must differ between
    /// processes.
    pub fn new(config: &LeaseConfig, role: Role, seed: u64) -> Holder {
        let mut rng = fastrand::Rng::with_seed(seed);
        // A random start of the attempt numbers: delayed grants to an earlier process of this node match no attempt.
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

    /// Sets the number of grants that make a majority (zero if there are no voters) and the generation of the voters.
    ///
    /// Grants received from earlier voters are discarded. An active lease stays valid and is renewed immediately.
    pub fn set_voters(&mut self, majority: usize, generation: u64) {
        self.majority = majority;
        self.highest_token = self.highest_token.max(FencingToken::floor(generation));
        self.attempt = None;
        self.next_request_at = Instant::ORIGIN;
    }

    /// Returns the role this node competes for.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns whether the role may be exercised at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.active_lease(now).is_some()
    }

    /// Returns the fencing token of the lease if it is held at `now`.
    pub fn fencing_token(&self, now: Instant) -> Option<FencingToken> {
        self.active_lease(now).map(|lease| lease.fencing_token)
    }

    /// Returns the time of the next call of [`Holder::poll`]: a request or the expiry of the lease, if either is pending.
    pub fn next_deadline(&self) -> Option<Instant> {
        let request = (self.majority > 0).then_some(self.next_request_at);
        let expiry = self.lease.map(|lease| lease.expires_at);
        request.into_iter().chain(expiry).min()
    }

    /// Releases the lease and returns the message to send to all voters, or `None` if no lease is held.
    ///
    /// The role must not be exercised after this call.
    pub fn release(&mut self, now: Instant) -> Option<LeaseRelease> {
        let lease = self.lease.take();
        self.attempt = None;
        let fencing_token = lease.filter(|lease| now < lease.expires_at)?.fencing_token;
        Some(LeaseRelease { role: self.role.clone(), fencing_token })
    }

    /// Handles the release of the role by another holder: the next request is sent after a random delay of at most half a
    /// renewal interval, so that candidates rarely collide.
    pub fn handle_release(&mut self, now: Instant) {
        let jitter = self.random_jitter();
        self.next_request_at = self.next_request_at.min(now + jitter);
    }

    /// Ends an expired lease and returns the next request if it is due.
    pub fn poll(&mut self, now: Instant) -> HolderStep {
        let event = self.expire(now);
        if self.majority == 0 || now < self.next_request_at {
            return HolderStep { request: None, event };
        }
        self.next_request_at = now + self.renew_interval;
        HolderStep { request: Some(self.start_attempt(now)), event }
    }

    /// Handles the answer of the voter `from`.
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
        // If a voter granted less than the full duration, which it does for a repeated request, the lease is renewed
        // immediately.
        let is_full_duration = attempt.granted_for == self.duration;
        let renew_at = if is_full_duration { attempt.sent_at + self.renew_interval } else { now };
        if attempt.grants.len() < self.majority || now >= expires_at {
            return None;
        }
        let is_new_lease = self.lease.is_none();
        // A refusal that arrived earlier may have postponed the next request. That delay applies to candidates only; a
        // holder renews at the usual interval.
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
            // A request before `retry_after` would be refused again.
            Refusal::HeldByOther | Refusal::GracePeriod => retry_after.saturating_add(jitter),
        };
        let retry_at = attempt.retry_at.map_or(now + wait, |earlier| earlier.min(now + wait));
        attempt.retry_at = Some(retry_at);
        self.next_request_at = retry_at;
    }

    /// Returns a random delay of at most half a renewal interval, in whole microseconds.
    fn random_jitter(&mut self) -> Duration {
        let half_interval_micros = self.renew_interval.as_micros() as u64 / 2;
        Duration::from_micros(self.rng.u64(0..half_interval_micros + 1))
    }

    /// Ends an expired lease. A pending renewal is discarded too, since another node may have held the role since the
    /// lease expired.
    fn expire(&mut self, now: Instant) -> Option<HolderEvent> {
        let lease = self.lease.filter(|lease| now >= lease.expires_at)?;
        self.lease = None;
        self.attempt = None;
        Some(HolderEvent::Lost { fencing_token: lease.fencing_token })
    }
}
