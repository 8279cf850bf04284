//! Unit tests of `call`.

use super::*;
use millrudder_testing::garbage;

#[test]
fn each_call_has_one_form() {
    assert_eq!(parse(b"READY"), Ok(Call::Ready));
    assert_eq!(parse(b"DRAIN\r"), Ok(Call::Drain));
    assert_eq!(parse(b"UNDRAIN"), Ok(Call::Undrain));
    assert_eq!(parse(b"DISABLE s-0badcafe"), Ok(Call::Disable("s-0badcafe".to_owned())));
    assert_eq!(parse(b"ENABLE s-1\r"), Ok(Call::Enable("s-1".to_owned())));
}

#[test]
fn whatever_else_is_named() {
    let long = format!("DISABLE {}", "s".repeat(LINE_LIMIT));
    for (line, wrong) in [
        (&b""[..], BadCall::UnknownWord),
        (b"ready", BadCall::UnknownWord),
        (b"STOP", BadCall::UnknownWord),
        (b"READY now", BadCall::TooMuch),
        (b"DRAIN s-1", BadCall::TooMuch),
        (b"DISABLE", BadCall::MissingId),
        (b"ENABLE s-1 s-2", BadCall::TooMuch),
        (b"ENABLE s/1", BadCall::BadId),
        (b"DISABLE\ts-1", BadCall::NotText),
        (b"DISABLE s-\xff", BadCall::NotText),
        (b"DRAIN\r\r", BadCall::NotText),
        (long.as_bytes(), BadCall::TooLong),
    ] {
        assert_eq!(parse(line), Err(wrong), "{:?}", String::from_utf8_lossy(line));
    }
    garbage(15, b"DISABLE s-0badcafe", |bytes| drop(parse(bytes)));
}
