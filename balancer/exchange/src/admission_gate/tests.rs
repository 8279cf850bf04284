//! Unit tests of `admission_gate`.

use super::*;

#[test]
fn a_permit_gives_itself_back_and_weights_can_change() {
    let capacity = Capacity { places: 9, bytes: 1 << 20 };
    let admission_gate = AdmissionGate::new(capacity, &[(Front::Http, 1), (Front::Grpc, 2)], Clock::start());
    assert_eq!((admission_gate.usage(Front::Http).share, admission_gate.usage(Front::Grpc).share), (3, 6));
    let permits: Vec<Permit> = (0..3).map(|_| admission_gate.enter(Front::Http, 10).unwrap()).collect();
    assert_eq!((admission_gate.usage(Front::Http).places, admission_gate.usage(Front::Http).bytes), (3, 30));
    drop(permits);
    assert_eq!((admission_gate.usage(Front::Http).places, admission_gate.usage(Front::Http).bytes), (0, 0));
    admission_gate.set_weights(&[(Front::Grpc, 2), (Front::Http, 1)].map(|(f, w)| (f, 3 - w)));
    assert_eq!((admission_gate.usage(Front::Http).share, admission_gate.usage(Front::Grpc).share), (6, 3));
}
