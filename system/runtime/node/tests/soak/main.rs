//! Soak: real processes under series of faults that overlap, with clients that keep using their open connections.
//!
//! `SOAK_SEEDS=FROM..TO` plays other seeds, one after the other; `SOAK_SIZE=large` plays them with as many processes as a
//! machine of eight cores bears. What is not played here: lost disks and the loss of what was not synced, which the simulations
//! cover, as a real file system does not lose it with a process.

#[path = "../system/cluster/mod.rs"]
#[allow(dead_code, unused_imports, reason = "the process tests use the rest")]
mod cluster;

mod changes;
mod checks;
mod clients;
mod plan;
mod run;

use plan::{FaultKind, Plan, SoakSize};
use std::ops::Range;

/// Seeds of the ordinary run, for each kind of faults.
const ORDINARY_SEEDS: Range<u64> = 0..1;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return ORDINARY_SEEDS;
    };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is from..to");
    let number = |text: &str| text.parse().expect("SOAK_SEEDS has two numbers");
    number(from)..number(to)
}

fn size() -> SoakSize {
    match std::env::var("SOAK_SIZE").as_deref() {
        Ok("large") => SoakSize::Large,
        Ok(other) => panic!("SOAK_SIZE is large, or not set, not {other}"),
        Err(_) => SoakSize::Ordinary,
    }
}

/// Plays all seeds, and fails at the end if one of them found something.
async fn play(kind: FaultKind) {
    let mut failed = Vec::new();
    for seed in seeds() {
        let plan = Plan::drawn(seed, kind, size());
        let outcome = run::play(&plan).await;
        println!("{kind:?} seed {seed}: {outcome}");
        if !outcome.violations.is_empty() {
            println!("{plan}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{kind:?}: seeds {failed:?} found something");
}

/// Stops and reloads in series, and changes of the configuration: no request may be lost.
#[tokio::test]
async fn planned_work_in_series_loses_no_request() {
    play(FaultKind::PlannedWork).await;
}

/// Kills, losses of power, freezes and failing disks of one or many processes, beside planned work: nothing accepted is lost.
#[tokio::test]
async fn overlapping_losses_lose_nothing_that_was_accepted() {
    play(FaultKind::OverlappingLosses).await;
}

/// Most processes go at once, again and again: the system comes back with all that it accepted.
#[tokio::test]
async fn losses_of_most_processes_at_once_lose_nothing_that_was_accepted() {
    play(FaultKind::MassLosses).await;
}
