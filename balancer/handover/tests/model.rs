//! Model check of the handover. It searches every order of events: messages late, lost or duplicated, timers at any
//! time, either process dying, being told to stop or failing locally. In each reachable state at most one process
//! accepts, and once faults end, exactly one of the living processes does. Only where the platform manages the upgrade
//! may both accept.

use millrudder_handover::{
    Action, Event, Limits, Message, Predecessor, PredecessorPhase, State, Successor, SuccessorPhase,
};
use std::collections::{BTreeMap, HashSet, VecDeque};

const JOB: &str = "old-1";

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Work {
    Check,
    Load,
}

#[derive(Clone)]
struct World {
    predecessor: Option<Predecessor>,
    successor: Option<Successor>,
    to_predecessor: Vec<Message>,
    to_successor: Vec<Message>,
    work: Option<Work>,
    predecessor_listens: bool,
    successor_listens: bool,
    /// Deaths that the other process has not noticed yet, and a kill that has not taken effect yet.
    predecessor_dead: bool,
    successor_dead: bool,
    killing: bool,
    /// Whether the platform manages the upgrade: see [`Limits::platform_managed`].
    platform_managed: bool,
    /// How many faults of each kind may still be injected.
    losses: u8,
    duplicates: u8,
    deaths: u8,
    stops: u8,
}

type Key = (
    Option<PredecessorPhase>,
    Option<SuccessorPhase>,
    Vec<String>,
    Vec<String>,
    [bool; 5],
    Option<Work>,
    [u8; 4],
);

fn name(message: &Message) -> String {
    // The text of the reason does not affect the state machines; without it fewer states differ.
    match message {
        Message::Abort { .. } => "Abort".to_owned(),
        other => format!("{other:?}"),
    }
}

impl World {
    fn new(losses: u8, duplicates: u8, deaths: u8, stops: u8) -> Self {
        World::with_limits(Limits::default(), losses, duplicates, deaths, stops)
    }

    fn with_limits(limits: Limits, losses: u8, duplicates: u8, deaths: u8, stops: u8) -> Self {
        let mut predecessor = Predecessor::new(limits, State::default(), 0.0);
        predecessor.set_under_way(vec![JOB.to_owned()]);
        let mut out = Vec::new();
        let successor = Successor::new(limits, "new", 0.0, &mut out);
        let mut world = World {
            platform_managed: limits.platform_managed,
            predecessor: Some(predecessor),
            successor: Some(successor),
            to_predecessor: Vec::new(),
            to_successor: Vec::new(),
            work: None,
            predecessor_listens: true,
            successor_listens: false,
            predecessor_dead: false,
            successor_dead: false,
            killing: false,
            losses,
            duplicates,
            deaths,
            stops,
        };
        world.apply_successor_actions(out);
        world
    }

    fn key(&self) -> Key {
        let names = |messages: &[Message]| {
            let mut names: Vec<String> = messages.iter().map(name).collect();
            names.sort();
            names
        };
        let flags = [
            self.predecessor_listens,
            self.successor_listens,
            self.predecessor_dead,
            self.successor_dead,
            self.killing,
        ];
        (
            self.predecessor.as_ref().map(Predecessor::phase),
            self.successor.as_ref().map(Successor::phase),
            names(&self.to_predecessor),
            names(&self.to_successor),
            flags,
            self.work,
            [self.losses, self.duplicates, self.deaths, self.stops],
        )
    }

