//! Random workloads on a disk that loses power: nothing synced is lost, no ended message is resurrected, and released
//! records are reclaimed.

mod support;

use millrudder_checkpoint_store::{run_crash_events, CrashEvent, CrashModel, SimulatedFolder};
use millrudder_protocol::message::End;
use millrudder_record_log::RecordLogError;
use millrudder_segments::SegmentConfig;
use proptest::prelude::*;
use support::model::Model;
use support::{
    callback_done, ended, failed, granted, id, promised, reclaim_all, state, try_open, Log, CONFIG,
    SMALL_CAPACITY,
};

/// An operation on a log.
#[derive(Clone, Debug)]
enum Step {
    State { unique: u64, body_bytes: usize, ended: bool },
    Granted { unique: u64, token: u64 },
    Failed { unique: u64, token: u64, failed_attempts: u32 },
    Ended { unique: u64 },
    CallbackDone { unique: u64 },
    Promised { shard: u16, term: u64 },
    Sync,
    Release { unique: u64 },
    Reclaim,
    Roll,
}

/// Few messages, so that the records of each are many.
fn unique() -> impl Strategy<Value = u64> {
    0..12_u64
}

fn step() -> impl Strategy<Value = Step> {
    let body_bytes = prop_oneof![3 => 0..60_usize, 1 => 200..600_usize];
    let state = (unique(), body_bytes, prop::bool::weighted(0.2));
    prop_oneof![
        8 => state.prop_map(|(unique, body_bytes, ended)| Step::State { unique, body_bytes, ended }),
        6 => (unique(), 1..9_u64).prop_map(|(unique, token)| Step::Granted { unique, token }),
        4 => (unique(), 1..9_u64, 1..4_u32).prop_map(|(unique, token, failed_attempts)| {
            Step::Failed { unique, token, failed_attempts }
        }),
        6 => unique().prop_map(|unique| Step::Ended { unique }),
        4 => unique().prop_map(|unique| Step::CallbackDone { unique }),
        2 => (0..3_u16, 1..20_u64).prop_map(|(shard, term)| Step::Promised { shard, term }),
        8 => Just(Step::Sync),
        6 => unique().prop_map(|unique| Step::Release { unique }),
        8 => Just(Step::Reclaim),
        1 => Just(Step::Roll),
    ]
}

/// 53 weights of steps to 4 of crashes.
fn event() -> impl Strategy<Value = CrashEvent<Step>> {
    prop_oneof![
        53 => step().prop_map(CrashEvent::Step),
        2 => Just(CrashEvent::LosePower),
        1 => Just(CrashEvent::EndProcess),
        1 => (0..14_u64).prop_map(CrashEvent::InterruptAfter),
    ]
}

/// A model of a log with its configuration.
#[derive(Clone)]
struct ConfiguredModel {
    config: SegmentConfig,
    model: Model,
}

impl ConfiguredModel {
    fn new(config: SegmentConfig) -> Self {
        Self { config, model: Model::default() }
    }
}

impl CrashModel for ConfiguredModel {
    type Store = Log;
    type Step = Step;
    type Error = RecordLogError;

    fn open(&mut self, folder: &SimulatedFolder) -> Result<Log, RecordLogError> {
        let opened = try_open(folder, self.config)?;
        self.model.accept(&opened.records);
        Ok(opened.log)
    }

    fn run(&mut self, log: &mut Log, step: Step) -> Result<(), RecordLogError> {
        let record = match step {
            Step::State { unique, body_bytes, ended } => {
                state(id(unique), body_bytes, ended.then_some(End::DeadLetter))
            }
            Step::Granted { unique, token } => granted(id(unique), token),
            Step::Failed { unique, token, failed_attempts } => failed(id(unique), token, failed_attempts),
            Step::Ended { unique } => ended(id(unique)),
            Step::CallbackDone { unique } => callback_done(id(unique)),
            Step::Promised { shard, term } => promised(shard, term),
            Step::Sync => return self.model.sync(log),
            Step::Release { unique } => {
                self.model.release(log, id(unique));
                return Ok(());
            }
            Step::Reclaim => return log.reclaim(),
            Step::Roll => return log.verify_writable(),
        };
        self.model.append(log, record).map(drop)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn nothing_synced_is_lost_and_no_ended_message_is_resurrected(
        seed: u64,
        events in prop::collection::vec(event(), 1..150),
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut model = ConfiguredModel::new(CONFIG);
        drop(run_crash_events(&folder, &mut model, events));
    }

    #[test]
    fn released_records_are_reclaimed_in_the_end(
        seed: u64,
        events in prop::collection::vec(event(), 1..100),
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut model = ConfiguredModel::new(CONFIG);
        let mut log = run_crash_events(&folder, &mut model, events);
        model.model.release_all(&mut log);
        log.verify_writable().unwrap();
        reclaim_all(&mut log);
        // The promises of three shards, and the header of a segment or two.
        prop_assert!(log.usage().live_bytes <= 3 * 64, "{:?}", log.usage());
        prop_assert!(log.usage().segments <= 2, "{:?}", log.usage());
    }

    #[test]
    fn a_log_that_is_full_most_of_the_time_loses_nothing_and_can_be_emptied(
        seed: u64,
        events in prop::collection::vec(event(), 1..150),
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut model = ConfiguredModel::new(SMALL_CAPACITY);
        let mut log = run_crash_events(&folder, &mut model, events);
        model.model.release_all(&mut log);
        reclaim_all(&mut log);
        for unique in 100..104 {
            prop_assert!(model.model.append(&mut log, state(id(unique), 500, None)).unwrap(), "{:?}", log.usage());
        }
    }
}
