//! The parameters of the policy, as read from the configuration.

use crate::{PeerId, TimeDelta, ZoneId};

/// Which endpoints share their store of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell within a zone.
    Cell,
}

/// Whether a request may be sent again after an attempt that may have had its effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// Always, to any endpoint.
    #[default]
    Idempotent,
    /// Only to endpoints that recognise the request's idempotency key and drop duplicates, and only within the window.
    IdempotencyKey {
        /// Which endpoints recognise the key.
        scope: IdempotencyScope,
        /// Time after the first attempt in which endpoints recognise the key.
        deduplication_window: TimeDelta,
    },
    /// Never.
    NonIdempotent,
}

/// Parameters of a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassParameters {
    /// Whether requests of the class may be sent again.
    pub retry_safety: RetrySafety,
    /// A response within this time counts as in time.
    pub latency_objective: TimeDelta,
    /// Maximum time that a client waits for a response.
    pub timeout: TimeDelta,
    /// Value of a response in time, relative to other classes. Classes with the lowest weight are shed first.
    pub priority_weight: f64,
    /// Value of a late response as a ratio (0 to 1) of the value of a response in time.
    pub late_value_ratio: f64,
}

/// What advances a rollout to its next stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StageControl {
    /// The votes of the gateways.
    #[default]
    Votes,
    /// The rollout platform's schedule, unless the gateways vote to hold.
    Clock,
}

/// How the gateway receives endpoint lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on the gateway's host pushes them.
    #[default]
    Push,
    /// The gateway polls a discovery service that all gateways share.
    Poll,
}

/// Which requests the exposure limit is a share of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExposureCounting {
    /// Requests of all classes together.
    #[default]
    Combined,
    /// Requests of each class separately.
    PerClass,
}

/// How endpoints report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Endpoints do not report load.
    #[default]
    None,
    /// In each response.
    InResponses,
    /// In responses to probes.
    InProbes,
}

/// Parameters of rollouts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutParameters {
    /// What advances a rollout to its next stage.
    pub stage_control: StageControl,
    /// Exposure limit (0 to 1) of each stage.
    pub exposure_limits: Vec<f64>,
    /// Share of endpoints (0 to 1) that run the new build in each stage.
    pub stage_ratios: Vec<f64>,
    /// Which requests the exposure limit is a share of.
    pub exposure_counting: ExposureCounting,
    /// The window over which exposure is counted.
    pub exposure_window: TimeDelta,
    /// Number of attempts per window that may go to the new build regardless of the exposure limit.
    pub exposure_allowance: f64,
    /// Number of first stages in which only idempotent requests may go to the new build.
    pub guarded_stages: usize,
    /// Whether requests with an affinity key must not go to an older build than one that has answered the key.
    pub monotonic_versions: bool,
    /// Time for which the platform counts a vote.
    pub vote_ttl: TimeDelta,
    /// Maximum time to wait for the platform's response to a vote.
    pub vote_timeout: TimeDelta,
    /// Rate of votes that the platform accepts from all gateways together.
    pub votes_per_second: f64,
    /// Share of wrong responses (0 to 1) that clients report; zero if they report none.
    pub complaint_ratio: f64,
}

/// Parameters that protect endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SafetyParameters {
    /// Capacity of an endpoint at its start, as a ratio (0 to 1) of its full capacity.
    pub initial_capacity_ratio: f64,
    /// Time from an endpoint's start to its full capacity.
    pub slow_start_window: TimeDelta,
    /// The window over which requests to a warming endpoint are counted.
    pub overload_window: TimeDelta,
    /// A warming endpoint is overloaded by more requests than this multiple of its capacity in the window.
    pub overload_multiple: f64,
    /// Maximum time between two polls of discovery.
    pub max_poll_interval: TimeDelta,
    /// Time for which requests may still be sent to an endpoint after discovery reports it as draining.
    pub drain_grace: TimeDelta,
}

/// Limits of attempts and connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitParameters {
    /// Maximum number of attempts for one request.
    pub max_attempts: usize,
    /// Whether an attempt can be cancelled after it was sent.
    pub can_cancel: bool,
    /// Whether gateways send gossip messages to each other.
    pub gossip_enabled: bool,
    /// Delay stated to clients whose requests are rejected; `None` states no delay.
    pub retry_after: Option<TimeDelta>,
    /// Maximum time to open a connection to an endpoint.
    pub connect_timeout: TimeDelta,
    /// Time after which an idle connection is closed.
    pub idle_timeout: TimeDelta,
}

/// Settings that are read and validated but that no decision uses yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReservedParameters {
    /// How endpoints report their load.
    pub load_reporting: LoadReporting,
    /// Maximum request rate of each tenant.
    pub tenant_quotas_per_second: Vec<f64>,
    /// Cost of an attempt that crosses zones.
    pub cross_zone_cost: f64,
    /// Whether endpoints respond faster for keys that they have served before.
    pub warm_keys: bool,
    /// Whether a rollout starts new endpoints alongside the old ones instead of replacing them.
    pub surge: bool,
    /// Whether endpoints answer probes.
    pub probes_enabled: bool,
}

/// All parameters of the policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parameters {
    /// The zone that this gateway runs in.
    pub zone: ZoneId,
    /// Number of gateways in the fleet, this one included.
    pub gateway_count: usize,
    /// This gateway's index in the fleet.
    pub local_peer: PeerId,
    /// Resolution of the platform's clock. Decisions about times that the platform measures keep this margin.
    pub clock_resolution: TimeDelta,
    /// How the gateway receives endpoint lists.
    pub discovery_mode: DiscoveryMode,
    /// Request classes, indexed by `ClassId`.
    pub classes: Vec<ClassParameters>,
    /// Parameters of rollouts.
    pub rollout: RolloutParameters,
    /// Parameters that protect endpoints.
    pub safety: SafetyParameters,
    /// Limits of attempts and connections.
    pub limits: LimitParameters,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Settings that no decision uses yet.
    pub reserved: ReservedParameters,
}
