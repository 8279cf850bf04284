//! Times of views, leases and writes, for tests that assert bounds on durations.

use std::collections::BTreeMap;

use millrudder_chain::View;

/// A node entered a view.
#[derive(Clone, Debug)]
pub struct ViewEntered {
    /// Simulated time in microseconds.
    pub at: u64,
    pub view: View,
}

/// A node was granted a lease.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// Simulated time in microseconds.
    pub at: u64,
    /// Whether the node had caught up with its chain.
    pub caught_up: bool,
}

/// Views, leases and writes with their simulated times in microseconds, and statistics of messages.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub views: Vec<ViewEntered>,
    pub grants: Vec<Grant>,
    pub messages: usize,
    /// Length of the longest message, in bytes.
    pub longest_message: usize,
    submitted: BTreeMap<Submission, u64>,
    pub waits: Vec<Wait>,
}

/// A value and the machine to which it was submitted. A value may be submitted to several machines, each of which
/// replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Submission {
    pub value: u64,
    pub machine: usize,
}

/// How long a write waited for its reply.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    pub submitted_at: u64,
    pub micros: u64,
}

impl History {
    pub fn submitted(&mut self, submission: Submission, at: u64) {
        self.submitted.entry(submission).or_insert(at);
    }

    pub fn replied(&mut self, submission: Submission, at: u64) {
        if let Some(submitted_at) = self.submitted.remove(&submission) {
            self.waits.push(Wait { submitted_at, micros: at - submitted_at });
        }
    }

    /// The longest wait among the writes submitted in a time range.
    pub fn longest_wait(&self, span: std::ops::Range<u64>) -> Option<u64> {
        let waits = self.waits.iter().filter(|wait| span.contains(&wait.submitted_at));
        waits.map(|wait| wait.micros).max()
    }

    /// Number of writes answered in a time range.
    pub fn answered_in(&self, span: std::ops::Range<u64>) -> usize {
        self.waits.iter().filter(|wait| span.contains(&(wait.submitted_at + wait.micros))).count()
    }

    /// When a view with `members` members was first entered after `at`.
    pub fn first_view_of(&self, members: usize, at: u64) -> Option<u64> {
        let entered = self.views.iter().filter(|entered| entered.at >= at);
        entered.filter(|entered| entered.view.members.len() == members).map(|entered| entered.at).min()
    }
}
