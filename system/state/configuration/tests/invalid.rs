//! Configurations that are invalid, and only those.

mod support;

use millrudder_configuration::{Configuration, ConfigurationError};
use proptest::prelude::*;
use serde_json::{json, Value};
use support::{complete, minimal, read};

/// The error for the complete configuration with the value at `pointer` replaced.
fn error_with(pointer: &str, value: Value) -> ConfigurationError {
    let mut invalid = complete();
    *invalid.pointer_mut(pointer).expect("the field is there") = value;
    read(&invalid).expect_err("the configuration is invalid")
}

#[test]
fn a_body_truncated_anywhere_is_rejected() {
    let body = serde_json::to_vec(&complete()).unwrap();
    for length in 0..body.len() {
        let read = Configuration::from_json(&body[..length]);
        assert!(matches!(read, Err(ConfigurationError::Unreadable(_))), "cut after {length} bytes");
    }
}

#[test]
fn anything_after_the_end_is_rejected() {
    let body = serde_json::to_string(&complete()).unwrap();
    assert!(Configuration::from_json(format!(" {body}\r\n").as_bytes()).is_ok());
    for more in ["}", "{}", "x", "\0", ",", &body] {
        let read = Configuration::from_json(format!("{body}{more}").as_bytes());
        assert!(matches!(read, Err(ConfigurationError::Unreadable(_))), "{more}");
    }
}

#[test]
fn bytes_that_are_not_utf8_are_rejected() {
    let mut body = serde_json::to_vec(&complete()).unwrap();
    assert!(matches!(Configuration::from_json(b"\xff\xfe{}"), Err(ConfigurationError::NotUtf8(_))));
    let inside = body.len() / 2;
    body[inside] = 0xff;
    assert!(matches!(Configuration::from_json(&body), Err(ConfigurationError::NotUtf8(_))));
}

#[test]
fn required_fields_must_be_present_and_not_null() {
    let fields = [
        ("", vec!["version", "routes", "backends"]),
        ("/routes/0", vec!["name", "hostname", "pathPrefix", "backend", "timeoutMs"]),
        ("/backends/0", vec!["name"]),
    ];
    for (parent, keys) in fields {
        for key in keys {
            let mut absent = minimal();
            absent.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(key).unwrap();
            assert!(matches!(read(&absent), Err(ConfigurationError::Unreadable(_))), "no {key}");
            let mut null = minimal();
            null.pointer_mut(parent).unwrap()[key] = Value::Null;
            assert!(matches!(read(&null), Err(ConfigurationError::Unreadable(_))), "null {key}");
        }
    }
}

#[test]
fn fields_of_another_type_are_rejected() {
    let invalid = [
        ("/version", json!("7")),
        ("/version", json!(-7)),
        ("/version", json!(7.5)),
        ("/routes", json!({})),
        ("/routes/0", json!("r-post")),
        ("/routes/0/timeoutMs", json!("2000")),
        ("/routes/0/priority", json!(-1)),
        ("/routes/0/maxRetries", json!(1.5)),
        ("/routes/0/maxRetries", json!(4_294_967_296_u64)),
        ("/routes/0/fifo", json!(1)),
        ("/routes/0/hostname", json!(["bees.example"])),
        ("/backends/0/staticEndpoint", json!(80)),
        ("/limits", json!(3)),
        ("/limits/maxBodyBytes", json!(-1)),
    ];
    for (pointer, value) in invalid {
        let error = error_with(pointer, value.clone());
        assert!(matches!(error, ConfigurationError::Unreadable(_)), "{pointer} {value}: {error}");
    }
}

#[test]
fn arrays_instead_of_objects_are_rejected() {
    let arrays = [
        ("", json!([7, [], [], null])),
        ("/routes/0", json!(["r", "h", "/", null, 500, null, null, "hives", null, null, null, null, null])),
        ("/backends/0", json!(["hives", null, null, null, null, null, null, null, null])),
        ("/limits", json!([null, null, null, null])),
    ];
    for (pointer, array) in arrays {
        let error = error_with(pointer, array);
        assert!(matches!(error, ConfigurationError::Unreadable(_)), "{pointer}: {error}");
    }
}

