//! Parses the header `grpc-timeout`: at most 8 digits and a unit (gRPC over HTTP/2, "Requests").

use millrudder_exchange::intake::LONGEST_WAIT_MS;

const MAX_DIGITS: usize = 8;

/// The header's value in milliseconds, capped at a day; `None` if it is malformed.
pub fn parse(value: &[u8]) -> Option<f64> {
    let (unit, digits) = value.split_last()?;
    if digits.is_empty() || digits.len() > MAX_DIGITS || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let number: f64 = std::str::from_utf8(digits).ok()?.parse().ok()?;
    let ms = match unit {
        b'H' => number * 3_600_000.0,
        b'M' => number * 60_000.0,
        b'S' => number * 1_000.0,
        b'm' => number,
        b'u' => number / 1_000.0,
        b'n' => number / 1_000_000.0,
        _ => return None,
    };
    Some(ms.min(LONGEST_WAIT_MS))
}

#[cfg(test)]
mod tests;
