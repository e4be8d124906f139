//! Simulates one draw stage by stage, and finds when each rule eliminates the canary.

use harrierdock_types::Arm;
use nanorand::WyRand;

use super::group::Group;
use super::outcomes::GroupOutcomes;
use super::rules::{Comparison, EliminationRule, ReportTarget};
use super::scenario::{Scenario, STAGE_RATIOS, STAGE_SECONDS};

/// Time between two elimination tests of a group.
const TEST_INTERVAL_SECONDS: f64 = 0.125;

/// When a rule eliminated the canary in each stage, in seconds from the stage's start; `None` if it did not.
pub type StageVerdicts = [Option<f64>; STAGE_RATIOS.len()];

/// Simulates all stages of a rollout. An eliminated canary continues, so that each draw gives a verdict for each stage.
pub fn run_trial(
    scenario: &Scenario,
    rules: &[Box<dyn EliminationRule>],
    rng: &mut WyRand,
) -> Vec<StageVerdicts> {
    let mut fleet = GossipFleet::new(scenario);
    let mut verdicts = vec![StageVerdicts::default(); rules.len()];
    for stage in 0..STAGE_RATIOS.len() {
        let eliminated_at_seconds = run_stage(scenario, stage, rules, &mut fleet, rng);
        for (verdicts, eliminated_at_seconds) in verdicts.iter_mut().zip(eliminated_at_seconds) {
            verdicts[stage] = eliminated_at_seconds;
        }
    }
    verdicts
}

/// Simulates one stage. Returns when each rule eliminated the canary, in seconds from the stage's start.
fn run_stage(
    scenario: &Scenario,
    stage: usize,
    rules: &[Box<dyn EliminationRule>],
    fleet: &mut GossipFleet,
    rng: &mut WyRand,
) -> Vec<Option<f64>> {
    fleet.change_stage();
    let start_seconds = stage as f64 * STAGE_SECONDS;
    let mut ballots: Vec<Ballot> = rules
        .iter()
        .map(|_| Ballot::new(fleet.groups.len()))
        .collect();
    let intervals = (STAGE_SECONDS / TEST_INTERVAL_SECONDS) as usize;
    for interval in 0..intervals {
        let elapsed_seconds = interval as f64 * TEST_INTERVAL_SECONDS;
        fleet.run_interval(scenario, start_seconds + elapsed_seconds, rng);
        if ballots
            .iter()
            .all(|ballot| ballot.eliminated_at_seconds.is_some())
        {
            continue;
        }
        fleet.vote(rules, &mut ballots);
        let now_seconds = elapsed_seconds + TEST_INTERVAL_SECONDS;
        for (rule, ballot) in rules.iter().zip(&mut ballots) {
            let is_open = ballot.eliminated_at_seconds.is_none();
            if is_open && rule.eliminates(scenario.fleet, &ballot.weights) {
                ballot.eliminated_at_seconds = Some(now_seconds);
            }
        }
    }
    ballots
        .into_iter()
        .map(|ballot| ballot.eliminated_at_seconds)
        .collect()
}

/// The votes by one rule in one stage.
struct Ballot {
    /// The highest weight of each group's votes so far.
    weights: Vec<usize>,
    /// Seconds from the stage's start; `None` while the canary is not eliminated.
    eliminated_at_seconds: Option<f64>,
}

impl Ballot {
    fn new(groups: usize) -> Ballot {
        Ballot {
            weights: vec![0; groups],
            eliminated_at_seconds: None,
        }
    }
}

/// All gossip groups, and the outcomes that their aggregators have counted.
struct GossipFleet {
    groups: Vec<Group>,
    /// Outcomes per aggregator if each group reports to its own aggregator.
    by_group: Vec<GroupOutcomes>,
    /// Outcomes per aggregator if each endpoint has one aggregator, to which all groups report.
    by_endpoint: Vec<GroupOutcomes>,
}

impl GossipFleet {
    fn new(scenario: &Scenario) -> GossipFleet {
        let endpoints = scenario.endpoints.len();
        let groups = scenario.fleet.groups();
        let no_outcomes = vec![GroupOutcomes::new(endpoints); groups];
        GossipFleet {
            groups: (0..groups).map(|_| Group::new(endpoints)).collect(),
            by_group: no_outcomes.clone(),
            by_endpoint: no_outcomes,
        }
    }

    fn change_stage(&mut self) {
        for outcomes in self.by_group.iter_mut().chain(&mut self.by_endpoint) {
            outcomes.change_stage();
        }
    }

    /// Sends the requests of all groups until the next test.
    fn run_interval(&mut self, scenario: &Scenario, start_seconds: f64, rng: &mut WyRand) {
        let requests =
            (scenario.fleet.group_requests_per_second() * TEST_INTERVAL_SECONDS).round() as usize;
        let last_change_seconds = scenario
            .endpoints
            .iter()
            .map(|endpoint| endpoint.changes_at_seconds)
            .fold(0.0, f64::max);
        let aggregators = self.by_endpoint.len();
        for (group, own_outcomes) in self.groups.iter_mut().zip(&mut self.by_group) {
            for request in 0..requests {
                let at_seconds =
                    start_seconds + TEST_INTERVAL_SECONDS * request as f64 / requests as f64;
                let finished = group.send(scenario, at_seconds, rng);
                let is_paired = at_seconds < last_change_seconds;
                own_outcomes.count(&finished, is_paired);
                self.by_endpoint[finished.endpoint % aggregators].count(&finished, is_paired);
            }
        }
    }

    /// All aggregators run their elimination tests and vote by each rule.
    fn vote(&self, rules: &[Box<dyn EliminationRule>], ballots: &mut [Ballot]) {
        for (target, aggregators) in [
            (ReportTarget::GroupAggregator, &self.by_group),
            (ReportTarget::EndpointAggregator, &self.by_endpoint),
        ] {
            if rules.iter().any(|rule| rule.report_target() == target) {
                for (index, outcomes) in aggregators.iter().enumerate() {
                    vote(outcomes, index, target, rules, ballots);
                }
            }
        }
    }
}

/// An aggregator votes by each rule that uses this report target.
fn vote(
    outcomes: &GroupOutcomes,
    index: usize,
    target: ReportTarget,
    rules: &[Box<dyn EliminationRule>],
    ballots: &mut [Ballot],
) {
    let test = outcomes.elimination_test();
    for evidence in test.evidence() {
        if evidence.weight(Arm::Canary) == 0 {
            // No rule gives a vote more weight than the policy does.
            continue;
        }
        let canary = outcomes.payoffs(evidence.metric, Arm::Canary);
        let baseline = outcomes.payoffs(evidence.metric, Arm::Baseline);
        let comparison = Comparison {
            evidence: &evidence,
            canary: &canary,
            baseline: &baseline,
        };
        for (rule, ballot) in rules.iter().zip(ballots.iter_mut()) {
            if ballot.eliminated_at_seconds.is_none() && rule.report_target() == target {
                let highest = &mut ballot.weights[index];
                *highest = rule.weight(&comparison).max(*highest);
            }
        }
    }
}
