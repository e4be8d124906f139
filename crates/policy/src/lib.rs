//! The decisions of one gateway: which endpoint an attempt goes to, when a request is retried, rejected or failed, which load is
//! shed, and how the gateway votes on a rollout.
//!
//! [`Policy::handle`] takes one event and returns the actions to carry out, in order. Events change the desired state of the
//! modules. The actions are the difference between the desired state and the actions emitted before.
//!
//! The algorithm is based on a paper. docs/design.md lists where it departs from the paper, each departure under a letter from A to
//! M. A reference such as "departure D" in this package names an entry of that list.

#![warn(missing_docs, unreachable_pub)]

pub mod concurrency_limit;
pub mod context;
mod control_plane;
pub mod discovery_watch;
pub mod elimination_test;
pub mod elimination_votes;
mod emission;
mod endpoint_selection;
mod endpoint_table;
pub mod exposure_limiter;
mod fleet_view;
mod gossip_group;
pub mod latency;
pub mod load_shedder;
mod outcome_reports;
pub mod outlier_ejection;
pub mod payoff;
mod per_arm;
mod periodic;
mod request_flow;
pub mod request_table;
mod retries;
pub mod rollout_state;
mod rollout_voter;
pub mod sliding_window;
mod slow_start;
pub mod sticky_versions;
pub mod timer;
pub mod traffic;
mod zone_ejection;

use harrierdock_types::{
    Action, AffinityKey, BuildId, ClassId, EndpointId, EndpointRecord, Event, Parameters, Timestamp,
};
use nanorand::WyRand;

use crate::context::Context;
use crate::discovery_watch::DiscoveryWatch;
use crate::elimination_test::{EliminationEvidence, EliminationTest};
use crate::elimination_votes::EliminationVotes;
use crate::endpoint_table::EndpointTable;
use crate::exposure_limiter::{CanaryAttempt, ExposureLimiter};
use crate::fleet_view::FleetView;
use crate::gossip_group::GossipGroup;
use crate::latency::UsualLatency;
use crate::load_shedder::LoadShedder;
use crate::request_flow::{AttemptFinished, RequestReceived};
use crate::request_table::{Answer, RequestTable};
use crate::rollout_state::RolloutState;
use crate::rollout_voter::RolloutVoter;
use crate::slow_start::SlowStartAdmission;
use crate::sticky_versions::StickyVersions;
use crate::timer::PolicyTimer;
use crate::traffic::TrafficMonitor;
use crate::zone_ejection::ZoneEjection;

/// Counts of what is no evidence about endpoints, because the clients had too little time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceCounts {
    /// Requests that were rejected because no endpoint answers within the time that their clients wait.
    pub requests_without_time: u64,
    /// Attempts that timed out because their clients wait for less time than a response usually takes.
    pub early_timeouts: u64,
}

/// The decisions of one gateway. Instances share nothing.
pub struct Policy {
    context: Context,
    rng: WyRand,
    discovery_watch: DiscoveryWatch,
    elimination: EliminationTest,
    elimination_votes: EliminationVotes,
    endpoints: EndpointTable,
    evidence_counts: EvidenceCounts,
    exposure: ExposureLimiter,
    gossip: GossipGroup,
    latency: UsualLatency,
    requests: RequestTable,
    rollout: RolloutState,
    shedder: LoadShedder,
    slow_start: SlowStartAdmission,
    sticky_versions: StickyVersions,
    timer: PolicyTimer,
    traffic: TrafficMonitor,
    voter: RolloutVoter,
    zones: ZoneEjection,
}

impl Policy {
    /// Creates a policy without endpoints. The same seed and events give the same actions.
    pub fn new(parameters: Parameters, seed: u64) -> Policy {
        Policy {
            rng: WyRand::new_seed(seed),
            discovery_watch: DiscoveryWatch::default(),
            elimination: EliminationTest::default(),
            elimination_votes: EliminationVotes::default(),
            endpoints: EndpointTable::default(),
            evidence_counts: EvidenceCounts::default(),
            exposure: ExposureLimiter::default(),
            gossip: GossipGroup::default(),
            latency: UsualLatency::new(&parameters),
            requests: RequestTable::default(),
            rollout: RolloutState::default(),
            shedder: LoadShedder::new(&parameters),
            slow_start: SlowStartAdmission::default(),
            sticky_versions: StickyVersions::default(),
            timer: PolicyTimer::default(),
            traffic: TrafficMonitor::default(),
            voter: RolloutVoter::default(),
            zones: ZoneEjection::default(),
            context: Context {
                parameters,
                now: Timestamp::default(),
            },
        }
    }

