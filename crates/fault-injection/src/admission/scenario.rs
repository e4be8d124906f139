//! The scenario of an admission simulation, drawn from a seed and the same for all policies: when requests arrive, how long an
//! endpoint processes them, and what fails.

use std::fmt;
use std::str::FromStr;

use harrierdock_types::TimeDelta;
use harrierdock_types::{ClassParameters, IdempotencyScope, RetrySafety};
use nanorand::{Rng, WyRand};
use thiserror::Error;

pub const SECOND_US: i64 = 1_000_000;
/// Only requests that arrive within this span are counted. The start, and requests that are unfinished at the end, are left out.
pub const COUNTED_SPAN_US: (i64, i64) = (SECOND_US, 11 * SECOND_US);
pub const SURGE_SPAN_US: (i64, i64) = (3 * SECOND_US, 8 * SECOND_US);
pub const KILL_AT_US: i64 = 45 * SECOND_US / 10;
/// A killed gateway starts again after this time.
pub const RESTART_DELAY_US: i64 = 3 * SECOND_US / 10;
/// [`Fault::Cut`] loses messages within this span.
pub const CUT_SPAN_US: (i64, i64) = (35 * SECOND_US / 10, 75 * SECOND_US / 10);
/// No request arrives after this time.
pub const END_US: i64 = 12 * SECOND_US;
pub const ZONES: usize = 3;
/// Bounds of the endpoints' speeds.
pub const MIN_SPEED: f64 = 0.85;
pub const MAX_SPEED: f64 = 1.1;
/// Attempts that an endpoint processes at the same time.
pub const SLOTS_PER_ENDPOINT: usize = 4;
/// Attempts that can wait at an endpoint. It rejects further attempts.
pub const QUEUE_CAPACITY: usize = 40;
/// The tenants' quotas, and their shares of the requests without a surge. Half of a surge comes from the last tenant.
pub const TENANT_SHARES: [f64; 4] = [0.4, 0.3, 0.2, 0.1];

const REQUEST_TIMEOUT: TimeDelta = TimeDelta(1_500_000);

/// What fails in a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More requests arrive than the endpoints can process.
    Surge,
    /// A surge, and four of five gateways are killed and restart without state.
    KillMost,
    /// A surge, and all messages from and to the gateways of one zone are lost.
    Cut,
}

#[derive(Debug, Error)]
#[error("unknown fault; expected surge, kill-most or cut")]
pub struct UnknownFault;

const FAULT_NAMES: [(&str, Fault); 3] = [
    ("surge", Fault::Surge),
    ("kill-most", Fault::KillMost),
    ("cut", Fault::Cut),
];

impl FromStr for Fault {
    type Err = UnknownFault;
    fn from_str(text: &str) -> Result<Fault, UnknownFault> {
        FAULT_NAMES
            .iter()
            .find(|(name, _)| *name == text)
            .map(|(_, fault)| *fault)
            .ok_or(UnknownFault)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let named = FAULT_NAMES.iter().find(|(_, fault)| fault == self);
        f.write_str(named.map_or("", |(name, _)| name))
    }
}

/// A request that arrives at a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_us: i64,
    pub class: usize,
    pub tenant: usize,
    /// The gateway that the client prefers.
    pub gateway: usize,
    /// Processing time at an endpoint of speed 1.
    pub work_us: i64,
}

#[derive(Debug)]
pub struct Scenario {
    pub seed: u64,
    pub fault: Fault,
    pub gateways: usize,
    pub classes: Vec<ClassParameters>,
    /// Speed of each endpoint.
    pub speeds: Vec<f64>,
    /// Sorted by time.
    pub arrivals: Vec<Arrival>,
    /// Whether [`Fault::KillMost`] kills the gateway, by gateway.
    pub is_killed: Vec<bool>,
}

fn draw_exponential(rng: &mut WyRand) -> f64 {
    -(1.0 - rng.generate::<f64>()).ln()
}

fn draw_uniform(rng: &mut WyRand, low: f64, high: f64) -> f64 {
    low + (high - low) * rng.generate::<f64>()
}