    fn apply_predecessor_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => self.to_successor.push(message),
                Action::Accept => {
                    assert!(!self.predecessor_listens);
                    self.predecessor_listens = true;
                }
                Action::StopAccepting => self.predecessor_listens = false,
                Action::KillPeer => self.killing = self.successor.is_some(),
                Action::Exit(_) => self.predecessor_dies(),
                _ => {}
            }
            self.check();
        }
    }

    fn apply_successor_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => self.to_predecessor.push(message),
                Action::Accept => self.successor_listens = true,
                Action::StopAccepting => self.successor_listens = false,
                Action::CheckSettings => self.work = Some(Work::Check),
                Action::LoadState => self.work = Some(Work::Load),
                Action::Exit(_) => self.successor_dies(),
                _ => {}
            }
            self.check();
        }
    }

    fn predecessor_dies(&mut self) {
        if self.predecessor.take().is_some() {
            (self.predecessor_listens, self.predecessor_dead) = (false, true);
        }
    }

    fn successor_dies(&mut self) {
        if self.successor.take().is_some() {
            (self.successor_listens, self.successor_dead, self.killing, self.work) =
                (false, true, false, None);
        }
    }

    fn check(&self) {
        let both = self.predecessor_listens && self.successor_listens;
        assert!(!both || self.platform_managed, "both processes accept: {:?}", self.key());
        assert!(
            !(self.platform_managed && self.killing),
            "a process was killed in a platform-managed upgrade: {:?}",
            self.key()
        );
    }

    /// Checked after each step: `accepts` of each state machine agrees with its modelled listening socket, and a
    /// successor that accepts beside a living predecessor knows which jobs are the predecessor's.
    fn check_consistency(&self) {
        self.check();
        assert_eq!(
            self.predecessor.as_ref().is_some_and(Predecessor::accepts),
            self.predecessor_listens,
            "{:?}",
            self.key()
        );
        assert_eq!(
            self.successor.as_ref().is_some_and(Successor::accepts),
            self.successor_listens,
            "{:?}",
            self.key()
        );
        if let (Some(_), Some(successor), false) = (&self.predecessor, &self.successor, self.predecessor_dead)
        {
            assert!(
                !successor.accepts() || successor.is_peer_job(JOB) || self.platform_managed,
                "the successor does not know the owner of a job: {:?}",
                self.key()
            );
        }
    }

    fn notify_predecessor(&self, event: Event) -> World {
        let mut next = self.clone();
        let mut out = Vec::new();
        next.predecessor
            .as_mut()
            .into_iter()
            .for_each(|predecessor| predecessor.handle(event.clone(), 0.0, &mut out));
        next.apply_predecessor_actions(out);
        next
    }

    fn notify_successor(&self, event: Event) -> World {
        let mut next = self.clone();
        let mut out = Vec::new();
        next.successor
            .as_mut()
            .into_iter()
            .for_each(|successor| successor.handle(event.clone(), 0.0, &mut out));
        next.apply_successor_actions(out);
        next
    }

    fn finish_work(&self, event: Event) -> World {
        let mut next = self.clone();
        next.work = None;
        next.notify_successor(event)
    }

    /// The states that can follow without a further fault.
    fn progress(&self) -> Vec<World> {
        let mut next = Vec::new();
        for (i, message) in self.to_predecessor.iter().enumerate() {
            let mut world = self.clone();
            world.to_predecessor.remove(i);
            next.push(world.notify_predecessor(Event::Message(message.clone())));
        }
        for (i, message) in self.to_successor.iter().enumerate() {
            let mut world = self.clone();
            world.to_successor.remove(i);
            next.push(world.notify_successor(Event::Message(message.clone())));
        }
        match self.work {
            Some(Work::Check) => next.push(self.finish_work(Event::SettingsChecked)),
            Some(Work::Load) => next.push(self.finish_work(Event::StateLoaded)),
            None => {}
        }
        if self.killing {
            let mut world = self.clone();
            world.successor_dies();
            next.push(world);
        }
        if self.predecessor_dead && self.successor.is_some() {
            let mut world = self.clone();
            world.predecessor_dead = false;
            next.push(world.notify_successor(Event::PeerDied));
        }
        if self.successor_dead && self.predecessor.is_some() {
            let mut world = self.clone();
            world.successor_dead = false;
            next.push(world.notify_predecessor(Event::PeerDied));
        }
        if self.predecessor.as_ref().is_some_and(|g| g.phase() == PredecessorPhase::Draining) {
            next.push(self.notify_predecessor(Event::Idle));
        }
        if self.successor.as_ref().is_some_and(|t| t.phase() == SuccessorPhase::Draining) {
            next.push(self.notify_successor(Event::Idle));
        }
        next
    }

    /// The states that follow if a timer expires now; timers may expire at any time.
    fn timers(&self) -> Vec<World> {
        let mut next = Vec::new();
        if self.predecessor.as_ref().is_some_and(|g| g.deadline().is_finite()) {
            let (mut world, mut out) = (self.clone(), Vec::new());
            world.predecessor.as_mut().into_iter().for_each(|predecessor| predecessor.expire(0.0, &mut out));
            world.apply_predecessor_actions(out);
            next.push(world);
        }
        if self.successor.as_ref().is_some_and(|t| t.deadline().is_finite()) {
            let (mut world, mut out) = (self.clone(), Vec::new());
            world.successor.as_mut().into_iter().for_each(|successor| successor.expire(0.0, &mut out));
            world.apply_successor_actions(out);
            next.push(world);
        }
        next
    }

    fn faults(&self) -> Vec<World> {
        let mut next = Vec::new();
        let change = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            world
        };
        for i in (0..self.to_predecessor.len()).filter(|_| self.losses > 0) {
            next.push(change(&|w| {
                w.losses -= 1;
                w.to_predecessor.remove(i);
            }));
        }
        for i in (0..self.to_successor.len()).filter(|_| self.losses > 0) {
            next.push(change(&|w| {
                w.losses -= 1;
                w.to_successor.remove(i);
            }));
        }
        for i in (0..self.to_predecessor.len()).filter(|_| self.duplicates > 0) {
            next.push(change(&|w| {
                w.duplicates -= 1;
                w.to_predecessor.push(w.to_predecessor[i].clone());
            }));
        }
        for i in (0..self.to_successor.len()).filter(|_| self.duplicates > 0) {
            next.push(change(&|w| {
                w.duplicates -= 1;
                w.to_successor.push(w.to_successor[i].clone());
            }));
        }
        if self.deaths > 0 {
            next.push(change(&|w| {
                w.deaths -= 1;
                w.predecessor_dies();
            }));
            next.push(change(&|w| {
                w.deaths -= 1;
                w.successor_dies();
            }));
        }
        if self.stops > 0 {
            let world = change(&|w| w.stops -= 1);
            next.push(world.notify_predecessor(Event::Stop));
            next.push(world.notify_successor(Event::Stop));
        }
        if self.work.is_some() {
            next.push(self.finish_work(Event::LocalFailure("no memory".to_owned())));
        }
        next
    }

    /// Runs without further faults until nothing changes: delivers all messages first, then lets timers expire.
    fn settle(mut self) -> World {
        for _ in 0..200 {
            let next = self.progress().into_iter().next().or_else(|| self.timers().into_iter().next());
            match next {
                Some(next) => self = next,
                None => return self,
            }
        }
        panic!("does not settle: {:?}", self.key());
    }
}

