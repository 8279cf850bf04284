//! Assembles the parts of the dispatcher, runs until it has stopped, and shuts the parts down in order.

use crate::error::StartError;
use crate::logging::Threshold;
use crate::reload::Reload;
use crate::{signals, status};
use millrudder_admission::Capacity;
use millrudder_config::settings::Settings;
use millrudder_config::{Config, Source};
use millrudder_core::dispatch::{Dispatch, DispatchDependencies, HandoverState, PendingSettings};
use millrudder_core::worker_list::WorkerListWatcher;
use millrudder_core::worker_transport::{self, HttpTransport};
use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::intake::Classes;
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::{AdmissionGate, Drain, Exchange, FrontContext, PeerProcess, PeerRole, RetryAdvice};
use millrudder_front_grpc::GrpcFront;
use millrudder_front_http::{HttpFront, Listen};
use millrudder_front_operators as operators;
use millrudder_upgrade as upgrade;
use millrudder_wire::{descriptor, STACK_WORDS};
use signal_hook::iterator::Signals;
use slog::Logger;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;

/// How long the 202 of a cancelled request is awaited (ms). A 202 that is on its way comes within a few round trips; the
/// connection to a slower worker is closed.
const CANCEL_GRACE_MS: f64 = 25.0;
/// How long a connection is not reused after a response (ms): a duplicate of the response comes some milliseconds late.
const REUSE_DELAY_MS: f64 = 30.0;
/// Longest wait at the end for connections and messages that are still to be passed to a successor (ms).
const FINAL_TRANSFER_MS: f64 = 250.0;
/// Most polls, 5 ms apart, for the last answers to be written at the end.
const FINAL_WRITE_POLLS: usize = 40;

/// Everything that a dispatcher is started with.
pub struct Setup {
    pub config: Config,
    pub settings: Settings,
    /// The configuration files that SIGHUP reads again; none in the demo.
    pub files: Option<(Source, Option<PathBuf>)>,
    pub signals: Signals,
    pub threshold: Threshold,
    pub counters: Arc<Counters>,
    pub log: Logger,
}

/// Sets up the coroutine scheduler with one thread: there is one CPU core, and coroutines that share a thread need no
/// synchronization between threads.
pub fn start_coroutines() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
}

