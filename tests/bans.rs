//! Workers that operators have ejected: nothing is sent there until they are restored, and soon after that a
//! job is.

use millrudder::*;

fn settings(replicas: u32) -> Settings {
    let class = Class {
        latency_target: 200.0,
        deadline: 5000.0,
        value: 1.0,
        target_stretch: 2.0,
        ..Class::default()
    };
    Settings {
        replicas,
        classes: vec![class],
        limits: Limits { max_attempts: 3, retry_after: true, max_retry_after: 2000.0, ..Limits::default() },
        rules: Rules {
            warm_up_from: 0.3,
            warm_up: 8000.0,
            overload_multiple: 3.0,
            overload_time: 2000.0,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

fn entry(worker: WorkerId, ready_at: Option<f64>) -> Entry {
    Entry { worker, zone: None, kind: Some(0), cell: 0, mode: Mode::Ready, weight: 1.0, ready_at }
}

struct Script {
    balancer: Balancer,
    now: f64,
    next: u64,
}

impl Script {
    fn new(replicas: u32, workers: u32) -> Self {
        let mut script = Script { balancer: Balancer::new(settings(replicas), 3), now: 1000.0, next: 0 };
        script.list(ListKind::Replace, (0..workers).map(|w| entry(w, None)).collect());
        script
    }

    fn run(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        out
    }

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        self.run(Event::List { kind, entries });
    }

    fn ban(&mut self, worker: WorkerId, on: bool) {
        self.run(Event::Ban { worker, on });
    }

    fn request(&mut self) -> Vec<Action> {
        self.next += 1;
        let deadline = self.now + 5000.0;
        let request = Request { id: self.next, class: Some(0), slots: 1.0, deadline, ..Request::default() };
        self.run(Event::Request(request))
    }

    /// Makes a request every 50 ms for this long, each served before the next. Returns the worker and time of
    /// each send.
    fn serve_requests(&mut self, ms: f64) -> Vec<(WorkerId, f64)> {
        let (end, mut used) = (self.now + ms, Vec::new());
        while self.now < end {
            let sent = self.request().iter().find_map(|a| match a {
                Action::Send { worker, .. } => Some(*worker),
                _ => None,
            });
            let (id, outcome, latency) = (self.next, Outcome::Ok, 50.0);
            if let Some(worker) = sent {
                used.push((worker, self.now));
                self.run(Event::Started { id, attempt: 0 });
            }
            self.now += 50.0;
            let Some(worker) = sent else { continue };
            self.run(Event::Outcome { id, attempt: 0, worker, outcome, latency, closed: true, load: None });
        }
        used
    }
}

fn was_used(used: &[(WorkerId, f64)], worker: WorkerId) -> bool {
    used.iter().any(|u| u.0 == worker)
}

#[test]
fn a_ban_outlives_lists_and_restarts_and_ends_with_one_restore_command() {
    let mut s = Script::new(1, 3);
    assert!(was_used(&s.serve_requests(3000.0), 1));
    s.ban(1, true);
    s.ban(1, true);
    let all = |at| vec![entry(0, None), entry(1, at), entry(2, None)];
    s.list(ListKind::Replace, all(None));
    assert!(!was_used(&s.serve_requests(1000.0), 1), "after a whole list");
    s.list(ListKind::Update, vec![Entry { mode: Mode::Gone, ..entry(1, None) }]);
    s.list(ListKind::Update, vec![entry(1, Some(s.now))]);
    assert!(!was_used(&s.serve_requests(1000.0), 1), "gone, and listed again after a restart");
    s.list(ListKind::Replace, vec![entry(0, None)]);
    s.list(ListKind::Replace, all(Some(s.now)));
    assert!(!was_used(&s.serve_requests(1000.0), 1), "missing from a list for a while");
    s.ban(1, false);
    let used = s.serve_requests(2000.0);
    assert!(was_used(&used, 1), "one restore command is enough: {used:?}");
}

#[test]
fn a_ban_is_kept_by_a_successor() {
    let mut old = Script::new(1, 2);
    old.serve_requests(1000.0);
    old.ban(1, true);
    let mut new = Script::new(1, 2);
    new.now = old.now;
    new.balancer.import(&old.balancer.export()).unwrap();
    assert!(!was_used(&new.serve_requests(2000.0), 1));
    new.ban(1, false);
    assert!(was_used(&new.serve_requests(2000.0), 1));
}

#[test]
fn a_restored_worker_is_used_soon_whatever_its_record() {
    let mut s = Script::new(1, 4);
    s.serve_requests(5000.0);
    for _ in 0..10 {
        // Failed health checks.
        s.run(Event::Probed { worker: 0, outcome: Outcome::Failed, latency: 5.0, load: None });
    }
    s.ban(0, true);
    assert!(!was_used(&s.serve_requests(3000.0), 0));
    s.ban(0, false);
    let used = s.serve_requests(3000.0);
    let first = used.iter().find(|u| u.0 == 0).expect("used within 3 s").1;
    assert!(first < s.now - 1000.0, "{used:?}");
}

#[test]
fn a_restored_worker_counts_as_warming_up_before_any_list_reports_it() {
    // The worker was restarted while it was ejected. It counted as warm, and a burst overloaded it before the
    // list reported the restart.
    let mut s = Script::new(1, 1);
    s.serve_requests(4000.0);
    s.ban(0, true);
    s.serve_requests(2000.0);
    s.ban(0, false);
    let sent = (0..200).filter(|_| s.request().iter().any(|a| matches!(a, Action::Send { .. }))).count();
    assert!(sent <= 2, "{sent} jobs sent at once");
}

#[test]
fn with_all_workers_banned_requests_are_refused_at_once_with_retry_advice() {
    let mut s = Script::new(1, 2);
    s.serve_requests(1000.0);
    s.ban(0, true);
    s.ban(1, true);
    let answers = s.request();
    assert!(
        answers.iter().any(|a| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0.0)),
        "{answers:?}"
    );
}
