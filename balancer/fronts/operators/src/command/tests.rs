//! Unit tests of `command`.

use super::*;
use millrudder_testing::garbage;

#[test]
fn each_command_has_one_form() {
    assert_eq!(parse(b"READY"), Ok(Command::Ready));
    assert_eq!(parse(b"DRAIN\r"), Ok(Command::Drain));
    assert_eq!(parse(b"UNDRAIN"), Ok(Command::Undrain));
    assert_eq!(parse(b"DISABLE s-0badcafe"), Ok(Command::Disable("s-0badcafe".to_owned())));
    assert_eq!(parse(b"ENABLE s-1\r"), Ok(Command::Enable("s-1".to_owned())));
}

#[test]
fn each_malformed_line_has_its_own_error() {
    let long = format!("DISABLE {}", "s".repeat(LINE_LIMIT));
    for (line, error) in [
        (&b""[..], CommandError::UnknownWord),
        (b"ready", CommandError::UnknownWord),
        (b"STOP", CommandError::UnknownWord),
        (b"READY now", CommandError::TooManyWords),
        (b"DRAIN s-1", CommandError::TooManyWords),
        (b"DISABLE", CommandError::MissingId),
        (b"ENABLE s-1 s-2", CommandError::TooManyWords),
        (b"ENABLE s/1", CommandError::BadId),
        (b"DISABLE\ts-1", CommandError::NotText),
        (b"DISABLE s-\xff", CommandError::NotText),
        (b"DRAIN\r\r", CommandError::NotText),
        (long.as_bytes(), CommandError::TooLong),
    ] {
        assert_eq!(parse(line), Err(error), "{:?}", String::from_utf8_lossy(line));
    }
    garbage(15, b"DISABLE s-0badcafe", |bytes| drop(parse(bytes)));
}
