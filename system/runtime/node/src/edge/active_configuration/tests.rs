use super::ActiveConfiguration;
use millrudder_delivery::Resolve;
use serde_json::json;

/// Time-out (ms) of an attempt on a route whose `timeoutMs` is this.
fn attempt_timeout_ms(timeout_ms: f64) -> u64 {
    let configuration = json!({
        "version": 1,
        "routes": [{
            "name": "orders", "hostname": "shop.example", "pathPrefix": "/orders/", "backend": "ledger",
            "timeoutMs": timeout_ms,
        }],
        "backends": [{"name": "ledger"}],
    });
    let configuration = ActiveConfiguration::from_json(configuration.to_string().as_bytes()).unwrap();
    configuration.resolve("shop.example", "/orders/1?a=b").unwrap().timeout_ms
}

// Guards against a time-out above 49.7 days that is cut off to 32 bits of milliseconds: attempts got what was left.
#[test]
fn a_timeout_above_49_days_is_used_whole() {
    assert_eq!(attempt_timeout_ms(4_294_967_297.0), 4_294_967_297);
    let ten_years_ms = 10_u64 * 365 * 24 * 60 * 60 * 1_000;
    assert_eq!(attempt_timeout_ms(ten_years_ms as f64), ten_years_ms);
}
