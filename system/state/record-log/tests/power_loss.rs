//! Random lives of a log on a disk that loses power: nothing synced is lost, nothing ended comes back to life, and
//! nothing released takes room for long.

mod support;

use millrudder_checkpoint_store::SimulatedFolder;
use millrudder_protocol::message::End;
use millrudder_record_log::RecordLogError;
use millrudder_segments::SegmentConfig;
use proptest::prelude::*;
use support::model::Model;
use support::{
    callback_done, ended, failed, give_all_back, granted, id, promised, state, try_open, Log, CONFIG, CROWDED,
};

/// What happens to a log.
#[derive(Clone, Debug)]
enum Event {
    State { unique: u64, body_bytes: usize, ended: bool },
    Granted { unique: u64, token: u64 },
    Failed { unique: u64, token: u64, failed_attempts: u32 },
    Ended { unique: u64 },
    CallbackDone { unique: u64 },
    Promised { shard: u16, since: u64 },
    Sync,
    Release { unique: u64 },
    GiveBack,
    Roll,
    LosePower,
    EndProcess,
    InterruptAfter { changes: u64 },
}

/// Few messages, so that the records of each are many.
fn unique() -> impl Strategy<Value = u64> {
    0..12_u64
}

fn event() -> impl Strategy<Value = Event> {
    let body_bytes = prop_oneof![3 => 0..60_usize, 1 => 200..600_usize];
    let state = (unique(), body_bytes, prop::bool::weighted(0.2));
    prop_oneof![
        8 => state.prop_map(|(unique, body_bytes, ended)| Event::State { unique, body_bytes, ended }),
        6 => (unique(), 1..9_u64).prop_map(|(unique, token)| Event::Granted { unique, token }),
        4 => (unique(), 1..9_u64, 1..4_u32).prop_map(|(unique, token, failed_attempts)| {
            Event::Failed { unique, token, failed_attempts }
        }),
        6 => unique().prop_map(|unique| Event::Ended { unique }),
        4 => unique().prop_map(|unique| Event::CallbackDone { unique }),
        2 => (0..3_u16, 1..20_u64).prop_map(|(shard, since)| Event::Promised { shard, since }),
        8 => Just(Event::Sync),
        6 => unique().prop_map(|unique| Event::Release { unique }),
        8 => Just(Event::GiveBack),
        1 => Just(Event::Roll),
        2 => Just(Event::LosePower),
        1 => Just(Event::EndProcess),
        1 => (0..14_u64).prop_map(|changes| Event::InterruptAfter { changes }),
    ]
}

fn happen(
    event: &Event,
    log: &mut Log,
    model: &mut Model,
    folder: &SimulatedFolder,
) -> Result<(), RecordLogError> {
    let record = match *event {
        Event::State { unique, body_bytes, ended } => {
            state(id(unique), body_bytes, ended.then_some(End::DeadLetter))
        }
        Event::Granted { unique, token } => granted(id(unique), token),
        Event::Failed { unique, token, failed_attempts } => failed(id(unique), token, failed_attempts),
        Event::Ended { unique } => ended(id(unique)),
        Event::CallbackDone { unique } => callback_done(id(unique)),
        Event::Promised { shard, since } => promised(shard, since),
        Event::Sync => return model.sync(log),
        Event::Release { unique } => {
            model.release(log, id(unique));
            return Ok(());
        }
        Event::GiveBack => return log.give_back(),
        Event::Roll => return log.prove(),
        Event::InterruptAfter { changes } => {
            folder.interrupt_after(changes);
            return Ok(());
        }
        Event::LosePower | Event::EndProcess => return Ok(()),
    };
    model.append(log, record).map(drop)
}

/// Opens the log; if the process is stopped on the way, once more.
fn reopen(folder: &SimulatedFolder, config: SegmentConfig, model: &mut Model) -> Log {
    let opened = try_open(folder, config).or_else(|_| {
        folder.lose_power();
        try_open(folder, config)
    });
    let opened = opened.unwrap();
    model.accept(&opened.records);
    opened.log
}

/// Lives through the events; the log is opened again after each that it did not outlive.
fn live(folder: &SimulatedFolder, config: SegmentConfig, model: &mut Model, events: &[Event]) -> Log {
    let mut log = reopen(folder, config, model);
    for event in events {
        let stopped = happen(event, &mut log, model, folder).is_err();
        match event {
            Event::EndProcess => folder.end_process(),
            Event::LosePower => folder.lose_power(),
            _ if stopped => folder.lose_power(),
            _ => continue,
        }
        log = reopen(folder, config, model);
    }
    log
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn nothing_synced_is_lost_and_nothing_ended_lives_again(
        seed: u64,
        events in prop::collection::vec(event(), 1..150),
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut model = Model::default();
        drop(live(&folder, CONFIG, &mut model, &events));
        folder.lose_power();
        reopen(&folder, CONFIG, &mut model);
    }

    #[test]
    fn what_is_released_takes_no_room_in_the_end(
        seed: u64,
        events in prop::collection::vec(event(), 1..100),
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut model = Model::default();
        drop(live(&folder, CONFIG, &mut model, &events));
        folder.lose_power();
        let mut log = reopen(&folder, CONFIG, &mut model);
        model.release_all(&mut log);
        log.prove().unwrap();
        give_all_back(&mut log);
        // The promises of three shards, and the header of a segment or two.
        prop_assert!(log.usage().live_bytes <= 3 * 64, "{:?}", log.usage());
        prop_assert!(log.usage().segments <= 2, "{:?}", log.usage());
    }

    #[test]
    fn a_log_that_is_full_most_of_the_time_keeps_its_promises_and_empties(
        seed: u64,
        events in prop::collection::vec(event(), 1..150),
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut model = Model::default();
        drop(live(&folder, CROWDED, &mut model, &events));
        folder.lose_power();
        let mut log = reopen(&folder, CROWDED, &mut model);
        model.release_all(&mut log);
        give_all_back(&mut log);
        for unique in 100..104 {
            prop_assert!(model.append(&mut log, state(id(unique), 500, None)).unwrap(), "{:?}", log.usage());
        }
    }
}
