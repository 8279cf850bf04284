//! What changed between two lists.

use crate::instance::{Instance, InstanceId, InstanceState};
use crate::list::WorkerList;
use speedy::{Readable, Writable};

/// A change of the list. A worker is the same as long as its id is: when its address is taken over, the change
/// is one worker gone and another added.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum WorkerChange {
    /// It is no longer in the list.
    Gone(InstanceId),
    /// It was ready and is draining now.
    Draining(InstanceId),
    /// Anything else about it changed, but for the time it stays slow, which runs down by itself.
    Changed(Instance),
    /// It is new; it may be draining already.
    Added(Instance),
}

/// The changes that turn `old` into `new`: first what ends deliveries, last what is new.
pub fn difference(old: &WorkerList, new: &WorkerList) -> Vec<WorkerChange> {
    let (mut gone, mut draining, mut changed) = (Vec::new(), Vec::new(), Vec::new());
    for before in old.iter() {
        let Some(after) = new.get(&before.id) else {
            gone.push(WorkerChange::Gone(before.id.clone()));
            continue;
        };
        if began_to_drain(before, after) {
            draining.push(WorkerChange::Draining(before.id.clone()));
        }
        if changed_otherwise(before, after) {
            changed.push(WorkerChange::Changed(after.clone()));
        }
    }
    let added = new.iter().filter(|after| old.get(&after.id).is_none());
    let added = added.map(|after| WorkerChange::Added(after.clone()));
    gone.into_iter().chain(draining).chain(changed).chain(added).collect()
}

fn began_to_drain(before: &Instance, after: &Instance) -> bool {
    before.state == InstanceState::Ready && after.state == InstanceState::Draining
}

fn changed_otherwise(before: &Instance, after: &Instance) -> bool {
    let state = if began_to_drain(before, after) { after.state } else { before.state };
    let expected = Instance { state, cold_left: after.cold_left, ..before.clone() };
    expected != *after
}
