//! Unit tests of `handover_state`.

use super::*;
use millrudder_testing::garbage;

fn names(classes: &[&str], kinds: &[&str]) -> Names {
    let text = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    Names { classes: text(classes), kinds: text(kinds), ..Names::default() }
}

#[test]
fn ids_are_translated_by_name() {
    let learned = mr::LearnedState {
        class_time: vec![(1.0, 1.0), (2.0, 1.0)],
        kinds: vec![mr::LearnedKind { kind: Some(1), cores: 4.0, ..mr::LearnedKind::default() }],
        banned: vec![(1, 5.0)],
        ..mr::LearnedState::default()
    };
    let workers = vec!["s-1".to_owned(), "s-2".to_owned()];
    let old = HandoverState::new(Some(41), Vec::new(), workers, &names(&["a", "b"], &["x", "y"]), learned);
    let old = HandoverState::decode(&old.encode()).unwrap();
    let number = |name: &str| if name == "s-2" { 7 } else { 9 };
    let new = old.learned_state(&names(&["b", "c"], &["y"]), number);
    assert_eq!(new.class_time, [(2.0, 1.0), (0.0, 0.0)]);
    assert_eq!((new.kinds[0].kind, new.kinds[0].cores), (Some(0), 4.0));
    assert_eq!(new.banned, [(7, 5.0)]);
    assert_eq!((old.worker_list().whole, old.worker_list().generation), (true, Some(41)));
}

#[test]
fn malformed_handover_state_is_rejected() {
    let old = HandoverState::new(
        Some(41),
        Vec::new(),
        Vec::new(),
        &names(&["a"], &[]),
        mr::LearnedState::default(),
    );
    garbage(21, &old.encode(), |bytes| drop(HandoverState::decode(bytes)));
    let other = HandoverState { version: FORMAT_VERSION + 1, ..old };
    assert!(HandoverState::decode(&other.encode()).unwrap_err().to_string().contains("version 2,"));
}
