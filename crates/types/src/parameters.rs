//! What the configuration tells the policy, in parsed form.

use crate::{PeerId, TimeDelta, ZoneId};

/// Which endpoints recognise an idempotency key that one of them has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every endpoint.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell within a zone.
    Cell,
}

/// Whether a request may be sent again after an attempt that may have had its effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// To any endpoint at any time.
    #[default]
    Idempotent,
    /// Where and as long as endpoints drop a copy by its idempotency key.
    IdempotencyKey {
        /// Which endpoints recognise the key.
        scope: IdempotencyScope,
        /// How long after the first attempt they do.
        deduplication_window: TimeDelta,
    },
    /// Never.
    NonIdempotent,
}

/// What is configured for a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassParameters {
    /// Whether its requests may be sent again.
    pub retry_safety: RetrySafety,
    /// An answer counts as in time within this.
    pub latency_objective: TimeDelta,
    /// The longest time that a client waits for an answer.
    pub timeout: TimeDelta,
    /// What a request answered in time is worth, against requests of other classes. Load is shed from the lowest up.
    pub priority_weight: f64,
    /// What a request answered too late is still worth, as a ratio (0 to 1) of one answered in time.
    pub late_value_ratio: f64,
}

/// What moves a rollout to its next stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StageControl {
    /// Votes of the gateways.
    #[default]
    Votes,
    /// The platform's clock, unless the gateways vote to hold.
    Clock,
}

/// How endpoint lists come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// They are pushed, through an agent beside the gateway.
    #[default]
    Push,
    /// They are polled, from a discovery service that all gateways share.
    Poll,
}

/// What the exposure limit is a share of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExposureCounting {
    /// Of the requests of all classes together.
    #[default]
    Combined,
    /// Of the requests of each class.
    PerClass,
}

/// How endpoints report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Not at all.
    #[default]
    None,
    /// With each answer.
    InResponses,
    /// In answer to probes.
    InProbes,
}

/// What is configured for rollouts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutParameters {
    /// What moves a rollout on.
    pub stage_control: StageControl,
    /// The exposure limit (0 to 1) of each stage.
    pub exposure_limits: Vec<f64>,
    /// The share of endpoints (0 to 1) that run the new build in each stage.
    pub stage_ratios: Vec<f64>,
    /// What the exposure limit is a share of.
    pub exposure_counting: ExposureCounting,
    /// The window over which exposure is counted.
    pub exposure_window: TimeDelta,
    /// Attempts that may go to the new build in a window whatever the limit.
    pub exposure_allowance: f64,
    /// In stages below this one, only idempotent requests may go to the new build.
    pub guarded_stages: usize,
    /// Whether an affinity key that a build has answered may not go back to an older one.
    pub monotonic_versions: bool,
    /// How long a counted vote stands.
    pub vote_ttl: TimeDelta,
    /// How long a vote may wait for its answer.
    pub vote_timeout: TimeDelta,
    /// Votes that the platform accepts, of all gateways together.
    pub votes_per_second: f64,
    /// The share of wrong answers (0 to 1) of which clients complain; zero if they never do.
    pub complaint_ratio: f64,
}

/// What is configured to protect endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SafetyParameters {
    /// The share of its capacity (0 to 1) that an endpoint has when it starts.
    pub initial_capacity_ratio: f64,
    /// How long an endpoint takes from its start to its full capacity.
    pub slow_start_window: TimeDelta,
    /// The window over which the requests to a warming endpoint are counted.
    pub overload_window: TimeDelta,
    /// A warming endpoint is overloaded by more than this multiple of what it can carry in the window.
    pub overload_multiple: f64,
    /// The longest time between two polls of discovery.
    pub max_poll_interval: TimeDelta,
    /// How long after the news that an endpoint drains a request may still be sent to it.
    pub drain_grace: TimeDelta,
}

/// What is configured for attempts and connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitParameters {
    /// Attempts for one request.
    pub max_attempts: usize,
    /// Whether an attempt can be cancelled once it is sent.
    pub can_cancel: bool,
    /// Whether gateways send messages to each other.
    pub gossip_enabled: bool,
    /// What a rejected client is told of when to come back, if anything.
    pub retry_after: Option<TimeDelta>,
    /// How long a connection to an endpoint may take to come up.
    pub connect_timeout: TimeDelta,
    /// How long an unused connection stays open.
    pub idle_timeout: TimeDelta,
}

/// Settings that are read and checked but that no decision reads yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReservedParameters {
    /// How endpoints report their load.
    pub load_reporting: LoadReporting,
    /// Requests per second that each tenant may send.
    pub tenant_quotas_per_second: Vec<f64>,
    /// What an attempt in another zone costs.
    pub cross_zone_cost: f64,
    /// Whether endpoints answer faster for keys they have seen.
    pub warm_keys: bool,
    /// Whether a rollout starts new endpoints beside the old ones, in place of replacing them.
    pub surge: bool,
    /// Whether endpoints answer probes.
    pub probes_enabled: bool,
}

/// All that the configuration tells the policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parameters {
    /// This gateway's zone.
    pub zone: ZoneId,
    /// How many gateways the fleet has.
    pub gateway_count: usize,
    /// This gateway's place in the fleet.
    pub local_peer: PeerId,
    /// The granularity of the platform's clock.
    pub tick: TimeDelta,
    /// How endpoint lists come.
    pub discovery_mode: DiscoveryMode,
    /// The request classes, by their `ClassId`.
    pub classes: Vec<ClassParameters>,
    /// Rollouts.
    pub rollout: RolloutParameters,
    /// Protection of endpoints.
    pub safety: SafetyParameters,
    /// Attempts and connections.
    pub limits: LimitParameters,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// What no decision reads yet.
    pub reserved: ReservedParameters,
}
