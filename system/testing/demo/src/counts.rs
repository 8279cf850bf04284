//! What has become of the messages, as numbers.

use millrudder_system_standins::MessageState;
use std::fmt;

/// How far all messages have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answered with 202.
    pub accepted: usize,
    /// Answered otherwise, or not at all; the client may have sent them again as others.
    pub not_accepted: usize,
    pub completed: usize,
    pub dead_letters: usize,
    /// Taken by their receiver.
    pub callbacks: usize,
    /// Ended otherwise than their kind says.
    pub ended_wrongly: usize,
}

impl Counts {
    /// Notes the end of a message, which should have been `expected`.
    pub fn ended(&mut self, state: MessageState, expected: MessageState) {
        match state {
            MessageState::Completed => self.completed += 1,
            MessageState::DeadLetter => self.dead_letters += 1,
            MessageState::Queued => return,
        }
        if state != expected {
            self.ended_wrongly += 1;
        }
    }

    /// Accepted, and not known to have ended.
    pub fn waiting(&self) -> usize {
        self.accepted - self.completed - self.dead_letters
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "accepted {}, completed {}, dead letters {}, call-backs {}, backlog {}",
            self.accepted,
            self.completed,
            self.dead_letters,
            self.callbacks,
            self.waiting()
        )?;
        if self.not_accepted > 0 {
            write!(formatter, ", not accepted {}", self.not_accepted)?;
        }
        Ok(())
    }
}

/// What came of a whole run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    pub counts: Counts,
    /// Call-backs that receivers should have taken.
    pub callbacks_owed: usize,
}

impl Summary {
    /// Every accepted message has ended as its kind says, and every call-back that is owed was taken.
    pub fn all_ended_rightly(&self) -> bool {
        let counts = &self.counts;
        let all_told = counts.callbacks >= self.callbacks_owed;
        counts.accepted > 0 && counts.waiting() == 0 && counts.ended_wrongly == 0 && all_told
    }
}
