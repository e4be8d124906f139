//! One draw, played stage by stage to each rule's verdict.

use harrierdock_types::Arm;
use nanorand::WyRand;

use super::group::Group;
use super::rules::{Comparison, EliminationRule};
use super::scenario::{Scenario, STAGE_RATIOS, STAGE_SECONDS};

/// How often groups run their test.
const TEST_INTERVAL_SECONDS: f64 = 0.125;

/// When a rule has eliminated the canary in each stage, in seconds from the stage's start; `None` if it has not.
pub type StageVerdicts = [Option<f64>; STAGE_RATIOS.len()];

/// Plays all stages of a rollout. A canary that is eliminated goes on, so that each stage is judged in each draw.
pub fn play(
    scenario: &Scenario,
    rules: &[Box<dyn EliminationRule>],
    rng: &mut WyRand,
) -> Vec<StageVerdicts> {
    let endpoints = scenario.endpoints.len();
    let mut groups: Vec<Group> = (0..scenario.fleet.groups())
        .map(|_| Group::new(endpoints))
        .collect();
    let mut verdicts = vec![StageVerdicts::default(); rules.len()];
    for stage in 0..STAGE_RATIOS.len() {
        let found = play_stage(scenario, stage, rules, &mut groups, rng);
        for (verdict, found) in verdicts.iter_mut().zip(found) {
            verdict[stage] = found;
        }
    }
    verdicts
}

/// When each rule has eliminated the canary in this stage.
fn play_stage(
    scenario: &Scenario,
    stage: usize,
    rules: &[Box<dyn EliminationRule>],
    groups: &mut [Group],
    rng: &mut WyRand,
) -> Vec<Option<f64>> {
    for group in groups.iter_mut() {
        group.change_stage();
    }
    let start = stage as f64 * STAGE_SECONDS;
    let mut ballots: Vec<Ballot> = rules.iter().map(|_| Ballot::new(groups.len())).collect();
    let intervals = (STAGE_SECONDS / TEST_INTERVAL_SECONDS) as usize;
    for interval in 0..intervals {
        let elapsed = interval as f64 * TEST_INTERVAL_SECONDS;
        for group in groups.iter_mut() {
            play_interval(scenario, start + elapsed, group, rng);
        }
        if ballots.iter().all(|ballot| ballot.eliminated_at.is_some()) {
            continue;
        }
        for (index, group) in groups.iter().enumerate() {
            vote(group, index, rules, &mut ballots);
        }
        let now = elapsed + TEST_INTERVAL_SECONDS;
        for (rule, ballot) in rules.iter().zip(&mut ballots) {
            let is_open = ballot.eliminated_at.is_none();
            if is_open && rule.eliminates(scenario.fleet, &ballot.weights) {
                ballot.eliminated_at = Some(now);
            }
        }
    }
    ballots
        .into_iter()
        .map(|ballot| ballot.eliminated_at)
        .collect()
}

/// A rule's votes in one stage.
struct Ballot {
    /// The highest weight that each group has voted with.
    weights: Vec<usize>,
    eliminated_at: Option<f64>,
}

impl Ballot {
    fn new(groups: usize) -> Ballot {
        Ballot {
            weights: vec![0; groups],
            eliminated_at: None,
        }
    }
}

/// A group's requests until its next test.
fn play_interval(scenario: &Scenario, start: f64, group: &mut Group, rng: &mut WyRand) {
    let requests =
        (scenario.fleet.group_requests_per_second() * TEST_INTERVAL_SECONDS).round() as usize;
    let last_change = scenario
        .endpoints
        .iter()
        .map(|endpoint| endpoint.changes_at_seconds)
        .fold(0.0, f64::max);
    for request in 0..requests {
        let at_seconds = start + TEST_INTERVAL_SECONDS * request as f64 / requests as f64;
        // Answer times are compared while both arms run.
        let is_paired = at_seconds < last_change;
        group.send(scenario, at_seconds, is_paired, rng);
    }
}

/// A group runs its test and votes by each rule.
fn vote(group: &Group, index: usize, rules: &[Box<dyn EliminationRule>], ballots: &mut [Ballot]) {
    let test = group.outcomes.elimination_test();
    for evidence in test.evidence() {
        let canary = group.outcomes.payoffs(evidence.metric, Arm::Canary);
        let baseline = group.outcomes.payoffs(evidence.metric, Arm::Baseline);
        let comparison = Comparison {
            evidence: &evidence,
            canary: &canary,
            baseline: &baseline,
        };
        if comparison.policy_weight() == 0 {
            // No rule votes with more than the policy.
            continue;
        }
        for (rule, ballot) in rules.iter().zip(ballots.iter_mut()) {
            if ballot.eliminated_at.is_none() {
                let held = &mut ballot.weights[index];
                *held = rule.weight(&comparison).max(*held);
            }
        }
    }
}
