//! One gossip group: its gateways select endpoints for requests and eject outliers.

use harrierdock_policy::context::Context;
use harrierdock_policy::outlier_ejection::EndpointHealth;
use harrierdock_types::{Arm, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use super::attempts::Attempt;
use super::outcomes::FinishedAttempt;
use super::scenario::{draw_class, EndpointFault, Scenario};

/// Probability of keeping a selected slow endpoint. Gateways give slow endpoints a lower weight.
const SLOW_ENDPOINT_KEEP_PROBABILITY: f64 = 0.4;
/// Selections per request, the first one included. The last one stands even if its endpoint is ejected.
const MAX_SELECTIONS: usize = 8;

/// The endpoint health that the gateways of a gossip group share.
#[derive(Debug)]
pub struct Group {
    health: Vec<EndpointHealth>,
    first_ejection: TimeDelta,
}

impl Group {
    /// A group without any recorded outcome.
    pub fn new(endpoints: usize) -> Group {
        Group {
            health: (0..endpoints).map(|_| EndpointHealth::default()).collect(),
            first_ejection: Context::default().first_ejection(),
        }
    }

    /// Sends one request as a single attempt and records its outcome.
    pub fn send(
        &mut self,
        scenario: &Scenario,
        at_seconds: f64,
        rng: &mut WyRand,
    ) -> FinishedAttempt {
        let endpoint = self.select_endpoint(scenario, at_seconds, rng);
        let plan = scenario.endpoints[endpoint];
        let attempt = Attempt {
            endpoint: plan,
            arm: arm_at(plan.changes_at_seconds, at_seconds),
            class: draw_class(rng),
            at_seconds,
        };
        let result = attempt.draw_result(scenario.build_fault, rng);
        self.health[endpoint].record_outcome(
            timestamp(at_seconds),
            result.outcome,
            self.first_ejection,
        );
        FinishedAttempt {
            endpoint,
            attempt,
            result,
        }
    }

    /// Selects any endpoint that is not ejected, slow endpoints less often. Canary endpoints are never ejected: otherwise, a build
    /// that fails every request would yield too few outcomes to be eliminated (departure G in docs/design.md).
    fn select_endpoint(&self, scenario: &Scenario, at_seconds: f64, rng: &mut WyRand) -> usize {
        let now = timestamp(at_seconds);
        let mut selected = 0;
        for _ in 0..MAX_SELECTIONS {
            selected = rng.generate_range(0..scenario.endpoints.len());
            let plan = &scenario.endpoints[selected];
            let is_canary = arm_at(plan.changes_at_seconds, at_seconds) == Arm::Canary;
            let is_ejected = !is_canary && self.health[selected].is_ejected(now);
            let is_slow = matches!(plan.fault, Some(EndpointFault::Slow { .. }));
            if !is_ejected && (!is_slow || rng.generate::<f64>() < SLOW_ENDPOINT_KEEP_PROBABILITY) {
                break;
            }
        }
        selected
    }
}

fn arm_at(changes_at_seconds: f64, at_seconds: f64) -> Arm {
    if at_seconds >= changes_at_seconds {
        Arm::Canary
    } else {
        Arm::Baseline
    }
}

fn timestamp(seconds: f64) -> Timestamp {
    Timestamp::default() + TimeDelta::from_seconds(seconds)
}
