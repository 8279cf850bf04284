//! Unit tests of `timeout`.

use super::*;

#[test]
fn timeouts_are_parsed_in_every_grpc_unit() {
    for (text, ms) in
        [("5S", 5_000.0), ("480m", 480.0), ("1500u", 1.5), ("2M", 120_000.0), ("1000000n", 1.0), ("0m", 0.0)]
    {
        assert_eq!(parse(text.as_bytes()), Some(ms), "{text}");
    }
    assert_eq!(parse(b"99999999H"), Some(LONGEST_WAIT_MS));
    for bad in ["", "5", "S", "5s", "-5S", "+5S", "1.5S", "123456789m", "5 S", "\u{0661}S"] {
        assert_eq!(parse(bad.as_bytes()), None, "{bad}");
    }
    millrudder_testing::garbage(22, b"4800m", |bytes| assert!(parse(bytes).is_none_or(|ms| ms >= 0.0)));
}
