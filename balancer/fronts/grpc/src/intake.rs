//! Validates a call's message and turns it into a job, by the same rules as the other fronts. A failure names the
//! field.

use crate::proto::SubmitRequest;
use millrudder_exchange::intake::{
    find_class, is_figure, is_id, is_plain, is_slots, is_target, Class, BODY_LIMIT, ID_LIMIT, JOB_METHOD,
    JOB_PATH, MAX_SLOTS, TARGET_LIMIT, VALUE_LIMIT,
};
use millrudder_exchange::{ForwardedRequest, Front, Job};

/// Numbers in a job's `props`.
const MAX_PROPS: usize = 32;

/// An invalid field and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidField {
    pub field: &'static str,
    pub reason: String,
}

fn invalid<T>(field: &'static str, reason: impl Into<String>) -> Result<T, InvalidField> {
    Err(InvalidField { field, reason: reason.into() })
}

/// Builds the job. `received_at`: when the call's headers arrived (ms on the dispatcher's clock); `timeout`: the
/// client's timeout (ms), if it sent one.
///
/// # Errors
/// The first invalid field.
pub fn parse_job(
    request: SubmitRequest,
    received_at: f64,
    timeout: Option<f64>,
    classes: &[Class],
) -> Result<Job, InvalidField> {
    let trace_id = match request.id {
        id if id.is_empty() => uuid::Uuid::new_v4().simple().to_string(),
        id if is_id(&id) => id,
        _ => return invalid("id", format!("1 to {ID_LIMIT} of A-Z a-z 0-9 - _ . ~ are wanted")),
    };
    // For a class that is not in the settings, neither its priority nor whether it may be retried is known.
    let Some(class) = find_class(classes, &request.job_class, received_at) else {
        return invalid("job_class", "unknown class");
    };
    let key = optional_text("idempotency_key", request.idempotency_key)?;
    if class.keyed && key.is_none() {
        return invalid("idempotency_key", format!("class {} needs one", class.name));
    }
    optional_text("object", request.object)?;
    if request.body.len() > BODY_LIMIT {
        return invalid("body", format!("{} bytes, {BODY_LIMIT} are the most", request.body.len()));
    }
    if request.props.len() > MAX_PROPS {
        return invalid("props", format!("{} figures, {MAX_PROPS} are the most", request.props.len()));
    }
    if let Some((name, value)) = request.props.iter().find(|(_, value)| !is_figure(**value)) {
        return invalid("props", format!("{name:?} is {value}, a finite number from 0 up is wanted"));
    }
    let prop = |name: &str| request.props.get(name).copied();
    let (slots, memory) = (prop("slots").unwrap_or(1.0), prop("memory").unwrap_or(0.0));
    if !is_slots(slots) {
        return invalid("props", format!("\"slots\" is {slots}, {MAX_SLOTS} are the most"));
    }
    if !request.method.is_empty() && request.method != JOB_METHOD {
        return invalid("method", format!("{JOB_METHOD} is wanted"));
    }
    let target = match request.target {
        target if target.is_empty() => JOB_PATH.to_owned(),
        target if target.len() > TARGET_LIMIT => {
            return invalid("target", format!("over {TARGET_LIMIT} characters"));
        }
        target if is_target(&target) && target.split('?').next() == Some(JOB_PATH) => target,
        _ => return invalid("target", format!("{JOB_PATH} with any query is wanted, in printable ASCII")),
    };
    Ok(Job {
        front: Front::Grpc,
        trace_id,
        class: class.name.clone(),
        slots,
        memory,
        deadline: received_at + timeout.unwrap_or(class.default_timeout),
        forwarded: ForwardedRequest {
            method: JOB_METHOD.to_owned(),
            target,
            body: request.body,
            idempotency_key: key,
            content_type: None,
        },
    })
}

/// Checks a text field; `None` if it is empty.
fn optional_text(field: &'static str, value: String) -> Result<Option<String>, InvalidField> {
    match value {
        value if value.is_empty() => Ok(None),
        value if value.len() <= VALUE_LIMIT && is_plain(&value) => Ok(Some(value)),
        _ => invalid(field, format!("at most {VALUE_LIMIT} printable ASCII characters are wanted")),
    }
}

#[cfg(test)]
mod tests;
