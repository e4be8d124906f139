//! Turns the parameters of a scenario into timed steps.

use harrierdock_types::{TimeDelta, Timestamp};

use super::scenario::Scenario;
use crate::simulation::ScenarioStep;

/// Time between the last request and the end of the run, in which answers can still arrive.
const ANSWER_WAIT_SECONDS: f64 = 2.5;
/// Interval between the restarts of two gateways in a rolling restart.
const RESTART_INTERVAL_SECONDS: f64 = 1.5;

/// Time from the start of the clients to the end of the scenario.
pub(super) fn total_seconds(scenario: &Scenario) -> f64 {
    scenario.duration_seconds + ANSWER_WAIT_SECONDS
}

/// Returns all steps of a scenario, sorted by time. `start` is when clients start.
pub(super) fn timeline(scenario: &Scenario, start: Timestamp) -> Vec<(Timestamp, ScenarioStep)> {
    let mut steps = vec![
        (scenario.duration_seconds, ScenarioStep::StopRequests),
        (total_seconds(scenario), ScenarioStep::End),
    ];
    add_kill(scenario, &mut steps);
    if let Some(cut) = scenario.cut {
        let set_path_cut = |is_cut| ScenarioStep::SetPathCut { is_cut };
        steps.push((cut.start_second, set_path_cut(true)));
        steps.push((cut.end_second(), set_path_cut(false)));
    }
    if let Some(drain) = scenario.drain {
        steps.push((drain.second, ScenarioStep::DrainSite { site: drain.site }));
    }
    add_rolling_restart(scenario, &mut steps);
    steps.extend(scenario.extra_steps.iter().cloned());
    let mut steps: Vec<(Timestamp, ScenarioStep)> = steps
        .into_iter()
        .map(|(second, step)| (start + TimeDelta::from_seconds(second), step))
        .collect();
    // The sort is stable: steps with the same time stay in the order in which they were added.
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn add_kill(scenario: &Scenario, steps: &mut Vec<(f64, ScenarioStep)>) {
    let Some(kill) = scenario.kill else {
        return;
    };
    let kill_site = ScenarioStep::KillSite {
        site: kill.site,
        with_gateways: !scenario.endpoints_only,
    };
    steps.push((kill.second, kill_site));
    if let Some(seconds) = scenario.restore_after_seconds {
        let restore = ScenarioStep::RestoreSite { site: kill.site };
        steps.push((kill.second + seconds, restore));
    }
}

fn add_rolling_restart(scenario: &Scenario, steps: &mut Vec<(f64, ScenarioStep)>) {
    let Some(first_second) = scenario.rolling_restart_second else {
        return;
    };
    for gateway in 0..2 * scenario.gateways_per_site {
        let second = first_second + RESTART_INTERVAL_SECONDS * gateway as f64;
        steps.push((second, ScenarioStep::RestartGateway { gateway }));
    }
}
