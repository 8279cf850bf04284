//! Time-outs and backoff of a dialer's attempts to connect.

use std::time::Duration;

/// Time-out of the first attempt ...
const INITIAL_TIMEOUT: Duration = Duration::from_millis(150);
/// ... and of later ones, where the peer may be far away or slow: doubled after each that failed, up to this.
const MAX_TIMEOUT: Duration = Duration::from_millis(600);
/// Backoff before another attempt, doubled after each ...
const INITIAL_BACKOFF: Duration = Duration::from_millis(40);
/// ... up to this.
const MAX_BACKOFF: Duration = Duration::from_millis(640);
/// A connection that lasted longer than this resets both.
const STABLE_AFTER: Duration = Duration::from_secs(1);

/// The time-out of the next attempt to connect, and the backoff before the one after it.
///
/// A machine that has no power yet answers nothing: the first attempts must not wait long for it, or machines that start
/// one after another find each other late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectBackoff {
    timeout: Duration,
    backoff: Duration,
}

impl Default for ConnectBackoff {
    fn default() -> ConnectBackoff {
        ConnectBackoff { timeout: INITIAL_TIMEOUT, backoff: INITIAL_BACKOFF }
    }
}

impl ConnectBackoff {
    /// How long the next attempt waits for a connection.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// An attempt has ended, together with its connection if there was one, after `lasted`; returns the backoff before the
    /// next attempt.
    pub fn attempt_ended(&mut self, was_connected: bool, lasted: Duration) -> Duration {
        if was_connected && lasted > STABLE_AFTER {
            *self = ConnectBackoff::default();
        }
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        if !was_connected {
            self.timeout = (self.timeout * 2).min(MAX_TIMEOUT);
        }
        backoff
    }
}
