//! Event counters of the dispatcher, printed at exit, on SIGUSR1 and at `GET /counters`.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that only increases.
#[derive(Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds 1.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
    /// Adds `n`.
    pub fn add_all(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }
    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Declares the struct and its list of names together, so that no counter can be missing from the printed output.
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
    /// Jobs that the core has accepted.
    taken,
    /// Requests refused before they reached the core because they are not valid HTTP, or because two readers could
    /// disagree on where they end.
    rejected_malformed,
    /// Requests refused because the head, the target or the body is over its limit.
    rejected_too_large,
    /// Requests refused because the path or the method is not served.
    rejected_unknown,
    /// Jobs refused because a header is missing, repeated or cannot be read.
    rejected_headers,
    /// Jobs refused because a job with the same id has not been answered yet.
    rejected_repeated,
    /// Requests refused because they were not complete in time.
    rejected_too_slow,
    /// Requests refused because the memory for inbound bytes was full.
    rejected_no_memory,
    /// Jobs refused before they reached the core because the dispatcher had no room for them (the places are
    /// limited by the file descriptors), or because it is stopping.
    turned_away,
    /// Jobs whose clients disconnected or cancelled before the answer.
    withdrawn,
    answered_served,
    answered_deferred,
    answered_failed,
    /// Jobs that got the fallback answer at their deadline because the decision module had not answered them.
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
    /// Call-backs for an attempt that has ended or is unknown.
    news_stale,
    news_bad,
    probes,
    connections_in,
    /// Inbound connections closed to make room for others.
    connections_evicted,
    /// Inbound connections closed by a time-out: for the first request, a head, a body, an answer or the
    /// lingering close.
    connections_timed_out,
    connections_out,
    connections_reused,
    /// Reused keep-alive connections to workers that were found dead before a request's last byte was sent.
    connections_died,
    /// Attempts for which no file descriptor was free in time.
    connections_lacking,
    connects_failed,
    accept_errors,
    map_calls,
    map_failures,
    /// Watch calls to discovery that got no answer in time and were opened again at once.
    map_silent,
    map_bad,
    map_changes,
    /// Changes to another discovery address.
    map_moves,
    reloads_good,
    /// Settings files that were refused on SIGHUP.
    reloads_bad,
    /// Operators' calls that were carried out.
    operator_calls,
    /// Operators' calls answered with `fail`.
    operator_fails,
    /// Operators' connections closed without an answer, because no complete call came in time or because a new
    /// connection needed the room.
    operator_closed,
    /// Call-backs forwarded to the other process of an upgrade.
    news_passed_on,
    /// Connections passed to the other process of an upgrade.
    connections_passed_on,
    connections_taken_over,
    /// Worker lists and learned values taken over from a predecessor process.
    legacies,
    /// Worker lists and learned values of a predecessor process that could not be used.
    legacies_bad,
    bans,
    bans_ended,
    drains,
    /// Jobs that the gRPC front has submitted.
    grpc_jobs,
    grpc_connections,
    /// gRPC connections closed at once because the limit was reached and every other connection had a job.
    grpc_connections_refused,
    /// gRPC connections that the peer broke off, or that violated HTTP/2.
    grpc_broken,
    /// Calls that clients cancelled, or whose clients disconnected.
    grpc_cancelled,
    /// Streams refused by the limit on concurrent calls.
    grpc_streams_refused,
    /// Header lists over the size limit.
    grpc_headers_too_large,
    /// gRPC connections closed with GOAWAY because they had no call for too long.
    grpc_idle,
    /// Prefaces, header blocks and calls that were not complete in time.
    grpc_too_slow,
    /// Answers or whole connections given up because the peer did not read what was written.
    grpc_stalled,
    /// Connections closed for too many PING frames.
    grpc_flood_ping,
    /// Connections closed for too many SETTINGS frames.
    grpc_flood_settings,
    /// Connections closed for too many calls that were reset right after they were opened.
    grpc_flood_reset,
    /// Connections closed for too many CONTINUATION frames in one header block.
    grpc_flood_continuation,
    /// Connections closed for too many other frames without content.
    grpc_flood_other,
}

impl Counters {
    /// Formats all counters, one `name value` per line.
    pub fn print(&self) -> String {
        self.each().iter().fold(String::new(), |mut text, (name, value)| {
            let _ = writeln!(text, "{name} {value}");
            text
        })
    }

    /// Formats all counters on one line, for the log.
    pub fn line(&self) -> String {
        let parts: Vec<String> = self.each().iter().map(|(name, value)| format!("{name}={value}")).collect();
        parts.join(" ")
    }
}
