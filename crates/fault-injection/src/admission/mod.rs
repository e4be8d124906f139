//! Compares admission policies in simulated time, without sockets. Each scenario is drawn from a seed and simulated with all
//! policies.

mod events;
mod policies;
mod requests;
mod scenario;
mod shedding;
mod simulation;

use std::ops::Range;

use serde::Serialize;

use harrierdock_admission::fair_share::{admitted_ratios, jain_index};
use policies::Policy;
pub use scenario::Fault;
use scenario::{Scenario, COUNTED_SPAN_US, TENANT_SHARES};
use simulation::{Simulation, Totals};

/// The largest fleet to simulate: a gateway keeps track of at most this many members.
pub const MAX_GATEWAYS: usize = 1000;
/// Shared slack has to reach this share of the central dispatcher's priority weight.
const MIN_SHARED_SLACK_SHARE: f64 = 0.9;
/// Wait limits of the central dispatcher that are tried for each scenario, in mean processing times. The combination with the
/// highest priority weight counts.
const LOW_PRIORITY_MAX_WAITS: [f64; 4] = [-0.2, 0.0, 0.5, 2.0];
const HIGH_PRIORITY_MAX_WAITS: [f64; 3] = [2.5, 3.5, 4.5];
/// Tenths of a second, during the surge, over which the variation of sent requests is measured.
const VARIATION_TENTHS: Range<usize> = 45..75;
/// Gateways with fewer requests during the surge are left out of the fairness among gateways.
const MIN_GATEWAY_REQUESTS: f64 = 20.0;
const RUN_SECONDS: f64 = 12.0;

/// Statistics of one figure over all scenarios.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    pub mean: f64,
    #[serde(rename = "least")]
    pub min: f64,
    #[serde(rename = "most")]
    pub max: f64,
    /// The standard error of the mean.
    #[serde(rename = "error")]
    pub standard_error: f64,
}

/// The figures of one policy.
#[derive(Debug, Default, Serialize)]
pub struct PolicyFigures {
    #[serde(rename = "way")]
    pub policy: &'static str,
    /// Priority weight divided by the central dispatcher's.
    pub share: Summary,
    /// Like `share`, for the requests that arrive during the surge.
    #[serde(rename = "share_in_trouble")]
    pub share_in_surge: Summary,
    /// Share of the sent requests that were late or timed out.
    pub late_share: f64,
    /// Share of all requests that the gateway rejected.
    #[serde(rename = "declined_share")]
    pub rejected_share: f64,
    /// Mean number of requests that waited for admission.
    pub waited: f64,
    /// Mean number of requests that waited for admission and were answered in time.
    pub waited_in_time: f64,
    /// Standard deviation divided by the mean of the requests sent in each tenth of a second of the surge.
    #[serde(rename = "swing")]
    pub sent_variation: f64,
    /// The value of `sent_variation` if requests were sent independently of each other.
    #[serde(rename = "swing_by_chance")]
    pub independent_sent_variation: f64,
    /// Jain's index of the requests served in time, relative to fair shares, among tenants.
    pub jain_tenants: f64,
    /// Jain's index of the shares of requests served in time among gateways.
    pub jain_gateways: f64,
    /// Bytes of load reports that a gateway sends per second.
    #[serde(rename = "bytes_a_gateway_s")]
    pub report_bytes_per_gateway_second: f64,
}

/// The result over all seeds.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Whether the mean share of shared slack reaches the required minimum.
    pub ok: bool,
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    pub gateways: usize,
    pub fault: String,
    /// The central dispatcher's priority weight divided by that of all requests.
    #[serde(rename = "bound_of_offered")]
    pub dispatcher_share_of_offered: f64,
    #[serde(rename = "ways")]
    pub policies: Vec<PolicyFigures>,
    /// The share of shared slack minus the higher share of the other two policies, by scenario.
    #[serde(rename = "ahead")]
    pub shared_slack_lead: Summary,
    /// Scenarios in which shared slack has the highest share.
    #[serde(rename = "days_ahead")]
    pub scenarios_with_lead: usize,
}

