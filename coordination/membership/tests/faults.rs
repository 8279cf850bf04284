//! Pauses, slow members, partitions and loss: live members are not declared dead where that can be avoided, and all lists
//! agree afterwards.

mod support;

use millrudder_membership::{Event, Status};
use support::{millis, secs, Network, Simulation};

fn lossy(loss: f64) -> Network {
    Network { loss, ..Network::default() }
}

#[test]
fn lists_agree_again_after_changes_under_heavy_loss_and_reordering() {
    for seed in support::seeds() {
        let network = Network { loss: 0.15, jitter: millis(60), ..Network::default() };
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.network = network;
        simulation.crash(4);
        simulation.run_for(secs(1));
        simulation.restart(4, 2, support::address(4));
        simulation.crash(9);
        simulation.run_for(secs(8));
        simulation.network = Network::default();
        simulation.run_until(secs(10), Simulation::is_agreed);
    }
}

#[test]
fn a_pause_shorter_than_detection_causes_no_death() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.pause(3);
        simulation.run_for(millis(1_200));
        simulation.resume(3);
        simulation.run_for(secs(10));
        assert_eq!(simulation.down_events(), 0, "seed {seed}");
        simulation.assert_agreed();
    }
}

#[test]
fn a_resumed_process_suspects_nobody_and_is_back_within_a_second() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.pause(3);
        simulation.run_for(secs(8));
        assert!(simulation.all_report(3, Status::Dead));
        simulation.clear_observations();
        simulation.resume(3);
        let back = simulation.run_until(secs(5), Simulation::is_agreed);
        assert!(back < millis(600), "seed {seed}: {back:?}");
        simulation.run_for(secs(10));
        assert_eq!(simulation.down_events(), 0, "seed {seed}");
        assert_eq!(simulation.suspect_events(), 0, "seed {seed}");
    }
}

#[test]
fn a_group_that_was_paused_as_a_whole_loses_nobody() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        (0..12).for_each(|index| simulation.pause(index));
        simulation.run_for(secs(6));
        for index in 0..12 {
            simulation.resume(index);
            simulation.run_for(millis(40));
        }
        simulation.run_for(secs(10));
        assert_eq!(simulation.down_events(), 0, "seed {seed}");
        simulation.assert_agreed();
    }
}

#[test]
fn a_slow_member_stays_alive() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.set_lag(5, millis(180));
        simulation.run_for(secs(60));
        assert_eq!(simulation.down_events(), 0, "seed {seed}");
        simulation.set_lag(5, millis(0));
        simulation.run_until(secs(10), Simulation::is_agreed);
    }
}

#[test]
fn a_very_slow_member_declares_no_other_dead() {
    for lag in [300, 600, 900, 1_200, 1_800] {
        for seed in support::seeds().step_by(3) {
            let mut simulation = Simulation::converged(12, Network::default(), seed);
            simulation.set_lag(5, millis(lag));
            simulation.run_for(secs(60));
            assert_eq!(
                simulation.down_events_by(5),
                0,
                "seed {seed}, lag {lag}: the slow member declared others dead"
            );
            assert_eq!(simulation.down_events(), simulation.down_events_of(5), "seed {seed}, lag {lag}");
            simulation.set_lag(5, millis(0));
            simulation.run_until(secs(15), Simulation::is_agreed);
        }
    }
}

#[test]
fn a_partition_between_two_members_causes_no_death() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, lossy(0.01), seed);
        simulation.partition(2, 8);
        simulation.partition_one_way(4, 6);
        simulation.run_for(secs(60));
        assert_eq!(simulation.down_events(), 0, "seed {seed}");
        simulation.assert_agreed();
    }
}

#[test]
fn only_the_member_that_receives_nothing_is_declared_dead() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        (0..12).filter(|other| *other != 5).for_each(|other| simulation.partition_one_way(other, 5));
        simulation.run_for(secs(30));
        let among_others =
            simulation.count(|seen| seen.by != 5 && matches!(seen.event, Event::MemberDown(_)));
        assert_eq!(among_others, 11, "seed {seed}: the isolated member had others declared dead");
        assert!(simulation.all_report(5, Status::Dead));
        let other_suspicions =
            simulation.suspect_events() - simulation.suspect_events_of(5) - simulation.suspect_events_by(5);
        assert_eq!(other_suspicions, 0, "seed {seed}: the isolated member's suspicions were disseminated");
        let lost = simulation.count(|seen| seen.by == 5 && seen.event == Event::ContactLost);
        assert_eq!(lost, 1, "seed {seed}");
        simulation.heal();
        simulation.run_until(secs(15), Simulation::is_agreed);
        let restored = simulation.count(|seen| seen.by == 5 && seen.event == Event::ContactRestored);
        assert_eq!(restored, 1, "seed {seed}");
        let among_others =
            simulation.count(|seen| seen.by != 5 && matches!(seen.event, Event::MemberDown(_)));
        assert_eq!(among_others, 11, "seed {seed}: healing had others declared dead");
    }
}

#[test]
fn only_the_member_whose_datagrams_are_lost_is_declared_dead() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        (0..12).filter(|other| *other != 5).for_each(|other| simulation.partition_one_way(5, other));
        simulation.run_for(secs(30));
        let among_others =
            simulation.count(|seen| seen.by != 5 && matches!(seen.event, Event::MemberDown(_)));
        assert_eq!(among_others, 11, "seed {seed}");
        assert!(simulation.all_report(5, Status::Dead));
        simulation.heal();
        simulation.run_until(secs(15), Simulation::is_agreed);
    }
}

#[test]
fn two_sides_of_a_partition_reconnect_without_further_deaths() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, lossy(0.01), seed);
        for left in 0..4 {
            (4..12).for_each(|right| simulation.partition(left, right));
        }
        simulation.run_for(secs(30));
        assert_eq!(simulation.down_events(), 4 * 8 * 2, "seed {seed}");
        simulation.clear_observations();
        simulation.heal();
        let healed = simulation.run_until(secs(20), Simulation::is_agreed);
        assert!(healed < secs(6), "seed {seed}: {healed:?}");
        assert_eq!(simulation.down_events(), 0, "seed {seed}");
    }
}

#[test]
fn two_sides_reconnect_through_the_seeds_when_the_dead_are_removed() {
    let mut simulation = Simulation::converged(12, Network::default(), 3);
    for left in 0..2 {
        (2..12).for_each(|right| simulation.partition(left, right));
    }
    simulation.run_for(secs(180));
    assert_eq!(simulation.status(0, 5), None);
    assert_eq!(simulation.status(5, 0), None);
    simulation.heal();
    simulation.run_until(secs(30), Simulation::is_agreed);
}

#[test]
fn the_failure_of_most_members_at_once_is_detected() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        (3..12).for_each(|index| simulation.crash(index));
        let found = simulation.run_until(secs(40), Simulation::is_agreed);
        assert!(found < secs(16), "seed {seed}: {found:?}");
    }
}

#[test]
fn the_last_member_detects_that_it_is_alone() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(5, Network::default(), seed);
        (1..5).for_each(|index| simulation.crash(index));
        simulation.run_until(secs(30), Simulation::is_agreed);
        assert_eq!(simulation.count(|seen| seen.event == Event::ContactLost), 1, "seed {seed}");
    }
}

#[test]
fn two_members_detect_each_others_failure() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(2, lossy(0.03), seed);
        simulation.run_for(secs(300));
        assert_eq!(simulation.down_events(), 0, "seed {seed}");
        simulation.crash(1);
        simulation.run_until(secs(5), |simulation| simulation.all_report(1, Status::Dead));
    }
}
