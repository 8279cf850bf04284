//! The checker accepts what one versioned register may have answered, and nothing else.

use millrudder_simulation::history::{Configuration, ContentId, Operation, Request, Response};
use millrudder_simulation::linearizability::{is_linearizable, shrink, Register};
use proptest::prelude::*;

fn put(version: u64, body: u64, expected: u64) -> Request {
    Request::Put { expected, configuration: Configuration { version, body: ContentId(body) } }
}

fn holds(version: u64, body: u64) -> Response {
    Response::Current(Some(Configuration { version, body: ContentId(body) }))
}

fn operation(invoked: u64, responded: u64, request: Request, response: Response) -> Operation {
    Operation { operator: 0, machine: 0, request, invoked, responded: Some((responded, response)) }
}

fn open(invoked: u64, request: Request) -> Operation {
    Operation { operator: 0, machine: 0, request, invoked, responded: None }
}

#[test]
fn an_empty_history_is_accepted() {
    assert!(is_linearizable(&[]));
}

#[test]
fn a_put_and_a_get_after_it_are_accepted() {
    let history = [
        operation(1, 2, put(3, 1, 0), Response::Accepted),
        operation(3, 4, Request::Get, holds(3, 1)),
        operation(5, 6, put(5, 2, 3), Response::Accepted),
        operation(7, 8, put(3, 1, 0), Response::Accepted),
        operation(9, 10, Request::Get, holds(5, 2)),
    ];
    assert!(is_linearizable(&history));
}

#[test]
fn a_get_that_goes_back_is_rejected() {
    let history = [
        operation(1, 2, put(3, 1, 0), Response::Accepted),
        operation(3, 4, put(5, 2, 3), Response::Accepted),
        operation(5, 6, Request::Get, holds(3, 1)),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn an_old_answer_to_a_get_that_overlaps_is_accepted() {
    let history = [
        operation(1, 2, put(3, 1, 0), Response::Accepted),
        operation(3, 6, put(5, 2, 3), Response::Accepted),
        operation(4, 5, Request::Get, holds(3, 1)),
    ];
    assert!(is_linearizable(&history));
}

#[test]
fn two_confirmed_on_one_version_are_rejected() {
    let history = [
        operation(1, 4, put(3, 1, 0), Response::Accepted),
        operation(2, 5, put(3, 2, 0), Response::Accepted),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn a_repeat_that_is_refused_is_rejected() {
    let history = [
        operation(1, 2, put(3, 1, 0), Response::Accepted),
        operation(3, 4, put(5, 2, 3), Response::Accepted),
        operation(5, 6, put(3, 1, 0), Response::Conflict),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn a_repeat_whose_first_call_was_seen_must_not_be_refused() {
    let history = [
        open(1, put(3, 1, 0)),
        operation(2, 3, Request::Get, holds(3, 1)),
        operation(4, 5, put(3, 1, 0), Response::NotHigher),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn an_order_without_an_answer_may_have_taken_effect_or_not() {
    let observation = [open(1, put(3, 1, 0)), operation(2, 3, Request::Get, holds(3, 1))];
    let not_seen = [open(1, put(3, 1, 0)), operation(2, 3, Request::Get, Response::Current(None))];
    let late = [
        open(1, put(3, 1, 0)),
        operation(2, 3, Request::Get, Response::Current(None)),
        operation(4, 5, Request::Get, holds(3, 1)),
    ];
    assert!(is_linearizable(&observation));
    assert!(is_linearizable(&not_seen));
    assert!(is_linearizable(&late));
}

#[test]
fn an_order_must_not_take_effect_before_it_is_sent() {
    let history = [operation(1, 2, Request::Get, holds(3, 1)), open(3, put(3, 1, 0))];
    assert!(!is_linearizable(&history));
}

#[test]
fn an_order_must_not_take_effect_twice() {
    let history = [
        open(1, put(3, 1, 0)),
        operation(2, 3, Request::Get, holds(3, 1)),
        operation(4, 5, put(4, 2, 3), Response::Accepted),
        operation(6, 7, Request::Get, holds(3, 1)),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn a_configuration_that_was_confirmed_must_not_be_lost() {
    let history = [
        operation(1, 2, put(3, 1, 0), Response::Accepted),
        operation(3, 4, Request::Get, Response::Current(None)),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn a_refusal_without_reason_is_rejected() {
    let conflict = [operation(1, 2, put(3, 1, 0), Response::Conflict)];
    let not_higher = [
        operation(1, 2, put(3, 1, 0), Response::Accepted),
        operation(3, 4, put(5, 2, 3), Response::NotHigher),
    ];
    assert!(!is_linearizable(&conflict));
    assert!(!is_linearizable(&not_higher));
}

#[test]
fn either_refusal_is_right_where_both_apply() {
    let first = operation(1, 2, put(3, 1, 0), Response::Accepted);
    for response in [Response::Conflict, Response::NotHigher] {
        assert!(is_linearizable(&[first, operation(3, 4, put(3, 2, 0), response)]));
    }
}

#[test]
fn a_shrunk_history_is_short_and_still_wrong() {
    let mut history = vec![operation(1, 2, put(3, 1, 0), Response::Accepted)];
    for round in 0..10 {
        history.push(operation(3 + 2 * round, 4 + 2 * round, Request::Get, holds(3, 1)));
    }
    history.push(operation(30, 31, put(5, 2, 3), Response::Accepted));
    history.push(operation(32, 33, Request::Get, holds(3, 1)));
    history.push(operation(34, 35, Request::Get, holds(5, 2)));
    let short = shrink(&history);
    assert!(!is_linearizable(&short));
    assert!(short.len() <= 3, "{short:#?}");
}

/// Orders worked one after the other by a register, with calls and answers widened so that they overlap.
fn worked(orders: &[(u8, u64, u64)], widths: &[u64], unanswered: &[bool]) -> Vec<Operation> {
    let mut register = Register::default();
    let mut history = Vec::new();
    for (index, (kind, step, body)) in orders.iter().enumerate() {
        let at = 1_000 + 100 * index as u64;
        let current = match register.apply(Request::Get) {
            Response::Current(Some(current)) => current.version,
            _ => 0,
        };
        let request = if kind % 3 == 0 {
            Request::Get
        } else {
            put(current + step, *body, current - current.min(step / 4))
        };
        let response = register.apply(request);
        let (invoked, responded) = (at - widths[2 * index], at + widths[2 * index + 1]);
        let responded = (!unanswered[index]).then_some((responded, response));
        history.push(Operation { operator: index % 2, machine: 0, request, invoked, responded });
    }
    history
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn what_a_register_answers_is_accepted(
        orders in proptest::collection::vec((0u8..6, 0u64..6, 0u64..8), 1..24),
        widths in proptest::collection::vec(1u64..160, 48),
        unanswered in proptest::collection::vec(proptest::bool::weighted(0.2), 24),
    ) {
        prop_assert!(is_linearizable(&worked(&orders, &widths, &unanswered)));
    }
}
