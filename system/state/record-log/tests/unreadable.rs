//! A record that passes its checksum and cannot be decoded, as one of another version of the program: the error must say
//! what the decoder said. It used to be dropped, in the record log and in the program's `RoleError::Unreadable`, so that an
//! operator saw no more than "a record on the disk cannot be read".

mod support;

use millrudder_checkpoint_store::SimulatedFolder;
use millrudder_record_log::RecordLogError;
use millrudder_segments::SegmentLog;
use std::error::Error;
use support::{try_open, CONFIG};

#[test]
fn an_unreadable_record_is_reported_with_its_cause() {
    let folder = SimulatedFolder::new(7);
    let mut log = SegmentLog::open(folder.clone(), CONFIG, |_, _| {}).unwrap();
    log.append(&[0xff; 40]).unwrap();
    log.sync().unwrap();
    drop(log);
    let Err(error) = try_open(&folder, CONFIG) else { panic!("the record was read") };
    assert!(matches!(error, RecordLogError::Unreadable(..)), "{error}");
    let cause = error.source().expect("what the decoder said").to_string();
    assert!(error.to_string().contains(&cause), "{error} does not contain {cause}");
}
