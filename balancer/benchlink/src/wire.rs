//! The wire's messages, typed and borrowed, and their translation to and from the module's.

use millrudder as mr;
use serde::de::{Error as _, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::HashMap;
use std::fmt;
use thiserror::Error;

/// A string of the wire: borrowed unless it holds escapes.
enum Text<'a> {
    Borrowed(&'a str),
    Owned(String),
}

impl Text<'_> {
    fn as_str(&self) -> &str {
        match self {
            Text::Borrowed(s) => s,
            Text::Owned(s) => s,
        }
    }
}

impl<'de> Deserialize<'de> for Text<'de> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct V;
        impl<'de> Visitor<'de> for V {
            type Value = Text<'de>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a string")
            }
            fn visit_borrowed_str<E>(self, s: &'de str) -> Result<Self::Value, E> {
                Ok(Text::Borrowed(s))
            }
            fn visit_str<E>(self, s: &str) -> Result<Self::Value, E> {
                Ok(Text::Owned(s.to_owned()))
            }
        }
        d.deserialize_str(V)
    }
}

/// Name to value, as far as this adapter knows the names.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(default)]
struct Gauge {
    rif: Option<f64>,
    q: Option<f64>,
    busy: Option<f64>,
    fail_rate: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

/// One line of a list.
struct Row {
    runner: String,
    locality: String,
    kind: String,
    bay: i64,
    mode: mr::Mode,
    heft: f64,
    ready_at: Option<f64>,
}

enum Message<'a> {
    Hello {
        salt: u64,
        conf: Box<Conf>,
    },
    Sheet {
        number: usize,
        hosts: Vec<Row>,
    },
    Membership {
        scope: mr::ListKind,
        number: Option<usize>,
    },
    Query {
        xid: Text<'a>,
        estimate: Option<f64>,
        kind: Text<'a>,
        cores: Option<f64>,
        account: Option<Account<'a>>,
        opts: u64,
        deadline: f64,
        memory: Option<f64>,
    },
    UnderWay {
        xid: Text<'a>,
        hop: usize,
    },
    Lapsed {
        xid: Text<'a>,
    },
    Wakeup {
        token: u64,
    },
    PingResult {
        verdict: mr::Outcome,
        runner: Text<'a>,
        latency: f64,
        gauge: Option<Gauge>,
    },
    Stop,
    Returned {
        xid: Text<'a>,
        hop: usize,
        verdict: mr::Outcome,
        latency: f64,
        runner: Text<'a>,
        closed: bool,
        gauge: Option<Gauge>,
    },
    Change {
        xid: Text<'a>,
        hop: usize,
        topic: u64,
        x: Option<f64>,
    },
    Other,
}

/// A tenant's name; a number (0) stands for none.
enum Account<'a> {
    Name(Text<'a>),
    None,
}

impl<'de> Deserialize<'de> for Account<'de> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct V;
        impl<'de> Visitor<'de> for V {
            type Value = Account<'de>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a tenant's name or 0")
            }
            fn visit_borrowed_str<E>(self, s: &'de str) -> Result<Self::Value, E> {
                Ok(Account::Name(Text::Borrowed(s)))
            }
            fn visit_str<E>(self, s: &str) -> Result<Self::Value, E> {
                Ok(Account::Name(Text::Owned(s.to_owned())))
            }
            fn visit_u64<E>(self, _: u64) -> Result<Self::Value, E> {
                Ok(Account::None)
            }
        }
        d.deserialize_any(V)
    }
}

/// Reads the next value of a message, naming message and field if it is missing or wrong.
fn field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    message: &str,
    name: &str,
) -> Result<T, A::Error> {
    match seq.next_element() {
        Ok(Some(value)) => Ok(value),
        Ok(None) => Err(A::Error::custom(format_args!("{message}: field {name} is missing"))),
        Err(e) => Err(A::Error::custom(format_args!("{message}: field {name}: {e}"))),
    }
}

/// A value that may be null or left off at the end.
fn optional<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    message: &str,
    name: &str,
) -> Result<Option<T>, A::Error> {
    match seq.next_element::<Option<T>>() {
        Ok(value) => Ok(value.flatten()),
        Err(e) => Err(A::Error::custom(format_args!("{message}: field {name}: {e}"))),
    }
}

