//! The other process during an upgrade (the successor or the predecessor), as fronts and core see it: whether
//! this process accepts connections, what is transferred to the other, and how many of the shared budget of
//! file descriptors the other uses. Outside an upgrade this process accepts connections and nothing is
//! transferred.

use crate::{Order, Ticket};
use std::collections::{HashSet, VecDeque};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most transfers that may be queued. Queued connections are also limited by the file descriptors, and queued
/// call-backs by how long their senders wait for an answer.
const MAX_TRANSFERS: usize = 4_096;

/// What a connection's peer is, as proved by its valid requests. Later variants are kept over earlier ones when
/// connections must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerRole {
    /// No valid request has come yet.
    Unproven,
    /// A worker that sends call-backs, or a monitor of this program.
    WorkerOrMonitor,
    /// A client that has had a job answered.
    Client,
}

/// An item to be transferred to the other process.
pub enum Transfer {
    /// An idle connection, between two requests.
    Connection(TcpStream, PeerRole),
    /// The body of a call-back whose job is not in this process.
    CallBack(Vec<u8>),
    /// This process has accepted a job with this id.
    JobStarted(String),
    /// The job of this process with this id has ended.
    JobEnded(String),
    /// An attempt of this process has ended at its worker.
    AttemptEnded {
        /// The worker.
        worker: String,
        /// The job.
        job: Ticket,
        /// The attempt, from 0.
        attempt: usize,
    },
    /// An operator's order, for both processes.
    Ordered(Order),
    /// Operators have started (`true`) or ended (`false`) the drain.
    Drain(bool),
}

/// State shared by this process's parts about the other process of an upgrade; clones share it.
#[derive(Clone, Default)]
pub struct PeerProcess(Arc<Inner>);

#[derive(Default)]
struct Inner {
    /// This process does not accept connections.
    parked: AtomicBool,
    /// There is another process, and it accepts transfers.
    open: AtomicBool,
    /// The other process accepts connections as well.
    takes_connections: AtomicBool,
    transfers: Mutex<VecDeque<Transfer>>,
    /// Ids of the jobs that the other process has accepted and not answered yet.
    peer_jobs: Mutex<HashSet<String>>,
    /// Descriptors of the shared budget that the other process uses or may use, for inbound connections and for
    /// connections to workers.
    inbound: AtomicUsize,
    worker_connections: AtomicUsize,
}

impl PeerProcess {
    /// Whether this process accepts connections.
    pub fn accepts(&self) -> bool {
        !self.0.parked.load(Ordering::Acquire)
    }

    /// Sets whether this process accepts connections.
    pub fn accept(&self, accepts: bool) {
        self.0.parked.store(!accepts, Ordering::Release);
    }

    /// Whether there is another process that takes transfers.
    pub fn is_open(&self) -> bool {
        self.0.open.load(Ordering::Acquire)
    }

    /// Notes that there is another process that takes transfers.
    pub fn open(&self) {
        self.0.open.store(true, Ordering::Release);
    }

    /// Notes that the other process has ended, and clears all state that belongs to it.
    pub fn close(&self) {
        self.0.open.store(false, Ordering::Release);
        self.take_connections(false);
        self.transfers().clear();
        self.peer_jobs().clear();
        self.set_peer_connections(0, 0);
    }

    /// Whether idle connections are transferred to the other process.
    pub fn takes_connections(&self) -> bool {
        self.0.takes_connections.load(Ordering::Acquire)
    }

    /// Sets whether idle connections are transferred to the other process.
    pub fn take_connections(&self, takes: bool) {
        self.0.takes_connections.store(takes, Ordering::Release);
    }

    /// Queues a transfer.
    ///
    /// # Errors
    /// Returns the transfer if there is no other process, or if `MAX_TRANSFERS` are queued.
    pub fn put(&self, transfer: Transfer) -> Result<(), Transfer> {
        let mut transfers = self.transfers();
        if !self.is_open() || transfers.len() >= MAX_TRANSFERS {
            return Err(transfer);
        }
        transfers.push_back(transfer);
        Ok(())
    }

    /// Takes the next transfer from the queue.
    pub fn take(&self) -> Option<Transfer> {
        self.transfers().pop_front()
    }

    /// Number of queued connections, whose descriptors this process still uses.
    pub fn waiting_connections(&self) -> usize {
        self.transfers().iter().filter(|transfer| matches!(transfer, Transfer::Connection(..))).count()
    }

    /// Whether no transfer is queued.
    pub fn is_empty(&self) -> bool {
        self.transfers().is_empty()
    }

    /// Whether the other process has accepted this job and not answered it yet.
    pub fn is_peer_job(&self, id: &str) -> bool {
        self.is_open() && self.peer_jobs().contains(id)
    }

    /// Adds a job that the other process has accepted.
    pub fn add_peer_job(&self, id: String) {
        self.peer_jobs().insert(id);
    }

    /// Removes a job of the other process that has ended.
    pub fn remove_peer_job(&self, id: &str) {
        self.peer_jobs().remove(id);
    }

    /// Sets how many descriptors the other process uses or may use; this process may use that many fewer.
    pub fn set_peer_connections(&self, inbound: usize, worker_connections: usize) {
        self.0.inbound.store(inbound, Ordering::Release);
        self.0.worker_connections.store(worker_connections, Ordering::Release);
    }

    /// Descriptors for inbound connections that the other process uses or may use.
    pub fn inbound(&self) -> usize {
        self.0.inbound.load(Ordering::Acquire)
    }

    /// Descriptors for connections to workers that the other process uses or may use.
    pub fn worker_connections(&self) -> usize {
        self.0.worker_connections.load(Ordering::Acquire)
    }

    fn transfers(&self) -> MutexGuard<'_, VecDeque<Transfer>> {
        self.0.transfers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peer_jobs(&self) -> MutexGuard<'_, HashSet<String>> {
        self.0.peer_jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request to the core on behalf of the other process.
pub enum PeerRequest {
    /// Send the state that a successor needs, in the core's own encoding.
    Export(std::sync::mpsc::Sender<Vec<u8>>),
    /// Send the ids of the jobs that have not been answered, and the number of descriptors held for connections to
    /// workers.
    UnfinishedJobs(std::sync::mpsc::Sender<(Vec<String>, usize)>),
    /// An attempt of the other process has ended at its worker.
    AttemptEnded {
        /// The worker.
        worker: String,
        /// The job.
        job: Ticket,
        /// The attempt, from 0.
        attempt: usize,
    },
    /// The other process has ended, and its attempts with it.
    PeerEnded,
}

#[cfg(test)]
mod tests;
