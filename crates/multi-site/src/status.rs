//! What operators are shown on asking.

use serde::Serialize;

use crate::{Counters, MoveReason, MultiSite, TrafficLocation};

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberStatus {
    pub gateway: String,
    pub standing: String,
    pub since_s: f64,
    /// A road on which both ends hear each other.
    pub road: bool,
    pub round_trip_ms: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    pub gateway: String,
    pub standing: String,
    pub home: String,
    pub why: String,
    pub ready_servers: usize,
    pub members: Vec<MemberStatus>,
    /// How many requests of each request class may cross at this moment.
    pub credit: Vec<(String, f64)>,
    pub owed_by_them: usize,
    pub owed_to_them: usize,
    #[serde(flatten)]
    pub tally: Counters,
}

fn word(of: impl std::fmt::Debug) -> String {
    format!("{of:?}").to_lowercase()
}

/// What a change of home is put down to, in words.
pub fn why(why: MoveReason) -> &'static str {
    match why {
        MoveReason::OperatorCommand => "by hand",
        MoveReason::NoReadyEndpoint => "no server is ready",
        MoveReason::NothingSucceeds => "nothing settles here",
        MoveReason::RequestsSucceed => "txns settle here",
        MoveReason::SlowStartOver => "all traffic is home",
    }
}

pub fn home(home: TrafficLocation) -> String {
    match home {
        TrafficLocation::Local => "here",
        TrafficLocation::FailedOver => "away",
        TrafficLocation::Returning => "returning",
    }
    .into()
}

impl MultiSite {
    /// How things stand at the last event.
    pub fn status(&self) -> Status {
        let members = self
            .members
            .records()
            .filter(|(r, _)| r.party.site == self.place.other_site);
        let members = members.map(|(record, since)| {
            let roads = self
                .members
                .roads
                .values()
                .filter(|r| r.peer == record.party && r.whole);
            let round_trip = roads.map(|r| r.round_trip).min();
            MemberStatus {
                gateway: record.party.to_string(),
                standing: if record.incarnation == 0 {
                    "unheard".into()
                } else {
                    word(record.standing)
                },
                since_s: if since.0 > 0 {
                    (self.now - since).as_seconds()
                } else {
                    0.0
                },
                road: round_trip.is_some(),
                round_trip_ms: round_trip.map(|t| t.as_seconds() * 1000.0),
            }
        });
        let (home_is, why_is, _) = self.crossings.home_is();
        let credit = self.crossings.credit(self.now).into_iter().enumerate();
        let (owed_by_them, owed_to_them) = self.owed();
        Status {
            gateway: self.place.own.to_string(),
            standing: word(self.members.own().standing),
            home: home(home_is),
            why: why(why_is).into(),
            ready_servers: self.ready,
            members: members.collect(),
            credit: credit
                .map(|(p, c)| (self.place.classes[p].name.clone(), c))
                .collect(),
            owed_by_them,
            owed_to_them,
            tally: self.tally,
        }
    }
}
