//! The form of key-value pairs in log lines.

use super::{write_pairs, LoggedStoreId};
use millrudder_protocol::StoreId;

fn written(pairs: &[(&str, &str)]) -> String {
    let mut output = Vec::new();
    write_pairs(&mut output, &pairs).expect("a vector takes all bytes");
    String::from_utf8(output).expect("pairs are text")
}

#[test]
fn pairs_stand_in_order_after_the_message() {
    assert_eq!(written(&[("epoch", "7"), ("zone", "a")]), " epoch=7 zone=a");
    assert_eq!(written(&[]), "");
}

#[test]
fn values_that_are_no_single_word_are_quoted() {
    assert_eq!(written(&[("error", "disk full"), ("epoch", "7")]), " error=\"disk full\" epoch=7");
    assert_eq!(written(&[("error", "")]), " error=\"\"");
    assert_eq!(written(&[("error", "a \"b\"\nc")]), " error=\"a \\\"b\\\"\\nc\"");
}

#[test]
fn store_identities_are_hexadecimal() {
    assert_eq!(LoggedStoreId(StoreId(0x1a)).to_string(), "1a");
}
