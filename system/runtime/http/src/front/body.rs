//! Reading of a request's body, completely and within a limit.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// Most bytes of a body over the limit that are read and dropped, so that its sender gets to read the answer.
const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;

/// Why a body was rejected.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    /// The body is larger than the limit.
    #[error("body over the limit")]
    TooLarge,
    /// The body's chunks are broken.
    #[error("malformed body")]
    Malformed,
    /// The connection ended or failed within the body.
    #[error("body truncated")]
    Truncated,
}

/// Reads the body; nothing of one that is over `max_bytes` is retained. `drains_excess` tells whether a body over the limit
/// is read on so that its sender gets to read the answer: not if the sender waits for `100 Continue`.
pub(super) async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    drains_excess: bool,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > max_bytes as u64) {
        discard(body, drains_excess).await;
        return Err(BodyError::TooLarge);
    }
    let mut collected = BytesMut::new();
    while let Some(data) = next_data(&mut body).await? {
        if collected.len() + data.len() > max_bytes {
            drop(collected);
            discard(body, drains_excess).await;
            return Err(BodyError::TooLarge);
        }
        if collected.is_empty() && announced == Some(data.len() as u64) {
            return Ok(Bytes::copy_from_slice(&data));
        }
        if collected.is_empty() {
            collected.reserve(announced.map_or(data.len(), |length| length as usize));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// The next bytes of the body; none at its end.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| classify(&error))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reads and drops the rest of a body, within a bound.
async fn discard(mut body: Incoming, drains_excess: bool) {
    if !drains_excess {
        return;
    }
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match next_data(&mut body).await {
            Ok(Some(data)) => discarded += data.len() as u64,
            Ok(None) | Err(_) => return,
        }
    }
}

/// Hyper reports broken chunks as I/O errors of the kind `InvalidInput` or `InvalidData`.
fn classify(error: &hyper::Error) -> BodyError {
    let source = std::error::Error::source(error).and_then(|source| source.downcast_ref::<std::io::Error>());
    match source.map(std::io::Error::kind) {
        Some(std::io::ErrorKind::InvalidInput | std::io::ErrorKind::InvalidData) => BodyError::Malformed,
        _ => BodyError::Truncated,
    }
}
