//! What a trial draws: which endpoints are bad and how, whether the canary's build is, and when each endpoint changes to it.

use harrierdock_policy::context::MAX_GOSSIP_GROUPS;
use harrierdock_types::ClassId;
use nanorand::{Rng, WyRand};

/// Request classes of the model.
pub const CLASSES: usize = 3;
/// Cumulative shares of the requests by class.
const CUMULATIVE_CLASS_SHARES: [f64; CLASSES] = [0.6, 0.9, 1.0];
/// The share of the endpoints that runs the canary in each stage.
pub const STAGE_RATIOS: [f64; 3] = [0.08, 0.6, 1.0];
/// How long a stage lasts: the fallback wait after the last endpoint has changed, rounded up.
pub const STAGE_SECONDS: f64 = 4.0;
/// The endpoints of a stage change within this time from its start.
const CHANGE_SECONDS: f64 = 1.0;
/// Requests that a gateway gets.
const REQUESTS_PER_SECOND: f64 = 8.0;
const GATEWAYS_PER_ENDPOINT: usize = 2;
/// An endpoint that pauses does so once in this time.
const PAUSE_PERIOD_SECONDS: f64 = 3.0;
/// How long it pauses.
const PAUSE_SECONDS: f64 = 1.0;
/// The error ratios of bad endpoints.
const ENDPOINT_ERROR_RATIOS: Range = Range {
    low: 0.2,
    high: 1.0,
};
/// The error ratios of bad builds. Half of the draws lie below their geometric mean.
const BUILD_ERROR_RATIOS: Range = Range {
    low: 0.05,
    high: 0.5,
};
/// The shares of slow answers of bad endpoints and builds.
const SLOW_RATIOS: Range = Range {
    low: 0.3,
    high: 1.0,
};

struct Range {
    low: f64,
    high: f64,
}

impl Range {
    fn uniform(&self, rng: &mut WyRand) -> f64 {
        self.low + (self.high - self.low) * rng.generate::<f64>()
    }

    fn log_uniform(&self, rng: &mut WyRand) -> f64 {
        self.low * (self.high / self.low).powf(rng.generate::<f64>())
    }
}

/// The gateways and endpoints of a site.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// How many gateways it has.
    pub gateways: usize,
}

impl Fleet {
    /// How many endpoints it has.
    pub fn endpoints(self) -> usize {
        (self.gateways / GATEWAYS_PER_ENDPOINT).max(1)
    }

    /// How many gossip groups its gateways form.
    pub fn groups(self) -> usize {
        MAX_GOSSIP_GROUPS.min(self.gateways)
    }

    /// How many gateways a group has.
    pub fn gateways_per_group(self) -> f64 {
        self.gateways as f64 / self.groups() as f64
    }

    /// How many requests a group gets in a second.
    pub fn group_requests_per_second(self) -> f64 {
        REQUESTS_PER_SECOND * self.gateways_per_group()
    }
}

/// What is wrong with an endpoint, whatever its build.
#[derive(Clone, Copy, Debug)]
pub enum EndpointFault {
    /// A share of its answers are errors, in one class or all.
    Errors {
        /// The share.
        ratio: f64,
        /// The class, if it is one.
        class: Option<ClassId>,
    },
    /// A share of its answers are slow.
    Slow {
        /// The share.
        ratio: f64,
    },
    /// It answers nothing for a while, again and again.
    Pauses {
        /// When in its period a pause begins.
        phase_seconds: f64,
    },
}

impl EndpointFault {
    fn draw(rng: &mut WyRand) -> EndpointFault {
        match rng.generate_range(0..4_u32) {
            0 => EndpointFault::Errors {
                ratio: ENDPOINT_ERROR_RATIOS.uniform(rng),
                class: None,
            },
            1 => EndpointFault::Errors {
                ratio: ENDPOINT_ERROR_RATIOS.uniform(rng),
                class: Some(ClassId(rng.generate_range(0..CLASSES))),
            },
            2 => EndpointFault::Slow {
                ratio: SLOW_RATIOS.uniform(rng),
            },
            _ => EndpointFault::Pauses {
                phase_seconds: PAUSE_PERIOD_SECONDS * rng.generate::<f64>(),
            },
        }
    }

