//! Converts the policy's actions to the simulator's commands. The command names are fixed by the simulator's protocol and differ
//! from the code's terms; they are used only in this file.

use harrierdock_config::Names;
use harrierdock_types::{gossip, Action, RequestId, RolloutDecision, TimeDelta};
use serde_json::{json, Value};

/// Name of an instance's only timer.
const TIMER_NAME: &str = "due";
const ALL_PEERS: &str = "all";

fn decision_number(decision: RolloutDecision) -> u8 {
    match decision {
        RolloutDecision::Withdraw => 0,
        RolloutDecision::Promote => 1,
        RolloutDecision::Hold => 2,
        RolloutDecision::RollBack => 3,
    }
}

fn format_request_id(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

fn as_microseconds(delta: Option<TimeDelta>) -> Option<i64> {
    delta.map(|delta| delta.0)
}

/// Encodes an action of an instance as a command.
pub(crate) fn encode_command(instance: i64, names: &Names, action: Action) -> Value {
    match action {
        Action::StartAttempt {
            id,
            endpoint,
            timeout,
        } => {
            let endpoint = names.endpoints.name(endpoint).unwrap_or_default();
            json!([
                "ROUTE",
                instance,
                format_request_id(id),
                endpoint,
                timeout.0
            ])
        }
        Action::CancelAttempt { id, attempt } => {
            json!(["RECALL", instance, format_request_id(id), attempt])
        }
        Action::Reject { id, retry_after } => {
            json!([
                "NOT_NOW",
                instance,
                format_request_id(id),
                as_microseconds(retry_after)
            ])
        }
        Action::Fail { id } => json!(["RESPOND_ERROR", instance, format_request_id(id)]),
        Action::Vote {
            build,
            stage,
            decision,
        } => {
            json!([
                "BALLOT",
                instance,
                build.0,
                stage,
                decision_number(decision)
            ])
        }
        Action::SendGossip {
            to: Some(peer),
            message,
        } => {
            json!(["TELL", instance, peer.0, gossip::encode(&message)])
        }
        Action::SendGossip { to: None, message } => {
            json!(["TELL", instance, ALL_PEERS, gossip::encode(&message)])
        }
        Action::WatchEndpoints => json!(["LISTEN", instance, true]),
        Action::SetTimer { after } => json!(["SET_ALARM", instance, TIMER_NAME, after.0]),
    }
}
