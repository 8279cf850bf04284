//! The complete program: real processes on loopback, with stand-ins for everything outside the system.

mod answers;
mod cluster;
mod command_line;
mod configuration;
mod disk_failures;
mod early_signals;
mod forwarding;
mod hostile;
mod largest_values;
mod log_lines;
mod messages;
mod quorum;
mod recovery;
mod retirement;
mod stops;
mod workers;
