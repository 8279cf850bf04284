//! Unit tests of `report`.

use super::*;
use millrudder_testing::garbage;

const TEXT: &str = "TEXT inflight=7, queue=2, util=0.61";

#[test]
fn a_report_is_read_without_its_bad_entries() {
    let figure = |name: &str, value| (name.to_owned(), value);
    let report = read_text(TEXT).unwrap();
    assert_eq!(report, [figure("inflight", 7.0), figure("queue", 2.0), figure("util", 0.61)]);
    assert_eq!(read_text("TEXT rif=x, x0=2, x1=NaN").unwrap(), [figure("x0", 2.0)]);
    assert_eq!(read_text("TEXT"), None);
    garbage(6, TEXT.as_bytes(), |bytes| drop(std::str::from_utf8(bytes).map(read_text)));
}
