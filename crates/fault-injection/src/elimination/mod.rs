//! How often the elimination test is wrong, and how soon it is right: rollouts drawn by a seed, judged by the policy's own test and
//! count of votes, and by candidates for them. Without sockets, in simulated time. docs/design/elimination-model.md has the
//! assumptions and the figures.
//!
//! - [`scenario`]: what is drawn; [`attempts`]: how an attempt ends; [`group`]: what a gossip group sends and ejects;
//!   [`outcomes`]: what an aggregator counts;
//! - [`rules`]: the policy's and the candidates;
//! - [`trial`]: one draw to its verdicts; [`report`]: the figures of all.

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

/// The sizes of fleet that are played, in gateways.
pub const FLEETS: [usize; 3] = [30, 300, 900];
/// The shares of bad endpoints that are played.
pub const BAD_ENDPOINT_RATIOS: [f64; 4] = [0.0, 0.05, 0.125, 0.3];
/// Threads at the most.
const MAX_THREADS: usize = 3;
/// Spreads seeds and numbers of draws over the generator's states.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// What is played.
#[derive(Clone, Debug)]
pub struct ModelSettings {
    /// The seed.
    pub seed: u64,
    /// Draws of good builds and as many of bad ones, for each size of fleet and share of bad endpoints.
    pub draws: NonZeroUsize,
    /// Gateways of each fleet.
    pub fleets: Vec<usize>,
    /// Shares of bad endpoints.
    pub bad_endpoint_ratios: Vec<f64>,
}

impl ModelSettings {
    /// All sizes of fleet and shares of bad endpoints.
    pub fn all_rows(seed: u64, draws: NonZeroUsize) -> ModelSettings {
        ModelSettings {
            seed,
            draws,
            fleets: FLEETS.to_vec(),
            bad_endpoint_ratios: BAD_ENDPOINT_RATIOS.to_vec(),
        }
    }

    /// How many fleets with their share of bad endpoints are played.
    pub fn steps(&self) -> usize {
        self.fleets.len() * self.bad_endpoint_ratios.len()
    }
}

/// Plays all draws by all rules, the first of which the others are compared to. `progress` is called after each step.
pub fn play(
    settings: &ModelSettings,
    rules: &[Box<dyn EliminationRule>],
    mut progress: impl FnMut(),
) -> Report {
    let names: Vec<&'static str> = rules.iter().map(|rule| rule.name()).collect();
    let mut rows = Vec::new();
    for gateways in &settings.fleets {
        for bad_endpoint_ratio in &settings.bad_endpoint_ratios {
            let setup = Setup {
                settings,
                rules,
                fleet: Fleet {
                    gateways: *gateways,
                },
                bad_endpoint_ratio: *bad_endpoint_ratio,
            };
            rows.extend(setup.play().rows(&names));
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

/// One size of fleet and share of bad endpoints.
struct Setup<'a> {
    settings: &'a ModelSettings,
    rules: &'a [Box<dyn EliminationRule>],
    fleet: Fleet,
    bad_endpoint_ratio: f64,
}

impl Setup<'_> {
    fn play(&self) -> Draws {
        let endpoints = self.fleet.endpoints();
        Draws {
            gateways: self.fleet.gateways,
            endpoints,
            bad_endpoints: (self.bad_endpoint_ratio * endpoints as f64).round() as usize,
            good: self.play_draws(CanaryBuild::Good),
            bad: self.play_draws(CanaryBuild::Bad),
        }
    }

    /// Plays the draws on a few threads. Each has its own seed, so that their order does not matter.
    fn play_draws(&self, build: CanaryBuild) -> Vec<Vec<StageVerdicts>> {
        let draws = self.settings.draws.get();
        let threads = thread::available_parallelism().map_or(1, NonZeroUsize::get);
        let threads = threads.clamp(1, MAX_THREADS);
        let play_part = |first: usize| {
            (first..draws)
                .step_by(threads)
                .map(|draw| self.play_draw(draw, build))
                .collect::<Vec<_>>()
        };
        thread::scope(|scope| {
            let parts: Vec<_> = (0..threads)
                .map(|first| scope.spawn(move || play_part(first)))
                .collect();
            parts
                .into_iter()
                .flat_map(|part| part.join().expect("a draw does not panic"))
                .collect()
        })
    }

    fn play_draw(&self, draw: usize, build: CanaryBuild) -> Vec<StageVerdicts> {
        let seed = self
            .settings
            .seed
            .wrapping_mul(SEED_MULTIPLIER)
            .wrapping_add(draw as u64);
        let mut rng = WyRand::new_seed(seed.wrapping_mul(SEED_MULTIPLIER));
        // The first values of near seeds are alike.
        let mut rng = WyRand::new_seed(rng.generate::<u64>());
        let scenario = Scenario::draw(self.fleet, self.bad_endpoint_ratio, build, &mut rng);
        trial::play(&scenario, self.rules, &mut rng)
    }
}
