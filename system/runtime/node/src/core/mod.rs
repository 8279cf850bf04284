//! The role of a core machine: one replica of the control state, the operator's API, and the reader of the platform's
//! list of workers.
//!
//! **State.** A core machine owns a replica of the control state (configuration, placement of shards, retirements) and
//! the record of its part in the agreement on views and leases; both are durable, in its [`journal`]. All else is kept in
//! memory only and is learnt again after a start: the list of workers, the registrants, the other machines' addresses.
//!
//! **Order.** Nothing is sent or answered before the records that it rests on are reported as persisted; the state machine
//! sees to that. Registrants and operators get no part of the state before a linearizable read has confirmed it. After a
//! failure of its disk the machine closes all its connections and starts again from what the disk holds.

mod bootstrap;
mod confirmation;
mod controller;
mod dispatcher_count;
mod event;
mod followed;
mod host;
mod journal;
mod messages;
mod operator;
mod peer_directory;
mod peers;
mod registrants;
mod supervisor;
mod worker_list;
mod worker_list_reader;

pub use messages::ToCorePort;

use crate::error::RoleError;
use crate::listen::{accept_internal, internal_address, listen, InternalPort};
use crate::signals::Signals;
use arc_swap::ArcSwap;
use event::Event;
use journal::OpenedJournal;
use millrudder_protocol::frame::MAX_CONTENT_BYTES;
use millrudder_settings::Settings;
use millrudder_system_http::front::{self, RequestLimits, ServerLimits, Stop, StopPlan};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use supervisor::Supervisor;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Largest body of an operator's request, in bytes: a configuration of ten thousand routes. It is sent to the other core
/// machines and to dispatchers in one frame each; a larger one would be accepted here and never get any further.
const MAX_REQUEST_BYTES: usize = MAX_CONTENT_BYTES / 2;
/// A machine that stops still answers operators for this long.
const OPERATOR_DRAIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// A machine that stops takes part in the core until that can do without it, or until so long before the platform ends
/// the process by force.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Serves as a core machine until a signal asks the process to stop.
///
/// # Errors
/// It cannot start.
pub async fn run(settings: Settings, file: PathBuf, mut signals: Signals) -> Result<(), RoleError> {
    let folder = settings.data_dir.clone().ok_or(RoleError::MissingKey { key: "dataDir" })?;
    let control =
        settings.bind.control_plane.ok_or(RoleError::MissingKey { key: "bindAddrs.controlPlane" })?;
    let internal = internal_address(&settings, InternalPort::Core);
    // Its bounds are those of `accept_internal` and of the operator's connections, each with one request.
    let (events, queue) = unbounded_channel();
    let opened = OpenedJournal::open(&folder)?;

    let stop = Stop::new();
    let limits = RequestLimits { max_body_bytes: MAX_REQUEST_BYTES, ..RequestLimits::default() };
    let limits = Arc::new(ArcSwap::from_pointee(limits));
    let handler = operator::serve(internal, events.clone());
    let server = front::serve(listen(control)?, ServerLimits::default(), limits, handler, stop.clone());
    let server = tokio::task::spawn_local(server);
    let _acceptor = accept_internal(listen(internal)?, events.clone(), Event::Inbound);

    let grace = settings.bounds.grace;
    let supervisor = Supervisor::new(settings, folder, internal, events.clone());
    let stopped = async {
        signals.wait_for_stop(|| drop(events.send(Event::Reload { file: file.clone() }))).await;
        log::info!("shutting down, leaving the core");
        let longest = grace.saturating_sub(STOP_MARGIN);
        let (done, departure) = oneshot::channel();
        drop(events.send(Event::ShutdownRequested { done }));
        let finish_within = OPERATOR_DRAIN_TIMEOUT.min(longest);
        stop.begin(StopPlan { accept_for: Duration::ZERO, finish_within });
        let (_, departure) = tokio::join!(server, timeout(longest, departure));
        if departure.is_err() {
            log::warn!("shutdown time-out, the core may still need this machine");
        }
    };
    tokio::select! {
        ended = supervisor.serve(opened, queue) => ended,
        () = stopped => Ok(()),
    }
}
