//! Tests of admission control with random sequences of events and against the guarantees of max-min fairness.

use millrudder_admission::{fairness, Admission, Capacity, Held, Shortage, CLAIM_LIFE_MS, KEPT_PART};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const BIG: u64 = 1 << 40;

/// Runs the test on the same 400 random cases at every run.
fn check<S: Strategy>(strategy: S, test: impl Fn(S::Value)) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |value| {
            test(value);
            Ok(())
        })
        .unwrap();
}

fn places(places: u64, weights: &[u32]) -> Admission {
    Admission::new(Capacity { places, bytes: BIG }, weights)
}

#[derive(Clone, Debug)]
enum Step {
    Take { front: usize, bytes: u64 },
    End { which: usize },
    Wait(u32),
    Weights(Vec<u32>),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..3usize, 0..40u64).prop_map(|(front, bytes)| Step::Take { front, bytes }),
        4 => (0..1000usize).prop_map(|which| Step::End { which }),
        1 => (0..2_000u32).prop_map(Step::Wait),
        1 => prop::collection::vec(1..9u32, 3).prop_map(Step::Weights),
    ];
    prop::collection::vec(step, 1..200)
}

#[test]
fn no_place_is_lost_or_granted_twice_in_any_order_of_events() {
    check((1..40u64, 1..400u64, steps()), |(places, bytes, steps)| {
        let mut weights = vec![1, 2, 5];
        let mut admission = Admission::new(Capacity { places, bytes }, &weights);
        let (mut out, mut now): (Vec<(usize, u64, Held)>, f64) = (Vec::new(), 0.0);
        for step in steps {
            now += 0.5;
            match step {
                Step::Take { front, bytes } => {
                    let before = admission.usage(front);
                    match admission.take(front, bytes, now) {
                        Ok(held) => out.push((front, bytes, held)),
                        Err(refused) => {
                            assert_eq!(admission.usage(front), before, "a refusal takes nothing");
                            assert!((50.0..CLAIM_LIFE_MS).contains(&refused.retry_after), "{refused:?}");
                        }
                    }
                }
                Step::End { which } if !out.is_empty() => {
                    let (_, _, held) = out.swap_remove(which % out.len());
                    admission.give_back(held, now);
                }
                Step::End { .. } => {}
                Step::Wait(ms) => now += f64::from(ms),
                Step::Weights(new) => {
                    weights = new;
                    admission.set_weights(&weights);
                }
            }
            for front in 0..3 {
                let own: Vec<u64> = out.iter().filter(|o| o.0 == front).map(|o| o.1).collect();
                let usage = admission.usage(front);
                assert_eq!((usage.places, usage.bytes), (own.len() as u64, own.iter().sum()));
            }
            assert!(out.len() as u64 <= places && out.iter().map(|o| o.1).sum::<u64>() <= bytes);
        }
        // After all are given back, a front that is alone can take everything except what is never lent.
        out.into_iter().for_each(|(_, _, held)| admission.give_back(held, now));
        now += CLAIM_LIFE_MS + 1.0;
        let kept: u64 = [1, 2].iter().map(|f| admission.usage(*f).share.div_ceil(KEPT_PART)).sum();
        let got = (0..places).filter(|_| admission.take(0, 0, now).is_ok()).count() as u64;
        assert!(got + kept >= places, "{got} of {places}, {kept} kept");
    });
}

#[test]
fn within_its_share_a_front_is_never_refused_where_nobody_has_borrowed() {
    let demand = prop::collection::vec(0..3usize, 1..400);
    check((3..60u64, prop::collection::vec(1..9u32, 3), demand), |(capacity, weights, demand)| {
        let mut admission = places(capacity, &weights);
        let mut held = Vec::new();
        for front in demand {
            let usage = admission.usage(front);
            if usage.places < usage.share {
                held.push(admission.take(front, 0, 0.0).expect("a place of its own share"));
            }
        }
    });
}

#[test]
fn a_front_that_asks_gets_its_share_back_as_borrowed_jobs_end() {
    // Front 0 has borrowed all that it may. From then on both fronts ask for all they can get, and one job ends
    // at a time.
    check((8..80u64, 1..9u32, 1..9u32, any::<u64>()), |(capacity, own, other, order)| {
        let mut admission = places(capacity, &[own, other]);
        let mut out: Vec<(usize, Held)> = Vec::new();
        while let Ok(held) = admission.take(0, 0, 0.0) {
            out.push((0, held));
        }
        let share = admission.usage(1).share;
        let (mut now, mut ends, mut random) = (0.0, 0u64, order | 1);
        while admission.usage(1).places < share {
            for front in [0, 1] {
                while let Ok(held) = admission.take(front, 0, now) {
                    out.push((front, held));
                }
            }
            if admission.usage(1).places >= share {
                break;
            }
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let (_, held) = out.swap_remove((random >> 33) as usize % out.len());
            admission.give_back(held, now);
            now += 1.0;
            ends += 1;
            // Each end frees a place for the front that is behind. The ends needed are as many as the places
            // that were lent, plus the ends of that front's own jobs.
            assert!(ends <= capacity * 40, "{:?} of {share}", admission.usage(1));
        }
        assert!(admission.usage(0).places <= capacity - share);
    });
}

