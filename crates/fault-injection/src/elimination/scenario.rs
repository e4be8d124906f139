//! Draws the scenario of a trial: faults of endpoints, the fault of the canary's build, and when each endpoint changes to the
//! canary.

use harrierdock_policy::context::MAX_GOSSIP_GROUPS;
use harrierdock_types::ClassId;
use nanorand::{Rng, WyRand};

/// Request classes of the model.
pub const CLASSES: usize = 3;
/// Cumulative shares of the requests by class.
const CUMULATIVE_CLASS_SHARES: [f64; CLASSES] = [0.6, 0.9, 1.0];
/// The share of the endpoints that runs the canary in each stage.
pub const STAGE_RATIOS: [f64; 3] = [0.08, 0.6, 1.0];
/// Duration of a stage: the fallback wait after the last endpoint has changed, rounded up.
pub const STAGE_SECONDS: f64 = 4.0;
/// The endpoints of a stage change their build within this time after the stage starts.
const CHANGE_SECONDS: f64 = 1.0;
/// Requests per second that each gateway receives.
const REQUESTS_PER_SECOND: f64 = 8.0;
const GATEWAYS_PER_ENDPOINT: usize = 2;
/// An endpoint with [`EndpointFault::Pauses`] pauses once in each period.
const PAUSE_PERIOD_SECONDS: f64 = 3.0;
const PAUSE_SECONDS: f64 = 1.0;
/// The error ratios of bad endpoints.
const ENDPOINT_ERROR_RATIOS: Range = Range {
    low: 0.2,
    high: 1.0,
};
/// The error ratios of bad builds. Half of the draws are below the geometric mean of the bounds.
const BUILD_ERROR_RATIOS: Range = Range {
    low: 0.05,
    high: 0.5,
};
/// The shares of slow responses of bad endpoints and builds.
const SLOW_RATIOS: Range = Range {
    low: 0.3,
    high: 1.0,
};

struct Range {
    low: f64,
    high: f64,
}

impl Range {
    fn draw_uniform(&self, rng: &mut WyRand) -> f64 {
        self.low + (self.high - self.low) * rng.generate::<f64>()
    }

    fn draw_log_uniform(&self, rng: &mut WyRand) -> f64 {
        self.low * (self.high / self.low).powf(rng.generate::<f64>())
    }
}

/// The gateways and endpoints of a site.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of gateways.
    pub gateways: usize,
}

impl Fleet {
    /// Number of endpoints, at least one.
    pub fn endpoints(self) -> usize {
        (self.gateways / GATEWAYS_PER_ENDPOINT).max(1)
    }

    /// Number of gossip groups.
    pub fn groups(self) -> usize {
        MAX_GOSSIP_GROUPS.min(self.gateways)
    }

    /// Mean number of gateways in a gossip group.
    pub fn gateways_per_group(self) -> f64 {
        self.gateways as f64 / self.groups() as f64
    }

    /// Requests that a gossip group receives in a second.
    pub fn group_requests_per_second(self) -> f64 {
        REQUESTS_PER_SECOND * self.gateways_per_group()
    }
}

/// A fault of an endpoint, independent of its build.
#[derive(Clone, Copy, Debug)]
pub enum EndpointFault {
    /// A share of the responses are errors.
    Errors {
        /// Share of errors, from 0 to 1.
        ratio: f64,
        /// Request class with errors; `None` if all classes have them.
        class: Option<ClassId>,
    },
    /// A share of the responses are slow.
    Slow {
        /// Share of slow responses, from 0 to 1.
        ratio: f64,
    },
    /// The endpoint periodically stops responding.
    Pauses {
        /// Shifts the periodic pauses: a pause starts this long before each multiple of the period.
        phase_seconds: f64,
    },
}

impl EndpointFault {
    fn draw(rng: &mut WyRand) -> EndpointFault {
        match rng.generate_range(0..4_u32) {
            0 => EndpointFault::Errors {
                ratio: ENDPOINT_ERROR_RATIOS.draw_uniform(rng),
                class: None,
            },
            1 => EndpointFault::Errors {
                ratio: ENDPOINT_ERROR_RATIOS.draw_uniform(rng),
                class: Some(ClassId(rng.generate_range(0..CLASSES))),
            },
            2 => EndpointFault::Slow {
                ratio: SLOW_RATIOS.draw_uniform(rng),
            },
            _ => EndpointFault::Pauses {
                phase_seconds: PAUSE_PERIOD_SECONDS * rng.generate::<f64>(),
            },
        }
    }

