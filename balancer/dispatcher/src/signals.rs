//! What the platform says by signals: stop (SIGTERM, SIGINT), read the configuration again (SIGHUP), print the
//! counters (SIGUSR1).

use crate::reload::Reload;
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
/// configuration's file would block them all. `reload`: none where there is no file to read again.
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
