//! Gates and bounded waits.

mod support;

use millrudder_system_standins::{eventually, eventually_some, Gate, NotInTime};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::BOUND;

const SHORT: Duration = Duration::from_millis(20);

#[tokio::test]
async fn an_open_gate_holds_nobody() {
    let gate = Gate::new();
    gate.pass().await;
    gate.hold();
    gate.release();
    gate.pass().await;
    assert_eq!(gate.waiting(), 0);
}

#[tokio::test]
async fn a_held_gate_lets_pass_one_at_a_time_in_order() {
    let gate = Gate::new();
    gate.hold();
    let passed = Arc::new(AtomicUsize::new(0));
    let mut waiters = Vec::new();
    for number in 1..=3 {
        let (gate, passed) = (gate.clone(), passed.clone());
        let waits = gate.clone();
        waiters.push(tokio::spawn(async move {
            gate.pass().await;
            passed.store(number, Ordering::SeqCst);
        }));
        eventually(BOUND, || waits.waiting() == number).await.unwrap();
    }
    for number in 1..=3 {
        assert!(gate.release_one());
        eventually(BOUND, || passed.load(Ordering::SeqCst) == number).await.unwrap();
        assert_eq!(gate.waiting(), 3 - number);
    }
    assert!(!gate.release_one());
}

#[tokio::test]
async fn a_waiter_that_has_gone_takes_no_pass() {
    let gate = Gate::new();
    gate.hold();
    assert!(tokio::time::timeout(SHORT, gate.pass()).await.is_err());
    assert_eq!(gate.waiting(), 0);
    assert!(!gate.release_one());
}

#[tokio::test]
async fn a_condition_is_waited_for_within_its_bound() {
    let mut looks = 0;
    let reached = eventually(BOUND, || {
        looks += 1;
        looks == 3
    });
    reached.await.unwrap();
    assert_eq!(looks, 3);
    assert_eq!(eventually(SHORT, || false).await, Err(NotInTime { bound: SHORT }));
}

#[tokio::test]
async fn a_probe_that_hangs_ends_with_the_bound() {
    let hanging = eventually_some(SHORT, async || std::future::pending::<Option<()>>().await);
    assert_eq!(hanging.await, Err(NotInTime { bound: SHORT }));
    assert_eq!(eventually_some(BOUND, async || Some(7)).await, Ok(7));
}