    /// Whether it pauses now.
    pub fn is_paused(self, now_seconds: f64) -> bool {
        match self {
            EndpointFault::Pauses { phase_seconds } => {
                (now_seconds + phase_seconds) % PAUSE_PERIOD_SECONDS < PAUSE_SECONDS
            }
            EndpointFault::Errors { .. } | EndpointFault::Slow { .. } => false,
        }
    }
}

/// What is wrong with a build, at every endpoint that runs it.
#[derive(Clone, Copy, Debug)]
pub enum BuildFault {
    /// A share of its answers are errors.
    Errors {
        /// The share.
        ratio: f64,
        /// The class, if it is one.
        class: Option<ClassId>,
    },
    /// A share of its answers are slow.
    Slow {
        /// The share.
        ratio: f64,
        /// The class, if it is one.
        class: Option<ClassId>,
    },
}

impl BuildFault {
    fn draw(rng: &mut WyRand) -> BuildFault {
        let is_of_one_class = rng.generate::<bool>();
        let class = is_of_one_class.then(|| ClassId(rng.generate_range(0..CLASSES)));
        if rng.generate::<bool>() {
            BuildFault::Errors {
                ratio: BUILD_ERROR_RATIOS.log_uniform(rng),
                class,
            }
        } else {
            BuildFault::Slow {
                ratio: SLOW_RATIOS.uniform(rng),
                class,
            }
        }
    }
}

/// Whether the canary's build is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanaryBuild {
    /// It is as good as the baseline.
    Good,
    /// It has a fault.
    Bad,
}

/// What is drawn for one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointPlan {
    /// What is wrong with it.
    pub fault: Option<EndpointFault>,
    /// When it changes to the canary, in seconds from the start of the rollout.
    pub changes_at_seconds: f64,
}

/// What a trial plays.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The site.
    pub fleet: Fleet,
    /// Its endpoints.
    pub endpoints: Vec<EndpointPlan>,
    /// What is wrong with the canary's build.
    pub build_fault: Option<BuildFault>,
}

impl Scenario {
    /// Draws a scenario in which this share of the endpoints is bad.
    pub fn draw(
        fleet: Fleet,
        bad_endpoint_ratio: f64,
        build: CanaryBuild,
        rng: &mut WyRand,
    ) -> Scenario {
        let count = fleet.endpoints();
        let bad_endpoints = (bad_endpoint_ratio * count as f64).round() as usize;
        // Who changes when is independent of who is bad: two permutations.
        let mut change_order: Vec<usize> = (0..count).collect();
        rng.shuffle(&mut change_order);
        let mut is_bad: Vec<bool> = (0..count).map(|index| index < bad_endpoints).collect();
        rng.shuffle(&mut is_bad);
        let endpoints = change_order
            .into_iter()
            .zip(is_bad)
            .map(|(order, is_bad)| EndpointPlan {
                fault: is_bad.then(|| EndpointFault::draw(rng)),
                changes_at_seconds: change_time(order, count, rng),
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

/// When the endpoint with this place in the order of changes changes to the canary.
fn change_time(order: usize, endpoints: usize, rng: &mut WyRand) -> f64 {
    let stage = STAGE_RATIOS
        .iter()
        .position(|ratio| order < stage_endpoints(*ratio, endpoints))
        .unwrap_or(STAGE_RATIOS.len() - 1);
    stage as f64 * STAGE_SECONDS + CHANGE_SECONDS * rng.generate::<f64>()
}

fn stage_endpoints(ratio: f64, endpoints: usize) -> usize {
    ((ratio * endpoints as f64).floor() as usize).max(1)
}

/// Draws the class of a request.
pub fn draw_class(rng: &mut WyRand) -> ClassId {
    let draw = rng.generate::<f64>();
    let class = CUMULATIVE_CLASS_SHARES
        .iter()
        .position(|share| draw < *share);
    ClassId(class.unwrap_or(CLASSES - 1))
}
