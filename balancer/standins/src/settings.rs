//! `NODE_CONFIG` for a dispatcher that serves a stand-in fleet.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// A deployment like the one in service; `discovery` is a stand-in's.
pub fn node_config(listen: SocketAddr, discovery: SocketAddr, seed: u64) -> Value {
    json!({
        "name": "n0",
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "me": 0, "replicas_of_me": 1, "period": 2, "zone": "z", "failure_domains": ["z"],
            "kinds": ["gen1", "gen2"], "registry_mode": "ask",
            "reporting": {"how": "piggyback"},
            "lanes": [{"name": "copy-issue", "aim": 120, "hard_limit": 5000, "worth": 1,
                       "effect": "deduplicated", "dedup_scope": "cell", "window": 7500}],
            "permissions": {"max_attempts": 5, "may_cancel": true, "connect_timeout": 120, "conn_idle": 10000,
                            "parallel_tries": true, "retry_after": true, "max_retry_after": 2000,
                            "probing": true},
            "rules": {"ask_within": 10000, "answer_slack": 58, "stop_sending_within": 500, "cold_from": 0.31,
                      "cold": 9000, "tip_multiple": 3, "tip_after": 2000},
            "specifics": {"tells_start": true, "class_kind": [-1], "class_stretch": [2.0],
                          "report_x0": "free slots", "report_x1": "free memory", "queue_order": "fifo"}
        }
    })
}
