//! Every order of events: messages late, lost, doubled, timers at any time, either side dying, stopping or unable.
//! In each reachable state at most one process accepts, and from each, once faults end, exactly one of those alive.

use millrudder_handover::{Action, Event, Giver, GiverPhase, Limits, Message, State, Taker, TakerPhase};
use std::collections::{BTreeMap, HashSet, VecDeque};

const JOB: &str = "old-1";

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Work {
    Check,
    Load,
}

#[derive(Clone)]
struct World {
    giver: Option<Giver>,
    taker: Option<Taker>,
    to_giver: Vec<Message>,
    to_taker: Vec<Message>,
    work: Option<Work>,
    giver_listens: bool,
    taker_listens: bool,
    /// Deaths not yet noticed by the other side, and a kill that is under way.
    giver_dead: bool,
    taker_dead: bool,
    killing: bool,
    /// The platform leads.
    platform: bool,
    /// Faults still to come.
    losses: u8,
    doubles: u8,
    deaths: u8,
    stops: u8,
}

type Key =
    (Option<GiverPhase>, Option<TakerPhase>, Vec<String>, Vec<String>, [bool; 5], Option<Work>, [u8; 4]);

fn name(message: &Message) -> String {
    // What a reason says does not matter.
    match message {
        Message::Abort { .. } => "Abort".to_owned(),
        other => format!("{other:?}"),
    }
}

impl World {
    fn new(losses: u8, doubles: u8, deaths: u8, stops: u8) -> Self {
        World::led(Limits::default(), losses, doubles, deaths, stops)
    }

    fn led(limits: Limits, losses: u8, doubles: u8, deaths: u8, stops: u8) -> Self {
        let mut giver = Giver::new(limits, State::default(), 0.0);
        giver.set_under_way(vec![JOB.to_owned()]);
        let mut out = Vec::new();
        let taker = Taker::new(limits, "new", 0.0, &mut out);
        let mut world = World {
            platform: limits.platform,
            giver: Some(giver),
            taker: Some(taker),
            to_giver: Vec::new(),
            to_taker: Vec::new(),
            work: None,
            giver_listens: true,
            taker_listens: false,
            giver_dead: false,
            taker_dead: false,
            killing: false,
            losses,
            doubles,
            deaths,
            stops,
        };
        world.by_taker(out);
        world
    }

    fn key(&self) -> Key {
        let names = |messages: &[Message]| {
            let mut names: Vec<String> = messages.iter().map(name).collect();
            names.sort();
            names
        };
        let flags = [self.giver_listens, self.taker_listens, self.giver_dead, self.taker_dead, self.killing];
        (
            self.giver.as_ref().map(Giver::phase),
            self.taker.as_ref().map(Taker::phase),
            names(&self.to_giver),
            names(&self.to_taker),
            flags,
            self.work,
            [self.losses, self.doubles, self.deaths, self.stops],
        )
    }

