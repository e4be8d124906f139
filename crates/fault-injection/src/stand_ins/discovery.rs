//! A stand-in for discovery, and builders for gateway configurations, endpoint lists and rollout updates as sent on the wire.

use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;

use serde_json::{json, Value};

use super::http_server::serve_requests;
use super::Trace;

/// Version of the snapshot that the stand-in returns.
const SNAPSHOT_VERSION: u32 = 60;

/// The `settings` of a gateway's configuration, with three request classes, one gateway and one zone.
pub fn policy_settings() -> Value {
    json!({
        "az": "h", "azs": ["h"], "balancers": 1, "ordinal": 0, "tick": 5000,
        "classes": [
            {"name": "draft", "aim": 3000000, "give_up": 9000000, "idempotency": "safe", "worth": 1.0},
            {"name": "payment", "aim": 3000000, "give_up": 9000000, "idempotency": "keyed", "group": "all",
             "memory_span": 9000000, "worth": 5.0},
            {"name": "lodge", "aim": 3000000, "give_up": 9000000, "idempotency": "unsafe", "worth": 5.0}],
        "family_info": {"exposure_caps": [1.0, 1.0], "steps": [0.5, 1.0], "counted_over": 2000000,
            "spare_tries": 1.0, "vote_life": 4000000, "vote_wait": 400000, "api_rate": 600.0,
            "decided_by": "majority"},
        "limits": {"max_attempts": 3, "cancel": true, "may_tell": true, "retry_after": true,
            "max_retry_after": 1500000, "connect_timeout": 1000000, "conn_idle": 5000000},
        "safety": {"cold_from": 0.5, "ramp_time": 1000000, "fall": 1000000, "fall_multiple": 4.0}})
}

/// The configuration of a gateway with `policy_settings` and these endpoints as its cached endpoint list.
pub fn gateway_configuration(discovery: SocketAddr, endpoints: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "00000000000000aa",
        "limits": {"memory_mb": 192, "sockets": 200}, "known": endpoint_list(41, true, endpoints),
        "settings": policy_settings()})
}

/// An endpoint as it appears in a list from discovery.
pub fn endpoint_record(id: &str, address: SocketAddr, lifecycle: &str, build: u32) -> Value {
    json!({"id": id, "host_port": address, "locality": "h", "flavor": "m", "cell": 0, "phase": lifecycle,
        "size": 1.0, "up_since_ms": 0, "revision_no": build})
}

/// An endpoint list: a snapshot if `complete`, a delta otherwise.
pub fn endpoint_list(version: u32, complete: bool, endpoints: &[Value]) -> Value {
    json!({"revision": version, "complete": complete, "members": endpoints})
}

/// A rollout update as the rollout platform sends it.
pub fn rollout_update(build: u32, stage: usize, phase: &str) -> Value {
    json!({"image": build, "ring": stage, "progress": phase, "ceiling": 1.0, "lag_ms": 60000})
}

/// Starts a discovery server that records its requests in the trace, and streams the lines from the returned sender to
/// gateways.
pub fn discovery_server(trace: &Trace) -> (SocketAddr, Sender<String>) {
    let trace = trace.clone();
    let (sender, lines) = channel();
    let lines = Mutex::new(lines);
    let address = serve_requests(move |request| {
        trace.record(format!(
            "discovery: {}",
            request.head.lines().next().unwrap_or("")
        ));
        if request.head.starts_with("GET /v1/endpoints HTTP") {
            let snapshot = endpoint_list(SNAPSHOT_VERSION, true, &[]).to_string();
            return request.respond("200 OK", &snapshot);
        }
        if request.head.contains("index=0 ") {
            return request.respond("410 Gone", "");
        }
        request.stream_lines(&lines, Some(""))
    });
    (address, sender)
}
