//! What every part reads: the parameters, and the time of the event that is being handled.

use harrierdock_types::{ClassId, ClassParameters, Parameters, PeerId, TimeDelta, Timestamp};

/// Weight of a new observation in running means.
pub const LEARNING_RATE: f64 = 0.1;
/// Weight of a new observation in running means that change slowly.
pub const SLOW_LEARNING_RATE: f64 = LEARNING_RATE * LEARNING_RATE;
/// How much worse than the best an arm may be and still be good enough (the paper's approximation factor).
pub const APPROXIMATION_RATIO: f64 = 0.15;
/// The largest number of gossip groups that a fleet of gateways forms.
pub const MAX_GOSSIP_GROUPS: usize = 8;
/// How long a rollout waits for elimination votes before it is promoted. Also the longest hold.
pub const FALLBACK_WAIT: TimeDelta = TimeDelta(3_000_000);

/// The latency objective where no class is configured.
const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta(1_000_000);
/// Length of the first ejection, as a ratio to the shortest latency objective.
const FIRST_EJECTION_RATIO: f64 = 2.0;

/// The parameters and the clock of one policy.
#[derive(Debug, Default)]
pub struct Context {
    /// What is configured.
    pub parameters: Parameters,
    /// When the event that is being handled happened.
    pub now: Timestamp,
}

impl Context {
    /// What is configured for a class.
    ///
    /// # Panics
    ///
    /// If the class is not configured.
    pub fn class(&self, class: ClassId) -> &ClassParameters {
        &self.parameters.classes[class.0]
    }

    /// The shortest latency objective of all classes.
    pub fn shortest_latency_objective(&self) -> TimeDelta {
        self.parameters
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(DEFAULT_LATENCY_OBJECTIVE)
    }

    /// The longest time that a client of any class waits.
    pub fn longest_timeout(&self) -> TimeDelta {
        self.parameters
            .classes
            .iter()
            .map(|class| class.timeout)
            .max()
            .unwrap_or(TimeDelta::ZERO)
    }

    /// How long an endpoint or zone is ejected for the first time.
    pub fn first_ejection(&self) -> TimeDelta {
        self.shortest_latency_objective() * FIRST_EJECTION_RATIO
    }

    /// How far back a group's traffic is counted: the exposure window, or the shortest latency objective where that is
    /// longer, as a shorter window would hold one report or none.
    pub fn traffic_window(&self) -> TimeDelta {
        self.parameters
            .rollout
            .exposure_window
            .max(self.shortest_latency_objective())
    }

    /// The gossip group of a gateway, which is also the number of the group's aggregator (departure H in docs/design.md).
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

    /// How many groups cast elimination votes that this gateway can hear, itself included.
    pub fn voting_group_count(&self) -> usize {
        if self.parameters.limits.gossip_enabled {
            MAX_GOSSIP_GROUPS.min(self.parameters.gateway_count)
        } else {
            1
        }
    }
}