    fn by_giver(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => self.to_taker.push(message),
                Action::Accept => {
                    assert!(!self.giver_listens);
                    self.giver_listens = true;
                }
                Action::StopAccepting => self.giver_listens = false,
                Action::KillPeer => self.killing = self.taker.is_some(),
                Action::Exit(_) => self.giver_dies(),
                _ => {}
            }
            self.check();
        }
    }

    fn by_taker(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => self.to_giver.push(message),
                Action::Accept => self.taker_listens = true,
                Action::StopAccepting => self.taker_listens = false,
                Action::Check => self.work = Some(Work::Check),
                Action::Load => self.work = Some(Work::Load),
                Action::Exit(_) => self.taker_dies(),
                _ => {}
            }
            self.check();
        }
    }

    fn giver_dies(&mut self) {
        if self.giver.take().is_some() {
            (self.giver_listens, self.giver_dead) = (false, true);
        }
    }

    fn taker_dies(&mut self) {
        if self.taker.take().is_some() {
            (self.taker_listens, self.taker_dead, self.killing, self.work) = (false, true, false, None);
        }
    }

    fn check(&self) {
        let both = self.giver_listens && self.taker_listens;
        assert!(!both || self.platform, "two accept: {:?}", self.key());
        assert!(!(self.platform && self.killing), "nobody is killed: {:?}", self.key());
    }

    /// After each step: what the machines believe is what the sockets do, and the taker that accepts beside a living
    /// giver knows whose job is whose.
    fn check_whole(&self) {
        self.check();
        assert_eq!(self.giver.as_ref().is_some_and(Giver::accepts), self.giver_listens, "{:?}", self.key());
        assert_eq!(self.taker.as_ref().is_some_and(Taker::accepts), self.taker_listens, "{:?}", self.key());
        if let (Some(_), Some(taker), false) = (&self.giver, &self.taker, self.giver_dead) {
            assert!(
                !taker.accepts() || taker.is_elsewhere(JOB) || self.platform,
                "a job with no owner known: {:?}",
                self.key()
            );
        }
    }

    fn tell_giver(&self, event: Event) -> World {
        let mut next = self.clone();
        let mut out = Vec::new();
        next.giver.as_mut().into_iter().for_each(|giver| giver.handle(event.clone(), 0.0, &mut out));
        next.by_giver(out);
        next
    }

    fn tell_taker(&self, event: Event) -> World {
        let mut next = self.clone();
        let mut out = Vec::new();
        next.taker.as_mut().into_iter().for_each(|taker| taker.handle(event.clone(), 0.0, &mut out));
        next.by_taker(out);
        next
    }

    fn works(&self, event: Event) -> World {
        let mut next = self.clone();
        next.work = None;
        next.tell_taker(event)
    }

    /// What comes without any further fault, in some order.
    fn progress(&self) -> Vec<World> {
        let mut next = Vec::new();
        for (i, message) in self.to_giver.iter().enumerate() {
            let mut world = self.clone();
            world.to_giver.remove(i);
            next.push(world.tell_giver(Event::Message(message.clone())));
        }
        for (i, message) in self.to_taker.iter().enumerate() {
            let mut world = self.clone();
            world.to_taker.remove(i);
            next.push(world.tell_taker(Event::Message(message.clone())));
        }
        match self.work {
            Some(Work::Check) => next.push(self.works(Event::Checked)),
            Some(Work::Load) => next.push(self.works(Event::Loaded)),
            None => {}
        }
        if self.killing {
            let mut world = self.clone();
            world.taker_dies();
            next.push(world);
        }
        if self.giver_dead && self.taker.is_some() {
            let mut world = self.clone();
            world.giver_dead = false;
            next.push(world.tell_taker(Event::PeerDied));
        }
        if self.taker_dead && self.giver.is_some() {
            let mut world = self.clone();
            world.taker_dead = false;
            next.push(world.tell_giver(Event::PeerDied));
        }
        if self.giver.as_ref().is_some_and(|g| g.phase() == GiverPhase::Draining) {
            next.push(self.tell_giver(Event::Idle));
        }
        if self.taker.as_ref().is_some_and(|t| t.phase() == TakerPhase::Draining) {
            next.push(self.tell_taker(Event::Idle));
        }
        next
    }

    /// Timers may come at any time.
    fn timers(&self) -> Vec<World> {
        let mut next = Vec::new();
        if self.giver.as_ref().is_some_and(|g| g.deadline().is_finite()) {
            let (mut world, mut out) = (self.clone(), Vec::new());
            world.giver.as_mut().into_iter().for_each(|giver| giver.expire(0.0, &mut out));
            world.by_giver(out);
            next.push(world);
        }
        if self.taker.as_ref().is_some_and(|t| t.deadline().is_finite()) {
            let (mut world, mut out) = (self.clone(), Vec::new());
            world.taker.as_mut().into_iter().for_each(|taker| taker.expire(0.0, &mut out));
            world.by_taker(out);
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
        for i in (0..self.to_giver.len()).filter(|_| self.losses > 0) {
            next.push(change(&|w| {
                w.losses -= 1;
                w.to_giver.remove(i);
            }));
        }
        for i in (0..self.to_taker.len()).filter(|_| self.losses > 0) {
            next.push(change(&|w| {
                w.losses -= 1;
                w.to_taker.remove(i);
            }));
        }
        for i in (0..self.to_giver.len()).filter(|_| self.doubles > 0) {
            next.push(change(&|w| {
                w.doubles -= 1;
                w.to_giver.push(w.to_giver[i].clone());
            }));
        }
        for i in (0..self.to_taker.len()).filter(|_| self.doubles > 0) {
            next.push(change(&|w| {
                w.doubles -= 1;
                w.to_taker.push(w.to_taker[i].clone());
            }));
        }
        if self.deaths > 0 {
            next.push(change(&|w| {
                w.deaths -= 1;
                w.giver_dies();
            }));
            next.push(change(&|w| {
                w.deaths -= 1;
                w.taker_dies();
            }));
        }
        if self.stops > 0 {
            let world = change(&|w| w.stops -= 1);
            next.push(world.tell_giver(Event::Stop));
            next.push(world.tell_taker(Event::Stop));
        }
        if self.work.is_some() {
            next.push(self.works(Event::Unable("no memory".to_owned())));
        }
        next
    }

    /// Once faults end: everything on its way arrives, then timers run out, until nothing changes.
    fn settle(mut self) -> World {
        for _ in 0..200 {
            let next = self.progress().into_iter().next().or_else(|| self.timers().into_iter().next());
            match next {
                Some(next) => self = next,
                None => return self,
            }
        }
        panic!("it does not come to rest: {:?}", self.key());
    }
}