/// Searches all reachable states. Returns their number, and how often each outcome was reached.
fn search(start: World) -> (usize, BTreeMap<&'static str, usize>) {
    let (mut seen, mut queue) = (HashSet::from([start.key()]), VecDeque::from([start]));
    let mut ends = BTreeMap::new();
    while let Some(world) = queue.pop_front() {
        world.check_consistency();
        let end = world.clone().settle();
        let alive = usize::from(end.predecessor.is_some()) + usize::from(end.successor.is_some());
        let listening = usize::from(end.predecessor_listens) + usize::from(end.successor_listens);
        let right = listening == alive.min(1) || world.platform_managed && listening == alive;
        assert!(right, "{:?} ends as {:?}", world.key(), end.key());
        *ends
            .entry(match (end.predecessor_listens, end.successor_listens) {
                (true, _) => "the old one serves",
                (_, true) => "the new one serves",
                _ => "both are dead",
            })
            .or_default() += 1;
        for next in world.progress().into_iter().chain(world.timers()).chain(world.faults()) {
            if seen.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), ends)
}

#[test]
fn with_messages_lost_doubled_and_late_exactly_one_accepts() {
    let (states, ends) = search(World::new(2, 1, 0, 0));
    assert!(states > 500 && ends.len() == 2, "{states} {ends:?}");
}

#[test]
fn with_either_side_dying_or_stopping_at_any_step_exactly_one_accepts() {
    let (states, ends) = search(World::new(1, 1, 1, 1));
    assert!(states > 2_000, "{states}");
    assert!(ends.contains_key("the old one serves") && ends.contains_key("the new one serves"), "{ends:?}");
}

#[test]
fn without_faults_the_serving_role_passes_and_only_then_the_old_one_ends() {
    let mut world = World::new(0, 0, 0, 0);
    while let Some(next) = world.progress().into_iter().next() {
        world = next;
    }
    let predecessor = world.predecessor.as_ref().unwrap();
    assert_eq!((predecessor.phase(), world.successor_listens), (PredecessorPhase::Probation, true));
    // A successor whose own errors are too many fails probation.
    let bad = millrudder_handover::ProbationReport { served: 10, failed: 10 };
    let back = world.notify_predecessor(Event::Message(Message::Report(bad))).settle();
    assert!(back.predecessor_listens && back.predecessor.unwrap().reason().contains("10 of its first 20"));
    let end = world.settle();
    assert!(end.predecessor.is_none() && end.successor_listens);
}

