//! Log lines about connections to the other site and about its gateways.

use std::net::SocketAddr;

use harrierdock_multi_site::{status, Change, MoveReason, TrafficLocation};
use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::CloseCause;
use harrierdock_types::{TimeDelta, Timestamp};

/// The minimum time between two log lines about refused connections.
const REFUSAL_LOG_INTERVAL: TimeDelta = TimeDelta(10_000_000);

/// Counts refused connections and logs the count at intervals, so that unauthenticated senders cannot fill the log.
#[derive(Default)]
pub(crate) struct Refusals {
    count: u64,
    logged_at: Option<Timestamp>,
}

impl Refusals {
    /// Counts a refusal. Logs the count and resets it, at most once per `REFUSAL_LOG_INTERVAL`.
    pub(crate) fn log(&mut self, now: Timestamp, remote: &SocketAddr, reason: &str) {
        self.count += 1;
        let is_log_due = self
            .logged_at
            .is_none_or(|at| now - at >= REFUSAL_LOG_INTERVAL);
        if is_log_due {
            let count = std::mem::take(&mut self.count);
            self.logged_at = Some(now);
            tracing::warn!("sites: refused {count} connections, the last from {remote}: {reason}");
        }
    }
}

/// Logs a failed connect. Refused credentials are a warning, since retries don't help.
pub(crate) fn connect_failed(peer: &GatewayName, cause: CloseCause, reason: &str) {
    match cause {
        CloseCause::CredentialsRefused => {
            tracing::warn!("sites: failed to connect to {peer}: credentials refused: {reason}")
        }
        CloseCause::Orderly | CloseCause::Lost => {
            tracing::debug!("sites: failed to connect to {peer}: {reason}");
        }
    }
}

/// Logs the end of a connection. `peer` is `None` if it is unknown.
pub(crate) fn disconnected(peer: Option<&GatewayName>, reason: &str) {
    let peer = peer.map_or("an unknown gateway".to_string(), GatewayName::to_string);
    tracing::info!("sites: lost the connection to {peer}: {reason}");
}

fn describe_location(location: TrafficLocation) -> &'static str {
    match location {
        TrafficLocation::Local => "all traffic goes to the local site",
        TrafficLocation::FailedOver => "traffic failed over to the other site",
        TrafficLocation::Returning => "traffic returns to the local site",
    }
}

fn describe_reason(reason: MoveReason) -> &'static str {
    match reason {
        MoveReason::OperatorCommand => "operator command",
        MoveReason::NoReadyEndpoint => "no local endpoint is ready",
        MoveReason::NothingSucceeds => "no local request succeeds",
        MoveReason::RequestsSucceed => "local requests succeed",
        MoveReason::SlowStartOver => "the slow start is over",
    }
}

/// The text of the log line for a change of membership or traffic.
pub(crate) fn describe(change: &Change) -> String {
    match change {
        Change::Joined { gateway } => format!("discovered {gateway}"),
        Change::Member {
            gateway,
            state,
            returned,
            restarted,
        } => {
            let state = status::state_text(*state);
            let detail = match (returned, restarted) {
                (_, true) => " after a restart",
                (true, false) => " again",
                (false, false) => "",
            };
            format!("{gateway} is {state}{detail}")
        }
        Change::TrafficMoved { location, reason } => {
            let (location, reason) = (describe_location(*location), describe_reason(*reason));
            format!("{location}: {reason}")
        }
        Change::UnmatchedResponses { count } => {
            format!("{count} responses matched no forwarded request")
        }
    }
}
