//! The status that `harrierdock site status` prints as JSON. Its field names and values are a stable interface, which this
//! file alone maps to the Rust names.

use harrierdock_site_messages::{MemberRecord, MemberState};
use harrierdock_types::Timestamp;
use serde::Serialize;

use super::MultiSite;
use crate::{MoveReason, TrafficLocation};

/// Counters since the start of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests forwarded to the other site.
    #[serde(rename = "handed_over")]
    pub forwarded: u64,
    /// Forwarded requests that the other site rejected or did not accept, or whose outcome it did not know.
    #[serde(rename = "refused")]
    pub refused_there: u64,
    /// Forwarded requests that succeeded at the other site.
    #[serde(rename = "settled_there")]
    pub succeeded_there: u64,
    /// Forwarded requests that failed because no response arrived.
    #[serde(rename = "voided_unanswered")]
    pub failed_without_response: u64,
    /// Forwarded requests that were served locally after their path or receiver was lost.
    #[serde(rename = "served_here_after")]
    pub served_locally_after_loss: u64,
    /// Inbound requests that this gateway accepted.
    #[serde(rename = "taken_in")]
    pub inbound_accepted: u64,
    /// Inbound requests that this gateway refused, because it did not accept them or an earlier incarnation may have run them.
    #[serde(rename = "turned_away")]
    pub inbound_refused: u64,
    /// Inbound requests received again, with an id that was received before.
    #[serde(rename = "copies")]
    pub duplicates: u64,
    /// Responses that matched no forwarded request.
    #[serde(rename = "strange")]
    pub unmatched_responses: u64,
    /// Failovers and returns of traffic that have started.
    pub moves: u64,
}

/// The status of a gateway of the other site, as this gateway sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The site and name, as `SITE/GATEWAY`.
    pub gateway: String,
    /// The state as text; `unheard` before the first heartbeat or record.
    #[serde(rename = "standing")]
    pub state: String,
    /// Seconds since the gateway's state or incarnation last changed; 0 before the first known change.
    pub since_s: f64,
    /// Whether the reporting gateway has a usable path to the gateway.
    #[serde(rename = "road")]
    pub has_usable_path: bool,
    /// The shortest round trip of the usable paths in milliseconds; `None` without a usable path.
    pub round_trip_ms: Option<f64>,
}

/// The status of this gateway as of its last event.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The site and name, as `SITE/GATEWAY`.
    pub gateway: String,
    /// The state that this gateway announces, as text.
    #[serde(rename = "standing")]
    pub state: String,
    /// Where its clients' requests go: `here`, `away` or `returning`.
    #[serde(rename = "home")]
    pub traffic_location: String,
    /// Why its traffic was last moved, as text.
    #[serde(rename = "why")]
    pub move_reason: String,
    /// The number of ready endpoints at the local site.
    #[serde(rename = "ready_servers")]
    pub ready_endpoints: usize,
    /// All known gateways of the other site.
    pub members: Vec<MemberStatus>,
    /// How many requests of each class may be forwarded now.
    pub credit: Vec<(String, f64)>,
    /// The number of forwarded requests that await a response.
    #[serde(rename = "owed_by_them")]
    pub open_outbound: usize,
    /// The number of inbound requests that still run here.
    #[serde(rename = "owed_to_them")]
    pub open_inbound: usize,
    /// The counters, written at the same level as the other fields.
    #[serde(flatten)]
    pub counters: Counters,
}

fn reason_text(reason: MoveReason) -> &'static str {
    match reason {
        MoveReason::OperatorCommand => "by hand",
        MoveReason::NoReadyEndpoint => "no server is ready",
        MoveReason::NothingSucceeds => "nothing settles here",
        MoveReason::RequestsSucceed => "txns settle here",
        MoveReason::SlowStartOver => "all traffic is home",
    }
}

fn location_text(location: TrafficLocation) -> &'static str {
    match location {
        TrafficLocation::Local => "here",
        TrafficLocation::FailedOver => "away",
        TrafficLocation::Returning => "returning",
    }
}

/// The text for a member state in the status and in log lines.
pub fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Serving => "serving",
        MemberState::Draining => "draining",
        MemberState::Leaving => "leaving",
        MemberState::Suspected => "suspected",
        MemberState::Lost => "lost",
    }
}

/// The state text of a configured gateway from which nothing has been received yet.
const UNHEARD: &str = "unheard";

impl MultiSite {
    /// Returns the status as of the last event.
    pub fn status(&self) -> Status {
        let other_site = &self.config.other_site;
        let members = self
            .membership
            .records()
            .filter(|(record, _)| record.gateway.site == *other_site)
            .map(|(record, since)| self.member_status(record, since));
        let traffic = self.failover.status();
        let credit = self.path_selector.total_credit(self.now);
        let classes = self.config.classes.iter();
        let open = self.open_requests();
        Status {
            gateway: self.config.own_name.to_string(),
            state: state_text(self.membership.own_record().state).into(),
            traffic_location: location_text(traffic.location).into(),
            move_reason: reason_text(traffic.reason).into(),
            ready_endpoints: self.ready_endpoints,
            members: members.collect(),
            credit: classes
                .map(|class| class.name.clone())
                .zip(credit)
                .collect(),
            open_outbound: open.outbound,
            open_inbound: open.inbound,
            counters: self.counters,
        }
    }

    fn member_status(&self, record: &MemberRecord, since: Timestamp) -> MemberStatus {
        let paths = self.membership.paths().values();
        let usable = paths.filter(|path| path.is_usable && path.peer == record.gateway);
        let round_trip = usable.map(|path| path.round_trip).min();
        let is_known = record.incarnation != 0;
        MemberStatus {
            gateway: record.gateway.to_string(),
            state: if is_known {
                state_text(record.state)
            } else {
                UNHEARD
            }
            .into(),
            since_s: if since.0 > 0 {
                (self.now - since).as_seconds()
            } else {
                0.0
            },
            has_usable_path: round_trip.is_some(),
            round_trip_ms: round_trip.map(|t| t.as_seconds() * 1000.0),
        }
    }
}
