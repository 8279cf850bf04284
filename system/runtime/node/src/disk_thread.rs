//! A thread that owns a store on disk: it writes in the order of its queue, and one sync covers all that waits.
//!
//! Writes and syncs block, so that they cannot run on the process's runtime. The state machine that asks for them learns
//! by reports what has become durable, and acknowledges nothing before.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use tokio::sync::mpsc::UnboundedSender;

/// A store on disk that [`DiskThread`] works on.
pub trait DiskWriter: Send + 'static {
    /// What the owner of the state asks for.
    type Command: Send + 'static;
    /// What the owner of the state learns.
    type Report: Send + 'static;
    /// Why the disk failed.
    type Error;

    /// Writes what one command asks for; it need not be durable yet.
    ///
    /// # Errors
    /// The disk failed.
    fn write(&mut self, command: Self::Command) -> Result<(), Self::Error>;

    /// Makes all that was written durable, and reports that.
    ///
    /// # Errors
    /// The disk failed.
    fn commit(&mut self, reports: &ReportSender<Self::Report>) -> Result<(), Self::Error>;

    /// The report of a failure; it is the last one.
    fn failure(error: Self::Error) -> Self::Report;
}

/// Sends reports to the owner of the state, who may have ended.
pub struct ReportSender<R> {
    reports: UnboundedSender<R>,
}

impl<R> ReportSender<R> {
    /// Sends a report; once nobody takes reports the thread ends after the present batch.
    pub fn send(&self, report: R) {
        drop(self.reports.send(report));
    }
}

/// The queue of a disk's thread. The thread ends once this is dropped and the queue is empty, or when the disk fails.
///
/// The queue is unbounded. A store's state machine accepts messages only within its limits of memory and disk, which bound
/// what waits here. The core's has no such limit: what waits is what operators, placements and views add while a disk
/// stalls.
pub struct DiskThread<C> {
    commands: Sender<C>,
    /// Never joined: the process may end while the last batch is written, which is as good as a crash.
    _thread: JoinHandle<()>,
}

impl<C> DiskThread<C> {
    /// Starts the thread.
    pub fn start<W: DiskWriter<Command = C>>(writer: W, reports: UnboundedSender<W::Report>) -> Self
    where
        C: Send + 'static,
    {
        let (commands, queue) = channel();
        let reports = ReportSender { reports };
        let thread = std::thread::spawn(move || run(writer, &queue, &reports));
        DiskThread { commands, _thread: thread }
    }

    /// Queues a command.
    pub fn send(&self, command: C) {
        // The thread ends only after it has reported why.
        drop(self.commands.send(command));
    }
}

fn run<W: DiskWriter>(mut writer: W, queue: &Receiver<W::Command>, reports: &ReportSender<W::Report>) {
    while let Ok(first) = queue.recv() {
        let mut batch = std::iter::once(first).chain(queue.try_iter());
        let written = batch.try_for_each(|command| writer.write(command));
        if let Err(error) = written.and_then(|()| writer.commit(reports)) {
            reports.send(W::failure(error));
            return;
        }
        if reports.reports.is_closed() {
            return;
        }
    }
}
