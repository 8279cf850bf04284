//! Model check of the lease: explores every order of message deliveries, restarts and clock steps to a bounded depth, and
//! plays long random walks. A message that is never delivered models a lost one.
//!
//! The environment variable `LEASE_MODEL_STATES` overrides the maximum number of explored states.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_lease::{
    FencingToken, Holder, HolderEvent, HolderId, LeaseAnswer, LeaseConfig, LeaseRelease, LeaseRequest, Role,
    Voter, VoterId,
};

const VOTERS: usize = 3;
const HOLDERS: usize = 2;
/// Step of the clock, in microseconds.
const STEP_MICROS: u64 = 100;
/// Limits of the exhaustive exploration.
const EXHAUSTIVE_LIMITS: Limits = Limits { polls: [2, 1], restarts: 1, releases: 0, last_clock_step: 5 };
/// Limits of the random walks without releases.
const RANDOM_WALK_LIMITS: Limits =
    Limits { polls: [1_000, 1_000], restarts: 100, releases: 0, last_clock_step: 1_000 };
/// Limits of the random walks in which holders also shut down: they release the role and restart.
const RANDOM_WALK_LIMITS_WITH_RELEASES: Limits = Limits { releases: 100, ..RANDOM_WALK_LIMITS };
/// Number of random walks for each set of limits; the seeds count from zero.
const RANDOM_WALKS: u64 = 1_500;
/// Maximum number of actions of one random walk.
const ACTIONS_PER_WALK: usize = 250;
/// Probability that restarts are among the choices for an action of a random walk.
const RESTART_SHARE: f64 = 0.1;
/// Maximum number of explored states, unless `LEASE_MODEL_STATES` is set.
const DEFAULT_MAX_STATES: usize = 60_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum InFlight {
    Request { holder: usize, voter: usize, attempt: u64, fencing_token: FencingToken, is_renewal: bool },
    Granted { holder: usize, voter: usize, attempt: u64, bound_micros: u64 },
    Released { holder: usize, voter: usize, fencing_token: FencingToken },
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Advance,
    Poll {
        holder: usize,
    },
    Deliver {
        index: usize,
    },
    RestartVoter {
        voter: usize,
    },
    RestartHolder {
        holder: usize,
    },
    /// The holder releases the role and its process is replaced by a new one.
    ShutDownHolder {
        holder: usize,
    },
}

impl Action {
    fn is_restart(self) -> bool {
        matches!(self, Action::RestartVoter { .. } | Action::RestartHolder { .. })
    }
}

/// Limits on the number of events in one execution.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Maximum number of requests of each holder.
    polls: [usize; HOLDERS],
    /// Maximum number of restarts without a release, of voters and holders together.
    restarts: usize,
    /// Maximum number of restarts of a holder that releases the role first.
    releases: usize,
    /// Number of clock steps after which time stands still.
    last_clock_step: u64,
}

#[derive(Clone, Debug)]
struct ModelState {
    limits: Limits,
    now_micros: u64,
    holders: Vec<Holder>,
    voters: Vec<Voter>,
    in_flight: BTreeSet<InFlight>,
    highest_token: FencingToken,
    restarts: usize,
    releases: usize,
    polls: [usize; HOLDERS],
    /// Rank of the actor of the latest action, see [`ModelState::actor`]. Actions of different actors commute, so within
    /// one clock step only one order is explored: holders send requests, voters handle messages, holders handle grants.
    /// An action out of this order is explored in a later clock step.
    last_actor: usize,
}

fn config() -> LeaseConfig {
    LeaseConfig {
        duration: Duration::from_micros(2 * STEP_MICROS),
        safety_margin: Duration::from_micros(STEP_MICROS / 2),
        renew_interval: Duration::from_micros(STEP_MICROS),
    }
}

/// Returns the clock reading `micros` microseconds after the origin.
fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

fn role() -> Role {
    Role("reader".to_owned())
}

/// Returns a state in which the first holder holds the role with the grants of two voters, and its request to the third
/// is still in flight.
fn held_by_first_holder() -> ModelState {
    let mut state = ModelState::new(EXHAUSTIVE_LIMITS);
    state.poll(0);
    for _ in 0..2 {
        state.deliver(0);
    }
    let granted = |message: &InFlight| matches!(message, InFlight::Granted { .. });
    while let Some(index) = state.in_flight.iter().position(granted) {
        state.deliver(index);
    }
    assert!(state.holders[0].is_held(at(state.now_micros)));
    state
}

