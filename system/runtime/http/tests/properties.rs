//! What holds for any cut of a request into pieces, any prefix of one, and any bytes.

mod support;

use millrudder_system_http::front::RequestLimits;
use proptest::prelude::*;
use support::{run, TestServer};
use tokio::io::AsyncWriteExt;

/// Each case opens a socket; together they take about a second.
const CASES: u32 = 64;

const CHUNKED: &str =
    "POST /p?q HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
const SIZED: &str = "POST /p?q HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde";

/// How many requests reach the handler if these pieces are all that is sent, and the statuses of the answers.
fn play(pieces: Vec<Vec<u8>>) -> (usize, Vec<u16>) {
    let (mut handled, mut statuses) = (0, Vec::new());
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let mut peer = server.connect().await;
        for piece in pieces {
            if peer.stream.write_all(&piece).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        let _closed_already = peer.stream.shutdown().await;
        while let Some(response) = peer.read_message().await {
            statuses.push(response.status());
        }
        handled = server.handled();
        let first = server.seen.borrow().first().cloned();
        if let Some(seen) = first {
            assert_eq!((seen.target.as_str(), seen.body.as_slice()), ("/p?q", b"abcde".as_slice()));
        }
    });
    (handled, statuses)
}

fn whole() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just(CHUNKED), Just(SIZED)]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn pieces_make_the_same_request(request in whole(), cuts in prop::collection::vec(0_usize..96, 0..6)) {
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(request.len())).collect();
        cuts.extend([0, request.len()]);
        cuts.sort_unstable();
        let pieces = cuts.windows(2).map(|cut| request.as_bytes()[cut[0]..cut[1]].to_vec()).collect();
        prop_assert_eq!(play(pieces), (1, vec![202]));
    }

    #[test]
    fn a_prefix_is_not_a_request(request in whole(), cut in 0_usize..96) {
        let cut = cut.min(request.len() - 1);
        let (handled, statuses) = play(vec![request.as_bytes()[..cut].to_vec()]);
        prop_assert_eq!(handled, 0);
        prop_assert!(statuses.iter().all(|status| *status == 400), "{:?}", statuses);
    }

    #[test]
    fn any_bytes_get_no_success(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let (handled, statuses) = play(vec![bytes]);
        prop_assert_eq!(handled, 0);
        prop_assert!(statuses.iter().all(|status| *status >= 400), "{:?}", statuses);
    }
}
