//! Unit tests of `cli`.

use super::*;
use clap::CommandFactory;

#[test]
fn the_command_line_is_sound_and_needs_no_command() {
    Cli::command().debug_assert();
    assert!(Cli::try_parse_from(["millrudder"]).is_ok_and(|cli| cli.command.is_none()));
    assert!(Cli::try_parse_from(["millrudder", "demo", "--rate", "-1"]).is_err());
    let cli = Cli::try_parse_from(["millrudder", "check", "--settings", "m.yaml"]).unwrap();
    assert_eq!(cli.files.settings, Some(PathBuf::from("m.yaml")));
}
