//! Signals: stop (SIGTERM, SIGINT), reload of the configuration (SIGHUP), output of the counters to the log (SIGUSR1).

use crate::reload::Reload;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{Exchange, Message};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use slog::Logger;
use std::io;
use std::sync::Arc;

/// Takes over the handling of these signals, so that none ends the process by default. Signals that come before
/// [`listen`] are kept for it.
pub fn catch() -> io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP])
}

/// Handles signals on a thread of its own: a signal handler cannot run coroutines, and in a coroutine the wait for a
/// signal or the reading of a file would block all others. `reload` is `None` if there is no file to read again.
pub fn listen(
    mut signals: Signals,
    reload: Option<Reload>,
    exchange: Exchange,
    counters: Arc<Counters>,
    log: Logger,
) -> io::Result<()> {
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            match (signal, &reload) {
                (SIGUSR1, _) => slog::info!(log, "counters: {}", counters.line()),
                (SIGHUP, Some(reload)) => reload.run(&exchange, &counters, &log),
                (SIGHUP, None) => slog::info!(log, "nothing to read again"),
                _ => {
                    slog::info!(log, "told to stop"; "signal" => signal);
                    exchange.send(Message::Stop);
                }
            }
        }
    })?;
    Ok(())
}
