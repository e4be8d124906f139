//! From the policy's actions to the wire's commands. The wire's names for what goes out end here.

use harrierdock_config::Names;
use harrierdock_types::{gossip, Action, RequestId, RolloutDecision, TimeDelta};
use serde_json::{json, Value};

const ALARM_NAME: &str = "due";
const ALL_PEERS: &str = "all";

fn decision_number(decision: RolloutDecision) -> u8 {
    match decision {
        RolloutDecision::Withdraw => 0,
        RolloutDecision::Promote => 1,
        RolloutDecision::Hold => 2,
        RolloutDecision::RollBack => 3,
    }
}

fn request_name(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

fn microseconds(delta: Option<TimeDelta>) -> Option<i64> {
    delta.map(|delta| delta.0)
}

/// Writes an action of an instance.
pub(crate) fn command(instance: i64, names: &Names, action: Action) -> Value {
    match action {
        Action::StartAttempt {
            id,
            endpoint,
            timeout,
        } => {
            let endpoint = names.endpoints.name(endpoint).unwrap_or_default();
            json!(["ROUTE", instance, request_name(id), endpoint, timeout.0])
        }
        Action::CancelAttempt { id, attempt } => {
            json!(["RECALL", instance, request_name(id), attempt])
        }
        Action::Reject { id, retry_after } => {
            json!([
                "NOT_NOW",
                instance,
                request_name(id),
                microseconds(retry_after)
            ])
        }
        Action::Fail { id } => json!(["RESPOND_ERROR", instance, request_name(id)]),
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
        Action::SetTimer { after } => json!(["SET_ALARM", instance, ALARM_NAME, after.0]),
    }
}
