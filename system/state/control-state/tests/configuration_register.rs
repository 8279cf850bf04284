//! The configuration against the specification of a versioned register whose changes may be sent again.
//!
//! The specification retains every change; the state evicts old ones, and may then leave a request without a definite
//! reply, but never reply wrongly.

use millrudder_chain::{Machine, Sequence};
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_protocol::control::ConfigurationText;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::OnceLock;

const CASES: u32 = 256;
/// Changes accepted before each case begins: enough that the oldest are evicted.
const EARLIER: u64 = 4_200;
/// A change is retained while fewer than this many were accepted after it.
const RETAINED: usize = 4_096;
/// Steps between the versions of the earlier changes.
const STEP: u64 = 3;

/// A change as an operator sends it, each time in the same way.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Request {
    expected: u64,
    version: u64,
    operator: u8,
}

impl Request {
    fn json(&self) -> Vec<u8> {
        format!("{{\"version\":{},\"operator\":{}}}", self.version, self.operator).into_bytes()
    }

    fn send(&self, state: &mut ControlState) -> Reply {
        let configuration = ConfigurationText { version: self.version, json: self.json() };
        let command = Command::PutConfiguration { expected_version: self.expected, configuration };
        state.apply(Sequence(1), &command)
    }
}

/// Every change that was ever accepted, by its version.
#[derive(Clone, Default)]
struct Register {
    accepted: BTreeMap<u64, Request>,
}

impl Register {
    fn current(&self) -> u64 {
        self.accepted.keys().next_back().copied().unwrap_or_default()
    }

    fn has_accepted(&self, request: &Request) -> bool {
        self.accepted.get(&request.version) == Some(request)
    }

    /// Whether the very bytes were accepted, perhaps on top of another version.
    fn has_bytes(&self, request: &Request) -> bool {
        self.accepted.get(&request.version).is_some_and(|accepted| accepted.json() == request.json())
    }

    fn is_old(&self, request: &Request) -> bool {
        self.accepted.range(request.version + 1..).count() >= RETAINED
    }

    /// Checks an answer, and takes the change if it has come into force.
    fn check(&mut self, request: &Request, reply: Reply) -> Result<(), TestCaseError> {
        let current = self.current();
        let takes_effect =
            request.expected == current && request.version > current && !self.has_bytes(request);
        match reply {
            Reply::ConfigurationAccepted => {
                prop_assert!(takes_effect, "{request:?} came into force on top of {current}");
                self.accepted.insert(request.version, request.clone());
            }
            Reply::ConfigurationAlreadyAccepted => {
                prop_assert!(self.has_bytes(request), "{request:?} was never accepted")
            }
            Reply::ConfigurationEvicted => {
                prop_assert!(self.is_old(request), "{request:?} is no evicted change")
            }
            Reply::ConfigurationConflict { current: told } => {
                prop_assert!(!self.has_accepted(request), "{request:?} was accepted and is rejected");
                prop_assert!(request.expected != current && told == current);
            }
            Reply::VersionNotHigher { current: told } => {
                prop_assert!(!self.has_accepted(request), "{request:?} was accepted and is rejected");
                prop_assert!(request.version <= current && told == current);
            }
            other => prop_assert!(false, "{other:?} answers another command"),
        }
        prop_assert!(
            !takes_effect || reply == Reply::ConfigurationAccepted,
            "{request:?} is rejected: {reply:?}"
        );
        Ok(())
    }

    fn check_in_force(&self, state: &ControlState) -> Result<(), TestCaseError> {
        let in_force = self.accepted.values().next_back().map(Request::json).unwrap_or_default();
        prop_assert_eq!(&state.configuration().json, &in_force);
        prop_assert_eq!(state.configuration().version, self.current());
        Ok(())
    }
}

#[derive(Clone)]
struct World {
    state: ControlState,
    register: Register,
}

/// The world after the earlier changes, all of operator 0.
fn after_many() -> &'static World {
    static WORLD: OnceLock<World> = OnceLock::new();
    WORLD.get_or_init(|| {
        let mut world = World { state: ControlState::default(), register: Register::default() };
        for number in 1..=EARLIER {
            let request = Request { expected: (number - 1) * STEP, version: number * STEP, operator: 0 };
            assert_eq!(request.send(&mut world.state), Reply::ConfigurationAccepted);
            world.register.accepted.insert(request.version, request);
        }
        world
    })
}

