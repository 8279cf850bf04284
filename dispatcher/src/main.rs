//! The real dispatcher: takes jobs from clients, has millrudder's module decide which next hop gets each, and
//! gives each client its one answer.
//!
//! A request passes `sender` (accept, intake), `exchange`, `dispatch` (the module), `next_hop`, and comes back
//! the same way; `transport_map` follows discovery beside it.

mod logging;
mod signals;

use millrudder_config::{Config, Source};
use millrudder_core::dispatch::Dispatch;
use millrudder_core::next_hop::{self, NextHops};
use millrudder_core::transport_map::TransportMap;
use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::Exchange;
use millrudder_front_http::SenderSide;
use millrudder_wire::STACK_WORDS;
use signal_hook::iterator::Signals;
use slog::Logger;
use std::process::ExitCode;
use std::sync::Arc;

/// A 202 on its way comes within a few round trips; a next hop that is slower than this is cut off.
const CALL_OFF_GRACE_MS: f64 = 25.0;
/// How long answers may take to be written at the end.
const LAST_WRITES: usize = 40;

fn main() -> ExitCode {
    let (log, guard) = logging::start();
    let code = match start(&log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            slog::crit!(log, "{}", problem);
            ExitCode::FAILURE
        }
    };
    drop(log);
    drop(guard);
    code
}

/// One worker: there is one core, and coroutines of one thread need no order among threads.
fn start_coroutines() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
}

fn start(log: &Logger) -> Result<(), String> {
    let signals = signals::catch().map_err(|e| format!("signals: {e}"))?;
    let (config, source) = Config::load().map_err(|e| format!("configuration: {e}"))?;
    start_coroutines();
    let counters = Arc::new(Counters::default());
    let outcome = serve(config, source, signals, &counters, log);
    slog::info!(log, "counters: {}", counters.line());
    outcome
}

fn serve(
    config: Config,
    source: Source,
    signals: Signals,
    counters: &Arc<Counters>,
    log: &Logger,
) -> Result<(), String> {
    let clock = Clock::start();
    let longest = config.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    let stopping = Stopping::new(longest);
    let (exchange, inbox) = Exchange::new();
    signals::listen(signals, source, exchange.clone(), counters.clone(), log.clone())
        .map_err(|e| format!("signals: {e}"))?;

    let limits = next_hop::Limits {
        connections: config.budget.next_hops,
        connect_timeout: config.settings.limits.connect_timeout,
        conn_idle: config.conn_idle,
        call_off_grace: CALL_OFF_GRACE_MS,
    };
    let next_hops = NextHops::new(limits, exchange.clone(), counters.clone(), clock);
    let generation = config.known.as_ref().map(|list| list.generation);
    let map = TransportMap::follow(
        config.discovery,
        generation,
        exchange.clone(),
        counters.clone(),
        clock,
        log.clone(),
    );
    let sender =
        SenderSide::new(&config, exchange.clone(), counters.clone(), stopping.clone(), clock, log.clone());
    let dispatch = Dispatch::new(&config, exchange, next_hops, map, counters.clone(), stopping, clock);
    let known = config.known.map(|list| list.news);

    // The module knows the last list before the first client can come.
    let core = may::go!(move || dispatch.run(&inbox, known));
    sender.open(config.listen).map_err(|e| format!("listen on {}: {e}", config.listen))?;
    slog::info!(log, "serving"; "name" => &config.name, "listen" => %config.listen);
    core.join().map_err(|_| "the dispatch coroutine has failed".to_owned())?;
    finish(&sender);
    Ok(())
}

/// Nothing is owed; what has been answered is still to be written out.
fn finish(sender: &SenderSide) {
    sender.end_idle();
    for _ in 0..LAST_WRITES {
        if sender.busy() == 0 {
            break;
        }
        std::thread::sleep(span(5.0));
    }
    std::thread::sleep(span(50.0));
}
