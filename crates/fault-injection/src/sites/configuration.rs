//! What the gateways of the two sites are told at their start.

use serde_json::{json, Value};

use crate::simulation::{
    DEDUPLICATION_WINDOW, INITIAL_CAPACITY_RATIO, LATENCY_OBJECTIVE, OVERLOAD_RATIO,
    OVERLOAD_WINDOW, REQUEST_TIMEOUT, SITE_NAMES, SLOW_START_DURATION,
};

pub(super) fn settings(site: usize) -> Value {
    let class = |name: &str, kind: &str, worth: f64| {
        json!({"name": name, "aim": LATENCY_OBJECTIVE.0, "give_up": REQUEST_TIMEOUT.0, "idempotency": kind, "group": "all",
            "memory_span": DEDUPLICATION_WINDOW.0, "worth": worth})
    };
    json!({
        "az": SITE_NAMES[site], "azs": SITE_NAMES, "balancers": 1, "ordinal": 0, "tick": 5000,
        "classes": [class("draft", "safe", 1.0), class("payment", "keyed", 5.0), class("lodge", "unsafe", 5.0)],
        "family_info": {"exposure_caps": [1.0], "steps": [1.0], "counted_over": 2_000_000, "spare_tries": 1.0,
            "vote_life": 4_000_000, "vote_wait": 400_000, "api_rate": 600.0, "decided_by": "majority"},
        "limits": {"max_attempts": 3, "cancel": true, "may_tell": false, "retry_after": true,
            "max_retry_after": 1_000_000, "connect_timeout": 250_000, "conn_idle": 30_000_000},
        "safety": {"cold_from": INITIAL_CAPACITY_RATIO, "ramp_time": SLOW_START_DURATION.0, "fall": OVERLOAD_WINDOW.0, "fall_multiple": OVERLOAD_RATIO}})
}
