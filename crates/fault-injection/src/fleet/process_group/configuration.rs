//! What the gateways of a fleet are configured with.

use serde_json::{json, Value};

use super::{ProcessGroup, StartOverrides, DUTIES, ELECTORS, OTHER_FORM, SKEW, ZONE};
use crate::fleet::installation::STAGES;
use crate::simulation::{
    DEDUPLICATION_WINDOW, INITIAL_CAPACITY_RATIO, LATENCY_OBJECTIVE, OVERLOAD_RATIO,
    OVERLOAD_WINDOW, REQUEST_TIMEOUT, SLOW_START_DURATION,
};

pub(super) fn policy_settings(gateways: usize, ordinal: usize) -> Value {
    let class = |name: &str, kind: &str, worth: f64| {
        json!({"name": name, "aim": LATENCY_OBJECTIVE.0, "give_up": REQUEST_TIMEOUT.0, "idempotency": kind, "group": "all",
            "memory_span": DEDUPLICATION_WINDOW.0, "worth": worth})
    };
    json!({
        "az": ZONE, "azs": [ZONE], "balancers": gateways, "ordinal": ordinal, "tick": 5000,
        "classes": [class("draft", "safe", 1.0), class("payment", "keyed", 5.0), class("lodge", "unsafe", 5.0)],
        "family_info": {"exposure_caps": vec![1.0; STAGES], "steps": vec![1.0; STAGES], "counted_over": 2_000_000,
            "spare_tries": 1.0, "vote_life": 4_000_000, "vote_wait": 400_000, "api_rate": 600.0,
            "decided_by": "majority"},
        "limits": {"max_attempts": 3, "cancel": true, "may_tell": true, "retry_after": true,
            "max_retry_after": 1_000_000, "connect_timeout": 250_000, "conn_idle": 30_000_000},
        "safety": {"cold_from": INITIAL_CAPACITY_RATIO, "ramp_time": SLOW_START_DURATION.0, "fall": OVERLOAD_WINDOW.0, "fall_multiple": OVERLOAD_RATIO}})
}

impl ProcessGroup {
    /// The file of our own of one gateway.
    pub fn extension_configuration(&self, ix: usize) -> Value {
        let names: Vec<&str> = self.gateways.iter().map(|g| g.name.as_str()).collect();
        let electors = &names[..names.len().min(ELECTORS)];
        let mut fleet = json!({"gateways": names, "electorate": electors, "lease_ms": self.day.lease_ms,
            "heartbeat_ms": self.day.heartbeat_ms, "drift": SKEW, "duties": DUTIES,
            "steward": {"installation": self.rollout_address, "bound_ms": 10_000}});
        let StartOverrides {
            clock_rate,
            uses_other_wire_format,
        } = self.gateways[ix].overrides;
        if clock_rate.is_some() || uses_other_wire_format {
            let form = if uses_other_wire_format {
                OTHER_FORM
            } else {
                1
            };
            fleet["rehearsal"] = json!({"form": form, "clock_rate": clock_rate.unwrap_or(1.0)});
        }
        json!({ "fleet": fleet })
    }
}
