//! What the dispatcher takes in, sends and answers, counted. Printed at exit, on SIGUSR1 and at `GET /counters`.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// One counter; it only grows.
#[derive(Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Counts one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
    /// Counts `n`.
    pub fn add_all(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }
    /// The count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// One struct, one list of names: a counter cannot be left out of the print.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// All counters of the program.
        #[derive(Default)]
        pub struct Counters {
            $(#[doc = concat!("The counter `", stringify!($name), "`, under the name that is printed.\n\n")] $(#[$doc])* pub $name: Counter,)*
        }
        impl Counters {
            fn each(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

counters! {
    taken,
    /// Answered without the core: bytes that are no HTTP or whose end two readers could see differently ...
    rejected_malformed,
    /// ... heads, targets or bodies over the limits ...
    rejected_too_large,
    /// ... paths and methods that are not served ...
    rejected_unknown,
    /// ... jobs whose headers are missing, doubled or cannot be read ...
    rejected_headers,
    /// ... the id of a job that is under way ...
    rejected_repeated,
    /// ... requests that did not come whole in time ...
    rejected_too_slow,
    /// ... and those that found the memory for inbound bytes full.
    rejected_no_memory,
    /// Refused at the door for want of descriptors, or because the dispatcher stops.
    turned_away,
    withdrawn,
    answered_served,
    answered_deferred,
    answered_failed,
    /// Answered by the safety net at the deadline: the module had left the request open.
    answered_overdue,
    attempts_sent,
    attempts_accepted,
    outcome_ok,
    outcome_failed,
    outcome_full,
    outcome_timed_out,
    outcome_connect_error,
    outcome_reset,
    outcome_canceled,
    outcome_ignored,
    calls_off,
    news,
    /// Call-backs for an attempt that is over or unknown.
    news_stale,
    news_bad,
    probes,
    connections_in,
    /// Connections closed to make room.
    connections_evicted,
    /// Connections that had their time for a first request, a head, a body, an answer or a last look.
    connections_timed_out,
    connections_out,
    connections_reused,
    /// Kept ones that were found dead before a request's last byte.
    connections_died,
    /// Attempts for which no descriptor was free in time.
    connections_lacking,
    connects_failed,
    accept_errors,
    map_calls,
    map_failures,
    /// Watches that fell silent and were opened anew at once.
    map_silent,
    map_bad,
    map_changes,
    /// Turns to another discovery.
    map_moves,
    reloads_good,
    /// Files that were refused on SIGHUP.
    reloads_bad,
    /// Calls at the operators' address: carried out, ...
    operator_calls,
    /// ... answered with `fail`, ...
    operator_fails,
    /// ... closed without one: nothing whole came in time, or room was short.
    operator_closed,
    /// Call-backs that went over to the other process of an upgrade, ...
    news_passed_on,
    /// ... and connections.
    connections_passed_on,
    connections_taken_over,
    /// Predecessors' maps and memories taken in, and those that could not be used.
    legacies,
    legacies_bad,
    bans,
    bans_ended,
    drains,
    /// Jobs that the gRPC front has submitted.
    grpc_jobs,
    grpc_connections,
    /// Connections closed at once because every other one had a job here.
    grpc_connections_refused,
    /// Connections that the peer broke, or that broke HTTP/2's rules.
    grpc_broken,
    /// Calls that their clients cancelled or left.
    grpc_cancelled,
    /// Streams over the bound on calls at once.
    grpc_streams_refused,
    /// Header lists over their bound.
    grpc_headers_too_large,
    /// Connections without a call for so long that they were told to go.
    grpc_idle,
    /// Prefaces, header blocks and calls that did not come whole in time.
    grpc_too_slow,
    /// Answers, or whole connections, whose peers did not take what was written.
    grpc_stalled,
    /// Connections ended for too many PINGs ...
    grpc_flood_ping,
    /// ... SETTINGS ...
    grpc_flood_settings,
    /// ... calls reset as soon as they were made ...
    grpc_flood_reset,
    /// ... CONTINUATIONs of one header block ...
    grpc_flood_continuation,
    /// ... and other frames that bring nothing.
    grpc_flood_other,
}

impl Counters {
    /// One `name value` a line.
    pub fn print(&self) -> String {
        self.each().iter().fold(String::new(), |mut text, (name, value)| {
            let _ = writeln!(text, "{name} {value}");
            text
        })
    }

    /// On one line, for the log.
    pub fn line(&self) -> String {
        let parts: Vec<String> = self.each().iter().map(|(name, value)| format!("{name}={value}")).collect();
        parts.join(" ")
    }
}