fn summarize(values: &[f64]) -> Summary {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares: f64 = values
        .iter()
        .map(|value| (value - mean) * (value - mean))
        .sum();
    Summary {
        mean,
        min: values.iter().copied().fold(f64::INFINITY, f64::min),
        max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        standard_error: (squares / (count - 1.0).max(1.0) / count).sqrt(),
    }
}

/// The coefficient of variation of the requests sent during the surge: the measured one, and the one of independent requests.
fn sent_variation(totals: &Totals) -> (f64, f64) {
    let sent = &totals.sent_by_tenth[VARIATION_TENTHS];
    let mean = sent.iter().sum::<f64>() / sent.len() as f64;
    let squares: f64 = sent
        .iter()
        .map(|count| (count - mean) * (count - mean))
        .sum();
    (
        (squares / sent.len() as f64).sqrt() / mean.max(1.0),
        1.0 / mean.max(1.0).sqrt(),
    )
}

/// Jain's index among tenants. A tenant's requests served in time are divided by its fair share: the part that its quota gives it
/// of all requests served in time at the same priority level.
fn tenant_fairness(totals: &Totals) -> f64 {
    let mut in_time_counts = vec![0.0; TENANT_SHARES.len()];
    let mut fair_counts = vec![0.0; TENANT_SHARES.len()];
    for level in &totals.tenants {
        let demands: Vec<f32> = level.iter().map(|tenant| tenant.offered as f32).collect();
        let (offered, in_time) = level.iter().fold((0.0, 0.0), |(offered, in_time), tenant| {
            (offered + tenant.offered, in_time + tenant.in_time)
        });
        let mut fair_ratios = vec![1.0; demands.len()];
        admitted_ratios(
            &demands,
            &TENANT_SHARES,
            (in_time / f64::max(offered, 1.0)) as f32,
            &mut fair_ratios,
        );
        for (index, (tenant, fair_ratio)) in level.iter().zip(&fair_ratios).enumerate() {
            in_time_counts[index] += tenant.in_time;
            fair_counts[index] += tenant.offered * f64::from(*fair_ratio);
        }
    }
    jain_index(
        &in_time_counts
            .iter()
            .zip(&fair_counts)
            .map(|(in_time, fair_count)| in_time / f64::max(*fair_count, 1.0))
            .collect::<Vec<f64>>(),
    )
}

/// Jain's index among gateways of the share of requests served in time.
fn gateway_fairness(totals: &Totals) -> f64 {
    jain_index(
        &totals
            .gateways
            .iter()
            .filter(|gateway| gateway.offered >= MIN_GATEWAY_REQUESTS)
            .map(|gateway| gateway.in_time / gateway.offered)
            .collect::<Vec<f64>>(),
    )
}

fn mean(values: impl Iterator<Item = f64>, count: usize) -> f64 {
    values.sum::<f64>() / count.max(1) as f64
}