#[test]
fn a_duplicate_field_is_rejected() {
    let body = serde_json::to_string(&minimal()).unwrap();
    let twice = body.replacen('{', r#"{"version":2,"#, 1);
    assert!(matches!(Configuration::from_json(twice.as_bytes()), Err(ConfigurationError::Unreadable(_))));
}

#[test]
fn numbers_out_of_floating_point_range_are_rejected() {
    let body = serde_json::to_string(&minimal()).unwrap();
    for number in ["1e999", "NaN", "Infinity", "-", "0x10"] {
        let invalid = body.replace("500", number);
        let read = Configuration::from_json(invalid.as_bytes());
        assert!(matches!(read, Err(ConfigurationError::Unreadable(_))), "{number}");
    }
}

#[test]
fn deep_nesting_is_rejected_without_a_stack_overflow() {
    let body = format!("{}{}", "[".repeat(1_000_000), "]".repeat(1_000_000));
    assert!(Configuration::from_json(body.as_bytes()).is_err());
    let ignored = format!(r#"{{"x": {body}}}"#);
    assert!(Configuration::from_json(ignored.as_bytes()).is_err());
}

#[test]
fn a_route_to_an_unknown_service_is_rejected() {
    let error = error_with("/routes/1/backend", json!("cellar"));
    assert!(matches!(&error, ConfigurationError::UnknownService { route, service }
        if &**route == "r-file" && &**service == "cellar"));
    assert_eq!(error.to_string(), "route r-file: there is no service cellar");
}

#[test]
fn two_routes_with_one_host_and_prefix_are_rejected() {
    for host in ["bees.example", "BEES.example", "bees.example.", "bees.example:80"] {
        let mut invalid = complete();
        invalid["routes"][1]["hostname"] = json!(host);
        invalid["routes"][1]["pathPrefix"] = json!("/post/");
        let read = read(&invalid);
        assert!(matches!(read, Err(ConfigurationError::DuplicateMatch { .. })), "{host}");
    }
}

#[test]
fn timeouts_of_zero_are_rejected() {
    for zero in [json!(0), json!(0.0), json!(-0.0)] {
        let error = error_with("/routes/0/timeoutMs", zero);
        assert!(matches!(error, ConfigurationError::Zero { key: "timeoutMs", .. }), "{error}");
    }
    assert!(matches!(error_with("/limits/idleTimeoutMs", json!(0)), ConfigurationError::Zero { .. }));
}

#[test]
fn numbers_out_of_range_are_rejected() {
    let invalid = [
        ("/routes/0/timeoutMs", json!(-5)),
        ("/routes/0/timeoutMs", json!(1e300)),
        ("/routes/0/targetLatencyMs", json!(-1)),
        ("/routes/0/targetStartMs", json!(-0.5)),
        ("/routes/0/retentionS", json!(-90)),
        ("/backends/0/ratePerS", json!(-39.0)),
        ("/limits/headerTimeoutMs", json!(-3)),
    ];
    for (pointer, value) in invalid {
        let error = error_with(pointer, value);
        assert!(matches!(error, ConfigurationError::OutOfRange { .. }), "{pointer}: {error}");
    }
}

#[test]
fn names_must_be_unique_and_not_empty() {
    assert!(matches!(error_with("/routes/0/name", json!("")), ConfigurationError::EmptyName(_)));
    assert!(matches!(error_with("/backends/0/name", json!("")), ConfigurationError::EmptyName(_)));
    assert!(matches!(error_with("/routes/1/name", json!("r-post")), ConfigurationError::DuplicateRoute(_)));
    assert!(matches!(
        error_with("/backends/1/name", json!("hives")),
        ConfigurationError::DuplicateService(_)
    ));
}

#[test]
fn hosts_and_paths_must_be_valid() {
    for host in ["", ":80", "."] {
        assert!(matches!(error_with("/routes/0/hostname", json!(host)), ConfigurationError::EmptyHost(_)));
    }
    for path in ["", "post/", "http://bees.example/"] {
        let error = error_with("/routes/0/pathPrefix", json!(path));
        assert!(matches!(error, ConfigurationError::Path { .. }), "{path:?}: {error}");
    }
    let health = error_with("/backends/0/healthCheckPath", json!("health"));
    assert!(matches!(health, ConfigurationError::Path { .. }));
}

#[test]
fn endpoints_must_be_addresses_with_a_port() {
    for endpoint in ["", "172.16.0.3", "partner.example:80", "172.16.0.300:80", "172.16.0.3:80000"] {
        let error = error_with("/backends/1/staticEndpoint", json!(endpoint));
        assert!(matches!(error, ConfigurationError::Endpoint { .. }), "{endpoint:?}: {error}");
    }
}

#[test]
fn too_many_routes_are_rejected() {
    let route = |number: usize| {
        json!({"name": format!("r{number}"), "hostname": "h", "pathPrefix": format!("/{number}"),
               "backend": "hives", "timeoutMs": 5})
    };
    let mut many = minimal();
    many["routes"] = (0..65_536).map(route).collect();
    assert_eq!(read(&many).unwrap().routes().len(), 65_536);
    many["routes"].as_array_mut().unwrap().push(route(65_536));
    assert!(matches!(read(&many), Err(ConfigurationError::TooManyRoutes { count: 65_537, .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bytes_changed_anywhere_never_panic(
        changes in proptest::collection::vec((any::<proptest::sample::Index>(), any::<u8>()), 1..4)
    ) {
        let mut body = serde_json::to_vec(&complete()).unwrap();
        for (index, byte) in changes {
            let position = index.index(body.len());
            body[position] = byte;
        }
        if let Err(error) = Configuration::from_json(&body) {
            prop_assert!(!error.to_string().is_empty());
        }
    }
}