#[test]
fn a_borrower_leaves_room_for_the_first_jobs_of_a_quiet_front() {
    let mut admission = places(80, &[1, 1]);
    let mut held = Vec::new();
    while let Ok(one) = admission.take(0, 0, 0.0) {
        held.push(one);
    }
    assert_eq!(held.len(), 75, "all but an eighth of the other's 40");
    held.extend((0..5).map(|_| admission.take(1, 0, 1.0).expect("a place that is never lent")));
    // Then each place that becomes free goes to the quiet front's claims, and none to the borrower.
    assert_eq!(admission.take(1, 0, 2.0).unwrap_err().shortage, Shortage::Places);
    admission.give_back(held.remove(0), 3.0);
    assert!(admission.take(0, 0, 3.0).is_err(), "the other front is behind and has a claim");
    held.push(admission.take(1, 0, 4.0).unwrap());
}

#[test]
fn a_claim_that_is_not_renewed_is_forgotten() {
    // A front whose clients do not retry must not keep places unused.
    let mut admission = places(16, &[1, 1]);
    let mut held: Vec<Held> = (0..15).map(|_| admission.take(0, 0, 0.0).unwrap()).collect();
    held.push(admission.take(1, 0, 0.0).unwrap());
    (0..2).for_each(|_| assert!(admission.take(1, 0, 0.0).is_err()));
    admission.give_back(held.remove(0), 1.0);
    admission.give_back(held.remove(0), 1.0);
    assert!(admission.take(0, 0, 2.0).is_err());
    assert!(admission.take(0, 0, CLAIM_LIFE_MS + 3.0).is_ok());
}

#[test]
fn weights_hold_under_overload_on_all_fronts() {
    let weights = [3, 1];
    let mut admission = places(200, &weights);
    let (mut out, mut got, mut now) = (Vec::new(), [0.0, 0.0], 0.0);
    for round in 0..20_000u64 {
        now += 1.0;
        // Each millisecond every front asks 4 times and one job ends: the demand is far above the capacity.
        for front in [1, 0, 1, 0, 0, 1, 1, 0] {
            if let Ok(held) = admission.take(front, 64, now) {
                got[front] += 1.0;
                out.push(held);
            }
        }
        if out.len() > 150 {
            admission.give_back(out.swap_remove((round * 7919) as usize % out.len()), now);
        }
    }
    let index = fairness(&got, &weights.map(f64::from));
    assert!(index > 0.99, "{index} {got:?}");
    let held = [admission.usage(0).places, admission.usage(1).places];
    assert!(held[0].abs_diff(150) <= 2 && held[1].abs_diff(50) <= 2, "{held:?}");
}

#[test]
fn bytes_are_shared_like_places() {
    let mut admission = Admission::new(Capacity { places: 1_000, bytes: 1_000 }, &[1, 1]);
    let mut held: Vec<Held> = Vec::new();
    while let Ok(one) = admission.take(0, 60, 0.0) {
        held.push(one);
    }
    assert!(held.len() as u64 * 60 <= 1_000 - 500 / KEPT_PART);
    assert!(admission.take(1, 60, 0.0).is_ok_and(|h| {
        held.push(h);
        true
    }));
    assert_eq!(admission.take(1, 600, 0.0).unwrap_err().shortage, Shortage::Bytes);
}

// Guards against shares that wrap in 64 bits: with the memory and the weights at the largest that the files accept, a front's
// share of the bytes was what was left of the product.
#[test]
fn the_largest_capacity_is_shared_by_weight() {
    let largest = Capacity { places: 9_000_000_000_000_000, bytes: u64::MAX / 16 };
    let mut admission = Admission::new(largest, &[1_000, 1]);
    let usage = admission.usage(0);
    assert_eq!((usage.places, usage.bytes), (0, 0));
    assert_eq!(usage.share, largest.places / 1_001 * 1_000 + largest.places % 1_001 * 1_000 / 1_001);
    let held = admission.take(0, largest.bytes / 2, 0.0).expect("half of the bytes");
    assert!(admission.take(1, largest.bytes / 2_002, 0.0).is_ok(), "within the share of the other front");
    admission.give_back(held, 1.0);
}

#[test]
fn the_fairness_index_is_jains() {
    assert_eq!(fairness(&[5.0, 5.0], &[1.0, 1.0]), 1.0);
    assert_eq!(fairness(&[6.0, 3.0], &[2.0, 1.0]), 1.0);
    assert!((fairness(&[1.0, 0.0, 0.0, 0.0], &[1.0; 4]) - 0.25).abs() < 1e-9);
    assert_eq!(fairness(&[], &[]), 1.0);
}
