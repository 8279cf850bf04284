//! Answers as gRPC statuses. The table stands in `docs/operators/second-client-protocol.md`.

use crate::intake::Invalid;
use millrudder_exchange::{Answer, Failure};
use std::time::Duration;
use tonic::metadata::MetadataValue;
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// Tells gRPC's clients when to try again (gRFC A6, "Pushback").
pub const PUSHBACK: &str = "grpc-retry-pushback-ms";

/// UNAVAILABLE promises that nothing ran, as 503 does over HTTP/1.1: nothing else may be told so.
///
/// `retry_after`: ms; none where the settings allow no advice or nothing is known.
pub fn refused(message: &str, retry_after: Option<f64>) -> Status {
    let Some(ms) = retry_after.filter(|ms| ms.is_finite() && *ms >= 0.0) else {
        return Status::unavailable(message);
    };
    let ms = ms.ceil() as u64;
    let details = ErrorDetails::with_retry_info(Some(Duration::from_millis(ms)));
    let mut status = Status::with_error_details(Code::Unavailable, message, details);
    status.metadata_mut().insert(PUSHBACK, MetadataValue::from(ms));
    status
}

pub fn invalid(invalid: &Invalid) -> Status {
    let message = format!("field `{}`: {}", invalid.field, invalid.why);
    let details = ErrorDetails::with_bad_request_violation(invalid.field, invalid.why.clone());
    Status::with_error_details(Code::InvalidArgument, message, details)
}

/// The result of a served job, or the status of any other.
///
/// # Errors
/// The job was not served.
pub fn of_answer(answer: Answer, advice_allowed: bool) -> Result<Vec<u8>, Status> {
    match answer {
        Answer::Served { result } => Ok(result),
        Answer::Defer { retry_after } => {
            Err(refused("deferred, try again", retry_after.filter(|_| advice_allowed)))
        }
        // It may have run, so nothing is promised of a repeat.
        Answer::Failed(Failure::Attempts) => Err(Status::unknown("failed")),
        Answer::Failed(Failure::Refused) => Err(Status::internal("no next hop can use this job")),
        Answer::Failed(Failure::Late) => Err(Status::deadline_exceeded("not done in time")),
        Answer::Failed(Failure::Repeated) => Err(Status::already_exists("a job with this id is under way")),
    }
}

/// What a status advises, in ms; 0 for nothing.
pub fn advice(status: &Status) -> u32 {
    let value = status.metadata().get(PUSHBACK).and_then(|v| v.to_str().ok()?.parse().ok());
    value.unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_refusal_promises_that_a_repeat_is_harmless() {
        let code = |answer| of_answer(answer, true).map(|_| ()).map_err(|s| s.code());
        assert_eq!(code(Answer::Served { result: vec![1] }), Ok(()));
        assert_eq!(code(Answer::Defer { retry_after: None }), Err(Code::Unavailable));
        assert_eq!(code(Answer::Failed(Failure::Attempts)), Err(Code::Unknown));
        assert_eq!(code(Answer::Failed(Failure::Refused)), Err(Code::Internal));
        assert_eq!(code(Answer::Failed(Failure::Late)), Err(Code::DeadlineExceeded));
        assert_eq!(code(Answer::Failed(Failure::Repeated)), Err(Code::AlreadyExists));
    }

    #[test]
    fn advice_comes_both_ways_and_only_where_it_is_allowed() {
        let told = of_answer(Answer::Defer { retry_after: Some(250.4) }, true).unwrap_err();
        assert_eq!(told.metadata().get(PUSHBACK).unwrap(), "251");
        assert_eq!(told.get_details_retry_info().unwrap().retry_delay, Some(Duration::from_millis(251)));
        assert_eq!(advice(&told), 251);
        let untold = of_answer(Answer::Defer { retry_after: Some(250.0) }, false).unwrap_err();
        assert!(untold.metadata().get(PUSHBACK).is_none() && untold.get_details_retry_info().is_none());
        assert_eq!(advice(&untold), 0);
    }

    #[test]
    fn the_bad_field_is_named_for_people_and_programs() {
        let status = invalid(&Invalid { field: "job_class", why: "unknown class".to_owned() });
        assert_eq!(
            (status.code(), status.message()),
            (Code::InvalidArgument, "field `job_class`: unknown class")
        );
        assert_eq!(status.get_details_bad_request().unwrap().field_violations[0].field, "job_class");
    }
}
