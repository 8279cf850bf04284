//! Bounded model checking of the real state machines: explores all sequences of a few kinds of events, up to a
//! given length, at three stores with one shard. One disk may be lost. Whatever was acknowledged must be known
//! to every primary that serves later.

mod harness;

use harness::{message, StoreHarness, SHARD};
use millrudder_protocol::message::Message;
use millrudder_protocol::store::{AttemptOutcome, ToDispatcher};
use millrudder_protocol::{LeaseToken, MessageId};
use millrudder_queue::{DiskRecord, Input};
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

const STORES: usize = 3;
/// Index of the primary in the first placement.
const FIRST: usize = 0;
const ID: MessageId = MessageId { shard: SHARD, unique: 1 };
/// Length of the event sequences that are explored; `MODEL_DEPTH` sets another one.
const DEPTH: usize = 5;
/// Maximum number of primary changes in one sequence.
const MAX_MOVES: u32 = 3;
/// Maximum number of power losses in one sequence.
const MAX_POWER_LOSSES: u32 = 2;
/// Longer than the longest time to wait for a replica's acknowledgement, in milliseconds.
const STALL_MS: u64 = 100;

/// An event in a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The message is sent for acceptance, or sent again, to the current primary.
    Accept,
    /// The message is sent to the first primary, by a dispatcher that knows only the first placement.
    AcceptAtFirst,
    /// The success of a run is reported to the current primary.
    Succeed,
    MovePrimary(usize),
    /// The disk of a store stalls, or resumes and syncs everything.
    StallDisk(usize),
    ResumeDisk(usize),
    /// The inbound messages of a store are paused, or resumed with the waiting ones.
    PauseInbound(usize),
    ResumeInbound(usize),
    /// A store loses power and is restarted.
    Restart(usize),
    /// A store loses its disk and stays down; this happens at most once.
    LoseDisk(usize),
    /// Time passes until late replicas are no longer waited for.
    Wait,
}

#[derive(Clone)]
struct Model {
    harness: StoreHarness,
    moves: u32,
    power_losses: u32,
    lost: bool,
    waited: bool,
    was_sent: bool,
    /// Acknowledgements that dispatchers have received.
    accepted: bool,
    recorded: bool,
}

fn connection(store: usize) -> u64 {
    store as u64 + 1
}

/// A message with a long delay, so that no grant adds to its state.
fn delayed_message() -> Message {
    Message { delay_ms: 50_000, ..message() }
}

impl Model {
    fn new() -> Self {
        let mut harness = StoreHarness::new(STORES, 1);
        for store in 0..STORES {
            harness.hello(store, connection(store), 7, "zone-0", Vec::new());
        }
        Model {
            harness,
            moves: 0,
            power_losses: 0,
            lost: false,
            waited: false,
            was_sent: false,
            accepted: false,
            recorded: false,
        }
    }

    fn primary(&self) -> usize {
        let primary = self.harness.placement.shards[0].primary;
        (0..STORES).find(|store| harness::store_id(*store) == primary).expect("a store of the model")
    }

    fn is_up(&self, store: usize) -> bool {
        self.harness.processes[store].node.is_some()
    }

    /// Whether the store serves in the current term. A store that has not heard of this term may still serve in
    /// a former one, in which the other stores reject its writes.
    fn is_serving(&self, store: usize) -> bool {
        let Some(node) = &self.harness.processes[store].node else { return false };
        let in_force = DiskRecord::Promised { shard: SHARD, term: self.harness.placement.shards[0].term };
        node.health(self.harness.now()).primary_shards == 1 && node.promised_terms().contains(&in_force)
    }

