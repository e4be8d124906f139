//! One day of the rehearsal of admission, drawn by the seed and the same for every way it is played: who
//! comes when, what it costs a server, and what fails.

use std::fmt;
use std::str::FromStr;

use harrierdock_types::TimeDelta;
use harrierdock_types::{ClassParameters, IdempotencyScope, RetrySafety};
use nanorand::{Rng, WyRand};
use thiserror::Error;

pub const SECOND: i64 = 1_000_000;
/// Requests that come outside of this are not counted: the start, and what is not ended at the end.
pub const COUNTED: (i64, i64) = (SECOND, 11 * SECOND);
pub const TROUBLE: (i64, i64) = (3 * SECOND, 8 * SECOND);
pub const KILLED: i64 = 45 * SECOND / 10;
pub const DOWN: i64 = 3 * SECOND / 10;
pub const CUT: (i64, i64) = (35 * SECOND / 10, 75 * SECOND / 10);
pub const END: i64 = 12 * SECOND;
pub const ZONES: usize = 3;
/// Servers' speeds.
pub const SLOWEST: f64 = 0.85;
pub const FASTEST: f64 = 1.1;
pub const SLOTS: usize = 4;
pub const QUEUE: usize = 40;
/// Tenants' parts while it is calm; the last brings half of a surge.
pub const TENANTS: [f64; 4] = [0.4, 0.3, 0.2, 0.1];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Surge,
    /// A surge, and four gateways in five start again with nothing in mind.
    KillMost,
    /// A surge, and no message reaches or leaves the gateways of one zone.
    Cut,
}

#[derive(Debug, Error)]
#[error("a fault is surge, kill-most or cut")]
pub struct NoFault;

const NAMES: [(&str, Fault); 3] = [
    ("surge", Fault::Surge),
    ("kill-most", Fault::KillMost),
    ("cut", Fault::Cut),
];

impl FromStr for Fault {
    type Err = NoFault;
    fn from_str(text: &str) -> Result<Fault, NoFault> {
        NAMES
            .iter()
            .find(|n| n.0 == text)
            .map(|n| n.1)
            .ok_or(NoFault)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(NAMES.iter().find(|n| n.1 == *self).map_or("", |n| n.0))
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Come {
    pub at: i64,
    pub class: usize,
    pub tenant: usize,
    pub gateway: usize,
    /// At a server of speed one.
    pub work: i64,
}

#[derive(Debug)]
pub struct Day {
    pub seed: u64,
    pub fault: Fault,
    pub gateways: usize,
    pub classes: Vec<ClassParameters>,
    pub speeds: Vec<f64>,
    pub comes: Vec<Come>,
    pub killed: Vec<bool>,
}

fn exponential(chance: &mut WyRand) -> f64 {
    -(1.0 - chance.generate::<f64>()).ln()
}

fn between(chance: &mut WyRand, low: f64, high: f64) -> f64 {
    low + (high - low) * chance.generate::<f64>()
}

fn weighted(chance: &mut WyRand, weights: &[f64]) -> usize {
    let mut left = chance.generate::<f64>() * weights.iter().sum::<f64>();
    for (at, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return at;
        }
    }
    weights.len() - 1
}

fn class(
    retry_safety: RetrySafety,
    latency_objective: i64,
    priority_weight: f64,
    late_value_ratio: f64,
) -> ClassParameters {
    let (latency_objective, timeout) = (TimeDelta(latency_objective * 1000), TimeDelta(1_500_000));
    ClassParameters {
        retry_safety,
        latency_objective,
        timeout,
        priority_weight,
        late_value_ratio,
    }
}

impl Day {
    pub fn draw(seed: u64, gateways: usize, fault: Fault) -> Day {
        let mut chance = WyRand::new_seed(seed);
        let referenced = RetrySafety::IdempotencyKey {
            scope: IdempotencyScope::All,
            deduplication_window: TimeDelta(SECOND),
        };
        let classes = vec![
            class(RetrySafety::Idempotent, 500, 1.0, 0.0),
            class(referenced, 600, 5.0, 0.0),
            class(RetrySafety::NonIdempotent, 600, 5.0, 0.2),
        ];
        let works: Vec<f64> = (0..3).map(|_| between(&mut chance, 63e3, 110e3)).collect();
        let shares: Vec<f64> = [(0.3, 0.44), (0.26, 0.38), (0.25, 0.37)]
            .map(|(low, high)| between(&mut chance, low, high))
            .to_vec();
        let servers = (gateways / 2).clamp(12, 150).max(gateways.min(24));
        let speeds: Vec<f64> = (0..servers)
            .map(|_| between(&mut chance, SLOWEST, FASTEST))
            .collect();
        let mean =
            works.iter().zip(&shares).map(|(w, s)| w * s).sum::<f64>() / shares.iter().sum::<f64>();
        let capacity = speeds.iter().sum::<f64>() * SLOTS as f64 / mean;
        let (calm, surge) = (
            between(&mut chance, 0.6, 0.8),
            between(&mut chance, 1.5, 2.5),
        );
        // No two gateways have the same part of the traffic: up to three times as much.
        let parts: Vec<f64> = (0..gateways)
            .map(|_| between(&mut chance, 0.5, 1.5))
            .collect();
        let mut killed: Vec<bool> = (0..gateways).map(|g| g % 5 != 0).collect();
        chance.shuffle(&mut killed);
        let (mut at, mut comes) = (0.0, Vec::new());
        let most = capacity * calm * surge;
        loop {
            at += exponential(&mut chance) / most;
            if at >= END as f64 {
                break;
            }
            let surging = (TROUBLE.0..TROUBLE.1).contains(&(at as i64));
            let extra = chance.generate::<f64>() >= 1.0 / surge;
            let (class, gateway) = (
                weighted(&mut chance, &shares),
                weighted(&mut chance, &parts),
            );
            let work = works[class] * exponential(&mut chance);
            let calm_tenant = weighted(&mut chance, &TENANTS);
            let hot = extra && chance.generate::<f64>() < 0.5;
            let tenant = if hot { TENANTS.len() - 1 } else { calm_tenant };
            if surging || !extra {
                comes.push(Come {
                    at: at as i64,
                    class,
                    tenant,
                    gateway,
                    work: work as i64,
                });
            }
        }
        Day {
            seed,
            fault,
            gateways,
            classes,
            speeds,
            comes,
            killed,
        }
    }

    pub fn zone(&self, of: usize) -> usize {
        of % ZONES
    }

    /// 1 for the dear request classes.
    pub fn level(&self, class: usize) -> usize {
        usize::from(self.classes[class].priority_weight > 1.0)
    }

    /// Whether messages from or to this gateway are lost now.
    pub fn cut(&self, gateway: usize, now: i64) -> bool {
        self.fault == Fault::Cut && self.zone(gateway) == 0 && (CUT.0..CUT.1).contains(&now)
    }
}
