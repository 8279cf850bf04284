//! One request to a worker and its response: a delivery attempt, a cancel or a health probe.

use super::pool::{AcquireError, Connection};
use super::{RequestControl, Shared, WorkerEndpoint};
use millrudder_exchange::clock::span;
use millrudder_exchange::{AttemptEnd, AttemptId, Job, Message};
use millrudder_wire::http::{self, Response};
use millrudder_wire::report;
use millrudder_wire::round_trip::{self, RoundTripError};
use std::sync::atomic::Ordering;

/// How long the answer to a probe or a cancel is waited for (ms).
const SHORT_REQUEST_TIMEOUT_MS: f64 = 1_000.0;

/// How long after a failure a cancel that the worker must confirm is sent again (ms).
const CANCEL_RETRY_INTERVAL_MS: f64 = 100.0;

/// Makes a delivery attempt, up to its 202 or its end. Never sends the job a second time: whether it may be
/// retried is for the decision module.
pub(super) fn deliver(
    shared: &Shared,
    attempt: AttemptId,
    worker: &WorkerEndpoint,
    job: &Job,
    expires_at: f64,
    control: &RequestControl,
) {
    let request = || job_request(worker, job, expires_at - shared.clock.now());
    let result = send_request(shared, worker, request, control);
    if control.is_given_up() {
        let (accepted, until_confirmed) =
            (control.accepted.load(Ordering::Acquire), control.until_confirmed.load(Ordering::Acquire));
        return match result {
            Ok(Response { status: 202, .. }) => send_cancel(shared, attempt, worker, job, until_confirmed),
            Err(AttemptEnd::Reset | AttemptEnd::Silent) if accepted => {
                send_cancel(shared, attempt, worker, job, until_confirmed)
            }
            // A 202 may have been lost. To a worker that has sent one, closing the connection is not a
            // cancel.
            Err(AttemptEnd::Silent) if until_confirmed => {
                send_cancel(shared, attempt, worker, job, until_confirmed)
            }
            // The attempt ended by itself, was never written, or was cancelled by closing its connection.
            _ => shared.exchange.send(Message::CancelFinished { attempt }),
        };
    }
    shared.exchange.send(match result {
        Ok(response) => message_for_response(attempt, &response),
        Err(end) => Message::Ended { attempt, end, load: None },
    });
}

/// What a response to a job means by the protocol.
fn message_for_response(attempt: AttemptId, response: &Response) -> Message {
    let load = report::of_response(response);
    let never_ran = response.headers.get("x-never-ran") == Some("1");
    match response.status {
        202 => Message::Accepted { attempt },
        503 | 504 if never_ran => Message::Ended { attempt, end: AttemptEnd::NeverRan, load },
        400..=499 => Message::Ended { attempt, end: AttemptEnd::Refused, load },
        // Any other status does not prove that the job did not run.
        _ => Message::Ended { attempt, end: AttemptEnd::Failed, load },
    }
}

/// The request that carries a job. `X-Expires-In` gives the remaining time in microseconds.
fn job_request(worker: &WorkerEndpoint, job: &Job, remaining_ms: f64) -> Vec<u8> {
    let expires = format!("{}u", (remaining_ms.max(0.0) * 1000.0) as u64);
    let mut headers = vec![("X-Trace-Id", job.trace_id.as_str()), ("X-Expires-In", &expires)];
    let forwarded = &job.forwarded;
    headers.extend(forwarded.idempotency_key.as_deref().map(|key| ("Idempotency-Key", key)));
    headers.extend(forwarded.content_type.as_deref().map(|kind| ("Content-Type", kind)));
    http::request(
        &forwarded.method,
        &forwarded.target,
        &worker.address.to_string(),
        &headers,
        &forwarded.body,
    )
}

/// Asks the worker to cancel an accepted job. `until_confirmed`: repeats that until it has answered or the
/// job's deadline has passed.
pub(super) fn send_cancel(
    shared: &Shared,
    attempt: AttemptId,
    worker: &WorkerEndpoint,
    job: &Job,
    until_confirmed: bool,
) {
    let target = format!("/jobs/{}", job.trace_id);
    let request = http::request("DELETE", &target, &worker.address.to_string(), &[], b"");
    // Any answer confirms that the worker has got the cancel; its status does not matter. Without an answer
    // the worker may not know of it.
    while send_short_request(shared, worker, &request).is_err()
        && until_confirmed
        && shared.clock.now() < job.deadline
    {
        may::coroutine::sleep(span(CANCEL_RETRY_INTERVAL_MS));
    }
    shared.exchange.send(Message::CancelFinished { attempt });
}

