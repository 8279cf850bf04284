//! Prints a report on the files of both storage packages in a folder, and whether they are sound; changes nothing.
//!
//! `cargo run -p millrudder-segments --example inspect -- FOLDER`; ends with 1 if something is unsound.

use millrudder_checkpoint_store::{RealFolder, StorageError};
use std::path::Path;
use std::process::ExitCode;

fn main() -> Result<ExitCode, StorageError> {
    let Some(path) = std::env::args_os().nth(1) else {
        eprintln!("usage: inspect FOLDER");
        return Ok(ExitCode::from(2));
    };
    let folder = RealFolder::existing(Path::new(&path))?;
    let state = millrudder_checkpoint_store::inspect(&folder)?;
    println!("{state}");
    let log = millrudder_segments::inspect(&folder)?;
    println!("{log}");
    Ok(ExitCode::from(u8::from(!(state.is_sound() && log.is_sound()))))
}
