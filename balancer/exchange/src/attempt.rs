//! Delivery attempts: their identifiers, how they end, and what workers report of a job by call-back.

use crate::job::Ticket;

/// One delivery attempt: of which job, and its number from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The job.
    pub ticket: Ticket,
    /// The attempt, from 0.
    pub number: usize,
}

/// A next hop's load report, name to value.
pub type LoadReport = Vec<(String, f64)>;

/// How a delivery attempt ended, by the next hop or by the way to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker reported a failure.
    Failed,
    /// The worker rejected it: it did not run.
    NeverRan,
    /// It never left, for a reason that is not the next hop's: a kept connection had died, or no descriptor was
    /// free here.
    NotSent,
    /// No connection could be opened.
    NotConnected,
    /// The connection broke after the request was written: it may have run.
    Reset,
    /// The next hop took the whole request and said nothing for far longer than it needs: it may run, or may yet.
    Silent,
    /// The next hop cannot use this job, whoever sends it; nothing is wrong there.
    Refused,
}

/// What a next hop tells of a job by call-back.
#[derive(Clone, Debug, PartialEq)]
pub enum JobState {
    /// It runs.
    Started,
    /// It runs; `share` of it is done (0 to 1).
    Running {
        /// Fraction of the job that is done.
        share: f64,
    },
    /// It has succeeded.
    Done {
        /// What the client gets.
        result: Vec<u8>,
    },
    /// The worker reported a failure.
    Failed,
    /// The worker gives it back unrun.
    Returned,
    /// The worker does not know it.
    Lost,
}

/// A call-back of a worker about a job.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCallBack {
    /// The job's id, as its client gave it.
    pub trace_id: String,
    /// The next hop's name in the transport map.
    pub from: String,
    /// What it reports.
    pub state: JobState,
    /// The worker's load report, if it sent one.
    pub load: Option<LoadReport>,
    /// As it came, where it may have to go over to another process; none: it has come from there.
    pub body: Option<Vec<u8>>,
}