/// Simulates the scenarios of `seeds` seeds from `first_seed` on. `progress` is called after each scenario with the number of
/// finished ones.
pub fn run_seeds(
    first_seed: u64,
    seeds: u64,
    gateways: usize,
    fault: Fault,
    mut progress: impl FnMut(u64),
) -> Report {
    let named_policies = [
        ("alone", Policy::Alone),
        ("part-to-shed", Policy::PartToShed),
        ("shared-slack", Policy::SharedSlack),
    ];
    let mut runs_by_policy = [Vec::new(), Vec::new(), Vec::new()];
    let (mut dispatcher_runs, mut dispatcher_shares) = (Vec::new(), Vec::new());
    for index in 0..seeds {
        let scenario = Scenario::draw(first_seed + index, gateways, fault);
        let Some(dispatcher_run) = best_dispatcher_run(&scenario) else {
            break;
        };
        for (runs, (_, policy)) in runs_by_policy.iter_mut().zip(&named_policies) {
            runs.push(Simulation::new(&scenario, *policy).run());
        }
        dispatcher_shares.push(dispatcher_run.priority_weight / offered_priority_weight(&scenario));
        dispatcher_runs.push(dispatcher_run);
        progress(index + 1);
    }
    // The priority weight of each run as a share of the priority weight of the best dispatcher run.
    let shares = |runs: &[Totals]| -> Vec<f64> {
        runs.iter()
            .zip(&dispatcher_runs)
            .map(|(run, dispatcher)| run.priority_weight / dispatcher.priority_weight)
            .collect()
    };
    // The same share, for the requests that arrive during the surge.
    let shares_in_surge = |runs: &[Totals]| -> Vec<f64> {
        runs.iter()
            .zip(&dispatcher_runs)
            .map(|(run, dispatcher)| {
                run.priority_weight_in_surge / dispatcher.priority_weight_in_surge
            })
            .collect()
    };
    let count = dispatcher_runs.len();
    let policies = named_policies
        .iter()
        .zip(&runs_by_policy)
        .map(|((policy, _), runs)| PolicyFigures {
            policy,
            share: summarize(&shares(runs)),
            share_in_surge: summarize(&shares_in_surge(runs)),
            late_share: mean(
                runs.iter()
                    .map(|run| run.late as f64 / run.sent.max(1) as f64),
                count,
            ),
            rejected_share: mean(
                runs.iter()
                    .map(|run| run.rejected as f64 / (run.sent + run.rejected).max(1) as f64),
                count,
            ),
            waited: mean(runs.iter().map(|run| run.waited as f64), count),
            waited_in_time: mean(runs.iter().map(|run| run.waited_in_time as f64), count),
            sent_variation: mean(runs.iter().map(|run| sent_variation(run).0), count),
            independent_sent_variation: mean(runs.iter().map(|run| sent_variation(run).1), count),
            jain_tenants: mean(runs.iter().map(tenant_fairness), count),
            jain_gateways: mean(runs.iter().map(gateway_fairness), count),
            report_bytes_per_gateway_second: mean(
                runs.iter()
                    .map(|run| run.report_bytes as f64 / gateways as f64 / RUN_SECONDS),
                count,
            ),
        });
    let policies: Vec<PolicyFigures> = policies.collect();
    let [alone, part_to_shed, shared_slack] =
        [0, 1, 2].map(|policy: usize| shares(&runs_by_policy[policy]));
    let leads: Vec<f64> = (0..count)
        .map(|index| shared_slack[index] - alone[index].max(part_to_shed[index]))
        .collect();
    Report {
        ok: summarize(&shared_slack).mean >= MIN_SHARED_SLACK_SHARE,
        seed: first_seed,
        seeds,
        gateways,
        fault: fault.to_string(),
        dispatcher_share_of_offered: mean(dispatcher_shares.iter().copied(), count),
        scenarios_with_lead: leads.iter().filter(|lead| **lead > 0.0).count(),
        shared_slack_lead: summarize(&leads),
        policies,
    }
}

/// Simulates the central dispatcher with each combination of wait limits, and returns the run with the highest priority weight.
fn best_dispatcher_run(scenario: &Scenario) -> Option<Totals> {
    let policies = LOW_PRIORITY_MAX_WAITS.iter().flat_map(|low| {
        HIGH_PRIORITY_MAX_WAITS.map(|high| Policy::CentralDispatcher {
            low_priority_max_wait: *low,
            high_priority_max_wait: high,
        })
    });
    policies
        .map(|policy| Simulation::new(scenario, policy).run())
        .max_by(|a, b| a.priority_weight.total_cmp(&b.priority_weight))
}

/// The priority weight of all counted requests.
fn offered_priority_weight(scenario: &Scenario) -> f64 {
    scenario
        .arrivals
        .iter()
        .filter(|arrival| (COUNTED_SPAN_US.0..COUNTED_SPAN_US.1).contains(&arrival.at_us))
        .map(|arrival| scenario.classes[arrival.class].priority_weight)
        .sum::<f64>()
}
