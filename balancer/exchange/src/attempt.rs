//! Delivery attempts: identifiers, outcomes, and the job states that workers report by call-back.

use crate::job::Ticket;

/// Identifies one delivery attempt of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The job.
    pub ticket: Ticket,
    /// Number of the attempt within the job, from 0.
    pub number: usize,
}

/// A worker's load report: metric names with their values.
pub type LoadReport = Vec<(String, f64)>;

/// How a delivery attempt ended, at the worker or on the connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker reported a failure.
    Failed,
    /// The worker rejected the job without running it.
    NeverRan,
    /// The request was not sent, for a reason that is not the worker's fault: a reused keep-alive connection was
    /// dead, or this process had no free file descriptor.
    NotSent,
    /// No connection could be opened.
    NotConnected,
    /// The connection broke after the request was written; the job may have run.
    Reset,
    /// The worker read the whole request but did not answer within a time-out far above its usual time; the job
    /// may be running or may still start.
    Silent,
    /// The worker cannot process this job, whoever sends it; the worker itself is healthy.
    Refused,
}

/// State of a job as a worker reports it by call-back.
#[derive(Clone, Debug, PartialEq)]
pub enum JobState {
    /// The job has started to run.
    Started,
    /// The job is running.
    Running {
        /// Completed fraction of the job (0 to 1).
        share: f64,
    },
    /// The job has succeeded.
    Done {
        /// Result for the client.
        result: Vec<u8>,
    },
    /// The worker reported a failure.
    Failed,
    /// The worker returns the job without having run it.
    Returned,
    /// The worker does not know the job.
    Lost,
}

/// A worker's call-back about a job (`POST /_jobs/news`).
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCallBack {
    /// The job's id, as its client gave it.
    pub trace_id: String,
    /// The worker's name in the worker list.
    pub from: String,
    /// The reported state.
    pub state: JobState,
    /// The worker's load report, if it sent one.
    pub load: Option<LoadReport>,
    /// The request body as received, to be forwarded to the other process of an upgrade if the job is there.
    /// `None` if that process has forwarded it here.
    pub body: Option<Vec<u8>>,
}