fn candidate(seed: u64) -> Holder {
    let mut holder = Holder::new(&config(), role(), seed);
    holder.set_voters(VOTERS / 2 + 1, 0);
    holder
}

impl ModelState {
    fn new(limits: Limits) -> ModelState {
        let mut voters = vec![Voter::new(&config(), Default::default(), Instant::ORIGIN); VOTERS];
        voters.iter_mut().for_each(Voter::skip_grace_period);
        let holders = (0..HOLDERS as u64).map(candidate).collect();
        ModelState {
            limits,
            now_micros: 0,
            holders,
            voters,
            in_flight: BTreeSet::new(),
            highest_token: FencingToken::default(),
            restarts: 0,
            releases: 0,
            polls: [0; HOLDERS],
            last_actor: 0,
        }
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the rank of an action's actor in the fixed order of actors within one clock step.
    fn actor(&self, action: Action) -> usize {
        match action {
            Action::Poll { holder }
            | Action::RestartHolder { holder }
            | Action::ShutDownHolder { holder } => holder,
            Action::RestartVoter { voter } => HOLDERS + voter,
            Action::Deliver { index } => match self.in_flight.iter().nth(index) {
                Some(InFlight::Request { voter, .. } | InFlight::Released { voter, .. }) => HOLDERS + voter,
                Some(InFlight::Granted { holder, .. }) => HOLDERS + VOTERS + holder,
                None => 0,
            },
            Action::Advance => HOLDERS + VOTERS + HOLDERS,
        }
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions: Vec<Action> =
            (0..self.in_flight.len()).map(|index| Action::Deliver { index }).collect();
        let is_due =
            |holder: &Holder| holder.next_deadline().is_some_and(|deadline| deadline <= at(self.now_micros));
        let may_poll = |holder: &usize| {
            is_due(&self.holders[*holder]) && self.polls[*holder] < self.limits.polls[*holder]
        };
        let polls = (0..HOLDERS).filter(may_poll);
        actions.extend(polls.map(|holder| Action::Poll { holder }));
        if self.now_micros < self.limits.last_clock_step * STEP_MICROS {
            actions.push(Action::Advance);
        }
        if self.restarts < self.limits.restarts {
            actions.extend((0..VOTERS).map(|voter| Action::RestartVoter { voter }));
            actions.push(Action::RestartHolder { holder: 0 });
        }
        if self.releases < self.limits.releases {
            let held = (0..HOLDERS).filter(|holder| self.holders[*holder].is_held(at(self.now_micros)));
            actions.extend(held.map(|holder| Action::ShutDownHolder { holder }));
        }
        actions.retain(|action| self.actor(*action) >= self.last_actor);
        actions
    }

    fn after(&self, action: Action) -> ModelState {
        let mut next = self.clone();
        next.last_actor = self.actor(action);
        match action {
            Action::Advance => {
                next.now_micros += STEP_MICROS;
                next.last_actor = 0;
            }
            Action::Poll { holder } => next.poll(holder),
            Action::Deliver { index } => next.deliver(index),
            Action::RestartVoter { voter } => {
                next.restarts += 1;
                next.voters[voter] =
                    Voter::new(&config(), self.voters[voter].state().clone(), at(self.now_micros));
            }
            Action::RestartHolder { holder } => {
                next.restarts += 1;
                // Holders require a different seed for each process.
                next.holders[holder] = candidate(99 + next.restarts as u64);
            }
            Action::ShutDownHolder { holder } => next.shut_down(holder),
        }
        next
    }

    fn poll(&mut self, holder: usize) {
        self.polls[holder] += 1;
        let step = self.holders[holder].poll(at(self.now_micros));
        self.record_event(step.event);
        let Some(request) = step.request else {
            return;
        };
        for voter in 0..VOTERS {
            let LeaseRequest { attempt, fencing_token, is_renewal, .. } = request;
            self.in_flight.insert(InFlight::Request { holder, voter, attempt, fencing_token, is_renewal });
        }
    }

    fn shut_down(&mut self, holder: usize) {
        self.releases += 1;
        let release = self.holders[holder].release(at(self.now_micros)).expect("the role is held");
        let fencing_token = release.fencing_token;
        let released = (0..VOTERS).map(|voter| InFlight::Released { holder, voter, fencing_token });
        self.in_flight.extend(released);
        self.holders[holder] = candidate(9_999 + self.releases as u64);
    }

    fn deliver(&mut self, index: usize) {
        let message = self.in_flight.iter().nth(index).cloned().expect("the index is in range");
        self.in_flight.remove(&message);
        match message {
            InFlight::Request { holder, voter, attempt, fencing_token, is_renewal } => {
                let request = LeaseRequest { role: role(), attempt, fencing_token, is_renewal };
                let vote =
                    self.voters[voter].handle_request(at(self.now_micros), HolderId(holder as u64), &request);
                match vote.answer {
                    LeaseAnswer::Granted { attempt, bound_micros, .. } => {
                        self.in_flight.insert(InFlight::Granted { holder, voter, attempt, bound_micros });
                    }
                    refused => self.deliver_answer(holder, voter, &refused),
                }
            }
            InFlight::Granted { holder, voter, attempt, bound_micros } => {
                self.deliver_answer(
                    holder,
                    voter,
                    &LeaseAnswer::Granted { role: role(), attempt, bound_micros },
                );
            }
            InFlight::Released { holder, voter, fencing_token } => {
                let release = LeaseRelease { role: role(), fencing_token };
                self.voters[voter].handle_release(HolderId(holder as u64), &release);
            }
        }
    }

    fn deliver_answer(&mut self, holder: usize, voter: usize, answer: &LeaseAnswer) {
        let step = self.holders[holder].handle_answer(at(self.now_micros), VoterId(voter as u64), answer);
        self.record_event(step.event);
    }

    fn record_event(&mut self, event: Option<HolderEvent>) {
        if let Some(HolderEvent::Granted { fencing_token }) = event {
            assert!(
                fencing_token > self.highest_token,
                "a lease has no higher fencing token than an earlier one: {self:?}"
            );
            self.highest_token = fencing_token;
        }
    }

    fn assert_at_most_one_holder(&self) {
        let holders_of_role =
            self.holders.iter().filter(|holder| holder.is_held(at(self.now_micros))).count();
        assert!(holders_of_role <= 1, "two nodes hold the role at the same time: {self:?}");
    }
}

/// Explores up to `max_states` states breadth first from `start`.
fn explore(start: ModelState, max_states: usize) -> Explored {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([(start, 0)]);
    let mut explored = Explored { states: 0, complete_depth: 0 };
    while let Some((state, depth)) = queue.pop_front() {
        state.assert_at_most_one_holder();
        if seen.len() >= max_states {
            break;
        }
        explored.complete_depth = depth;
        for action in state.actions() {
            let next = state.after(action);
            if seen.insert(next.fingerprint()) {
                queue.push_back((next, depth + 1));
            }
        }
    }
    explored.states = seen.len();
    explored
}

#[derive(Clone, Copy, Debug)]
struct Explored {
    /// Number of distinct states.
    states: usize,
    /// Every sequence of fewer actions than this was explored.
    complete_depth: usize,
}

#[test]
fn no_interleaving_grants_the_role_to_two_holders() {
    let configured = std::env::var("LEASE_MODEL_STATES").ok().and_then(|text| text.parse().ok());
    let max_states = configured.unwrap_or(DEFAULT_MAX_STATES);
    let unheld = explore(ModelState::new(EXHAUSTIVE_LIMITS), max_states / 2);
    let held = explore(held_by_first_holder(), max_states / 2);
    println!("starting with a free role: {unheld:?}; starting with a held role: {held:?}");
    assert!(unheld.complete_depth >= 6 && held.complete_depth >= 6);
}

#[test]
fn random_walks_never_grant_the_role_to_two_holders() {
    run_random_walks(RANDOM_WALK_LIMITS);
}

#[test]
fn random_walks_with_releases_never_grant_the_role_to_two_holders() {
    run_random_walks(RANDOM_WALK_LIMITS_WITH_RELEASES);
}

/// Plays random walks, in which messages may overtake each other and may arrive after a restart of their sender.
fn run_random_walks(limits: Limits) {
    let mut leases_granted = 0;
    for seed in 0..RANDOM_WALKS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut state = ModelState::new(limits);
        for _ in 0..ACTIONS_PER_WALK {
            let mut actions = state.actions();
            if random.f64() > RESTART_SHARE {
                actions.retain(|action| !action.is_restart());
            }
            let Some(action) = random.choice(actions) else {
                continue;
            };
            let token_before = state.highest_token;
            state = state.after(action);
            state.assert_at_most_one_holder();
            leases_granted += usize::from(state.highest_token > token_before);
        }
    }
    println!("{leases_granted} leases in {RANDOM_WALKS} random walks of up to {ACTIONS_PER_WALK} actions");
    assert!(
        leases_granted > RANDOM_WALKS as usize / 2,
        "too few leases were granted for the check to mean anything: {leases_granted}"
    );
}
