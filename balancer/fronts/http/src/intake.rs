//! Validates and routes requests. A refusal names what is wrong with the request.

use millrudder_exchange::counters::Counters;
use millrudder_exchange::intake::{
    find_class, is_figure, is_id, is_plain, is_slots, is_target, Class, JOB_METHOD, JOB_PATH,
    LONGEST_WAIT_MS, TARGET_LIMIT, VALUE_LIMIT,
};
use millrudder_exchange::{ForwardedRequest, Front, Job};
use millrudder_wire::http::{FrameError, Request};
use std::fmt;

/// What a valid request asks for.
#[derive(Debug)]
pub enum RoutedRequest {
    /// `GET /ready`.
    Ready,
    /// `GET /counters`.
    Counters,
    /// A worker's call-back, with its unparsed body.
    CallBack(Vec<u8>),
    /// A client's job.
    Job(Box<Job>),
}

/// Why a request is refused.
#[derive(Debug, PartialEq)]
pub enum Refusal {
    /// The bytes are not an acceptable HTTP/1.1 message.
    Framing(FrameError),
    UnknownPath,
    /// A target with characters that a worker might interpret differently or reject.
    BadTarget,
    /// A target over `TARGET_LIMIT` bytes.
    LongTarget,
    /// The path exists; the text lists its methods.
    WrongMethod(&'static str),
    MissingHeader(&'static str),
    BadHeader(&'static str),
    /// A job with the same id is in progress.
    Repeated,
    /// The request was not complete in time.
    TooSlow,
    /// All inbound connections together have used up the memory for request bytes.
    NoMemory,
    /// The client sent more before its job's answer than the front reads.
    TooMuchPipelined,
}

impl Refusal {
    /// The HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Framing(FrameError::BodyTooLarge) => 413,
            Refusal::Framing(FrameError::HeadTooLarge) => 431,
            Refusal::Framing(FrameError::UnknownCoding) => 501,
            Refusal::UnknownPath => 404,
            Refusal::LongTarget => 414,
            Refusal::WrongMethod(_) => 405,
            Refusal::Repeated => 409,
            Refusal::TooSlow => 408,
            Refusal::NoMemory => 503,
            Refusal::TooMuchPipelined => 413,
            _ => 400,
        }
    }

    /// Counts the refusal under its cause.
    pub fn count(&self, counters: &Counters) {
        match self {
            Refusal::Framing(FrameError::BodyTooLarge | FrameError::HeadTooLarge)
            | Refusal::LongTarget
            | Refusal::TooMuchPipelined => &counters.rejected_too_large,
            Refusal::Framing(_) | Refusal::BadTarget => &counters.rejected_malformed,
            Refusal::UnknownPath | Refusal::WrongMethod(_) => &counters.rejected_unknown,
            Refusal::MissingHeader(_) | Refusal::BadHeader(_) => &counters.rejected_headers,
            Refusal::Repeated => &counters.rejected_repeated,
            Refusal::TooSlow => &counters.rejected_too_slow,
            Refusal::NoMemory => &counters.rejected_no_memory,
        }
        .add();
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Framing(error) => error.fmt(f),
            Refusal::UnknownPath => f.write_str("unknown path"),
            Refusal::BadTarget => f.write_str("malformed target"),
            Refusal::LongTarget => write!(f, "target over {TARGET_LIMIT} bytes"),
            Refusal::WrongMethod(allowed) => write!(f, "wrong method, allowed: {allowed}"),
            Refusal::MissingHeader(name) => write!(f, "header {name} is missing"),
            Refusal::BadHeader(name) => write!(f, "header {name} cannot be read"),
            Refusal::Repeated => f.write_str("a job with this id is under way"),
            Refusal::TooSlow => f.write_str("the request did not come whole in time"),
            Refusal::NoMemory => f.write_str("no memory for this request now"),
            Refusal::TooMuchPipelined => f.write_str("too much was sent before the answer"),
        }
    }
}

const TRACE_ID: &str = "X-Trace-Id";
const CLASS: &str = "X-Qos";
const EXPIRES_IN: &str = "X-Expires-In";
const PROPS: &str = "X-Props";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const CONTENT_TYPE: &str = "Content-Type";

