//! Delivery attempts: their identifiers, how they end, and what workers report of a job by call-back.

use crate::job::Ticket;

/// One delivery attempt: of which job, and its number from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    pub ticket: Ticket,
    pub number: usize,
}

/// A next hop's load report, name to value.
pub type LoadReport = Vec<(String, f64)>;

/// How a delivery attempt ended, by the next hop or by the way to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Failed,
    NeverRan,
    /// It never left, for a reason that is not the next hop's: a kept connection had died, or no descriptor was
    /// free here.
    NotSent,
    NotConnected,
    Reset,
    /// The next hop took the whole request and said nothing for far longer than it needs: it may run, or may yet.
    Silent,
    /// The next hop cannot use this job, whoever sends it; nothing is wrong there.
    Refused,
}

/// What a next hop tells of a job by call-back.
#[derive(Clone, Debug, PartialEq)]
pub enum JobState {
    Started,
    Running { share: f64 },
    Done { result: Vec<u8> },
    Failed,
    Returned,
    Lost,
}

#[derive(Clone, Debug, PartialEq)]
pub struct JobNews {
    pub trace_id: String,
    /// The next hop's name in the transport map.
    pub from: String,
    pub state: JobState,
    pub load: Option<LoadReport>,
    /// As it came, where it may have to go over to another process; none: it has come from there.
    pub body: Option<Vec<u8>>,
}
