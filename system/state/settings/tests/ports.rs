//! The range of ports.

use millrudder_settings::{PortRange, PortRangeError};

#[test]
fn ports_are_counted_and_bounded() {
    let range = PortRange::new(65_530, 65_535).unwrap();
    assert_eq!(range.count(), 6);
    assert_eq!(range.port(0), Some(65_530));
    assert_eq!(range.port(5), Some(65_535));
    assert_eq!(range.port(6), None);
    assert_eq!(range.iter().last(), Some(65_535));
}

#[test]
fn invalid_ranges_have_typed_errors() {
    assert_eq!(PortRange::new(0, 4), Err(PortRangeError::Zero));
    assert_eq!(PortRange::new(5, 4), Err(PortRangeError::Reversed { first: 5, last: 4 }));
    assert_eq!(PortRange::try_from(vec![1, 2, 3]), Err(PortRangeError::NotTwo { count: 3 }));
}