/// One of a set of words.
fn word<'de, T, A: SeqAccess<'de>>(
    seq: &mut A,
    message: &str,
    name: &str,
    known: fn(&str) -> Option<T>,
) -> Result<T, A::Error> {
    let text: Text = field(seq, message, name)?;
    known(text.as_str()).ok_or_else(|| {
        A::Error::custom(format_args!("{message}: field {name}: unknown word {:?}", text.as_str()))
    })
}

fn mode(s: &str) -> Option<mr::Mode> {
    Some(match s {
        "ready" => mr::Mode::Ready,
        "draining" => mr::Mode::Draining,
        "gone" => mr::Mode::Gone,
        _ => return None,
    })
}

fn scope(s: &str) -> Option<mr::ListKind> {
    Some(match s {
        "update" => mr::ListKind::Update,
        "replace" => mr::ListKind::Replace,
        "restored" => mr::ListKind::Restored,
        "unavailable" => mr::ListKind::Unavailable,
        _ => return None,
    })
}

fn verdict(s: &str) -> Option<mr::Outcome> {
    Some(match s {
        "Ok" => mr::Outcome::Ok,
        "Failed" => mr::Outcome::Failed,
        "QueueFull" => mr::Outcome::QueueFull,
        "TimedOut" => mr::Outcome::TimedOut,
        "ConnectError" => mr::Outcome::ConnectError,
        "ResetByPeer" => mr::Outcome::ResetByPeer,
        "Canceled" => mr::Outcome::Canceled,
        "Ignored" => mr::Outcome::Ignored,
        _ => return None,
    })
}

impl<'de> Deserialize<'de> for Row {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct V;
        impl<'de> Visitor<'de> for V {
            type Value = Row;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a line of a list")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                const M: &str = "SHEET entry";
                let row = Row {
                    runner: field(&mut seq, M, "runner")?,
                    locality: field(&mut seq, M, "locality")?,
                    kind: field(&mut seq, M, "class_of_host")?,
                    bay: field(&mut seq, M, "bay")?,
                    mode: word(&mut seq, M, "mode", mode)?,
                    heft: optional(&mut seq, M, "heft")?.unwrap_or(1.0),
                    ready_at: optional(&mut seq, M, "ready_at")?.filter(|t| *t != 0.0),
                };
                while seq.next_element::<IgnoredAny>()?.is_some() {}
                Ok(row)
            }
        }
        d.deserialize_seq(V)
    }
}

/// A message with the instance it is for.
struct Addressed<'a> {
    instance: u64,
    message: Message<'a>,
}

