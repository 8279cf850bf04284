//! Pages of the list, whole and spoilt.

use millrudder_configuration::ServiceName;
use millrudder_discovery::{
    Call, CallId, Instance, InstanceId, InstanceState, Page, PageToken, SoftwareVersion, WorkerAddress,
};
use millrudder_settings::Zone;
use proptest::prelude::*;
use speedy::{Readable, Writable};
use std::time::Duration;

const COMPLETE: &str = r#"{
    "instances": [{
        "backend": "hives", "address": "10.9.0.9:8080", "zone": "north", "version": "v1", "capacity": 6,
        "state": "ready", "coldLeftMs": 1500, "instanceId": "i-1", "later": {"a": []}
    }],
    "nextToken": "p-50"
}"#;

const THIN: &str = r#"{"instances": [{"backend": "hives", "address": "10.9.0.9:8080", "zone": "north",
    "state": "ready", "instanceId": "i-1"}]}"#;

fn parse(text: &str) -> Page {
    Page::from_json(text.as_bytes()).unwrap()
}

fn expected() -> Instance {
    Instance {
        id: InstanceId::from("i-1"),
        service: ServiceName::from("hives"),
        address: WorkerAddress("10.9.0.9:8080".parse().unwrap()),
        zone: Zone::from("north"),
        version: SoftwareVersion::from("v1"),
        capacity: 6,
        state: InstanceState::Ready,
        warm_up_left: Duration::from_millis(1_500),
    }
}

#[test]
fn a_complete_page_is_parsed() {
    let page = parse(COMPLETE);
    assert_eq!(page.instances, [expected()]);
    assert_eq!(page.next_token, Some(PageToken::from("p-50")));
}

#[test]
fn absent_fields_have_defaults() {
    let version = SoftwareVersion::default();
    let least = Instance { version, capacity: 1, warm_up_left: Duration::ZERO, ..expected() };
    assert_eq!(parse(THIN).instances, [least]);
    assert_eq!(parse(THIN).next_token, None);
}

#[test]
fn the_last_page_has_no_token() {
    for token in ["null", "\"\""] {
        assert_eq!(parse(&COMPLETE.replace("\"p-50\"", token)).next_token, None, "{token}");
    }
}

#[test]
fn only_ready_workers_are_ready() {
    for state in ["draining", "starting", "READY", ""] {
        let page = parse(&COMPLETE.replace("\"ready\"", &format!("\"{state}\"")));
        assert_eq!(page.instances[0].state, InstanceState::Draining, "{state}");
    }
}

#[test]
fn numbers_out_of_range_are_clamped() {
    let warm_up = |text: &str| parse(&COMPLETE.replace("1500", text)).instances[0].warm_up_left;
    assert_eq!(warm_up("-5"), Duration::ZERO);
    assert_eq!(warm_up("0.5"), Duration::from_micros(500));
    assert_eq!(warm_up("1e300"), Duration::from_secs(86_400));
    assert_eq!(parse(&COMPLETE.replace("\"capacity\": 6", "\"capacity\": 0")).instances[0].capacity, 1);
}

#[test]
fn invalid_pages_are_rejected() {
    let without = |key: &str| THIN.replace(key, "other");
    let mut spoilt: Vec<String> =
        ["backend", "address", "zone", "state", "instanceId", "instances"].map(without).into();
    spoilt.extend(["", "[]", "null", "{", "{}"].map(str::to_owned));
    spoilt.push(THIN.replace("10.9.0.9:8080", "10.9.0.9"));
    spoilt.push(format!("{THIN}x"));
    spoilt.push(COMPLETE.replace("6,", "-6,"));
    for text in spoilt {
        assert!(Page::from_json(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn tokens_are_escaped_in_the_target() {
    let target = |token: &str| Call { id: CallId(0), page_token: Some(PageToken::from(token)) }.target();
    assert_eq!(target("p-50"), "/instances?pageToken=p-50");
    assert_eq!(target("a&b =/+\u{e9}"), "/instances?pageToken=a%26b%20%3D%2F%2B%C3%A9");
    assert_eq!(Call { id: CallId(0), page_token: None }.target(), "/instances");
}

#[test]
fn instances_decode_to_the_same() {
    for address in ["10.9.0.9:8080", "[fd00::1]:80"] {
        let instance = Instance { address: WorkerAddress(address.parse().unwrap()), ..expected() };
        let bytes = instance.write_to_vec().unwrap();
        assert_eq!(Instance::read_from_buffer(&bytes).unwrap(), instance);
        for length in 0..bytes.len() {
            assert!(Instance::read_from_buffer(&bytes[..length]).is_err());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bytes_changed_anywhere_never_panic(
        changes in proptest::collection::vec((any::<proptest::sample::Index>(), any::<u8>()), 1..4)
    ) {
        let mut body = COMPLETE.as_bytes().to_vec();
        for (index, byte) in changes {
            let position = index.index(body.len());
            body[position] = byte;
        }
        let _ = Page::from_json(&body);
    }

    #[test]
    fn garbage_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = Instance::read_from_buffer(&bytes);
    }
}