/// Draws an index with a probability in proportion to its weight.
fn draw_weighted(rng: &mut WyRand, weights: &[f64]) -> usize {
    let mut remaining = rng.generate::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn class_parameters(
    retry_safety: RetrySafety,
    latency_objective_ms: i64,
    priority_weight: f64,
    late_value_ratio: f64,
) -> ClassParameters {
    ClassParameters {
        retry_safety,
        latency_objective: TimeDelta(latency_objective_ms * 1000),
        timeout: REQUEST_TIMEOUT,
        priority_weight,
        late_value_ratio,
    }
}

impl Scenario {
    pub fn draw(seed: u64, gateways: usize, fault: Fault) -> Scenario {
        let mut rng = WyRand::new_seed(seed);
        let with_idempotency_key = RetrySafety::IdempotencyKey {
            scope: IdempotencyScope::All,
            deduplication_window: TimeDelta(SECOND_US),
        };
        let classes = vec![
            class_parameters(RetrySafety::Idempotent, 500, 1.0, 0.0),
            class_parameters(with_idempotency_key, 600, 5.0, 0.0),
            class_parameters(RetrySafety::NonIdempotent, 600, 5.0, 0.2),
        ];
        let class_mean_works_us: Vec<f64> = (0..3)
            .map(|_| draw_uniform(&mut rng, 63e3, 110e3))
            .collect();
        let class_shares: Vec<f64> = [(0.3, 0.44), (0.26, 0.38), (0.25, 0.37)]
            .map(|(low, high)| draw_uniform(&mut rng, low, high))
            .to_vec();
        let endpoints = (gateways / 2).clamp(12, 150).max(gateways.min(24));
        let speeds: Vec<f64> = (0..endpoints)
            .map(|_| draw_uniform(&mut rng, MIN_SPEED, MAX_SPEED))
            .collect();
        let mean_work_us = class_mean_works_us
            .iter()
            .zip(&class_shares)
            .map(|(work_us, share)| work_us * share)
            .sum::<f64>()
            / class_shares.iter().sum::<f64>();
        // Rates are in requests per microsecond.
        let capacity = speeds.iter().sum::<f64>() * SLOTS_PER_ENDPOINT as f64 / mean_work_us;
        let (load_ratio, surge_factor) = (
            draw_uniform(&mut rng, 0.6, 0.8),
            draw_uniform(&mut rng, 1.5, 2.5),
        );
        // Gateways receive different shares of the traffic; the shares differ by a factor of up to three.
        let gateway_shares: Vec<f64> = (0..gateways)
            .map(|_| draw_uniform(&mut rng, 0.5, 1.5))
            .collect();
        let mut is_killed: Vec<bool> = (0..gateways).map(|gateway| gateway % 5 != 0).collect();
        rng.shuffle(&mut is_killed);
        let (mut at_us, mut arrivals) = (0.0, Vec::new());
        let surge_rate = capacity * load_ratio * surge_factor;
        // Arrivals are drawn at the rate of the surge. Outside of the surge the surplus arrivals are dropped.
        loop {
            at_us += draw_exponential(&mut rng) / surge_rate;
            if at_us >= END_US as f64 {
                break;
            }
            let is_in_surge = (SURGE_SPAN_US.0..SURGE_SPAN_US.1).contains(&(at_us as i64));
            let is_surplus = rng.generate::<f64>() >= 1.0 / surge_factor;
            let (class, gateway) = (
                draw_weighted(&mut rng, &class_shares),
                draw_weighted(&mut rng, &gateway_shares),
            );
            let work_us = class_mean_works_us[class] * draw_exponential(&mut rng);
            let usual_tenant = draw_weighted(&mut rng, &TENANT_SHARES);
            let is_of_surging_tenant = is_surplus && rng.generate::<f64>() < 0.5;
            let tenant = if is_of_surging_tenant {
                TENANT_SHARES.len() - 1
            } else {
                usual_tenant
            };
            if is_in_surge || !is_surplus {
                arrivals.push(Arrival {
                    at_us: at_us as i64,
                    class,
                    tenant,
                    gateway,
                    work_us: work_us as i64,
                });
            }
        }
        Scenario {
            seed,
            fault,
            gateways,
            classes,
            speeds,
            arrivals,
            is_killed,
        }
    }

    /// The zone of a gateway or an endpoint.
    pub fn zone(&self, index: usize) -> usize {
        index % ZONES
    }

    /// 0 for request classes of the lowest priority weight, 1 for the others.
    pub fn priority_level(&self, class: usize) -> usize {
        usize::from(self.classes[class].priority_weight > 1.0)
    }

    /// Whether messages from and to this gateway are lost now.
    pub fn is_cut_off(&self, gateway: usize, now_us: i64) -> bool {
        self.fault == Fault::Cut
            && self.zone(gateway) == 0
            && (CUT_SPAN_US.0..CUT_SPAN_US.1).contains(&now_us)
    }
}
