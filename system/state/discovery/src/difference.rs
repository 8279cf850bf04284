//! The difference between two lists.

use crate::instance::{Instance, InstanceId, InstanceState};
use crate::list::WorkerList;
use speedy::{Readable, Writable};

/// A change of the list. A worker is identified by its id: when another one takes over its address, one worker is gone and
/// another is added.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum WorkerChange {
    /// It is not in the list any more.
    Gone(InstanceId),
    /// It was ready and is draining now.
    Draining(InstanceId),
    /// Anything else about it changed, except the remaining time of its warm-up, which runs down by itself.
    Changed(Instance),
    /// It is new; it may be draining already.
    Added(Instance),
}

/// The changes that turn `old` into `new`: first those that end deliveries, last the additions.
pub fn difference(old: &WorkerList, new: &WorkerList) -> Vec<WorkerChange> {
    let (mut gone, mut draining, mut changed) = (Vec::new(), Vec::new(), Vec::new());
    for before in old.iter() {
        let Some(after) = new.get(&before.id) else {
            gone.push(WorkerChange::Gone(before.id.clone()));
            continue;
        };
        if has_begun_to_drain(before, after) {
            draining.push(WorkerChange::Draining(before.id.clone()));
        }
        if has_other_change(before, after) {
            changed.push(WorkerChange::Changed(after.clone()));
        }
    }
    let added = new.iter().filter(|after| old.get(&after.id).is_none());
    let added = added.map(|after| WorkerChange::Added(after.clone()));
    gone.into_iter().chain(draining).chain(changed).chain(added).collect()
}

fn has_begun_to_drain(before: &Instance, after: &Instance) -> bool {
    before.state == InstanceState::Ready && after.state == InstanceState::Draining
}

fn has_other_change(before: &Instance, after: &Instance) -> bool {
    let state = if has_begun_to_drain(before, after) { after.state } else { before.state };
    let expected = Instance { state, warm_up_left: after.warm_up_left, ..before.clone() };
    expected != *after
}
