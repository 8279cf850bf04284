//! Properties of requests split at any offsets, of their prefixes, and of random bytes.

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

/// How many requests reach the handler if these chunks are all that is sent, and the statuses of the answers.
fn send_chunks(chunks: Vec<Vec<u8>>) -> (usize, Vec<u16>) {
    let (mut handled, mut statuses) = (0, Vec::new());
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let mut peer = server.connect().await;
        for chunk in chunks {
            if peer.stream.write_all(&chunk).await.is_err() {
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

fn complete_request() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just(CHUNKED), Just(SIZED)]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_split_request_is_the_same_request(request in complete_request(), splits in prop::collection::vec(0_usize..96, 0..6)) {
        let mut splits: Vec<usize> = splits.into_iter().map(|split| split.min(request.len())).collect();
        splits.extend([0, request.len()]);
        splits.sort_unstable();
        let chunks = splits.windows(2).map(|split| request.as_bytes()[split[0]..split[1]].to_vec()).collect();
        prop_assert_eq!(send_chunks(chunks), (1, vec![202]));
    }

    #[test]
    fn a_prefix_is_not_a_request(request in complete_request(), length in 0_usize..96) {
        let length = length.min(request.len() - 1);
        let (handled, statuses) = send_chunks(vec![request.as_bytes()[..length].to_vec()]);
        prop_assert_eq!(handled, 0);
        prop_assert!(statuses.iter().all(|status| *status == 400), "{:?}", statuses);
    }

    #[test]
    fn random_bytes_get_no_success(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let (handled, statuses) = send_chunks(vec![bytes]);
        prop_assert_eq!(handled, 0);
        prop_assert!(statuses.iter().all(|status| *status >= 400), "{:?}", statuses);
    }
}
