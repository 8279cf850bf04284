//! Parsing of valid configurations.

mod support;

use millrudder_configuration::{
    Configuration, ConfigurationDigest, ConfigurationVersion, HostName, RequestLimits, Route, RouteKind,
    RouteName, Service, ServiceName,
};
use serde_json::json;
use std::num::NonZeroU32;
use std::time::Duration;
use support::{complete, minimal, read};

#[test]
fn routes_are_converted_to_typed_units() {
    let configuration = read(&complete()).unwrap();
    let expected = Route {
        name: RouteName::from("r-file"),
        host: HostName::new("wasps.example").unwrap(),
        path_prefix: "/file/".into(),
        kind: RouteKind::Deferred,
        timeout: Duration::from_millis(800),
        target_latency: Duration::from_millis(80),
        target_start: Duration::from_millis(1_000),
        priority: 1,
        service: ServiceName::from("nest"),
        max_retries: 3,
        fifo: true,
        retention: Duration::from_millis(60_500),
        callback: false,
    };
    assert_eq!(**configuration.route(&RouteName::from("r-file")).unwrap(), expected);
    assert_eq!(configuration.version(), ConfigurationVersion(7));
    assert_eq!(configuration.routes().len(), 2);
}

// Guards against a time-out below 1 ms that is accepted, as it is above 0, and then used as 0: no attempt could succeed.
#[test]
fn durations_are_rounded_up_to_whole_milliseconds() {
    let mut fractions = complete();
    fractions["routes"][0]["timeoutMs"] = json!(0.4);
    fractions["routes"][0]["targetStartMs"] = json!(1e-10);
    fractions["routes"][0]["targetLatencyMs"] = json!(0);
    fractions["routes"][0]["retentionS"] = json!(2.0001);
    let configuration = read(&fractions).unwrap();
    let route = configuration.route(&RouteName::from("r-post")).unwrap();
    assert_eq!((route.timeout, route.target_start), (Duration::from_millis(1), Duration::from_millis(1)));
    assert_eq!((route.target_latency, route.retention), (Duration::ZERO, Duration::from_millis(2_001)));
}

// Guards against a check of the longest duration that differs from what is accepted: ten years are, whole.
#[test]
fn ten_years_are_the_longest_duration() {
    let ten_years_s = 10_u64 * 365 * 24 * 60 * 60;
    let mut longest = complete();
    longest["routes"][0]["timeoutMs"] = json!(ten_years_s * 1_000);
    longest["routes"][0]["retentionS"] = json!(ten_years_s);
    let configuration = read(&longest).unwrap();
    let route = configuration.route(&RouteName::from("r-post")).unwrap();
    assert_eq!(
        (route.timeout, route.retention),
        (Duration::from_secs(ten_years_s), Duration::from_secs(ten_years_s))
    );
    longest["routes"][0]["timeoutMs"] = json!(ten_years_s * 1_000 + 1);
    assert!(read(&longest).is_err());
}

#[test]
fn services_are_converted_to_typed_units() {
    let configuration = read(&complete()).unwrap();
    let expected = Service {
        name: ServiceName::from("nest"),
        health_check_path: "/well".into(),
        max_connections: NonZeroU32::new(46).unwrap(),
        rate_per_second: Some(39.0),
        idempotent: false,
        static_endpoint: Some("172.16.0.3:8066".parse().unwrap()),
    };
    assert_eq!(**configuration.service(&ServiceName::from("nest")).unwrap(), expected);
    let listed = configuration.service(&ServiceName::from("hives")).unwrap();
    assert_eq!((listed.rate_per_second, listed.static_endpoint, listed.idempotent), (None, None, true));
    assert_eq!(configuration.services().len(), 2);
}

#[test]
fn limits_are_converted_to_typed_units() {
    let expected = RequestLimits {
        max_header_bytes: 8192,
        max_body_bytes: 100_000,
        header_timeout: Duration::from_millis(2_500),
        idle_timeout: Duration::from_secs(12),
    };
    assert_eq!(*read(&complete()).unwrap().limits(), expected);
}

#[test]
fn absent_fields_have_defaults() {
    let configuration = read(&minimal()).unwrap();
    let route = configuration.route(&RouteName::from("r")).unwrap();
    assert_eq!(route.kind, RouteKind::Deferred);
    assert_eq!((route.target_latency, route.target_start), (route.timeout, route.timeout));
    assert_eq!((route.priority, route.fifo, route.callback), (0, false, false));
    let service = configuration.service(&route.service).unwrap();
    assert_eq!(&*service.health_check_path, "/health");
    assert_eq!(*configuration.limits(), RequestLimits::default());
}