    /// Whether the endpoint does not respond at this time, in seconds from the start of the rollout.
    pub fn is_paused(self, now_seconds: f64) -> bool {
        match self {
            EndpointFault::Pauses { phase_seconds } => {
                (now_seconds + phase_seconds) % PAUSE_PERIOD_SECONDS < PAUSE_SECONDS
            }
            EndpointFault::Errors { .. } | EndpointFault::Slow { .. } => false,
        }
    }
}

/// A fault of a build, at every endpoint that runs the build.
#[derive(Clone, Copy, Debug)]
pub enum BuildFault {
    /// A share of the responses are errors.
    Errors {
        /// Share of errors, from 0 to 1.
        ratio: f64,
        /// Request class with errors; `None` if all classes have them.
        class: Option<ClassId>,
    },
    /// A share of the responses are slow.
    Slow {
        /// Share of slow responses, from 0 to 1.
        ratio: f64,
        /// Request class with slow responses; `None` if all classes have them.
        class: Option<ClassId>,
    },
}

impl BuildFault {
    fn draw(rng: &mut WyRand) -> BuildFault {
        let is_in_one_class = rng.generate::<bool>();
        let class = is_in_one_class.then(|| ClassId(rng.generate_range(0..CLASSES)));
        if rng.generate::<bool>() {
            BuildFault::Errors {
                ratio: BUILD_ERROR_RATIOS.draw_log_uniform(rng),
                class,
            }
        } else {
            BuildFault::Slow {
                ratio: SLOW_RATIOS.draw_uniform(rng),
                class,
            }
        }
    }
}

/// Whether the canary's build is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanaryBuild {
    /// The build behaves like the baseline.
    Good,
    /// The build has a [`BuildFault`].
    Bad,
}

/// The fault and the build change drawn for one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointPlan {
    /// `None` if the endpoint is good.
    pub fault: Option<EndpointFault>,
    /// When the endpoint changes to the canary, in seconds from the start of the rollout.
    pub changes_at_seconds: f64,
}

/// A rollout to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Size of the site.
    pub fleet: Fleet,
    /// The plan of each endpoint of the site.
    pub endpoints: Vec<EndpointPlan>,
    /// Fault of the canary's build; `None` if the build is good.
    pub build_fault: Option<BuildFault>,
}

impl Scenario {
    /// Draws a scenario in which `bad_endpoint_ratio` of the endpoints have a fault.
    pub fn draw(
        fleet: Fleet,
        bad_endpoint_ratio: f64,
        build: CanaryBuild,
        rng: &mut WyRand,
    ) -> Scenario {
        let count = fleet.endpoints();
        let bad_endpoints = (bad_endpoint_ratio * count as f64).round() as usize;
        // Two permutations: the order of changes is independent of which endpoints are bad.
        let mut change_order: Vec<usize> = (0..count).collect();
        rng.shuffle(&mut change_order);
        let mut is_bad: Vec<bool> = (0..count).map(|index| index < bad_endpoints).collect();
        rng.shuffle(&mut is_bad);
        let endpoints = change_order
            .into_iter()
            .zip(is_bad)
            .map(|(order, is_bad)| EndpointPlan {
                fault: is_bad.then(|| EndpointFault::draw(rng)),
                changes_at_seconds: draw_change_seconds(order, count, rng),
            })
            .collect();
        let build_fault = (build == CanaryBuild::Bad).then(|| BuildFault::draw(rng));
        Scenario {
            fleet,
            endpoints,
            build_fault,
        }
    }
}

/// Draws when an endpoint changes to the canary. `order` is the endpoint's position in the order of changes.
fn draw_change_seconds(order: usize, endpoints: usize, rng: &mut WyRand) -> f64 {
    let stage = STAGE_RATIOS
        .iter()
        .position(|ratio| order < stage_endpoints(*ratio, endpoints))
        .unwrap_or(STAGE_RATIOS.len() - 1);
    stage as f64 * STAGE_SECONDS + CHANGE_SECONDS * rng.generate::<f64>()
}

fn stage_endpoints(ratio: f64, endpoints: usize) -> usize {
    ((ratio * endpoints as f64).floor() as usize).max(1)
}

/// Draws the class of a request by `CUMULATIVE_CLASS_SHARES`.
pub fn draw_class(rng: &mut WyRand) -> ClassId {
    let draw = rng.generate::<f64>();
    let class = CUMULATIVE_CLASS_SHARES
        .iter()
        .position(|share| draw < *share);
    ClassId(class.unwrap_or(CLASSES - 1))
}
