//! What the platform says by signals: stop (SIGTERM, SIGINT), read the configuration again (SIGHUP), print the
//! counters (SIGUSR1).

use millrudder_config::Source;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{Exchange, Message};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use slog::Logger;
use std::io;
use std::sync::Arc;

/// From here on none of these ends the process by itself; what comes before `listen` waits for it.
pub fn catch() -> io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP])
}

/// Waits for signals on a thread of its own: handlers cannot run coroutines, a wait or a look into the
/// configuration's file would block them all.
pub fn listen(
    mut signals: Signals,
    source: Source,
    exchange: Exchange,
    counters: Arc<Counters>,
    log: Logger,
) -> io::Result<()> {
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => slog::info!(log, "counters: {}", counters.line()),
                SIGHUP => reload(&source, &exchange, &counters, &log),
                _ => {
                    slog::info!(log, "told to stop"; "signal" => signal);
                    exchange.put(Message::Stop);
                }
            }
        }
    })?;
    Ok(())
}

/// All of a file that cannot be used is passed over: the running configuration stands.
fn reload(source: &Source, exchange: &Exchange, counters: &Counters, log: &Logger) {
    match source.reload() {
        Ok(reloaded) => {
            counters.reloads_good.add();
            slog::info!(log, "configuration read again"; "discovery" => %reloaded.discovery);
            if !reloaded.kept.is_empty() {
                slog::warn!(log, "not changed while running: {}", reloaded.kept.join(", "));
            }
            exchange.put(Message::Discovery(reloaded.discovery));
        }
        Err(error) => {
            counters.reloads_bad.add();
            slog::error!(log, "configuration not changed: {}", error);
        }
    }
}
