//! Maps answers to gRPC statuses, as documented in `docs/operators/second-client-protocol.md`.

use crate::intake::InvalidField;
use millrudder_exchange::{Answer, Failure};
use std::time::Duration;
use tonic::metadata::MetadataValue;
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// The metadata that tells gRPC clients when to retry (gRFC A6, "Pushback").
pub const PUSHBACK_HEADER: &str = "grpc-retry-pushback-ms";

/// A refusal. UNAVAILABLE promises that the job did not run, as 503 does over HTTP/1.1, so it must not be used for
/// anything else.
///
/// `retry_after`: when to retry (ms); `None` if the settings allow no advice or the time is not known.
pub fn unavailable(message: &str, retry_after: Option<f64>) -> Status {
    let Some(ms) = retry_after.filter(|ms| ms.is_finite() && *ms >= 0.0) else {
        return Status::unavailable(message);
    };
    let ms = ms.ceil() as u64;
    let details = ErrorDetails::with_retry_info(Some(Duration::from_millis(ms)));
    let mut status = Status::with_error_details(Code::Unavailable, message, details);
    status.metadata_mut().insert(PUSHBACK_HEADER, MetadataValue::from(ms));
    status
}

/// INVALID_ARGUMENT, with the field named in the message and in the details.
pub fn invalid_field(invalid: &InvalidField) -> Status {
    let message = format!("field `{}`: {}", invalid.field, invalid.reason);
    let details = ErrorDetails::with_bad_request_violation(invalid.field, invalid.reason.clone());
    Status::with_error_details(Code::InvalidArgument, message, details)
}

/// The result of a served job, or the status for any other answer.
///
/// # Errors
/// The job was not served.
pub fn job_result(answer: Answer, advice_allowed: bool) -> Result<Vec<u8>, Status> {
    match answer {
        Answer::Served { result } => Ok(result),
        Answer::Defer { retry_after } => {
            Err(unavailable("deferred, try again", retry_after.filter(|_| advice_allowed)))
        }
        // The job may have run, so the status must not say that a retry is safe.
        Answer::Failed(Failure::Attempts) => Err(Status::unknown("failed")),
        Answer::Failed(Failure::Refused) => Err(Status::internal("no next hop can use this job")),
        Answer::Failed(Failure::Late) => Err(Status::deadline_exceeded("not done in time")),
        Answer::Failed(Failure::Repeated) => Err(Status::already_exists("a job with this id is under way")),
    }
}

/// The retry advice (ms) in a status; 0 if there is none.
pub fn pushback_ms(status: &Status) -> u32 {
    let value = status.metadata().get(PUSHBACK_HEADER).and_then(|v| v.to_str().ok()?.parse().ok());
    value.unwrap_or(0)
}

#[cfg(test)]
mod tests;
