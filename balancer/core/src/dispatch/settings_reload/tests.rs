//! Unit tests of `settings_reload`.

use super::*;

fn set(classes: &[(&str, f64)]) -> (mr::Settings, Names) {
    let class = |(_, deadline): &(&str, f64)| mr::Class { deadline: *deadline, ..mr::Class::default() };
    let settings = mr::Settings { classes: classes.iter().map(class).collect(), ..mr::Settings::default() };
    let classes = classes.iter().map(|(name, _)| (*name).to_owned()).collect();
    (settings, Names { classes, ..Names::default() })
}

#[test]
fn reordered_classes_keep_their_index_and_dropped_ones_expire() {
    let ((old, old_names), (mut new_settings, mut names)) =
        (set(&[("a", 1.0), ("b", 2.0)]), set(&[("c", 3.0), ("b", 4.0)]));
    let mut dropped = DroppedClasses::default();
    let from = dropped.merge((&old_names.classes, &old), &mut names, &mut new_settings, 0.0);
    assert_eq!(
        (names.classes.as_slice(), from),
        (&["c", "b", "a"].map(str::to_owned)[..], vec![None, Some(1), Some(0)])
    );
    let deadlines: Vec<f64> = new_settings.classes.iter().map(|c| c.deadline).collect();
    assert_eq!(deadlines, [3.0, 4.0, 1.0], "those of the new settings, and the dropped class's own");
    // Reloads that follow neither prolong the time of dropped classes nor make the list of classes grow.
    let (mut settings, mut held) = (new_settings, names);
    for i in 1..100 {
        let (mut new_settings, mut names) = set(&[("b", 4.0)]);
        dropped.merge((&held.classes, &settings), &mut names, &mut new_settings, f64::from(i) * 100.0);
        (settings, held) = (new_settings, names);
    }
    assert_eq!(held.classes, ["b"]);
}
