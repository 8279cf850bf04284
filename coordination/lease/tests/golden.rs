//! Compares the encodings of lease messages and records byte for byte with those of earlier versions.

use millrudder_lease::{
    FencingToken, LeaseAnswer, LeaseRecord, LeaseRelease, LeaseRequest, Refusal, Role, VoterState,
};
use millrudder_testing::golden::Golden;
use speedy::{LittleEndian, Readable, Writable};
use std::fmt::Debug;

const FENCING: FencingToken = FencingToken(0x0102_0304_0506_0708);

fn role() -> Role {
    Role("reader".to_owned())
}

fn check<T>(golden: &mut Golden, name: &str, value: &T)
where
    T: Debug + PartialEq + Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian>,
{
    let encode = |value: &T| value.write_to_vec().unwrap();
    golden.check(name, value, encode, |bytes| T::read_from_buffer(bytes).unwrap());
}

#[test]
fn messages_and_records_of_leases() {
    let refused = |refusal| LeaseAnswer::Refused {
        role: role(),
        attempt: 0x1112,
        refusal,
        highest_token: FENCING,
        retry_after_micros: 0x2122,
    };
    let record = LeaseRecord { role: role(), fencing_token: FENCING };
    let mut voter = VoterState::default();
    voter.apply(&record);
    voter.apply(&LeaseRecord { role: Role("placement".to_owned()), fencing_token: FencingToken(3) });

    let mut golden = Golden::open("tests/golden/lease.txt");
    let request =
        |is_renewal| LeaseRequest { role: role(), attempt: 0x1112, fencing_token: FENCING, is_renewal };
    check(&mut golden, "request", &request(false));
    check(&mut golden, "request_held", &request(true));
    check(&mut golden, "release", &LeaseRelease { role: role(), fencing_token: FENCING });
    let granted = LeaseAnswer::Granted { role: role(), attempt: 0x1112, bound_micros: 0x3132 };
    check(&mut golden, "granted", &granted);
    check(&mut golden, "refused_taken", &refused(Refusal::HeldByOther));
    check(&mut golden, "refused_withheld", &refused(Refusal::GracePeriod));
    check(&mut golden, "refused_outdated", &refused(Refusal::StaleToken));
    check(&mut golden, "record", &record);
    check(&mut golden, "voter_state", &voter);
    golden.finish();
}
