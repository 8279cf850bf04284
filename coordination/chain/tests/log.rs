//! Compares the log with a plain list of entries.

use millrudder_chain::{Entry, Epoch, Log, NodeId, Position, RequestId, Sequence};
use proptest::prelude::*;

const CASES: u32 = 256;

#[derive(Clone, Debug)]
enum Change {
    Append { epoch: u64 },
    Truncate { retain: u64 },
    Trim { drop: u64 },
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (1..5u64).prop_map(|epoch| Change::Append { epoch }),
        1 => (0..30u64).prop_map(|retain| Change::Truncate { retain }),
        1 => (0..30u64).prop_map(|drop| Change::Trim { drop }),
    ]
}

fn entry(sequence: u64, epoch: u64) -> Entry {
    let position = Position { sequence: Sequence(sequence), epoch: Epoch(epoch) };
    Entry { position, request_id: RequestId(sequence.into()), origin: NodeId(1), command: vec![epoch as u8] }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn a_log_is_a_list_that_starts_after_its_base(changes in proptest::collection::vec(change(), 0..60)) {
        let mut log = Log::default();
        let mut base = 0;
        let mut list: Vec<Entry> = Vec::new();
        for change in changes {
            match change {
                Change::Append { epoch } => {
                    let next = entry(base + list.len() as u64 + 1, epoch);
                    prop_assert!(log.append(next.clone()));
                    list.push(next);
                }
                Change::Truncate { retain } => {
                    log.truncate_after(Sequence(retain));
                    list.truncate(retain.saturating_sub(base) as usize);
                }
                Change::Trim { drop } => {
                    log.trim_to(Sequence(drop));
                    if drop > base && drop <= base + list.len() as u64 {
                        list.drain(..(drop - base) as usize);
                        base = drop;
                    }
                }
            }
            let end = base + list.len() as u64;
            prop_assert_eq!(log.len(), list.len());
            prop_assert_eq!(log.end().sequence, Sequence(end));
            prop_assert_eq!(log.base().sequence, Sequence(base));
            for entry in &list {
                prop_assert!(log.contains(entry.position));
                prop_assert_eq!(log.get(entry.position.sequence), Some(entry));
            }
            prop_assert!(log.entries_after(Sequence(base)).eq(list.iter()));
        }
    }
}

#[test]
fn an_entry_that_does_not_follow_is_ignored() {
    let mut log = Log::default();
    assert!(!log.append(entry(2, 1)));
    assert!(log.append(entry(1, 1)));
    assert!(!log.append(entry(1, 1)));
    assert!(!log.contains(Position { sequence: Sequence(1), epoch: Epoch(2) }));
    assert_eq!(log.position_at(Sequence(9)), None);
}

/// The log on a damaged disk may have the maximum sequence as its base. `Log::get` used to add one to the base: a debug
/// build panicked when the node started ("attempt to add with overflow", `a_damaged_state_is_rejected_or_started_from`
/// with the pinned case `Large { number: 18446744073709551615 }`), and a release build wrapped to zero and returned a
/// wrong entry.
#[test]
fn a_log_after_the_last_number_has_no_entries() {
    let mut log = Log::after(Position { sequence: Sequence(u64::MAX), epoch: Epoch(1) });
    assert!(!log.append(entry(u64::MAX, 1)), "nothing follows the last number");
    assert!(!log.append(entry(0, 1)));
    for sequence in [0, 1, 7, u64::MAX - 1, u64::MAX] {
        assert_eq!(log.get(Sequence(sequence)), None);
    }
    assert_eq!(log.position_at(Sequence(u64::MAX)), Some(log.base()));
    assert!(log.is_empty());
}