/// Starts a dispatcher and runs it until it has stopped. Calls `running` once all fronts listen.
///
/// # Errors
/// A part cannot be started, or the dispatch coroutine has failed.
pub fn serve(setup: Setup, running: impl FnOnce(&Exchange)) -> Result<(), StartError> {
    let Setup { config, settings, files, signals, threshold, counters, log } = setup;
    let clock = Clock::start();
    // Before anything else opens a descriptor: the inherited number must not name one of this process's own.
    let inherited = config.inherited.as_deref().map(descriptor::inherited_listener).transpose();
    let inherited = inherited.map_err(StartError::InheritedListener)?;
    let predecessor =
        config.upgrade_socket.as_deref().and_then(|path| upgrade::find_predecessor(path, clock, &log));
    let handover_state =
        predecessor.as_ref().and_then(|predecessor| read_handover_state(&predecessor.state.core, &log));
    let peer_process = PeerProcess::default();
    let drain = Drain::default();
    if predecessor.as_ref().is_some_and(|predecessor| predecessor.state.drained) {
        drain.begin(clock.now());
    }
    let longest = config.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    let stopping = Stopping::new(longest);
    let (exchange, inbox) = Exchange::new();
    let shares = config.budget.share_out(&settings);
    let capacity = Capacity { places: shares.places, bytes: shares.bodies };
    let admission_gate = AdmissionGate::new(capacity, &shares.weights, clock);
    let (pending_settings, classes) = (PendingSettings::default(), Classes::new(config.classes()));
    let advice = RetryAdvice::new(config.settings.limits.retry_after);
    let reload = files.map(|(source, file)| Reload {
        source,
        settings: file,
        running: settings.clone(),
        admission_gate: admission_gate.clone(),
        threshold,
        pending_settings: pending_settings.clone(),
        classes: classes.clone(),
        stopping: stopping.clone(),
        advice: advice.clone(),
        clock,
    });
    signals::listen(signals, reload, exchange.clone(), counters.clone(), log.clone())
        .map_err(StartError::Signals)?;

    let limits = worker_transport::ConnectionLimits {
        connections: config.budget.worker_connections,
        connect_timeout: config.settings.limits.connect_timeout,
        conn_idle: config.conn_idle,
        cancel_grace: CANCEL_GRACE_MS,
        reuse_delay: REUSE_DELAY_MS,
    };
    let transport =
        HttpTransport::new(limits, exchange.clone(), peer_process.clone(), counters.clone(), clock);
    let (generation, known) = match &handover_state {
        Some(handover_state) => (handover_state.generation(), Some(handover_state.worker_list())),
        None => {
            config.known.clone().map(|list| (Some(list.generation), Some(list.update))).unwrap_or_default()
        }
    };
    let worker_list = WorkerListWatcher::follow(
        config.discovery,
        generation,
        exchange.clone(),
        counters.clone(),
        clock,
        log.clone(),
    );
    let core = FrontContext {
        exchange: exchange.clone(),
        admission_gate,
        counters: counters.clone(),
        stopping: stopping.clone(),
        drain,
        peer_process: peer_process.clone(),
        serving: Arc::default(),
        clock,
        classes,
        advice,
        log: log.clone(),
    };
    let control = settings.upgrade.control.as_deref().map(|path| status::open(path, &core)).transpose()?;
    let sender = HttpFront::new(shares.http, core.clone());
    let dependencies = DispatchDependencies {
        exchange: exchange.clone(),
        transport,
        worker_list,
        peer_process: peer_process.clone(),
        pending_settings,
        counters,
        stopping,
        clock,
    };
    let dispatch = Dispatch::new(&config, dependencies);

    if let Some(address) = config.mgmt {
        let opened = operators::bind(address).and_then(|listener| operators::open(listener, core.clone()));
        opened.map_err(|source| StartError::ListenForOperators { address, source })?;
        slog::info!(log, "operators are answered"; "listen" => %address);
    }
    // Started before the fronts, so that the decision module knows the last worker list before the first client
    // connects.
    let dispatching = may::go!(move || dispatch.run(&inbox, known, handover_state.as_ref()));
    let listen = settings.fronts.http.listen.map_or(config.listen, |address| address.0);
    let opens = inherited.map_or(Listen::Address(listen), Listen::Socket);
    // A successor listens at once, but accepts only when the predecessor has stopped accepting.
    peer_process.accept(predecessor.is_none());
    sender.open(opens).map_err(|source| StartError::Listen { address: listen, source })?;
    // Opened before the handover: if it fails, this process exits while the predecessor still serves.
    let grpc = match (settings.fronts.grpc, shares.grpc) {
        (Some(grpc), Some(budget)) => {
            let address = grpc.listen.0;
            let opened =
                GrpcFront::open(address, config.upgrade_socket.is_some(), grpc.limits, budget, core.clone());
            Some(opened.map_err(|source| StartError::Listen { address, source })?)
        }
        _ => None,
    };
    let context = config.upgrade_socket.clone().map(|path| {
        let front = Arc::new(UpgradableHttpFront(sender.clone()));
        upgrade::UpgradeContext { core: core.clone(), front, path }
    });
    match (predecessor, &context) {
        (Some(predecessor), Some(context)) => {
            predecessor.take_over(context.clone()).map_err(StartError::Upgrade)?
        }
        (_, Some(context)) => {
            if let Err(error) = upgrade::await_successors(context.clone()) {
                slog::warn!(log, "upgrade: cannot listen for successors, the next process will serve beside this one"; "why" => %error);
            }
            core.set_serving();
        }
        _ => core.set_serving(),
    }
    slog::info!(log, "serving"; "name" => &config.name, "listen" => %listen);
    if let Some(grpc) = &grpc {
        slog::info!(log, "serving gRPC"; "listen" => %grpc.address());
    }
    running(&exchange);
    dispatching.join().map_err(|_| StartError::DispatchFailed)?;
    context.iter().for_each(|context| upgrade::flush_transfers(context, FINAL_TRANSFER_MS));
    finish(&sender, grpc);
    drop(control);
    Ok(())
}

/// The HTTP/1.1 front, through the interface that an upgrade uses.
struct UpgradableHttpFront(HttpFront);

impl upgrade::Front for UpgradableHttpFront {
    fn adopt(&self, stream: TcpStream, standing: PeerRole) {
        self.0.adopt(stream, standing);
    }

    fn take_news(&self, body: &[u8]) {
        self.0.take_news(body);
    }

    fn inbound(&self) -> usize {
        self.0.connections()
    }
}

fn read_handover_state(bytes: &[u8], log: &Logger) -> Option<HandoverState> {
    HandoverState::decode(bytes)
        .map_err(|why| slog::warn!(log, "upgrade: the predecessor's handover state cannot be read, starting without it"; "why" => %why))
        .ok()
}

/// Shuts the fronts down. Every job has its answer by now; waits until the answers are written out.
fn finish(sender: &HttpFront, grpc: Option<GrpcFront>) {
    sender.close_idle_connections();
    for _ in 0..FINAL_WRITE_POLLS {
        if sender.unsent_answers() + grpc.as_ref().map_or(0, GrpcFront::unsent_answers) == 0 {
            break;
        }
        std::thread::sleep(span(5.0));
    }
    std::thread::sleep(span(50.0));
    grpc.into_iter().for_each(GrpcFront::finish);
}