/// What one of the operators does.
#[derive(Clone, Debug)]
enum Action {
    /// A change on top of the current version.
    Change { operator: u8, step: u64 },
    /// A change on top of some other version.
    Stale { operator: u8, behind: u64, step: u64 },
    /// Two operators send different changes at once on the same version, perhaps under the same number.
    Race { step: u64, other_step: u64 },
    /// A request of this case is sent again unchanged.
    Again { index: prop::sample::Index },
    /// A change accepted before this case began is sent again unchanged.
    OldAgain { number: u64 },
    /// Another operator's change under a number that was in force once.
    OldLoser { operator: u8, number: u64 },
    /// A member takes the state over.
    Restore,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..3_u8, 1..9_u64).prop_map(|(operator, step)| Action::Change { operator, step }),
        2 => (0..3_u8, 1..12_u64, 0..9_u64)
            .prop_map(|(operator, behind, step)| Action::Stale { operator, behind, step }),
        2 => (1..4_u64, 1..4_u64).prop_map(|(step, other_step)| Action::Race { step, other_step }),
        3 => any::<prop::sample::Index>().prop_map(|index| Action::Again { index }),
        2 => (1..=EARLIER).prop_map(|number| Action::OldAgain { number }),
        1 => (0..3_u8, 1..=EARLIER).prop_map(|(operator, number)| Action::OldLoser { operator, number }),
        1 => Just(Action::Restore),
    ]
}

/// The requests that an action sends.
fn requests(action: &Action, current: u64, sent: &[Request]) -> Vec<Request> {
    let request = |expected: u64, version: u64, operator: u8| Request { expected, version, operator };
    match action {
        Action::Change { operator, step } => vec![request(current, current + step, *operator)],
        Action::Stale { operator, behind, step } => {
            let expected = current.saturating_sub(*behind);
            vec![request(expected, expected + step, *operator)]
        }
        Action::Race { step, other_step } => {
            vec![request(current, current + step, 1), request(current, current + other_step, 2)]
        }
        Action::Again { index } if !sent.is_empty() => vec![index.get(sent).clone()],
        Action::OldAgain { number } => vec![request((number - 1) * STEP, number * STEP, 0)],
        Action::OldLoser { operator, number } => vec![request((number - 1) * STEP, number * STEP, *operator)],
        Action::Again { .. } | Action::Restore => Vec::new(),
    }
}

fn play(mut world: World, actions: &[Action]) -> Result<(), TestCaseError> {
    let mut sent = Vec::new();
    for action in actions {
        if matches!(action, Action::Restore) {
            world.state = ControlState::restore(&world.state.snapshot()).expect("a snapshot is restored");
        }
        for request in requests(action, world.register.current(), &sent) {
            let reply = request.send(&mut world.state);
            world.register.check(&request, reply)?;
            world.register.check_in_force(&world.state)?;
            sent.push(request);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn a_new_state_replies_as_the_register(actions in proptest::collection::vec(action(), 1..60)) {
        let world = World { state: ControlState::default(), register: Register::default() };
        play(world, &actions)?;
    }

    #[test]
    fn a_state_that_has_evicted_changes_replies_as_the_register(actions in proptest::collection::vec(action(), 1..60)) {
        play(after_many().clone(), &actions)?;
    }
}

#[test]
fn an_evicted_change_sent_again_has_no_definite_reply_and_no_effect() {
    let World { mut state, register } = after_many().clone();
    let oldest = Request { expected: 0, version: STEP, operator: 0 };
    assert!(register.has_accepted(&oldest));
    assert_eq!(oldest.send(&mut state), Reply::ConfigurationEvicted);
    assert_eq!(state.configuration().version, EARLIER * STEP);
}

#[test]
fn the_oldest_retained_change_is_acknowledged_and_the_one_before_is_not() {
    let World { mut state, .. } = after_many().clone();
    let oldest_retained = EARLIER - RETAINED as u64 + 1;
    let number = |number: u64| Request { expected: (number - 1) * STEP, version: number * STEP, operator: 0 };
    assert_eq!(number(oldest_retained).send(&mut state), Reply::ConfigurationAlreadyAccepted);
    assert_eq!(number(oldest_retained - 1).send(&mut state), Reply::ConfigurationEvicted);
}

#[test]
fn a_request_with_impossible_versions_is_rejected_however_old_it_is() {
    let World { mut state, .. } = after_many().clone();
    let current = EARLIER * STEP;
    let invalid = Request { expected: current, version: STEP, operator: 1 };
    assert_eq!(invalid.send(&mut state), Reply::VersionNotHigher { current });
    let stale = Request { expected: 2 * STEP, version: STEP, operator: 1 };
    assert_eq!(stale.send(&mut state), Reply::ConfigurationConflict { current });
}

#[test]
fn the_snapshot_does_not_grow_with_history() {
    let World { mut state, .. } = after_many().clone();
    let before = state.snapshot().len();
    for number in EARLIER + 1..EARLIER + 500 {
        Request { expected: (number - 1) * STEP, version: number * STEP, operator: 0 }.send(&mut state);
    }
    assert_eq!(state.snapshot().len(), before);
}