#[test]
fn under_the_platform_each_process_alive_serves_in_the_end_and_the_new_one_never_ends_by_itself() {
    let limits = Limits::platform();
    for world in [(2, 1, 0, 0), (1, 0, 1, 1)] {
        let (states, ends) = search(World::with_limits(limits, world.0, world.1, world.2, world.3));
        assert!(states > 300, "{states} {ends:?}");
    }
    let end = World::with_limits(limits, 0, 0, 0, 0).settle();
    assert!(end.predecessor.is_none() && end.successor_listens, "without faults the serving role passes");
    let mut silent = World::with_limits(limits, 0, 0, 0, 0);
    silent.to_predecessor.clear();
    silent.predecessor_dies();
    silent.predecessor_dead = false;
    let alone = silent.settle();
    assert!(alone.successor_listens, "the new process must serve if the predecessor sends nothing");
}

#[test]
fn an_incompatible_version_is_refused_before_anything_is_given_away() {
    for (version, min_version) in [(0, 0), (9, 9)] {
        let mut predecessor = Predecessor::new(Limits::default(), State::default(), 0.0);
        let mut out = Vec::new();
        let hello = Message::Hello { version, min_version, program: "x".to_owned() };
        predecessor.handle(Event::Message(hello), 1.0, &mut out);
        assert!(
            predecessor.accepts()
                && predecessor.phase() == PredecessorPhase::FellBack
                && predecessor.reason().contains("version")
        );
        assert!(!out.iter().any(|a| matches!(a, Action::SendState | Action::StopAccepting)));
    }
    // A newer version that still supports this one is accepted.
    let mut predecessor = Predecessor::new(Limits::default(), State::default(), 0.0);
    let hello = Message::Hello { version: 9, min_version: 1, program: "x".to_owned() };
    predecessor.handle(Event::Message(hello), 1.0, &mut Vec::new());
    assert_eq!(predecessor.phase(), PredecessorPhase::Offered);
}

#[test]
fn every_step_has_its_time_limit() {
    let limits = Limits::default();
    let mut predecessor = Predecessor::new(limits, State::default(), 100.0);
    assert_eq!(predecessor.deadline(), 100.0 + limits.start);
    let hello = Message::Hello { version: 1, min_version: 1, program: "x".to_owned() };
    for (message, limit) in [
        (hello, limits.start),
        (Message::Checked, limits.load),
        (Message::Ready, limits.commit),
        (Message::Committed, limits.probation),
    ] {
        predecessor.handle(Event::Message(message), 200.0, &mut Vec::new());
        assert_eq!(predecessor.deadline(), 200.0 + limit, "{:?}", predecessor.phase());
    }
    let mut out = Vec::new();
    predecessor.expire(300.0, &mut out);
    assert_eq!(
        (predecessor.phase(), predecessor.deadline()),
        (PredecessorPhase::Draining, 300.0 + limits.drain)
    );
    assert_eq!(out[1], Action::Send(Message::Confirm));
}

#[test]
fn one_death_on_the_way_leaves_whoever_can_serve_serving() {
    let mut world = World::new(0, 0, 0, 0);
    let mut steps = 0;
    loop {
        let mut without_new = world.clone();
        without_new.successor_dies();
        let old = without_new.settle();
        assert!(
            old.predecessor_listens || world.predecessor.is_none(),
            "the new one died: {:?}",
            world.key()
        );
        let ready = [SuccessorPhase::Ready, SuccessorPhase::Serving, SuccessorPhase::Draining];
        let able = world.successor.as_ref().is_some_and(|successor| ready.contains(&successor.phase()));
        let mut without_old = world.clone();
        without_old.predecessor_dies();
        // A successor that is not ready yet may still get the state if its message is already on the way.
        assert!(without_old.settle().successor_listens || !able, "the old one died: {:?}", world.key());
        steps += 1;
        match world.progress().into_iter().next().or_else(|| world.timers().into_iter().next()) {
            Some(next) => world = next,
            None => break,
        }
    }
    assert!(steps > 8 && world.successor_listens && world.predecessor.is_none());
}
