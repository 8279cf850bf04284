//! All orders, up to a depth, in which few events can come to three stores of one shard, of which one disk may be lost,
//! played with the true state machines: what was acknowledged is known to every primary that serves later.

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
/// The first placement's primary.
const FIRST: usize = 0;
const ID: MessageId = MessageId { shard: SHARD, unique: 1 };
/// Longest order of events that is played; more with `MODEL_DEPTH`.
const DEPTH: usize = 5;
/// Changes of primary and losses of power in one order.
const MOST_MOVES: u32 = 3;
const MOST_POWER_LOSSES: u32 = 2;
/// Longer than any replica is waited for.
const STALL_MS: u64 = 100;

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A client's message, or the same again, goes to the primary of the placement.
    Ask,
    /// The same from a dispatcher that knows the first placement only.
    AskFirst,
    /// A run of it succeeded, which is reported to that primary.
    Succeed,
    MovePrimary(usize),
    /// The disk syncs nothing, or all again.
    Stall(usize),
    Resume(usize),
    /// Nothing arrives there, or all that waited.
    Hold(usize),
    Release(usize),
    /// Power is lost and comes back.
    Restart(usize),
    /// The disk is lost with all that is on it; only one ever is.
    LoseDisk(usize),
    /// Late replicas are given up.
    Wait,
}

#[derive(Clone)]
struct World {
    harness: StoreHarness,
    moves: u32,
    power_losses: u32,
    lost: bool,
    waited: bool,
    asked: bool,
    /// What clients and dispatchers were sent.
    accepted: bool,
    recorded: bool,
}

fn connection(store: usize) -> u64 {
    store as u64 + 1
}

/// It is not due for long, so that no grant adds to what is known.
fn later() -> Message {
    Message { delay_ms: 50_000, ..message() }
}

impl World {
    fn new() -> Self {
        let mut harness = StoreHarness::new(STORES, 1);
        for store in 0..STORES {
            harness.hello(store, connection(store), 7, "zone-0", Vec::new());
        }
        World {
            harness,
            moves: 0,
            power_losses: 0,
            lost: false,
            waited: false,
            asked: false,
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

    /// It serves in the reign in force; one that has not heard of that may serve in a former one, which the others
    /// fence off.
    fn is_serving(&self, store: usize) -> bool {
        let Some(node) = &self.harness.processes[store].node else { return false };
        let in_force = DiskRecord::Promised { shard: SHARD, term: self.harness.placement.shards[0].term };
        node.health(self.harness.now()).primary_shards == 1 && node.promised_terms().contains(&in_force)
    }

    /// Events that say something new here.
    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if !self.accepted {
            events.push(Event::Ask);
            events.extend((self.primary() != FIRST).then_some(Event::AskFirst));
        }
        if self.accepted && !self.recorded {
            events.push(Event::Succeed);
        }
        if self.asked && !self.waited {
            events.push(Event::Wait);
        }
        for store in (0..STORES).filter(|store| self.is_up(*store)) {
            let process = &self.harness.processes[store];
            events.push(if process.stalled { Event::Resume(store) } else { Event::Stall(store) });
            events.push(if process.is_inbound_paused { Event::Release(store) } else { Event::Hold(store) });
            if self.moves < MOST_MOVES && store != self.primary() {
                events.push(Event::MovePrimary(store));
            }
            if self.power_losses < MOST_POWER_LOSSES && self.asked {
                events.push(Event::Restart(store));
            }
            if !self.lost && self.asked {
                events.push(Event::LoseDisk(store));
            }
        }
        events
    }

    fn play(&mut self, event: Event) {
        let primary = self.primary();
        let harness = &mut self.harness;
        match event {
            Event::Ask => {
                self.asked = true;
                harness.accept_as(primary, connection(primary), ID, later(), false);
            }
            Event::AskFirst => {
                self.asked = true;
                harness.accept_as(FIRST, connection(FIRST), ID, later(), false);
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
            Event::Stall(store) => harness.processes[store].stalled = true,
            Event::Resume(store) => {
                harness.processes[store].stalled = false;
                harness.sync(store);
                harness.input(store, Input::Tick);
            }
            Event::Hold(store) => harness.processes[store].is_inbound_paused = true,
            Event::Release(store) => {
                harness.release(store);
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
        self.listen();
    }

    /// Notes what dispatchers were sent since the last event.
    fn listen(&mut self) {
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
        assert!(!self.accepted || state.is_some(), "accepted, and not known after {order:?}");
        let has_ended = state.is_some_and(|state| state.end.is_some());
        assert!(!self.recorded || has_ended, "recorded, and not known after {order:?}");
    }

    /// A digest of all that decides what can follow.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for process in &self.harness.processes {
            format!("{:?}", process.node).hash(&mut hasher);
            format!("{:?}", process.records).hash(&mut hasher);
            process.inbound_digest().hash(&mut hasher);
        }
        let seen = (self.moves, self.power_losses, self.lost, self.waited, self.accepted, self.recorded);
        seen.hash(&mut hasher);
        self.harness.now_ms.hash(&mut hasher);
        hasher.finish()
    }
}

/// One state that was reached, and how.
struct Reached {
    world: World,
    order: Vec<Event>,
}

/// Plays every order up to the depth, each state once; gives how many states there were.
fn explore(first: World, depth: usize) -> usize {
    let mut seen: HashSet<u64> = HashSet::from([first.digest()]);
    let mut level = vec![Reached { world: first, order: Vec::new() }];
    for _ in 0..depth {
        let mut next = Vec::new();
        for Reached { world, order } in level {
            for event in world.events() {
                let mut world = world.clone();
                let mut order = order.clone();
                order.push(event);
                world.play(event);
                world.check(&order);
                if seen.insert(world.digest()) {
                    next.push(Reached { world, order });
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
    let states = explore(World::new(), depth());
    println!("{states} states");
    assert!(states > 10_000, "{states} states are too few to show anything");
}

/// The message lies on the disk of store 1 alone, unacknowledged, and store 0 is cut off.
fn on_one_disk() -> World {
    let mut world = World::new();
    for event in [Event::Stall(0), Event::Hold(2), Event::Ask, Event::Hold(0)] {
        world.play(event);
    }
    world.harness.processes[2].drop_inbound();
    world.harness.processes[2].is_inbound_paused = false;
    world
}

#[test]
fn every_later_primary_knows_what_was_acknowledged_from_a_message_on_one_disk() {
    let states = explore(on_one_disk(), depth());
    println!("{states} states");
    assert!(states > 10_000, "{states} states are too few to show anything");
}
