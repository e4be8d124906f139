//! Log lines on connections to the other site and on its gateways.

use std::net::SocketAddr;

use harrierdock_multi_site::{status, Change};
use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::CloseCause;
use harrierdock_types::{TimeDelta, Timestamp};

/// How often it is logged that connections were refused.
const REFUSAL_LOG_INTERVAL: TimeDelta = TimeDelta(10_000_000);

/// Refused connections that are not logged yet. A line in a while says how many there were, so that strangers cannot fill the
/// log.
#[derive(Default)]
pub(crate) struct Refusals {
    count: u64,
    logged_at: Option<Timestamp>,
}

impl Refusals {
    /// Counts a refusal, and logs how many there were if it is time.
    pub(crate) fn log(&mut self, now: Timestamp, remote: &SocketAddr, reason: &str) {
        self.count += 1;
        let is_time = self
            .logged_at
            .is_none_or(|at| now - at >= REFUSAL_LOG_INTERVAL);
        if is_time {
            let count = std::mem::take(&mut self.count);
            self.logged_at = Some(now);
            tracing::warn!("sites: {count} refused lately, the last from {remote}: {reason}");
        }
    }
}

/// A connection that was opened has not come up. Operators are warned of refused credentials, which no retry mends.
pub(crate) fn connect_failed(peer: &GatewayName, cause: CloseCause, reason: &str) {
    match cause {
        CloseCause::CredentialsRefused => tracing::warn!("sites: {peer} refused: {reason}"),
        CloseCause::Orderly | CloseCause::Lost => {
            tracing::debug!("sites: {peer} cannot be reached: {reason}");
        }
    }
}

/// A connection has ended.
pub(crate) fn disconnected(peer: Option<&GatewayName>, reason: &str) {
    let peer = peer.map_or("a gateway".to_string(), GatewayName::to_string);
    tracing::info!("sites: link with {peer} is down: {reason}");
}

/// A change of what is known of the other site, in words.
pub(crate) fn describe(change: &Change) -> String {
    match change {
        Change::Joined { gateway } => format!("{gateway} is known"),
        Change::Member {
            gateway,
            state,
            returned,
            restarted,
        } => {
            let state = status::state_text(*state);
            let detail = match (returned, restarted) {
                (_, true) => ", started anew",
                (true, false) => ", returned",
                (false, false) => "",
            };
            format!("{gateway} is {state}{detail}")
        }
        Change::TrafficMoved { location, reason } => {
            let location = status::location_text(*location);
            format!("traffic is {location}: {}", status::reason_text(*reason))
        }
        Change::UnmatchedResponses { count } => {
            format!("{count} answers matched no forwarded request")
        }
    }
}
