//! Gossip messages between the gateways of a fleet; `codec` encodes and decodes them.

mod codec;

use crate::{Arm, AttemptOutcome, BuildId, ClassId, GossipId};

pub use codec::{decode, encode, MAX_LATENCY_REPORTS, MAX_OUTCOME_REPORTS};

/// The outcome of an attempt or a request, as a gateway reports it to the aggregator of its gossip group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEvent {
    /// An attempt ended with this outcome.
    Attempt(AttemptOutcome),
    /// A request ended without any attempt.
    NotAttempted,
    /// A client reported a wrong response.
    Complaint,
}

/// A reported event with its endpoint, build, class and latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeReport {
    /// The endpoint; zero if no endpoint was involved.
    pub gossip_id: GossipId,
    /// The endpoint's build. The encoding keeps only the bits of [`BuildId::low_bits`].
    pub build: BuildId,
    /// The class of the request.
    pub class: ClassId,
    /// The event.
    pub event: ReportedEvent,
    /// The attempt's duration as a multiple of the latency objective of the request's class.
    pub latency_ratio: f64,
}

/// An aggregator's estimate of one endpoint's latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyReport {
    /// The measured endpoint.
    pub gossip_id: GossipId,
    /// Response time as a multiple of the usual response time. Very high for an ejected endpoint.
    pub latency_ratio: f64,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipMessage {
    /// The sender's elimination test has eliminated one of the two builds that a rollout compares.
    EliminationVote {
        /// The build being rolled out.
        build: BuildId,
        /// The rollout stage that the vote is about, from 0.
        stage: usize,
        /// Confidence of the vote: weight n stands for an error probability of η to the power of n. The policy sets η.
        weight: usize,
        /// The eliminated build.
        arm: Arm,
    },
    /// A group member's outcomes and traffic since its last report to the aggregator.
    OutcomeReports {
        /// Number of requests received.
        received: usize,
        /// Number of received requests that are not client retries.
        original_requests: usize,
        /// Number of attempts currently in flight.
        in_flight: usize,
        /// The outcomes of attempts and requests.
        reports: Vec<OutcomeReport>,
    },
    /// An aggregator's estimates from the reports of its group members.
    LatencyReports {
        /// The share of requests (0 to 1) that members should shed.
        shed_ratio: f64,
        /// Slow and ejected endpoints, slowest first.
        reports: Vec<LatencyReport>,
    },
}
