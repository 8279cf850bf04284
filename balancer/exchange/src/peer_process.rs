//! The other process of an upgrade, as fronts and core see it: whether this one accepts, what goes over, and what the
//! other holds of the descriptors that both share. Without an upgrade it says: accept, nothing goes over.

use crate::{Order, Ticket};
use std::collections::{HashSet, VecDeque};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What waits to go over at most: connections are bounded by descriptors, call-backs by their senders' patience.
const MAX_TRANSFERS: usize = 4_096;

/// What a connection's peer has proved to be by a valid request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerRole {
    /// Nothing yet.
    Unproven,
    /// A next hop with call-backs, or a watcher of this program.
    WorkerOrMonitor,
    /// It has had a job answered.
    Client,
}

/// What goes over to the other process.
pub enum Transfer {
    /// A connection between two requests.
    Connection(TcpStream, PeerRole),
    /// A call-back whose job is not here, as it came.
    CallBack(Vec<u8>),
    /// Jobs of this process, by their clients' ids.
    JobStarted(String),
    /// A job of this process has ended.
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
    /// Clients are sent away, or taken again.
    Drain(bool),
}

/// Shared by all that act on it.
#[derive(Clone, Default)]
pub struct PeerProcess(Arc<Inner>);

#[derive(Default)]
struct Inner {
    /// This process does not accept.
    parked: AtomicBool,
    /// There is another process that takes parcels ...
    open: AtomicBool,
    /// ... connections too.
    takes_connections: AtomicBool,
    parcels: Mutex<VecDeque<Transfer>>,
    /// Ids under way there.
    theirs: Mutex<HashSet<String>>,
    /// What the other holds, or may, of the descriptors meant for inbound connections and for next hops.
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

    /// The other process is gone, and all that was its with it.
    pub fn close(&self) {
        self.0.open.store(false, Ordering::Release);
        self.take_connections(false);
        self.parcels().clear();
        self.theirs().clear();
        self.set_peer_connections(0, 0);
    }

    /// Connections between two requests go over from now on.
    pub fn takes_connections(&self) -> bool {
        self.0.takes_connections.load(Ordering::Acquire)
    }

    /// Sets whether connections go over.
    pub fn take_connections(&self, takes: bool) {
        self.0.takes_connections.store(takes, Ordering::Release);
    }

    /// Puts one on its way.
    ///
    /// # Errors
    /// There is no other process, or too much waits for it: the parcel comes back.
    pub fn put(&self, parcel: Transfer) -> Result<(), Transfer> {
        let mut parcels = self.parcels();
        if !self.is_open() || parcels.len() >= MAX_TRANSFERS {
            return Err(parcel);
        }
        parcels.push_back(parcel);
        Ok(())
    }

    /// Takes the next transfer out.
    pub fn take(&self) -> Option<Transfer> {
        self.parcels().pop_front()
    }

    /// Connections that wait to go over: their descriptors are still here.
    pub fn waiting_connections(&self) -> usize {
        self.parcels().iter().filter(|p| matches!(p, Transfer::Connection(..))).count()
    }

    /// Whether no transfer waits.
    pub fn is_empty(&self) -> bool {
        self.parcels().is_empty()
    }

    /// Whether the other process owes this job.
    pub fn is_peer_job(&self, id: &str) -> bool {
        self.is_open() && self.theirs().contains(id)
    }

    /// Notes a job of the other process.
    pub fn add_peer_job(&self, id: String) {
        self.theirs().insert(id);
    }

    /// Notes the end of a job of the other process.
    pub fn remove_peer_job(&self, id: &str) {
        self.theirs().remove(id);
    }

    /// Descriptors that the other holds, or may: this process has so many fewer.
    pub fn set_peer_connections(&self, inbound: usize, worker_connections: usize) {
        self.0.inbound.store(inbound, Ordering::Release);
        self.0.worker_connections.store(worker_connections, Ordering::Release);
    }

    /// Inbound descriptors that the other process holds, or may.
    pub fn inbound(&self) -> usize {
        self.0.inbound.load(Ordering::Acquire)
    }

    /// Descriptors to workers that the other process holds, or may.
    pub fn worker_connections(&self) -> usize {
        self.0.worker_connections.load(Ordering::Acquire)
    }

    fn parcels(&self) -> MutexGuard<'_, VecDeque<Transfer>> {
        self.0.parcels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn theirs(&self) -> MutexGuard<'_, HashSet<String>> {
        self.0.theirs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the other process's side asks of the core.
pub enum PeerRequest {
    /// All that a successor needs, in the core's own form.
    Export(std::sync::mpsc::Sender<Vec<u8>>),
    /// Ids of the jobs that are owed, and the descriptors held for next hops.
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
    /// The other process is gone, and its attempts with it.
    PeerEnded,
}

#[cfg(test)]
mod tests;
