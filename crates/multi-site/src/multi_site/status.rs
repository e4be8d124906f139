//! The status that `harrierdock site status` prints as JSON. The names of its fields and values are part of that interface; this
//! file alone maps them.

use harrierdock_site_messages::{MemberRecord, MemberState};
use harrierdock_types::Timestamp;
use serde::Serialize;

use super::MultiSite;
use crate::{MoveReason, TrafficLocation};

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests forwarded.
    #[serde(rename = "handed_over")]
    pub forwarded: u64,
    /// Forwarded requests that were not accepted, or rejected, or of unknown outcome there.
    #[serde(rename = "refused")]
    pub refused_there: u64,
    /// Forwarded requests that succeeded there.
    #[serde(rename = "settled_there")]
    pub succeeded_there: u64,
    /// Forwarded requests that failed because no response came.
    #[serde(rename = "voided_unanswered")]
    pub failed_without_response: u64,
    /// Forwarded requests that were served locally after their path, or their receiver, was lost.
    #[serde(rename = "served_here_after")]
    pub served_locally_after_loss: u64,
    /// Inbound requests accepted.
    #[serde(rename = "taken_in")]
    pub inbound_accepted: u64,
    /// Inbound requests not accepted.
    #[serde(rename = "turned_away")]
    pub inbound_refused: u64,
    /// Copies of inbound requests.
    #[serde(rename = "copies")]
    pub duplicates: u64,
    /// Responses that matched no forwarded request.
    #[serde(rename = "strange")]
    pub unmatched_responses: u64,
    /// How often traffic has begun to go elsewhere.
    pub moves: u64,
}

/// One gateway of the other site.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub gateway: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: String,
    /// For how many seconds it has had that state.
    pub since_s: f64,
    /// Whether a usable path leads to it.
    #[serde(rename = "road")]
    pub has_usable_path: bool,
    /// The shortest round trip of the usable paths, in milliseconds.
    pub round_trip_ms: Option<f64>,
}

/// The status of one gateway between the sites.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// Its name.
    pub gateway: String,
    /// The state that it announces.
    #[serde(rename = "standing")]
    pub state: String,
    /// Where its traffic goes.
    #[serde(rename = "home")]
    pub traffic_location: String,
    /// Why.
    #[serde(rename = "why")]
    pub move_reason: String,
    /// How many local endpoints are ready.
    #[serde(rename = "ready_servers")]
    pub ready_endpoints: usize,
    /// The gateways of the other site.
    pub members: Vec<MemberStatus>,
    /// By request class, how many requests may be forwarded now.
    pub credit: Vec<(String, f64)>,
    /// Forwarded requests that await a response.
    #[serde(rename = "owed_by_them")]
    pub open_outbound: usize,
    /// Inbound requests that await a response.
    #[serde(rename = "owed_to_them")]
    pub open_inbound: usize,
    /// What was counted since the start.
    #[serde(flatten)]
    pub counters: Counters,
}

/// The reason of a move of traffic as operators read it.
pub fn reason_text(reason: MoveReason) -> &'static str {
    match reason {
        MoveReason::OperatorCommand => "by hand",
        MoveReason::NoReadyEndpoint => "no server is ready",
        MoveReason::NothingSucceeds => "nothing settles here",
        MoveReason::RequestsSucceed => "txns settle here",
        MoveReason::SlowStartOver => "all traffic is home",
    }
}

/// Where traffic goes, as operators read it.
pub fn location_text(location: TrafficLocation) -> &'static str {
    match location {
        TrafficLocation::Local => "here",
        TrafficLocation::FailedOver => "away",
        TrafficLocation::Returning => "returning",
    }
}

/// The state of a gateway as operators read it.
pub fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Serving => "serving",
        MemberState::Draining => "draining",
        MemberState::Leaving => "leaving",
        MemberState::Suspected => "suspected",
        MemberState::Lost => "lost",
    }
}

/// The state of a gateway that is configured and was not heard of yet.
const UNHEARD: &str = "unheard";

impl MultiSite {
    /// The status after the last event.
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
        let is_heard = record.incarnation != 0;
        MemberStatus {
            gateway: record.gateway.to_string(),
            state: if is_heard {
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