/// Finds what the request asks for. `received_at`: when the request's first byte arrived; `classes`: the job classes of
/// the settings.
pub fn route(request: Request, received_at: f64, classes: &[Class]) -> Result<RoutedRequest, Refusal> {
    match (request.path(), request.method.as_str()) {
        (JOB_PATH, JOB_METHOD) => {
            parse_job(request, received_at, classes).map(|job| RoutedRequest::Job(Box::new(job)))
        }
        ("/_jobs/news", "POST") => Ok(RoutedRequest::CallBack(request.body)),
        ("/ready", "GET") => Ok(RoutedRequest::Ready),
        ("/counters", "GET") => Ok(RoutedRequest::Counters),
        (JOB_PATH | "/_jobs/news", _) => Err(Refusal::WrongMethod("POST")),
        ("/ready" | "/counters", _) => Err(Refusal::WrongMethod("GET")),
        _ => Err(Refusal::UnknownPath),
    }
}

fn parse_job(request: Request, received_at: f64, classes: &[Class]) -> Result<Job, Refusal> {
    match request.target.len() {
        length if length > TARGET_LIMIT => return Err(Refusal::LongTarget),
        _ if !is_target(&request.target) => return Err(Refusal::BadTarget),
        _ => {}
    }
    let headers = &request.headers;
    let single = |name| match headers.all(name).count() {
        0 | 1 => Ok(headers.get(name).filter(|value| !value.is_empty())),
        _ => Err(Refusal::BadHeader(name)),
    };
    let required = |name| single(name)?.ok_or(Refusal::MissingHeader(name));
    let forwarded = |name| match single(name)? {
        Some(value) if value.len() > VALUE_LIMIT || !is_plain(value) => Err(Refusal::BadHeader(name)),
        value => Ok(value.map(str::to_owned)),
    };
    let trace_id = required(TRACE_ID)?.to_owned();
    if !is_id(&trace_id) {
        return Err(Refusal::BadHeader(TRACE_ID));
    }
    // For a class that is not in the settings, neither its priority nor whether it may be retried is known.
    let class = required(CLASS)?;
    let class = find_class(classes, class, received_at).ok_or(Refusal::BadHeader(CLASS))?;
    let expires_in = parse_duration_ms(required(EXPIRES_IN)?).ok_or(Refusal::BadHeader(EXPIRES_IN))?;
    let props = single(PROPS)?.unwrap_or_default();
    let prop = |name| parse_prop(props, name).map_err(|()| Refusal::BadHeader(PROPS));
    let (slots, memory) = (prop("slots")?.unwrap_or(1.0), prop("memory")?.unwrap_or(0.0));
    if !is_slots(slots) {
        return Err(Refusal::BadHeader(PROPS));
    }
    let idempotency_key = forwarded(IDEMPOTENCY_KEY)?;
    if class.keyed && idempotency_key.is_none() {
        return Err(Refusal::MissingHeader(IDEMPOTENCY_KEY));
    }
    let (content_type, class) = (forwarded(CONTENT_TYPE)?, class.name.clone());
    let Request { method, target, body, .. } = request;
    let forwarded = ForwardedRequest { method, target, body, idempotency_key, content_type };
    Ok(Job {
        front: Front::Http,
        trace_id,
        class,
        slots,
        memory,
        deadline: received_at + expires_in,
        forwarded,
    })
}

/// Parses a number and its unit into ms: `480m` is 480 milliseconds, `480u` is 480 microseconds.
fn parse_duration_ms(text: &str) -> Option<f64> {
    let (number, scale) = match text.strip_suffix('m') {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('u')?, 0.001),
    };
    let digits = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value: f64 = number.parse().ok().filter(|_| digits)?;
    (value * scale <= LONGEST_WAIT_MS).then_some(value * scale)
}

/// Parses one number of a list `name=value,name=value`; `None` if it is absent.
fn parse_prop(props: &str, name: &str) -> Result<Option<f64>, ()> {
    let found = props.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| n.trim() == name);
    match found.map(|(_, value)| value.trim().parse::<f64>()) {
        None => Ok(None),
        Some(Ok(value)) if is_figure(value) => Ok(Some(value)),
        Some(_) => Err(()),
    }
}
