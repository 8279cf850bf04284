//! The program as a whole: real processes on loopback, with stand-ins for everything outside the system.

mod answers;
mod cluster;
mod command_line;
mod configuration;
mod contact;
mod hostile;
mod messages;
mod passing_on;
mod recovery;
mod retirement;
mod stops;
mod workers;
