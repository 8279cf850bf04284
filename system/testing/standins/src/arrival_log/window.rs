//! How many events fall into one span.

use std::time::Duration;

/// The most of `times` that lie within any span of that length; the end of a span does not belong to it.
pub(super) fn busiest(mut times: Vec<Duration>, span: Duration) -> usize {
    times.sort();
    let mut first = 0;
    let mut most = 0;
    for (last, time) in times.iter().enumerate() {
        while time.saturating_sub(times[first]) >= span && first < last {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