impl<'de> Deserialize<'de> for Addressed<'de> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct V;
        impl<'de> Visitor<'de> for V {
            type Value = Addressed<'de>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a message: an array that begins with its name")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut s: A) -> Result<Self::Value, A::Error> {
                let name: Text = field(&mut s, "message", "name")?;
                let m = name.as_str();
                let known = matches!(
                    m,
                    "HELLO"
                        | "MEMBERSHIP"
                        | "QUERY"
                        | "UNDER_WAY"
                        | "LAPSED"
                        | "WAKEUP"
                        | "PING_RESULT"
                        | "STOP"
                        | "RETURNED"
                        | "CHANGE"
                );
                let instance = if known { field(&mut s, m, "dispatcher")? } else { 0 };
                let s = &mut s;
                let message = match m {
                    "HELLO" => {
                        Message::Hello { salt: field(s, m, "salt")?, conf: Box::new(field(s, m, "conf")?) }
                    }
                    "SHEET" => Message::Sheet { number: field(s, m, "ref")?, hosts: field(s, m, "hosts")? },
                    "MEMBERSHIP" => {
                        let scope = word(s, m, "scope", scope)?;
                        let _: Option<IgnoredAny> = optional(s, m, "index")?;
                        Message::Membership { scope, number: optional(s, m, "ref")? }
                    }
                    "QUERY" => {
                        let (xid, estimate) = (field(s, m, "xid")?, optional(s, m, "estimate")?);
                        let (kind, cores) = (field(s, m, "kind")?, optional(s, m, "cores_needed")?);
                        let account = optional(s, m, "account")?;
                        let _: Option<IgnoredAny> = optional(s, m, "resource")?;
                        let opts = optional(s, m, "opts")?.unwrap_or(0);
                        let deadline = field(s, m, "client_deadline")?;
                        let memory = optional(s, m, "memory")?;
                        Message::Query { xid, estimate, kind, cores, account, opts, deadline, memory }
                    }
                    "UNDER_WAY" => Message::UnderWay { xid: field(s, m, "xid")?, hop: field(s, m, "hop")? },
                    "LAPSED" => Message::Lapsed { xid: field(s, m, "xid")? },
                    "WAKEUP" => Message::Wakeup { token: field(s, m, "key_back")? },
                    "PING_RESULT" => Message::PingResult {
                        verdict: word(s, m, "verdict", verdict)?,
                        runner: field(s, m, "runner")?,
                        latency: field(s, m, "latency")?,
                        gauge: optional(s, m, "gauge")?,
                    },
                    "STOP" => Message::Stop,
                    "RETURNED" => {
                        let xid = field(s, m, "xid")?;
                        let _: Option<IgnoredAny> = optional(s, m, "info")?;
                        Message::Returned {
                            xid,
                            hop: field(s, m, "hop")?,
                            verdict: word(s, m, "verdict", verdict)?,
                            latency: field(s, m, "latency")?,
                            runner: field(s, m, "runner")?,
                            closed: field(s, m, "closed")?,
                            gauge: optional(s, m, "gauge")?,
                        }
                    }
                    "CHANGE" => {
                        let (xid, hop) = (field(s, m, "xid")?, field(s, m, "hop")?);
                        let _: Option<IgnoredAny> = optional(s, m, "runner")?;
                        Message::Change { xid, hop, topic: field(s, m, "topic")?, x: optional(s, m, "x")? }
                    }
                    _ => Message::Other,
                };
                while s.next_element::<IgnoredAny>()?.is_some() {}
                Ok(Addressed { instance, message })
            }
        }
        d.deserialize_seq(V)
    }
}

#[derive(Deserialize)]
#[serde(bound(deserialize = "'a: 'de"))]
struct Batch<'a> {
    sim_time: f64,
    #[serde(borrow)]
    inbox: Vec<Addressed<'a>>,
}

// ---- the settings ----

