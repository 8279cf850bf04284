//! How long a dialer waits for a connection, and between its tries.

use std::time::Duration;

/// A peer that does not answer within this is not there, at the first try ...
const SHORTEST_PATIENCE: Duration = Duration::from_millis(150);
/// ... and at later ones, where it may be far or slow: doubled after each that was in vain, up to this.
const LONGEST_PATIENCE: Duration = Duration::from_millis(600);
/// Pause before another try, doubled after each up to the longest.
const SHORTEST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(640);
/// A connection that lasted so long starts both afresh.
const STEADY: Duration = Duration::from_secs(1);

/// The waits of one dialer.
///
/// A machine that has no power yet answers nothing: the first tries must not wait long for it, or machines that start
/// one after another find each other late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tries {
    patience: Duration,
    pause: Duration,
}

impl Default for Tries {
    fn default() -> Tries {
        Tries { patience: SHORTEST_PATIENCE, pause: SHORTEST_PAUSE }
    }
}

impl Tries {
    /// How long the next try waits for a connection.
    pub fn patience(&self) -> Duration {
        self.patience
    }

    /// A try is over, with its connection if there was one, after `lasted`; returns the pause before the next.
    pub fn ended(&mut self, connected: bool, lasted: Duration) -> Duration {
        if connected && lasted > STEADY {
            *self = Tries::default();
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_PAUSE);
        if !connected {
            self.patience = (self.patience * 2).min(LONGEST_PATIENCE);
        }
        pause
    }
}
