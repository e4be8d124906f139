//! State that every module reads: the parameters, and the time of the event that is being handled.

use harrierdock_types::{ClassId, ClassParameters, Parameters, PeerId, TimeDelta, Timestamp};

/// Weight of a new observation in running means.
pub const LEARNING_RATE: f64 = 0.1;
/// Weight of a new observation in running means that change slowly.
pub const SLOW_LEARNING_RATE: f64 = LEARNING_RATE * LEARNING_RATE;
/// How much worse than the best arm another arm may be without being eliminated (the paper's approximation factor).
pub const APPROXIMATION_RATIO: f64 = 0.15;
/// The largest number of gossip groups in a fleet of gateways.
pub const MAX_GOSSIP_GROUPS: usize = 8;
/// How long a rollout waits for elimination votes before it is promoted, and the maximum duration of a hold.
pub const FALLBACK_WAIT: TimeDelta = TimeDelta(3_000_000);

/// The shortest latency objective if no class is configured.
const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta(1_000_000);
/// Duration of the first ejection, as a ratio to the shortest latency objective.
const FIRST_EJECTION_RATIO: f64 = 2.0;

/// The parameters and the clock of one policy.
#[derive(Debug, Default)]
pub struct Context {
    /// The configured parameters.
    pub parameters: Parameters,
    /// The time of the event that is being handled.
    pub now: Timestamp,
}

impl Context {
    /// The parameters of a class.
    ///
    /// # Panics
    ///
    /// Panics if the class is not configured.
    pub fn class(&self, class: ClassId) -> &ClassParameters {
        &self.parameters.classes[class.0]
    }

    /// The shortest latency objective of all classes; 1 s if no class is configured.
    pub fn shortest_latency_objective(&self) -> TimeDelta {
        self.parameters
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(DEFAULT_LATENCY_OBJECTIVE)
    }

    /// The longest client timeout of all classes; zero if no class is configured.
    pub fn longest_timeout(&self) -> TimeDelta {
        self.parameters
            .classes
            .iter()
            .map(|class| class.timeout)
            .max()
            .unwrap_or(TimeDelta::ZERO)
    }

    /// The duration of the first ejection of an endpoint or zone.
    pub fn first_ejection(&self) -> TimeDelta {
        self.shortest_latency_objective() * FIRST_EJECTION_RATIO
    }

    /// The window in which a gossip group's traffic is counted: the exposure window, but at least the shortest latency
    /// objective. A shorter window would contain at most one report.
    pub fn traffic_window(&self) -> TimeDelta {
        self.parameters
            .rollout
            .exposure_window
            .max(self.shortest_latency_objective())
    }

    /// The gossip group of a gateway, identified by the group's aggregator. Without gossip, each gateway is a group of its own
    /// (departure H in docs/design.md).
    pub fn gossip_group_of(&self, peer: PeerId) -> PeerId {
        let gateways = self.parameters.gateway_count;
        let groups = if self.parameters.limits.gossip_enabled {
            MAX_GOSSIP_GROUPS.min(gateways)
        } else {
            gateways
        };
        PeerId(peer.0 % groups)
    }

    /// The aggregator of this gateway's group.
    pub fn aggregator(&self) -> PeerId {
        self.gossip_group_of(self.parameters.local_peer)
    }

    /// Whether this gateway is the aggregator of its group.
    pub fn is_aggregator(&self) -> bool {
        self.aggregator() == self.parameters.local_peer
    }

    /// The number of groups whose elimination votes this gateway receives, its own group included.
    pub fn voting_group_count(&self) -> usize {
        if self.parameters.limits.gossip_enabled {
            MAX_GOSSIP_GROUPS.min(self.parameters.gateway_count)
        } else {
            1
        }
    }
}
