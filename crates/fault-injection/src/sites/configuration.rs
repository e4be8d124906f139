//! The configuration of the gateways of both sites, and the endpoint records of their discovery. Only this file contains
//! the names of their fields on the wire.

use std::net::SocketAddr;

use serde_json::{json, Value};

use super::harness::Gateway;
use super::scenario::FlowExport;
use crate::simulation::{
    Endpoint, DEDUPLICATION_WINDOW, INITIAL_CAPACITY_RATIO, LATENCY_OBJECTIVE, OVERLOAD_RATIO,
    OVERLOAD_WINDOW, REQUEST_TIMEOUT, SITE_NAMES, SLOW_START_DURATION,
};

const MICROSECONDS_PER_MILLISECOND: i64 = 1000;
/// The size limit of a gateway's flow file.
const FLOW_FILE_LIMIT_MB: u32 = 16;
/// Every tenth rename of all endpoints also changes their build.
const RENAMES_PER_BUILD: u32 = 10;

/// The `settings` of a gateway's configuration.
pub(super) fn policy_settings(site: usize) -> Value {
    let class = |name: &str, idempotency: &str, priority_weight: f64| {
        json!({"name": name, "aim": LATENCY_OBJECTIVE.0, "give_up": REQUEST_TIMEOUT.0,
            "idempotency": idempotency, "group": "all", "memory_span": DEDUPLICATION_WINDOW.0,
            "worth": priority_weight})
    };
    json!({
        "az": SITE_NAMES[site], "azs": SITE_NAMES, "balancers": 1, "ordinal": 0, "tick": 5000,
        "classes": [class("draft", "safe", 1.0), class("payment", "keyed", 5.0), class("lodge", "unsafe", 5.0)],
        "family_info": {"exposure_caps": [1.0], "steps": [1.0], "counted_over": 2_000_000, "spare_tries": 1.0,
            "vote_life": 4_000_000, "vote_wait": 400_000, "api_rate": 600.0, "decided_by": "majority"},
        "limits": {"max_attempts": 3, "cancel": true, "may_tell": false, "retry_after": true,
            "max_retry_after": 1_000_000, "connect_timeout": 250_000, "conn_idle": 30_000_000},
        "safety": {"cold_from": INITIAL_CAPACITY_RATIO, "ramp_time": SLOW_START_DURATION.0,
            "fall": OVERLOAD_WINDOW.0, "fall_multiple": OVERLOAD_RATIO}})
}

/// The configuration of a gateway that starts with this cached endpoint list.
pub(super) fn gateway_configuration(gateway: &Gateway, seed: u64, cached_list: &Value) -> Value {
    json!({"name": gateway.name, "listen": "127.0.0.1:0", "discovery": gateway.discovery,
        "seed": format!("{seed:016x}"), "limits": {"memory_mb": 192, "sockets": 1024},
        "known": cached_list, "settings": policy_settings(gateway.site)})
}

/// A gateway of the other site, and the address at which its relay receives datagrams.
pub(super) struct RemoteGateway<'a> {
    pub(super) name: &'a str,
    pub(super) address: SocketAddr,
}

/// The extension configuration of a gateway that is linked to the other site.
pub(super) fn link_configuration(
    gateway: &Gateway,
    reachable_at: SocketAddr,
    remote_gateways: &[RemoteGateway],
    shares_idempotency_group: bool,
) -> Value {
    let (name, site) = (&gateway.name, SITE_NAMES[gateway.site]);
    let remote_gateways: Vec<Value> = remote_gateways
        .iter()
        .map(|remote| json!({"gateway": remote.name, "address": remote.address}))
        .collect();
    let shared_groups: &[&str] = if shares_idempotency_group {
        &["payment"]
    } else {
        &[]
    };
    json!({"sites": {"site": site, "listen": "127.0.0.1:0", "reached_at": reachable_at,
        "other": {"site": SITE_NAMES[1 - gateway.site], "gateways": remote_gateways},
        "keys": {"authority": "keys/authority.pem", "certificate": format!("keys/{site}-{name}.pem"),
            "key": format!("keys/{site}-{name}.key")},
        "control": format!("{name}.sock"),
        "groups_spanning": shared_groups}})
}

/// The extension configuration of a gateway that exports flows.
pub(super) fn flow_export_configuration(
    gateway: &Gateway,
    observation_domain: usize,
    flow_export: &FlowExport,
) -> Value {
    let mut flows = flow_export.configuration.clone();
    flows["domain"] = json!(observation_domain);
    if let Some(folder) = &flow_export.output_folder {
        let path = folder.join(format!("{}.ipfix", gateway.name));
        flows["file"] = json!({"path": path, "most_mb": FLOW_FILE_LIMIT_MB});
    }
    json!({ "flows": flows })
}

/// The record of an endpoint in discovery. `renames` is how often all endpoints have been renamed.
pub(super) fn endpoint_record(
    index: usize,
    endpoint: &Endpoint,
    is_running: bool,
    renames: u32,
) -> Value {
    let lifecycle = match (is_running, endpoint.draining_since) {
        (false, _) => "gone",
        (true, Some(_)) => "draining",
        (true, None) => "ready",
    };
    let id = match renames {
        0 => format!("s-{index}"),
        _ => format!("s-{index}-{renames}"),
    };
    let up_since_ms = endpoint
        .slow_start_since
        .map_or(0, |at| at.0 / MICROSECONDS_PER_MILLISECOND);
    json!({"id": id, "host_port": endpoint.address, "locality": SITE_NAMES[endpoint.site], "flavor": "m",
        "cell": 0, "phase": lifecycle, "size": 1.0, "up_since_ms": up_since_ms,
        "revision_no": endpoint.build + renames / RENAMES_PER_BUILD})
}
