//! Message encoding: encoding and decoding round-trips, and arbitrary bytes are rejected.

use millrudder_chain::{
    AppendBatch, CoreMessage, Entry, Epoch, Heartbeat, MessageError, NodeId, Position, ProcessTimestamp,
    RequestId, Sequence, TimestampEcho,
};
use proptest::prelude::*;

const CASES: u32 = 512;

fn position() -> impl Strategy<Value = Position> {
    (any::<u64>(), any::<u64>())
        .prop_map(|(sequence, epoch)| Position { sequence: Sequence(sequence), epoch: Epoch(epoch) })
}

fn entry() -> impl Strategy<Value = Entry> {
    let command = proptest::collection::vec(any::<u8>(), 0..40);
    (position(), any::<u128>(), any::<u64>(), command).prop_map(|(position, request, origin, command)| {
        Entry { position, request_id: RequestId(request), origin: NodeId(origin), command }
    })
}

fn message() -> impl Strategy<Value = CoreMessage> {
    let heartbeat = (position(), ".{0,20}", proptest::collection::vec(any::<u64>(), 0..5), any::<bool>());
    let heartbeat = heartbeat.prop_map(|(end, address, heard, flag)| {
        CoreMessage::Heartbeat(Heartbeat {
            epoch: end.epoch,
            address,
            timestamp: ProcessTimestamp { process: end.epoch.0, micros: end.sequence.0 },
            timestamp_echoes: heard
                .into_iter()
                .map(|peer| TimestampEcho { peer: NodeId(peer), timestamp: ProcessTimestamp::default() })
                .collect(),
            log_end: end,
            committed: end.sequence,
            is_caught_up: flag,
            is_complete: !flag,
            confirms_epoch: flag,
            is_leaving: !flag,
            is_disk_lagging: flag,
        })
    });
    let entries = proptest::collection::vec(entry(), 0..4);
    let append = (position(), entries).prop_map(|(previous, entries)| {
        CoreMessage::Append(AppendBatch {
            epoch: previous.epoch,
            previous,
            entries,
            committed: previous.sequence,
            complete_at: previous.sequence,
            sealed: previous.sequence.0.is_multiple_of(2),
        })
    });
    prop_oneof![heartbeat, append]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn a_message_decodes_to_what_was_encoded(message in message()) {
        prop_assert_eq!(CoreMessage::decode(&message.encode()), Ok(message));
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = CoreMessage::decode(&bytes);
    }

    #[test]
    fn a_truncated_or_extended_message_is_rejected(message in message(), length in any::<prop::sample::Index>()) {
        let mut bytes = message.encode();
        let length = length.index(bytes.len());
        prop_assert_eq!(CoreMessage::decode(&bytes[..length]), Err(MessageError::Unreadable));
        bytes.push(0);
        prop_assert_eq!(CoreMessage::decode(&bytes), Err(MessageError::Unreadable));
    }
}

#[test]
fn a_length_beyond_the_bytes_is_rejected() {
    let reply = CoreMessage::Reply { request_id: RequestId(1), reply: vec![7; 4] };
    let mut bytes = reply.encode();
    let length_at = bytes.len() - 8;
    bytes[length_at..length_at + 4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(CoreMessage::decode(&bytes), Err(MessageError::Unreadable));
}