#[derive(Deserialize, Default)]
#[serde(default)]
struct Lane {
    name: String,
    aim: f64,
    aim_stretch: Option<f64>,
    hard_limit: f64,
    worth: f64,
    late_worth: f64,
    effect: String,
    dedup_scope: String,
    window: f64,
    stream: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Fees {
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
    probe: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Permissions {
    max_attempts: usize,
    parallel_tries: bool,
    probing: bool,
    may_cancel: bool,
    retry_after: bool,
    max_retry_after: f64,
    connect_timeout: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RuleFigures {
    answer_slack: f64,
    ask_within: f64,
    stop_sending_within: f64,
    drain_close: f64,
    dropped_stay_open: bool,
    cold_from: f64,
    cold: f64,
    tip_multiple: f64,
    tip_after: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Specifics {
    class_kind: Vec<i64>,
    class_priority: Vec<i64>,
    class_stretch: Vec<f64>,
    progress: f64,
    tells_start: bool,
    queue_order: String,
    report_x0: String,
    report_x1: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Goal {
    kept_promises: f64,
    borne_misses: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Reporting {
    how: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TenantConf {
    name: String,
    quota_per_s: f64,
    share: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Conf {
    me: u32,
    replicas_of_me: u32,
    zone: Option<String>,
    failure_domains: Vec<String>,
    kinds: Vec<String>,
    period: f64,
    registry_mode: String,
    lanes: Vec<Lane>,
    tenants: Vec<TenantConf>,
    over_share_worth: f64,
    counted_by: String,
    goal: Goal,
    fees: Fees,
    permissions: Permissions,
    rules: RuleFigures,
    specifics: Specifics,
    reporting: Reporting,
}

impl Conf {
    fn settings(&self) -> mr::Settings {
        let specifics = &self.specifics;
        let classes = self.lanes.iter().enumerate().map(|(i, lane)| mr::Class {
            latency_target: lane.aim,
            target_stretch: lane.aim_stretch.or(specifics.class_stretch.get(i).copied()).unwrap_or(0.0),
            deadline: lane.hard_limit,
            value: lane.worth,
            late_value: lane.late_worth,
            effect: match lane.effect.as_str() {
                "idempotent" => mr::Effect::Idempotent,
                "deduplicated" => mr::Effect::Deduplicated,
                _ => mr::Effect::AtMostOnce,
            },
            dedup_scope: match lane.dedup_scope.as_str() {
                "all" => mr::DedupScope::All,
                "zone" => mr::DedupScope::Zone,
                _ => mr::DedupScope::Cell,
            },
            dedup_window: lane.window,
            stream: lane.stream,
            kind: specifics.class_kind.get(i).and_then(|k| u32::try_from(*k).ok()),
            priority: specifics.class_priority.get(i).copied().unwrap_or(0),
        });
        let tenants =
            self.tenants.iter().map(|t| mr::Tenant { quota_per_s: t.quota_per_s, share: t.share }).collect();
        let (p, r) = (&self.permissions, &self.rules);
        mr::Settings {
            instance: self.me,
            replicas: self.replicas_of_me,
            zone: self.zone.as_deref().and_then(|z| position(&self.failure_domains, z)),
            zones: self.failure_domains.len() as u32,
            period: self.period,
            list_by_call: self.registry_mode == "ask",
            classes: classes.collect(),
            tenants,
            over_quota_value: self.over_share_worth,
            value_by_work: self.counted_by == "work",
            reports_starts: specifics.tells_start,
            fifo: specifics.queue_order == "fifo",
            progress_interval: specifics.progress,
            load_reports: self.reporting.how == "piggyback",
            promise_weight: self.goal.kept_promises,
            tolerated_misses: self.goal.borne_misses,
            prices: mr::Prices {
                cross_zone: self.fees.cross_zone,
                waste: self.fees.waste,
                late_fail: self.fees.late_fail,
                probe: self.fees.probe,
                handshake: self.fees.handshake,
            },
            limits: mr::Limits {
                max_attempts: p.max_attempts,
                hedging: p.parallel_tries,
                probes: p.probing,
                cancel: p.may_cancel,
                retry_after: p.retry_after,
                max_retry_after: p.max_retry_after,
                connect_timeout: p.connect_timeout,
            },
            rules: mr::Rules {
                answer_slack: r.answer_slack,
                list_interval: r.ask_within,
                drain_grace: r.stop_sending_within,
                drain_close: r.drain_close,
                unlisted_stay_open: r.dropped_stay_open,
                warm_up_from: r.cold_from,
                warm_up: r.cold,
                overload_multiple: r.tip_multiple,
                overload_time: r.tip_after,
            },
        }
    }

    fn load(&self, gauge: Gauge) -> mr::Load {
        let meaning = |what: &str| match () {
            () if self.specifics.report_x0 == what => gauge.x0,
            () if self.specifics.report_x1 == what => gauge.x1,
            () => None,
        };
        mr::Load {
            in_flight: gauge.rif,
            queue: gauge.q,
            busy: gauge.busy,
            errors_per_s: gauge.fail_rate,
            free_slots: meaning("free slots"),
            free_memory: meaning("free memory"),
        }
    }
}

fn position(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|n| n == name).and_then(|i| u32::try_from(i).ok())
}

// ---- the instances ----

/// A request whose id the wire may still name.
struct Open {
    id: u64,
    out: usize,
    ended: bool,
}

struct Instance {
    conf: Box<Conf>,
    balancer: mr::Balancer,
    open: HashMap<String, Open>,
    names: HashMap<u64, String>,
    next: u64,
    workers: HashMap<String, u32>,
    worker_names: Vec<String>,
}

/// All instances that this process hosts, and the numbered lists they refer to.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u64, Instance>,
    sheets: [Option<Vec<Row>>; 16],
    actions: Vec<mr::Action>,
}

/// Why a line of the simulator cannot be answered.
#[derive(Debug, Error)]
pub enum BatchError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("field sim_time: not a finite number")]
    Time,
    #[error("SHEET: field ref: {number} is above 15")]
    SheetNumber { number: usize },
    #[error("MEMBERSHIP: field ref: no such SHEET yet")]
    NoSuchSheet,
}

impl Host {
    /// Answers one line.
    ///
    /// # Errors
    /// [`BatchError`]: the line cannot be understood.
    pub fn batch(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<(), BatchError> {
        let batch: Batch = serde_json::from_str(line)?;
        if !batch.sim_time.is_finite() {
            return Err(BatchError::Time);
        }
        reply.extend_from_slice(b"{\"outbox\":[");
        for Addressed { instance, message } in batch.inbox {
            match message {
                Message::Sheet { number, hosts } => {
                    let slot = self.sheets.get_mut(number);
                    *slot.ok_or(BatchError::SheetNumber { number })? = Some(hosts);
                }
                Message::Hello { salt, conf } => {
                    let balancer = mr::Balancer::new(conf.settings(), salt);
                    let fresh = Instance {
                        conf,
                        balancer,
                        open: HashMap::new(),
                        names: HashMap::new(),
                        next: 0,
                        workers: HashMap::new(),
                        worker_names: Vec::new(),
                    };
                    self.instances.insert(instance, fresh);
                }
                Message::Stop => {
                    self.instances.remove(&instance);
                }
                Message::Other => {}
                message => {
                    let Some(target) = self.instances.get_mut(&instance) else { continue };
                    let Some(event) = target.event(message, &self.sheets)? else { continue };
                    self.actions.clear();
                    target.balancer.handle(batch.sim_time, event, &mut self.actions);
                    for action in &self.actions {
                        target.write(instance, action, reply)?;
                    }
                }
            }
        }
        if reply.last() == Some(&b',') {
            reply.pop();
        }
        reply.extend_from_slice(b"]}\n");
        Ok(())
    }
}

impl Instance {
    /// The module's event for a message; none if it names a request that is over.
    fn event(
        &mut self,
        message: Message,
        sheets: &[Option<Vec<Row>>; 16],
    ) -> Result<Option<mr::Event>, BatchError> {
        Ok(Some(match message {
            Message::Membership { scope: kind, number } => {
                let entries = if kind == mr::ListKind::Unavailable {
                    Vec::new()
                } else {
                    let sheet = number.and_then(|n| sheets.get(n)).and_then(|s| s.as_ref());
                    let rows = sheet.ok_or(BatchError::NoSuchSheet)?;
                    rows.iter().map(|row| self.entry(row)).collect()
                };
                mr::Event::List { kind, entries }
            }
            Message::Query { xid, estimate, kind, cores, account, opts, deadline, memory } => {
                let id = self.next;
                self.next += 1;
                self.open.insert(xid.as_str().to_owned(), Open { id, out: 0, ended: false });
                self.names.insert(id, xid.as_str().to_owned());
                let tenant = match &account {
                    Some(Account::Name(name)) => {
                        self.conf.tenants.iter().position(|t| t.name == name.as_str())
                    }
                    _ => None,
                };
                mr::Event::Request(mr::Request {
                    id,
                    class: self.conf.lanes.iter().position(|l| l.name == kind.as_str()),
                    hint: estimate.filter(|_| opts & 1 == 1),
                    slots: cores.unwrap_or(1.0),
                    memory: memory.unwrap_or(0.0),
                    tenant,
                    deadline,
                })
            }
            Message::UnderWay { xid, hop } => {
                let Some(open) = self.open.get(xid.as_str()) else { return Ok(None) };
                mr::Event::AnswerStarted { id: open.id, attempt: hop }
            }
            Message::Lapsed { xid } => {
                let Some(open) = self.open.get_mut(xid.as_str()) else { return Ok(None) };
                open.ended = true;
                let id = open.id;
                self.forget(xid.as_str());
                mr::Event::Lapsed { id }
            }
            Message::Wakeup { token } => mr::Event::Timer { token },
            Message::PingResult { verdict, runner, latency, gauge } => {
                let Some(worker) = self.workers.get(runner.as_str()) else { return Ok(None) };
                let load = gauge.map(|g| self.conf.load(g));
                mr::Event::Probed { worker: *worker, outcome: verdict, latency, load }
            }
            Message::Returned { xid, hop, verdict, latency, runner, closed, gauge } => {
                let Some(open) = self.open.get_mut(xid.as_str()) else { return Ok(None) };
                open.out = open.out.saturating_sub(1);
                open.ended |= closed;
                let id = open.id;
                self.forget(xid.as_str());
                let Some(worker) = self.workers.get(runner.as_str()) else { return Ok(None) };
                mr::Event::Outcome {
                    id,
                    attempt: hop,
                    worker: *worker,
                    outcome: verdict,
                    latency,
                    closed,
                    load: gauge.map(|g| self.conf.load(g)),
                }
            }
            Message::Change { xid, hop, topic, x } => {
                let Some(open) = self.open.get(xid.as_str()) else { return Ok(None) };
                match topic {
                    1 => mr::Event::Started { id: open.id, attempt: hop },
                    2 => mr::Event::Progress { id: open.id, attempt: hop, share: x.unwrap_or(0.0) },
                    _ => return Ok(None),
                }
            }
            Message::Hello { .. } | Message::Sheet { .. } | Message::Stop | Message::Other => {
                return Ok(None)
            }
        }))
    }

    fn entry(&mut self, row: &Row) -> mr::Entry {
        let name = row.runner.as_str();
        let worker = match self.workers.get(name) {
            Some(worker) => *worker,
            None => {
                let worker = self.worker_names.len() as u32;
                self.worker_names.push(name.to_owned());
                self.workers.insert(name.to_owned(), worker);
                worker
            }
        };
        mr::Entry {
            worker,
            zone: position(&self.conf.failure_domains, row.locality.as_str()),
            kind: position(&self.conf.kinds, row.kind.as_str()),
            cell: row.bay,
            mode: row.mode,
            weight: row.heft,
            ready_at: row.ready_at,
        }
    }

    /// Drops a request's name once it is over and nothing of it is out.
    fn forget(&mut self, xid: &str) {
        if self.open.get(xid).is_some_and(|o| o.ended && o.out == 0) {
            if let Some(open) = self.open.remove(xid) {
                self.names.remove(&open.id);
            }
        }
    }

    fn write(&mut self, me: u64, action: &mr::Action, reply: &mut Vec<u8>) -> serde_json::Result<()> {
        let (mr::Action::Send { id, .. }
        | mr::Action::Refuse { id, .. }
        | mr::Action::Fail { id }
        | mr::Action::Cancel { id, .. }) = action
        else {
            match action {
                mr::Action::Probe { worker } => serde_json::to_writer(
                    &mut *reply,
                    &("SOUND_OUT", me, &self.worker_names[*worker as usize]),
                )?,
                mr::Action::CloseIdleConnections { worker } => serde_json::to_writer(
                    &mut *reply,
                    &("RELEASE", me, &self.worker_names[*worker as usize]),
                )?,
                mr::Action::Timer { token, delay } => {
                    serde_json::to_writer(&mut *reply, &("ARM", me, token, delay))?
                }
                mr::Action::Watch => serde_json::to_writer(&mut *reply, &("TAIL", me, true))?,
                _ => serde_json::to_writer(&mut *reply, &("LIST_ALL", me))?,
            }
            reply.push(b',');
            return Ok(());
        };
        let Some(xid) = self.names.get(id) else { return Ok(()) };
        let ended = match action {
            mr::Action::Send { worker, timeout, .. } => {
                let runner = &self.worker_names[*worker as usize];
                serde_json::to_writer(&mut *reply, &("ROUTE", me, xid, runner, timeout))?;
                if let Some(open) = self.open.get_mut(xid) {
                    open.out += 1;
                }
                false
            }
            mr::Action::Refuse { retry_after, .. } => {
                serde_json::to_writer(&mut *reply, &("BUSY", me, xid, retry_after))?;
                true
            }
            mr::Action::Cancel { attempt, .. } => {
                serde_json::to_writer(&mut *reply, &("RETRACT", me, xid, attempt))?;
                false
            }
            _ => {
                serde_json::to_writer(&mut *reply, &("REPORT_FAILURE", me, xid))?;
                true
            }
        };
        reply.push(b',');
        if ended {
            let xid = xid.clone();
            if let Some(open) = self.open.get_mut(&xid) {
                open.ended = true;
            }
            self.forget(&xid);
        }
        Ok(())
    }
}
