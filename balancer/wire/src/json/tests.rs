//! Unit tests of `json`.

use super::*;

#[test]
fn deep_nesting_is_refused_before_parsing() {
    // A stack overflow in a coroutine would crash the whole dispatcher.
    let deep = "[".repeat(100_000);
    assert_eq!(parse(deep.as_bytes()), Err(JsonError::TooDeep));
    assert!(
        parse(br#"{"a":"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[["}"#).is_ok(),
        "brackets in strings do not nest"
    );
}

#[test]
fn the_deepest_allowed_nesting_fits_a_coroutines_stack() {
    may::go!(may::coroutine::Builder::new().stack_size(crate::STACK_WORDS), || {
        let text = format!("{}1{}", r#"{"a":["#.repeat(MAX_DEPTH / 2), "]}".repeat(MAX_DEPTH / 2));
        assert!(parse(text.as_bytes()).is_ok());
    })
    .expect("a coroutine")
    .join()
    .expect("parsed");
}

#[test]
fn messages_name_the_key() {
    let doc = parse(br#"{"settings":{"lanes":[{"aim":"x"}]}}"#).unwrap();
    let lane = &Node::root(&doc).at("settings").at("lanes").items().unwrap()[0];
    let error = lane.at("aim").number().unwrap_err();
    assert_eq!(error.to_string(), "key settings.lanes[0].aim: a number is wanted");
}