/// Asks a worker for its load, which shows whether it is healthy.
pub(super) fn probe(shared: &Shared, worker: &WorkerEndpoint) {
    let sent = shared.clock.now();
    let request = http::request("GET", "/status/load", &worker.address.to_string(), &[], b"");
    let result = send_short_request(shared, worker, &request);
    let latency = shared.clock.now() - sent;
    let (end, load) = match &result {
        Ok(response) if response.status == 200 => (None, report::of_probe(response)),
        Ok(response) => (Some(AttemptEnd::Failed), report::of_probe(response)),
        Err(end) => (Some(*end), None),
    };
    shared.exchange.send(Message::Probed { worker: worker.id, end, latency, load });
}

/// Sends a request with a short time limit. The request must be safe to repeat: if an idle connection turns
/// out to be dead, it is sent again on another one.
fn send_short_request(
    shared: &Shared,
    worker: &WorkerEndpoint,
    request: &[u8],
) -> Result<Response, AttemptEnd> {
    let control = std::sync::Arc::new(RequestControl::default());
    let timed_out = control.clone();
    may::go!(move || {
        may::coroutine::sleep(span(SHORT_REQUEST_TIMEOUT_MS));
        timed_out.cut.cancel();
    });
    loop {
        match send_request(shared, worker, || request.to_vec(), &control) {
            Err(AttemptEnd::NotSent) if !control.cut.is_cancelled() => {}
            result => return result,
        }
    }
}

/// Writes a request on an idle or new connection, reads the response and puts the connection back if it may
/// be reused. `request` is called only when there is a connection, so that the remaining time in
/// `X-Expires-In` counts from the request's first byte.
fn send_request(
    shared: &Shared,
    worker: &WorkerEndpoint,
    request: impl FnOnce() -> Vec<u8>,
    control: &RequestControl,
) -> Result<Response, AttemptEnd> {
    let wanted = || control.may_begin() && !control.cut.is_cancelled();
    let connection = shared.pool.acquire(worker, wanted).map_err(|error| match error {
        AcquireError::NoDescriptor => AttemptEnd::NotSent,
        AcquireError::NotConnected => AttemptEnd::NotConnected,
    })?;
    if !control.may_begin() {
        // While the connection was waited for, the attempt was given up, its job was answered, or its worker
        // began to drain. Nothing is sent, and the connection is left to the next attempt.
        shared.pool.put_back(worker.id, connection, false);
        return Err(AttemptEnd::NotSent);
    }
    control.set_answer_deadline(shared.clock.now() + shared.pool.limits().answer_timeout());
    match round_trip::round_trip(&connection.socket, &request(), &control.cut, || control.may_finish()) {
        Ok(response) => {
            return_connection(shared, worker, connection, &response);
            Ok(response)
        }
        // This program closed the connection, not the worker.
        Err(RoundTripError::Unanswered(_)) if control.cut.is_cancelled() => Err(AttemptEnd::Silent),
        Err(RoundTripError::Unanswered(_)) => {
            connection.idle_since.into_iter().for_each(|since| shared.pool.discard_older(worker.id, since));
            Err(AttemptEnd::Reset)
        }
        Err(RoundTripError::NotSent(_)) if control.cut.is_cancelled() || !control.may_finish() => {
            Err(AttemptEnd::NotSent)
        }
        Err(RoundTripError::NotSent(_)) => Err(match connection.idle_since {
            // The connection had died while idle, which says nothing about the worker.
            Some(since) => {
                shared.pool.discard_older(worker.id, since);
                AttemptEnd::NotSent
            }
            None => AttemptEnd::NotConnected,
        }),
    }
}

/// Puts a connection back unless the response forbids its reuse. Only a 202 permits reuse without a delay.
fn return_connection(shared: &Shared, worker: &WorkerEndpoint, connection: Connection, response: &Response) {
    if response.keep_alive {
        shared.pool.put_back(worker.id, connection, response.status != 202);
    }
}

#[cfg(test)]
mod tests;