    /// Handles an event that happened at `now`, and returns the actions to carry out, in order. `now` must not decrease.
    ///
    /// # Panics
    ///
    /// Panics if the class of a request is not configured.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.context.now = now;
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.update_endpoints(kind, endpoints),
            Event::RequestReceived {
                id,
                class,
                key,
                time_left,
                is_client_retry,
            } => self.receive_request(RequestReceived {
                id,
                class,
                key,
                time_left,
                is_client_retry,
            }),
            Event::ClientDisconnected { id } => self.finish_request(id, Answer::Done),
            Event::ResponseStarted { id } => self.finish_request(id, Answer::Streaming),
            Event::AttemptFinished {
                id,
                attempt,
                endpoint,
                outcome,
                duration,
                is_request_finished,
            } => self.finish_attempt(AttemptFinished {
                id,
                attempt,
                endpoint,
                outcome,
                duration,
                is_request_finished,
            }),
            Event::RolloutUpdated(update) => self.update_rollout(update),
            Event::GossipReceived { from, message } => self.receive_gossip(from, message),
            Event::TimerFired => self.tick(),
            Event::StickyVersionLearned { key, build } => self.learn_sticky_version(key, build),
            Event::ComplaintReceived { endpoint, class } => {
                self.receive_complaint(endpoint, class);
            }
            Event::Unused => {}
        }
        self.emit()
    }

    /// The record of an endpoint that is listed or was removed recently.
    pub fn endpoint(&self, id: EndpointId) -> Option<&EndpointRecord> {
        self.endpoints.get(id).map(|endpoint| &endpoint.record)
    }

    /// When an endpoint started. `None` if the endpoint is unknown, or its record has no age because it started long ago.
    pub fn endpoint_start(&self, id: EndpointId) -> Option<Timestamp> {
        self.endpoints.get(id)?.started
    }

    /// The records of all endpoints that are listed or were removed recently.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.iter().map(|endpoint| &endpoint.record)
    }

    /// The number of endpoints that are listed or were removed recently.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// The number of gossip ids that belong to a known endpoint.
    pub fn gossip_id_count(&self) -> usize {
        self.endpoints.gossip_id_count()
    }

    /// The number of affinity keys with a sticky version.
    pub fn sticky_key_count(&self) -> usize {
        self.sticky_versions.len()
    }

    /// Counts of requests and attempts whose clients had too little time.
    pub fn evidence_counts(&self) -> EvidenceCounts {
        self.evidence_counts
    }

    /// The evidence behind this gateway's elimination votes, one item per metric.
    pub fn elimination_evidence(&self) -> impl Iterator<Item = EliminationEvidence> + '_ {
        self.elimination.evidence()
    }

    /// The configured parameters.
    pub fn parameters(&self) -> &Parameters {
        &self.context.parameters
    }

    /// The largest share of requests (0 to 1) that may go to a build; 1 for a released build.
    pub fn exposure_limit(&self, build: BuildId) -> f64 {
        self.rollout
            .exposure_limit(build, &self.context.parameters.rollout)
    }

    /// The oldest build that may serve requests with this affinity key; build 0 if every build may.
    pub fn sticky_build(&self, key: AffinityKey) -> BuildId {
        self.sticky_build_of(Some(key))
    }

    /// The oldest build that may serve requests with this affinity key at another site; build 0 if every build may.
    ///
    /// Keys that stick to a released build only because all do are not held to it there: the other site may be behind in its own
    /// rollout, and would have to reject them.
    pub fn sticky_build_elsewhere(&self, key: AffinityKey) -> BuildId {
        if !self.context.parameters.rollout.monotonic_versions {
            return BuildId(0);
        }
        let own = self.sticky_versions.own_build_of(key);
        let in_flight = self
            .requests
            .newest_build_in_flight(key, self.rollout.rolled_back_build());
        own.max(in_flight).unwrap_or(BuildId(0))
    }

    /// Whether an attempt that was recorded at `recorded_at` may still start at `now`. Withdraws the earlier record, and records
    /// an admitted canary attempt again at `now`.
    ///
    /// The exposure limit counts attempts when they reach their endpoint. Many connections may be established late and at the
    /// same time, so the limit is checked again.
    pub fn admits_late_attempt(
        &mut self,
        now: Timestamp,
        recorded_at: Timestamp,
        class: ClassId,
        build: BuildId,
    ) -> bool {
        self.context.now = now;
        let attempt = CanaryAttempt { class, build };
        self.exposure.withdraw_attempt(recorded_at, attempt);
        if !self.fleet().is_canary(build) {
            return true;
        }
        let limit = self.exposure_limit(build);
        let is_allowed = self.exposure.allows(&self.context, attempt, limit);
        if is_allowed {
            self.exposure.record_attempt(now, attempt);
        }
        is_allowed
    }

    fn fleet(&self) -> FleetView<'_> {
        FleetView {
            context: &self.context,
            endpoints: &self.endpoints,
            rollout: &self.rollout,
            zones: &self.zones,
            elimination_votes: &self.elimination_votes,
            mean_latency: self.latency.longest_mean(),
        }
    }
}