    /// The events that can lead to a new state from here.
    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if !self.accepted {
            events.push(Event::Accept);
            events.extend((self.primary() != FIRST).then_some(Event::AcceptAtFirst));
        }
        if self.accepted && !self.recorded {
            events.push(Event::Succeed);
        }
        if self.was_sent && !self.waited {
            events.push(Event::Wait);
        }
        for store in (0..STORES).filter(|store| self.is_up(*store)) {
            let process = &self.harness.processes[store];
            events.push(if process.stalled { Event::ResumeDisk(store) } else { Event::StallDisk(store) });
            events.push(if process.is_inbound_paused {
                Event::ResumeInbound(store)
            } else {
                Event::PauseInbound(store)
            });
            if self.moves < MAX_MOVES && store != self.primary() {
                events.push(Event::MovePrimary(store));
            }
            if self.power_losses < MAX_POWER_LOSSES && self.was_sent {
                events.push(Event::Restart(store));
            }
            if !self.lost && self.was_sent {
                events.push(Event::LoseDisk(store));
            }
        }
        events
    }

    fn apply(&mut self, event: Event) {
        let primary = self.primary();
        let harness = &mut self.harness;
        match event {
            Event::Accept => {
                self.was_sent = true;
                harness.accept_as(primary, connection(primary), ID, delayed_message(), false);
            }
            Event::AcceptAtFirst => {
                self.was_sent = true;
                harness.accept_as(FIRST, connection(FIRST), ID, delayed_message(), false);
            }
            Event::Succeed => {
                let since = harness.placement.shards[0].term;
                let outcome = AttemptOutcome::Succeeded { signature: "s".to_owned() };
                harness.attempted(primary, connection(primary), ID, LeaseToken::new(since, 1), outcome);
            }
            Event::MovePrimary(store) => {
                self.moves += 1;
                harness.move_primary(store);
            }
            Event::StallDisk(store) => harness.processes[store].stalled = true,
            Event::ResumeDisk(store) => {
                harness.processes[store].stalled = false;
                harness.sync(store);
                harness.input(store, Input::Tick);
            }
            Event::PauseInbound(store) => harness.processes[store].is_inbound_paused = true,
            Event::ResumeInbound(store) => {
                harness.resume_inbound(store);
                harness.input(store, Input::Placement(harness.placement.clone()));
            }
            Event::Restart(store) => {
                self.power_losses += 1;
                harness.lose_power(store);
                harness.processes[store].stalled = false;
                harness.start(store);
                harness.hello(store, connection(store), 7, "zone-0", Vec::new());
            }
            Event::LoseDisk(store) => {
                self.lost = true;
                harness.kill(store);
                harness.processes[store].records.clear();
            }
            Event::Wait => {
                self.waited = true;
                harness.advance(STALL_MS);
            }
        }
        self.record_acknowledgements();
    }

    /// Records the acknowledgements sent to dispatchers since the last event.
    fn record_acknowledgements(&mut self) {
        for (_, message) in std::mem::take(&mut self.harness.sent_to_dispatchers) {
            self.accepted |= matches!(message, ToDispatcher::Accepted { .. });
            self.recorded |= matches!(message, ToDispatcher::Recorded { .. });
        }
    }

    fn check(&self, order: &[Event]) {
        let primary = self.primary();
        if !self.is_serving(primary) {
            return;
        }
        let state = self.harness.state(primary, ID);
        assert!(
            !self.accepted || state.is_some(),
            "the message was accepted but is unknown to the primary after {order:?}"
        );
        let has_ended = state.is_some_and(|state| state.end.is_some());
        assert!(
            !self.recorded || has_ended,
            "the outcome was recorded but is unknown to the primary after {order:?}"
        );
    }

    /// A digest of everything that determines the further behaviour.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for process in &self.harness.processes {
            format!("{:?}", process.node).hash(&mut hasher);
            format!("{:?}", process.records).hash(&mut hasher);
            process.inbound_description().hash(&mut hasher);
        }
        let seen = (self.moves, self.power_losses, self.lost, self.waited, self.accepted, self.recorded);
        seen.hash(&mut hasher);
        self.harness.now_ms.hash(&mut hasher);
        hasher.finish()
    }
}

/// A state that was reached, with the sequence of events that led to it.
struct Reached {
    model: Model,
    order: Vec<Event>,
}

/// Explores every sequence up to the depth, visiting each state once. Returns the number of states.
fn explore(first: Model, depth: usize) -> usize {
    let mut seen: HashSet<u64> = HashSet::from([first.digest()]);
    let mut level = vec![Reached { model: first, order: Vec::new() }];
    for _ in 0..depth {
        let mut next = Vec::new();
        for Reached { model, order } in level {
            for event in model.events() {
                let mut model = model.clone();
                let mut order = order.clone();
                order.push(event);
                model.apply(event);
                model.check(&order);
                if seen.insert(model.digest()) {
                    next.push(Reached { model, order });
                }
            }
        }
        level = next;
    }
    seen.len()
}

fn depth() -> usize {
    std::env::var("MODEL_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(DEPTH)
}

#[test]
fn every_later_primary_knows_what_was_acknowledged() {
    let states = explore(Model::new(), depth());
    println!("{states} states");
    assert!(states > 10_000, "{states} states are too few to show anything");
}

/// A state in which the message is on the disk of store 1 alone, unacknowledged, and store 0 receives nothing
/// from other stores.
fn message_on_one_disk() -> Model {
    let mut model = Model::new();
    for event in [Event::StallDisk(0), Event::PauseInbound(2), Event::Accept, Event::PauseInbound(0)] {
        model.apply(event);
    }
    model.harness.processes[2].drop_inbound();
    model.harness.processes[2].is_inbound_paused = false;
    model
}

#[test]
fn every_later_primary_knows_what_was_acknowledged_from_a_message_on_one_disk() {
    let states = explore(message_on_one_disk(), depth());
    println!("{states} states");
    assert!(states > 10_000, "{states} states are too few to show anything");
}
