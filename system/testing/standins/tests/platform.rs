//! The platform's list: pages, zones, rate, and changes by the test alone.

mod support;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Method, Request};
use millrudder_system_standins::{
    eventually_some, exchange, Answer, ExchangeError, Instance, InstanceState, Platform, PlatformMode,
    PlatformPlan,
};
use serde::Deserialize;
use std::time::Duration;
use support::BOUND;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    instances: Vec<Instance>,
    next_token: Option<String>,
}

fn instance(number: u16, zone: &str) -> Instance {
    Instance {
        instance_id: format!("i-{number}").into(),
        backend: "annotate".into(),
        address: ([10, 0, 0, 1], number).into(),
        zone: zone.into(),
        version: "v1".to_owned(),
        capacity: 6,
        state: InstanceState::Ready,
        cold_left_ms: 0,
    }
}

async fn start(page_size: usize) -> Platform {
    let platform = Platform::start(PlatformPlan { page_size, rate_per_second: 0.0 }).await.unwrap();
    for number in 1..=5 {
        platform.add(instance(number, if number % 2 == 1 { "zone-1" } else { "zone-2" }));
    }
    platform
}

async fn call(platform: &Platform, method: Method, target: &str) -> Result<Answer, ExchangeError> {
    let request = Request::builder().method(method).uri(target).body(Empty::<Bytes>::new()).unwrap();
    exchange(platform.address(), request, BOUND).await
}

async fn page(platform: &Platform, query: &str) -> Page {
    let answer = call(platform, Method::GET, &format!("/instances{query}")).await.unwrap();
    assert_eq!(answer.status.as_u16(), 200);
    assert_eq!(answer.header("content-type"), Some("application/json"));
    serde_json::from_slice(&answer.body).unwrap()
}

fn ids(page: &Page) -> Vec<&str> {
    page.instances.iter().map(|instance| instance.instance_id.as_str()).collect()
}

#[tokio::test]
async fn pages_follow_each_other_by_their_tokens() {
    let platform = start(2).await;
    let mut query = String::new();
    let mut seen = Vec::new();
    loop {
        let page = page(&platform, &query).await;
        assert!(page.instances.len() <= 2);
        seen.extend(page.instances);
        let Some(token) = page.next_token else { break };
        query = format!("?pageToken={token}");
    }
    let expected: Vec<_> =
        (1..=5).map(|number| instance(number, if number % 2 == 1 { "zone-1" } else { "zone-2" })).collect();
    assert_eq!(seen, expected);
    assert_eq!(platform.calls(), 3);
}

#[tokio::test]
async fn a_zone_has_pages_of_its_own() {
    let platform = start(2).await;
    let first = page(&platform, "?zone=zone-1").await;
    assert_eq!(ids(&first), ["i-1", "i-3"]);
    let token = first.next_token.unwrap();
    let second = page(&platform, &format!("?zone=zone-1&pageToken={token}")).await;
    assert_eq!(ids(&second), ["i-5"]);
    assert_eq!(second.next_token, None);
    assert!(page(&platform, "?zone=nowhere").await.instances.is_empty());
}

#[tokio::test]
async fn an_entry_has_the_keys_of_the_protocol() {
    let platform = start(50).await;
    let answer = call(&platform, Method::GET, "/instances").await.unwrap();
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    let expected = serde_json::json!({
        "backend": "annotate", "address": "10.0.0.1:1", "zone": "zone-1", "version": "v1", "capacity": 6,
        "state": "ready", "coldLeftMs": 0, "instanceId": "i-1",
    });
    assert_eq!(body["instances"][0], expected);
    assert_eq!(body["nextToken"], serde_json::Value::Null);
}

#[tokio::test]
async fn the_test_adds_drains_and_removes() {
    let platform = start(50).await;
    assert!(platform.drain(&"i-1".into()));
    assert!(platform.remove(&"i-2".into()));
    assert!(!platform.drain(&"i-2".into()));
    assert!(!platform.remove(&"i-2".into()));
    platform.add(Instance { capacity: 9, ..instance(3, "zone-1") });
    let listed = page(&platform, "").await;
    assert_eq!(ids(&listed), ["i-1", "i-4", "i-5", "i-3"]);
    assert_eq!(listed.instances[0].state, InstanceState::Draining);
    assert_eq!(listed.instances[3].capacity, 9);
}

#[tokio::test]
async fn the_list_may_run_behind() {
    let platform = start(50).await;
    platform.hold_list();
    platform.remove(&"i-1".into());
    assert_eq!(page(&platform, "").await.instances.len(), 5);
    platform.show_current();
    assert_eq!(page(&platform, "").await.instances.len(), 4);
}

#[tokio::test]
async fn calls_beyond_the_rate_get_429() {
    let platform = Platform::start(PlatformPlan { page_size: 50, rate_per_second: 1.0 }).await.unwrap();
    let refused = eventually_some(BOUND, async || {
        let answer = call(&platform, Method::GET, "/instances").await.unwrap();
        (answer.status.as_u16() == 429).then_some(())
    });
    refused.await.unwrap();
    assert_eq!(platform.refused_calls(), 1);
    assert!(platform.calls() >= 2);
}

#[tokio::test]
async fn other_calls_are_refused() {
    let platform = start(2).await;
    for (method, target, status) in [
        (Method::GET, "/", 404),
        (Method::POST, "/instances", 405),
        (Method::GET, "/instances?pageToken=never", 400),
    ] {
        assert_eq!(call(&platform, method, target).await.unwrap().status.as_u16(), status);
    }
}

#[tokio::test]
async fn the_platform_may_fail_or_be_silent() {
    let platform = start(2).await;
    platform.set_mode(PlatformMode::Failing);
    assert_eq!(call(&platform, Method::GET, "/instances").await.unwrap().status.as_u16(), 500);
    platform.set_mode(PlatformMode::Silent);
    let request = Request::get("/instances").body(Empty::<Bytes>::new()).unwrap();
    let silence = exchange(platform.address(), request, Duration::from_millis(20)).await;
    assert!(matches!(silence, Err(ExchangeError::NoAnswer { .. })));
    platform.set_mode(PlatformMode::Serving);
    assert_eq!(page(&platform, "").await.instances.len(), 2);
}
