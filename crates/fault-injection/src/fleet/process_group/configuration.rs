//! The configuration of the gateways of a fleet. Only this file contains the names of its fields on the wire.

use serde_json::{json, Value};

use super::{ProcessGroup, LEASES, MAX_ELECTORS, SKEW};
use crate::fleet::rollout_stand_in::STAGES;
use crate::simulation::{
    Endpoint, DEDUPLICATION_WINDOW, FIRST_BUILD, INITIAL_CAPACITY_RATIO, LATENCY_OBJECTIVE,
    OVERLOAD_RATIO, OVERLOAD_WINDOW, REQUEST_TIMEOUT, SLOW_START_DURATION,
};
use crate::stand_ins::endpoint_list;

const ZONE: &str = "hobart";
/// Versions of the lease messages: the default, and the one under `uses_other_wire_format`.
const USUAL_WIRE_FORMAT: u8 = 1;
const OTHER_WIRE_FORMAT: u8 = 2;
const ENDPOINT_LIST_VERSION: u32 = 1;
/// The time after which a gateway logs a rollout stage without a decision.
const DECISION_TIMEOUT_MS: u32 = 10_000;

/// The `settings` of a gateway's configuration.
fn policy_settings(gateways: usize, ordinal: usize) -> Value {
    let class = |name: &str, idempotency: &str, priority_weight: f64| {
        json!({"name": name, "aim": LATENCY_OBJECTIVE.0, "give_up": REQUEST_TIMEOUT.0,
            "idempotency": idempotency, "group": "all", "memory_span": DEDUPLICATION_WINDOW.0,
            "worth": priority_weight})
    };
    json!({
        "az": ZONE, "azs": [ZONE], "balancers": gateways, "ordinal": ordinal, "tick": 5000,
        "classes": [class("draft", "safe", 1.0), class("payment", "keyed", 5.0), class("lodge", "unsafe", 5.0)],
        "family_info": {"exposure_caps": vec![1.0; STAGES], "steps": vec![1.0; STAGES], "counted_over": 2_000_000,
            "spare_tries": 1.0, "vote_life": 4_000_000, "vote_wait": 400_000, "api_rate": 600.0,
            "decided_by": "majority"},
        "limits": {"max_attempts": 3, "cancel": true, "may_tell": true, "retry_after": true,
            "max_retry_after": 1_000_000, "connect_timeout": 250_000, "conn_idle": 30_000_000},
        "safety": {"cold_from": INITIAL_CAPACITY_RATIO, "ramp_time": SLOW_START_DURATION.0,
            "fall": OVERLOAD_WINDOW.0, "fall_multiple": OVERLOAD_RATIO}})
}

fn endpoint_record(index: usize, endpoint: &Endpoint) -> Value {
    json!({"id": format!("s-{index}"), "host_port": endpoint.address, "locality": ZONE, "flavor": "m",
        "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0, "revision_no": FIRST_BUILD})
}

impl ProcessGroup {
    /// The configuration of a gateway whose cached endpoint list contains these endpoints.
    pub(super) fn configuration(&self, index: usize, endpoints: &[Endpoint]) -> Value {
        let gateway = &self.gateways[index];
        let seed = self.scenario.seed.wrapping_mul(31);
        let seed = seed.wrapping_add(index as u64);
        let peer_addresses = &self.relay.peer_addresses[index];
        let records: Vec<Value> = endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| endpoint_record(index, endpoint))
            .collect();
        json!({"name": gateway.name, "listen": "127.0.0.1:0", "discovery": gateway.discovery,
            "seed": format!("{seed:016x}"), "limits": {"memory_mb": 192, "sockets": 1024},
            "peer_listen": "127.0.0.1:0", "peers": peer_addresses, "peers_all": peer_addresses[index],
            "rollouts": {"address": self.rollout_stand_in.address},
            "known": endpoint_list(ENDPOINT_LIST_VERSION, true, &records),
            "settings": policy_settings(self.scenario.gateways, index)})
    }

    /// The extension configuration of a gateway that takes part in leases.
    pub fn extension_configuration(&self, index: usize) -> Value {
        let names: Vec<&str> = self.gateways.iter().map(|g| g.name.as_str()).collect();
        let electors = &names[..names.len().min(MAX_ELECTORS)];
        let mut fleet = json!({"gateways": names, "electorate": electors, "lease_ms": self.scenario.lease_ms,
            "heartbeat_ms": self.scenario.heartbeat_ms, "drift": SKEW, "duties": LEASES,
            "steward": {"installation": self.deployment_controller_address, "bound_ms": DECISION_TIMEOUT_MS}});
        let overrides = self.gateways[index].overrides;
        if overrides.clock_rate.is_some() || overrides.uses_other_wire_format {
            let wire_format = if overrides.uses_other_wire_format {
                OTHER_WIRE_FORMAT
            } else {
                USUAL_WIRE_FORMAT
            };
            let clock_rate = overrides.clock_rate.unwrap_or(1.0);
            fleet["rehearsal"] = json!({"form": wire_format, "clock_rate": clock_rate});
        }
        json!({ "fleet": fleet })
    }
}
