//! Messages between the gateways of a fleet: what they say, and in `codec` how they are written.

mod codec;

use crate::{Arm, AttemptOutcome, BuildId, ClassId, GossipId};

pub use codec::{decode, encode, MAX_LATENCY_REPORTS, MAX_OUTCOME_REPORTS};

/// What became of an attempt or of a request, as gateways report it to their aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEvent {
    /// An attempt ended.
    Attempt(AttemptOutcome),
    /// A request was given up before any attempt.
    NotAttempted,
    /// A client complained of an answer.
    Complaint,
}

/// One such event with what it is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeReport {
    /// The endpoint; zero if there is none.
    pub gossip_id: GossipId,
    /// The endpoint's build. A message carries its low bits only.
    pub build: BuildId,
    /// The class of the request.
    pub class: ClassId,
    /// What happened.
    pub event: ReportedEvent,
    /// The attempt's duration as a multiple of its class's latency objective.
    pub latency_ratio: f64,
}

/// An endpoint's latency as an aggregator sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyReport {
    /// The endpoint.
    pub gossip_id: GossipId,
    /// Its answer times as a multiple of the usual ones. Very high for an endpoint that is ejected.
    pub latency_ratio: f64,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipMessage {
    /// The sender's test has eliminated one of the two builds that a rollout compares.
    EliminationVote {
        /// The build that is rolled out.
        build: BuildId,
        /// The stage that the vote is about.
        stage: usize,
        /// For how many powers of the test's error rate the elimination holds.
        weight: usize,
        /// The build that is eliminated.
        arm: Arm,
    },
    /// What became of a member's traffic since its last report to its aggregator.
    OutcomeReports {
        /// Requests received.
        received: usize,
        /// Of these, the ones that are no client's retry.
        first_tries: usize,
        /// Attempts in flight at this moment.
        in_flight: usize,
        /// What happened.
        reports: Vec<OutcomeReport>,
    },
    /// What an aggregator has learned from its members.
    LatencyReports {
        /// The share of requests (0 to 1) to shed.
        shed_ratio: f64,
        /// The endpoints that are slow or ejected, the slowest first.
        reports: Vec<LatencyReport>,
    },
}
