//! Message identifiers and frames: what is encoded decodes to the same, and nothing else is taken for a frame.

use millrudder_protocol::frame::{
    self, decode, encode, Content, FrameError, HEADER_BYTES, KEEP_ALIVE, MAX_CONTENT_BYTES,
};
use millrudder_protocol::store::{FromDispatcher, QueryAnswer, ToDispatcher};
use millrudder_protocol::{Address, MessageId, RequestNumber, ShardId};
use proptest::prelude::*;
use speedy::{Readable, Writable};

fn accepted(number: u64) -> ToDispatcher {
    ToDispatcher::Accepted { request: RequestNumber(number), token: None }
}

#[test]
fn a_message_id_parses_back() {
    let id = MessageId { shard: ShardId(23), unique: 0xfeed };
    assert_eq!(id.to_string().parse(), Ok(id));
}

#[test]
fn other_texts_are_no_message_ids() {
    for text in ["", "0017", "0017000000000000feed0", "0017000000000000FEED", "+017000000000000feed", "x"] {
        assert!(text.parse::<MessageId>().is_err(), "{text}");
    }
}

#[test]
fn frames_follow_each_other() {
    let mut bytes = Vec::new();
    encode(&accepted(1), &mut bytes).unwrap();
    encode(&accepted(2), &mut bytes).unwrap();
    let first = decode::<ToDispatcher>(&bytes).unwrap().unwrap();
    let second = decode::<ToDispatcher>(&bytes[first.consumed..]).unwrap().unwrap();
    assert_eq!(first.content, Content::Message(accepted(1)));
    assert_eq!(second.content, Content::Message(accepted(2)));
}

#[test]
fn a_keep_alive_is_no_message() {
    let decoded = decode::<ToDispatcher>(&KEEP_ALIVE).unwrap().unwrap();
    assert_eq!((decoded.content, decoded.consumed), (Content::KeepAlive, HEADER_BYTES));
}

#[test]
fn an_incomplete_frame_decodes_to_none() {
    let mut bytes = Vec::new();
    encode(&accepted(1), &mut bytes).unwrap();
    for length in 0..bytes.len() {
        assert_eq!(decode::<ToDispatcher>(&bytes[..length]).unwrap(), None);
    }
}

#[test]
fn a_frame_over_the_limit_is_rejected_by_its_header() {
    let mut bytes = vec![0; HEADER_BYTES];
    let length = u32::try_from(MAX_CONTENT_BYTES + 1).unwrap();
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    assert_eq!(decode::<ToDispatcher>(&bytes), Err(FrameError::TooLong(MAX_CONTENT_BYTES + 1)));
}

#[test]
fn a_changed_byte_fails_the_checksum() {
    let mut bytes = Vec::new();
    encode(&accepted(7), &mut bytes).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    assert_eq!(decode::<ToDispatcher>(&bytes), Err(FrameError::Checksum));
}

#[test]
fn addresses_of_both_families_decode_to_the_same() {
    for text in ["10.1.0.40:8069", "[::1]:80"] {
        let address = Address(text.parse().unwrap());
        let bytes = address.write_to_vec().unwrap();
        assert_eq!(Address::read_from_buffer(&bytes).unwrap(), address);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn garbage_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        let _ = decode::<FromDispatcher>(&bytes);
        let _ = FromDispatcher::read_from_buffer(&bytes);
    }
}

fn long_text(bytes: usize) -> ToDispatcher {
    let body = b"the same names over and over, ".iter().copied().cycle().take(bytes).collect();
    ToDispatcher::State { request: RequestNumber(1), answer: QueryAnswer::Body { body } }
}

#[test]
fn a_long_message_is_compressed_and_decodes_to_the_same() {
    let message = long_text(40_000);
    let mut bytes = Vec::new();
    frame::encode(&message, &mut bytes).unwrap();
    assert!(bytes.len() < 4_000, "{}", bytes.len());
    let decoded = frame::decode::<ToDispatcher>(&bytes).unwrap().unwrap();
    assert_eq!(decoded.consumed, bytes.len());
    assert_eq!(decoded.content, Content::Message(message));
}

#[test]
fn an_incompressible_message_is_sent_uncompressed() {
    let mut random = 1_u64;
    let mut byte = || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (random >> 33) as u8
    };
    let body: Vec<u8> = (0..5_000).map(|_| byte()).collect();
    let message = ToDispatcher::State { request: RequestNumber(1), answer: QueryAnswer::Body { body } };
    let mut bytes = Vec::new();
    frame::encode(&message, &mut bytes).unwrap();
    assert!(bytes.len() < 5_100);
    let decoded = frame::decode::<ToDispatcher>(&bytes).unwrap().unwrap();
    assert_eq!(decoded.content, Content::Message(message));
}

#[test]
fn a_compressed_frame_never_inflates_to_more_than_its_length_says() {
    let mut bytes = Vec::new();
    frame::encode(&long_text(40_000), &mut bytes).unwrap();
    let raw_length = frame::HEADER_BYTES;
    bytes[raw_length..raw_length + 4].copy_from_slice(&1_000_u32.to_le_bytes());
    let checksum = (xxhash_rust::xxh3::xxh3_64(&bytes[raw_length..]) & u64::from(u32::MAX)) as u32;
    bytes[4..8].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(frame::decode::<ToDispatcher>(&bytes), Err(FrameError::Content));
}