#[test]
fn null_is_as_absent_for_optional_fields() {
    let mut nulls = minimal();
    for key in
        ["routeType", "targetLatencyMs", "targetStartMs", "priority", "maxRetries", "fifo", "retentionS"]
    {
        nulls["routes"][0][key] = json!(null);
    }
    for key in ["healthCheckPath", "maxConns", "ratePerS", "idempotent", "staticEndpoint"] {
        nulls["backends"][0][key] = json!(null);
    }
    nulls["limits"] = json!({"maxBodyBytes": null, "idleTimeoutMs": null});
    let (nulls, absent) = (read(&nulls).unwrap(), read(&minimal()).unwrap());
    assert!(nulls.routes().eq(absent.routes()) && nulls.services().eq(absent.services()));
    assert_eq!(nulls.limits(), absent.limits());
}

#[test]
fn unknown_fields_are_ignored() {
    let mut more = complete();
    more["operator"] = json!({"name": "x", "deep": [[[1e300]]]});
    more["routes"][0]["weights"] = json!([{"backend": "elsewhere", "weight": 0}]);
    more["routes"][1]["match"] = json!(null);
    more["backends"][0]["subset"] = json!("v2");
    more["limits"]["maxThings"] = json!(-1);
    let (more, plain) = (read(&more).unwrap(), read(&complete()).unwrap());
    assert!(more.routes().eq(plain.routes()) && more.services().eq(plain.services()));
}

#[test]
fn integers_may_be_written_with_a_point() {
    let mut other = complete();
    other["version"] = json!(7.0);
    other["routes"][0]["timeoutMs"] = json!(2000.0);
    other["routes"][0]["maxRetries"] = json!(4.0);
    other["routes"][0]["retentionS"] = json!(90);
    other["backends"][1]["ratePerS"] = json!(39);
    other["limits"]["maxBodyBytes"] = json!(1e5);
    let (other, plain) = (read(&other).unwrap(), read(&complete()).unwrap());
    assert!(other.routes().eq(plain.routes()) && other.services().eq(plain.services()));
    assert_eq!((other.version(), other.limits()), (plain.version(), plain.limits()));
}

#[test]
fn routes_of_another_kind_keep_its_name() {
    let mut other = complete();
    other["routes"][0]["routeType"] = json!("stream");
    let configuration = read(&other).unwrap();
    let route = configuration.route(&RouteName::from("r-post")).unwrap();
    assert_eq!(route.kind, RouteKind::Other("stream".into()));
}

#[test]
fn a_message_gets_at_least_one_attempt() {
    let mut none = complete();
    none["routes"][0]["maxRetries"] = json!(0);
    let configuration = read(&none).unwrap();
    let attempts = |name| configuration.route(&RouteName::from(name)).unwrap().max_attempts().get();
    assert_eq!((attempts("r-post"), attempts("r-file")), (1, 3));
}

#[test]
fn no_routes_and_unused_services_are_valid() {
    let mut empty = complete();
    empty["routes"] = json!([]);
    assert_eq!(read(&empty).unwrap().routes().len(), 0);
    empty["backends"] = json!([]);
    assert_eq!(read(&empty).unwrap().services().len(), 0);
}

#[test]
fn same_prefix_on_two_hosts_and_nested_prefixes_are_valid() {
    let mut nested = complete();
    nested["routes"][1]["pathPrefix"] = json!("/post/");
    assert!(read(&nested).is_ok());
    nested["routes"][1]["hostname"] = json!("bees.example");
    nested["routes"][1]["pathPrefix"] = json!("/post/late");
    assert!(read(&nested).is_ok());
}

#[test]
fn digests_differ_for_different_bytes() {
    let body = serde_json::to_vec(&complete()).unwrap();
    let spaced = serde_json::to_vec_pretty(&complete()).unwrap();
    let digest = |body: &[u8]| Configuration::from_json(body).unwrap().digest();
    assert_eq!(digest(&body), ConfigurationDigest::of(&body));
    assert_eq!(digest(&body), digest(&body.clone()));
    assert_ne!(digest(&body), digest(&spaced));
    assert_eq!(digest(&body).to_string().len(), 32);
}
