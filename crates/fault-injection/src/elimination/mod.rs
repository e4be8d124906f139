//! Measures how often elimination rules eliminate a good canary, and how soon they eliminate a bad one. Rollouts are drawn from a
//! seed and simulated without sockets. The policy's elimination test and vote count are compared with candidate rules.
//! docs/design/elimination-model.md has the assumptions and the figures.
//!
//! - [`scenario`] draws faults and build changes; [`attempts`] draws the result of an attempt; [`group`] selects and ejects
//!   endpoints for a gossip group; [`outcomes`] counts outcomes as an aggregator does;
//! - [`rules`]: the policy's rule and the candidates;
//! - [`trial`] simulates one draw through all stages; [`report`] summarizes all draws.

#![warn(missing_docs, unreachable_pub)]

pub mod attempts;
pub mod group;
pub mod outcomes;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod trial;

use std::num::NonZeroUsize;
use std::thread;

use harrierdock_policy::payoff::DELTA;
use nanorand::{Rng, WyRand};

use report::{summarize, Draws, Report};
use rules::EliminationRule;
use scenario::{CanaryBuild, Fleet, Scenario, STAGE_SECONDS};
use trial::StageVerdicts;

/// Gateways of each simulated fleet.
pub const FLEET_SIZES: [usize; 3] = [30, 300, 900];
/// Shares of bad endpoints that are simulated for each fleet size.
pub const BAD_ENDPOINT_RATIOS: [f64; 4] = [0.0, 0.05, 0.125, 0.3];
const MAX_THREADS: usize = 3;
/// Spreads consecutive seeds and draw numbers over the states of the random number generator.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Which draws are simulated.
#[derive(Clone, Debug)]
pub struct ModelSettings {
    /// Seed from which all draws follow.
    pub seed: u64,
    /// Draws of good builds, and the same number of bad builds, for each fleet size and share of bad endpoints.
    pub draws: NonZeroUsize,
    /// Gateways of each fleet.
    pub fleet_sizes: Vec<usize>,
    /// Shares of bad endpoints, from 0 to 1.
    pub bad_endpoint_ratios: Vec<f64>,
}

impl ModelSettings {
    /// Settings with all [`FLEET_SIZES`] and [`BAD_ENDPOINT_RATIOS`].
    pub fn all_rows(seed: u64, draws: NonZeroUsize) -> ModelSettings {
        ModelSettings {
            seed,
            draws,
            fleet_sizes: FLEET_SIZES.to_vec(),
            bad_endpoint_ratios: BAD_ENDPOINT_RATIOS.to_vec(),
        }
    }

    /// Number of combinations of a fleet size and a share of bad endpoints.
    pub fn steps(&self) -> usize {
        self.fleet_sizes.len() * self.bad_endpoint_ratios.len()
    }
}

/// Simulates all draws with all rules. The report compares the other rules with the first one. `progress` is called after each
/// of [`ModelSettings::steps`].
pub fn run_draws(
    settings: &ModelSettings,
    rules: &[Box<dyn EliminationRule>],
    mut progress: impl FnMut(),
) -> Report {
    let names: Vec<&'static str> = rules.iter().map(|rule| rule.name()).collect();
    let mut rows = Vec::new();
    for gateways in &settings.fleet_sizes {
        for bad_endpoint_ratio in &settings.bad_endpoint_ratios {
            let setup = Setup {
                settings,
                rules,
                fleet: Fleet {
                    gateways: *gateways,
                },
                bad_endpoint_ratio: *bad_endpoint_ratio,
            };
            rows.extend(setup.run().rows(&names));
            progress();
        }
    }
    Report {
        seed: settings.seed,
        draws: settings.draws.get(),
        delta: DELTA,
        stage_seconds: STAGE_SECONDS,
        summaries: summarize(&rows, &names),
        rows,
    }
}

/// One combination of a fleet size and a share of bad endpoints.
struct Setup<'a> {
    settings: &'a ModelSettings,
    rules: &'a [Box<dyn EliminationRule>],
    fleet: Fleet,
    bad_endpoint_ratio: f64,
}

impl Setup<'_> {
    fn run(&self) -> Draws {
        let endpoints = self.fleet.endpoints();
        Draws {
            gateways: self.fleet.gateways,
            endpoints,
            bad_endpoints: (self.bad_endpoint_ratio * endpoints as f64).round() as usize,
            good: self.run_draws(CanaryBuild::Good),
            bad: self.run_draws(CanaryBuild::Bad),
        }
    }

    /// Simulates the draws on several threads. Each draw has its own seed, so the result does not depend on their order.
    fn run_draws(&self, build: CanaryBuild) -> Vec<Vec<StageVerdicts>> {
        let draws = self.settings.draws.get();
        let threads = thread::available_parallelism().map_or(1, NonZeroUsize::get);
        let threads = threads.clamp(1, MAX_THREADS);
        let run_every_nth = |first: usize| {
            (first..draws)
                .step_by(threads)
                .map(|draw| self.run_draw(draw, build))
                .collect::<Vec<_>>()
        };
        thread::scope(|scope| {
            let parts: Vec<_> = (0..threads)
                .map(|first| scope.spawn(move || run_every_nth(first)))
                .collect();
            parts
                .into_iter()
                .flat_map(|part| part.join().expect("a draw does not panic"))
                .collect()
        })
    }

    fn run_draw(&self, draw: usize, build: CanaryBuild) -> Vec<StageVerdicts> {
        let seed = self
            .settings
            .seed
            .wrapping_mul(SEED_MULTIPLIER)
            .wrapping_add(draw as u64);
        let mut rng = WyRand::new_seed(seed.wrapping_mul(SEED_MULTIPLIER));
        // The first values drawn from close seeds are similar.
        let mut rng = WyRand::new_seed(rng.generate::<u64>());
        let scenario = Scenario::draw(self.fleet, self.bad_endpoint_ratio, build, &mut rng);
        trial::run_trial(&scenario, self.rules, &mut rng)
    }
}