/// Searches everything reachable; gives how many states that are.
fn search(start: World) -> (usize, BTreeMap<&'static str, usize>) {
    let (mut seen, mut queue) = (HashSet::from([start.key()]), VecDeque::from([start]));
    let mut ends = BTreeMap::new();
    while let Some(world) = queue.pop_front() {
        world.check_whole();
        let end = world.clone().settle();
        let alive = usize::from(end.giver.is_some()) + usize::from(end.taker.is_some());
        let listening = usize::from(end.giver_listens) + usize::from(end.taker_listens);
        let right = listening == alive.min(1) || world.platform && listening == alive;
        assert!(right, "{:?} ends as {:?}", world.key(), end.key());
        *ends
            .entry(match (end.giver_listens, end.taker_listens) {
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
fn without_faults_the_place_passes_and_only_then_the_old_one_ends() {
    let mut world = World::new(0, 0, 0, 0);
    while let Some(next) = world.progress().into_iter().next() {
        world = next;
    }
    let giver = world.giver.as_ref().unwrap();
    assert_eq!((giver.phase(), world.taker_listens), (GiverPhase::Probation, true));
    // A taker that answers with errors of its own does not pass probation.
    let bad = millrudder_handover::Probation { served: 10, failed: 10 };
    let back = world.tell_giver(Event::Message(Message::Report(bad))).settle();
    assert!(back.giver_listens && back.giver.unwrap().reason().contains("10 of its first 20"));
    let end = world.settle();
    assert!(end.giver.is_none() && end.taker_listens);
}

#[test]
fn under_the_platform_each_process_alive_serves_in_the_end_and_the_new_one_never_ends_by_itself() {
    let limits = Limits::platform();
    for world in [(2, 1, 0, 0), (1, 0, 1, 1)] {
        let (states, ends) = search(World::led(limits, world.0, world.1, world.2, world.3));
        assert!(states > 300, "{states} {ends:?}");
    }
    let end = World::led(limits, 0, 0, 0, 0).settle();
    assert!(end.giver.is_none() && end.taker_listens, "without faults the place passes");
    let mut silent = World::led(limits, 0, 0, 0, 0);
    silent.to_giver.clear();
    silent.giver_dies();
    silent.giver_dead = false;
    let alone = silent.settle();
    assert!(alone.taker_listens, "a giver that says nothing leaves the new one alone");
}

#[test]
fn an_incompatible_version_is_refused_before_anything_is_given_away() {
    for (version, least) in [(0, 0), (9, 9)] {
        let mut giver = Giver::new(Limits::default(), State::default(), 0.0);
        let mut out = Vec::new();
        let hello = Message::Hello { version, least, program: "x".to_owned() };
        giver.handle(Event::Message(hello), 1.0, &mut out);
        assert!(
            giver.accepts() && giver.phase() == GiverPhase::FellBack && giver.reason().contains("version")
        );
        assert!(!out.iter().any(|a| matches!(a, Action::SendState | Action::StopAccepting)));
    }
    // A newer one that still speaks ours is let in.
    let mut giver = Giver::new(Limits::default(), State::default(), 0.0);
    let hello = Message::Hello { version: 9, least: 1, program: "x".to_owned() };
    giver.handle(Event::Message(hello), 1.0, &mut Vec::new());
    assert_eq!(giver.phase(), GiverPhase::Offered);
}

#[test]
fn every_step_has_its_time_limit() {
    let limits = Limits::default();
    let mut giver = Giver::new(limits, State::default(), 100.0);
    assert_eq!(giver.deadline(), 100.0 + limits.start);
    let hello = Message::Hello { version: 1, least: 1, program: "x".to_owned() };
    for (message, limit) in [
        (hello, limits.start),
        (Message::Checked, limits.load),
        (Message::Ready, limits.commit),
        (Message::Committed, limits.probation),
    ] {
        giver.handle(Event::Message(message), 200.0, &mut Vec::new());
        assert_eq!(giver.deadline(), 200.0 + limit, "{:?}", giver.phase());
    }
    let mut out = Vec::new();
    giver.expire(300.0, &mut out);
    assert_eq!((giver.phase(), giver.deadline()), (GiverPhase::Draining, 300.0 + limits.drain));
    assert_eq!(out[1], Action::Send(Message::Confirm));
}

#[test]
fn one_death_on_the_way_leaves_whoever_can_serve_serving() {
    let mut world = World::new(0, 0, 0, 0);
    let mut steps = 0;
    loop {
        let mut without_new = world.clone();
        without_new.taker_dies();
        let old = without_new.settle();
        assert!(old.giver_listens || world.giver.is_none(), "the new one died: {:?}", world.key());
        let ready = [TakerPhase::Ready, TakerPhase::Serving, TakerPhase::Draining];
        let able = world.taker.as_ref().is_some_and(|taker| ready.contains(&taker.phase()));
        let mut without_old = world.clone();
        without_old.giver_dies();
        // With the state on its way it may yet get there, too.
        assert!(without_old.settle().taker_listens || !able, "the old one died: {:?}", world.key());
        steps += 1;
        match world.progress().into_iter().next().or_else(|| world.timers().into_iter().next()) {
            Some(next) => world = next,
            None => break,
        }
    }
    assert!(steps > 8 && world.taker_listens && world.giver.is_none());
}
