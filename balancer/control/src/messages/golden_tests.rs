//! Compares the lines of the control socket, byte by byte, with what earlier versions write.

use super::{to_line, Answer, Question, Status};
use millrudder_testing::golden::Golden;

#[test]
fn each_kind_of_line() {
    let status = Status {
        process: 17,
        version: "0.1.0".to_owned(),
        phase: "serving".to_owned(),
        jobs_owed: 3,
        age_ms: 4_500,
    };
    let mut golden = Golden::open("tests/golden/lines.txt");
    golden.check("status_asked", &Question::Status, to_line, |bytes| serde_json::from_slice(bytes).unwrap());
    for (name, answer) in
        [("status", Answer::Status(status)), ("refused", Answer::Refused("what".to_owned()))]
    {
        golden.check(name, &answer, to_line, |bytes| serde_json::from_slice(bytes).unwrap());
    }
    golden.finish();
}
