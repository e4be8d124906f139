//! Leases of one fleet in simulated time, under overlapping faults drawn from a seed. The report shows whether leases stayed
//! exclusive and how long they had no holder.

mod simulation;

use std::collections::BTreeSet;

use harrierdock_types::{TimeDelta, Timestamp};
use hdrhistogram::Histogram;
use nanorand::{Rng, WyRand};
use serde::Serialize;
use simulation::{
    GatewayIndex, HolderChange, LeaseSimulation, NetworkConditions, Partition, LEASES,
};

/// Each run starts without faults for this long.
const START_SECONDS: f64 = 4.0;
/// Faults start within this time after [`START_SECONDS`].
const FAULTS_SECONDS: f64 = 14.0;
/// Each lease must have a holder again this long after the last fault.
const RECOVERY_SECONDS: f64 = 8.0;
/// How long a run waits for the next holder of a lease.
const HOLDER_CHANGE_TIMEOUT_SECONDS: f64 = 10.0;

/// Distribution of the time in which a lease has no holder.
#[derive(Debug, Default, Serialize)]
pub struct HolderGaps {
    /// Number of measured holder changes.
    #[serde(rename = "n")]
    pub count: u64,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub max_ms: u64,
}

/// The result over all seeds.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    pub gateways: usize,
    /// How often two gateways were able to act on the same lease at the same time.
    pub two_holders: u64,
    /// Operations that the fencing guard wrongly admitted: in an older epoch, or by a second gateway in the same epoch.
    #[serde(rename = "guard_saw_two")]
    pub guard_contradictions: u64,
    /// How often a gateway was able to act in an older epoch, or in the epoch of another gateway.
    #[serde(rename = "epochs_back")]
    pub epoch_regressions: u64,
    /// Leases without a holder at the end of the recovery time, or just before a holder change was to be measured.
    #[serde(rename = "left_unheld")]
    pub unheld_leases: u64,
    /// Operations that arrived at the fencing guard.
    #[serde(rename = "acts")]
    pub operations: u64,
    /// Operations that the fencing guard refused.
    #[serde(rename = "acts_refused")]
    pub operations_refused: u64,
    #[serde(rename = "messages_unread")]
    pub undecodable_messages: u64,
    #[serde(rename = "longest_message")]
    pub longest_message_bytes: usize,
    /// Time from the crash of a holder until another gateway holds the lease, without other faults.
    pub take_over: HolderGaps,
    /// Time from the start of a holder's graceful shutdown until another gateway holds the lease.
    pub hand_over: HolderGaps,
    /// Share of time in which leases have a holder while almost half of the electors are killed one after another: the mean over
    /// the leases, in the worst run.
    pub held_share: f64,
    /// Like `held_share`, for the worst lease of all runs.
    #[serde(rename = "held_share_worst_duty")]
    pub held_share_worst_lease: f64,
    /// Changes of any lease's holder in the minutes without faults.
    #[serde(rename = "moves_while_well")]
    pub holder_changes_without_faults: u64,
    /// Bytes of messages per second without faults for each lease and elector, `KnownLeases` messages excluded: the largest value
    /// of the three electorate sizes.
    #[serde(rename = "bytes_duty_elector_s")]
    pub bytes_per_lease_elector_second: f64,
    /// Mean bytes of all messages that a gateway sends per second without faults: the largest value of the three electorate
    /// sizes.
    #[serde(rename = "bytes_a_gateway_s")]
    pub bytes_per_gateway_second: f64,
    /// The first seed with a violation or an unheld lease.
    #[serde(rename = "first_bad_seed")]
    pub first_failing_seed: Option<u64>,
    /// Whether leases stayed exclusive, found new holders in time, and met the limits on traffic and time without a holder.
    pub ok: bool,
}

fn timestamp(seconds: f64) -> Timestamp {
    Timestamp(0) + TimeDelta::from_seconds(seconds)
}

fn electorate_size(seed: u64, gateways: usize) -> usize {
    [3, 5, 7][seed as usize % 3].min(gateways)
}

fn draw_gateways(rng: &mut WyRand, gateways: usize, share: f64) -> BTreeSet<GatewayIndex> {
    (0..gateways)
        .filter(|_| rng.generate::<f64>() < share)
        .collect()
}

/// Starts one random fault. A stall ends before `until_seconds`; faults of the network last until they are reset.
fn start_fault(simulation: &mut LeaseSimulation, until_seconds: f64) {
    let gateways = simulation.gateways.len();
    let mut rng = WyRand::new_seed(simulation.rng.generate());
    let lease = LEASES[rng.generate_range(0..LEASES.len())];
    // Electors and holders are affected more often than other gateways.
    let affected_gateway = match rng.generate_range(0..3) {
        0 => rng.generate_range(0..gateways),
        1 => simulation.electors()[rng.generate_range(0..simulation.electors().len())],
        _ => simulation.holder(lease).unwrap_or(0),
    };
    let restart_after = TimeDelta::from_seconds(0.05 + 3.0 * rng.generate::<f64>());
    let duration = TimeDelta::from_seconds((until_seconds - simulation.now.as_seconds()).max(0.1));
    let fault_number = rng.generate_range(0..10);
    match fault_number {
        0 => simulation.kill(affected_gateway, Some(restart_after)),
        1 => {
            let share = 0.4 + 0.6 * rng.generate::<f64>();
            for gateway in draw_gateways(&mut rng, gateways, share) {
                simulation.kill(
                    gateway,
                    Some(TimeDelta::from_seconds(0.02 + rng.generate::<f64>())),
                );
            }
        }
        2 | 3 => {
            simulation.gateways[affected_gateway].stalled_until =
                simulation.now + duration * rng.generate::<f64>()
        }
        4 | 5 => {
            let inside = draw_gateways(&mut rng, gateways, 0.5);
            let is_one_way = fault_number == 5;
            simulation.network.partition = Some(Partition { inside, is_one_way });
        }
        6 => {
            let inside = [affected_gateway].into();
            let is_one_way = rng.generate();
            simulation.network.partition = Some(Partition { inside, is_one_way });
        }
        7 => simulation.network.longest_delay_seconds = 0.6 * rng.generate::<f64>(),
        8 => {
            let mut draw_ratio = |max: f64| max * rng.generate::<f64>();
            (
                simulation.network.loss_ratio,
                simulation.network.repeat_ratio,
            ) = (draw_ratio(0.3), draw_ratio(0.3));
            (
                simulation.network.corruption_ratio,
                simulation.network.reordering_ratio,
            ) = (draw_ratio(0.1), draw_ratio(0.2));
        }
        _ => {
            let others = draw_gateways(&mut rng, gateways, 0.1);
            for gateway in others.into_iter().chain([affected_gateway]) {
                simulation.restart(gateway, Some(restart_after));
            }
        }
    }
}

trait SecondsSinceStart {
    fn as_seconds(&self) -> f64;
}

impl SecondsSinceStart for Timestamp {
    fn as_seconds(&self) -> f64 {
        (*self - Timestamp(0)).as_seconds()
    }
}

/// Simulates a fleet with overlapping faults, and checks that each lease has a holder after the recovery time.
fn simulate_faults(seed: u64, gateways: usize, report: &mut Report) {
    let mut simulation = LeaseSimulation::new(seed, gateways, electorate_size(seed, gateways));
    simulation.run(timestamp(START_SECONDS));
    let mut rng = WyRand::new_seed(!seed);
    let mut now_seconds = START_SECONDS;
    // Faults start at random times and overlap. The network's faults are reset at random times.
    while now_seconds < START_SECONDS + FAULTS_SECONDS {
        let until_seconds = now_seconds + 0.3 + 5.0 * rng.generate::<f64>();
        for _ in 0..rng.generate_range(1..4) {
            start_fault(&mut simulation, until_seconds);
        }
        now_seconds += 0.1 + 2.0 * rng.generate::<f64>();
        simulation.run(timestamp(now_seconds));
        if rng.generate::<f64>() < 0.4 {
            simulation.network = NetworkConditions::default();
        }
    }
    simulation.network = NetworkConditions::default();
    simulation.run(timestamp(now_seconds + RECOVERY_SECONDS));
    let unheld_leases = LEASES
        .iter()
        .filter(|lease| simulation.holder(**lease).is_none())
        .count() as u64;
    let failures = simulation.two_holders
        + simulation.epoch_regressions
        + simulation.guard_contradictions
        + unheld_leases;
    if failures > 0 && report.first_failing_seed.is_none() {
        report.first_failing_seed = Some(seed);
    }
    report.unheld_leases += unheld_leases;
    add_counters(&simulation, report);
}

/// Adds the simulation's counters to the report.
fn add_counters(simulation: &LeaseSimulation, report: &mut Report) {
    report.two_holders += simulation.two_holders;
    report.guard_contradictions += simulation.guard_contradictions;
    report.epoch_regressions += simulation.epoch_regressions;
    report.operations += simulation.operations;
    report.operations_refused += simulation.operations_refused;
    report.undecodable_messages += simulation.undecodable_messages;
    report.longest_message_bytes = report
        .longest_message_bytes
        .max(simulation.longest_message_bytes);
}

/// Crashes the holder of a lease, or shuts it down gracefully, without other faults. Records how long the lease has no holder.
fn measure_holder_gap(
    seed: u64,
    gateways: usize,
    is_crash: bool,
    report: &mut Report,
    gaps_ms: &mut Histogram<u64>,
) {
    let mut simulation = LeaseSimulation::new(seed, gateways, electorate_size(seed, gateways));
    simulation.run(timestamp(START_SECONDS + 8.0 + (seed % 97) as f64 / 50.0));
    let lease = LEASES[seed as usize % LEASES.len()];
    let Some(holder) = simulation.holder(lease) else {
        report.unheld_leases += 1;
        return;
    };
    let (from, changes_before) = (simulation.now, simulation.holder_changes.len());
    if is_crash {
        simulation.kill(holder, None);
    } else {
        simulation.restart(holder, None);
    }
    let timeout = TimeDelta::from_seconds(HOLDER_CHANGE_TIMEOUT_SECONDS);
    simulation.run(from + timeout);
    let is_by_successor = |change: &&HolderChange| {
        change.lease == lease && change.is_acquired && change.gateway != holder
    };
    let acquired = simulation.holder_changes[changes_before..]
        .iter()
        .find(is_by_successor);
    let gap = acquired.map_or(timeout, |change| change.at - from);
    gaps_ms.saturating_record((gap.0 / 1000) as u64);
    add_counters(&simulation, report);
}

/// Kills almost half of the electors one after another without restarting them. Measures the share of time in which each lease
/// has a holder.
fn measure_held_share(seed: u64, gateways: usize, report: &mut Report) {
    let mut simulation = LeaseSimulation::new(
        seed,
        gateways,
        electorate_size(seed, gateways).max(5).min(gateways),
    );
    simulation.run(timestamp(START_SECONDS));
    let from = simulation.now;
    let electors = simulation.electors();
    for (index, elector) in electors.iter().take((electors.len() - 1) / 2).enumerate() {
        simulation.run(timestamp(START_SECONDS + 20.0 * (index + 1) as f64));
        simulation.kill(*elector, None);
    }
    let to = timestamp(START_SECONDS + 80.0);
    simulation.run(to);
    let mut mean_held_share = 0.0;
    for lease in LEASES {
        let (mut held, mut held_since): (TimeDelta, Option<Timestamp>) = (TimeDelta::ZERO, None);
        for change in simulation
            .holder_changes
            .iter()
            .filter(|change| change.lease == lease)
        {
            match (change.is_acquired, held_since.take()) {
                (true, since) => held_since = since.or(Some(change.at.max(from))),
                (false, Some(since)) => held = held + (change.at.max(from) - since),
                (false, None) => {}
            }
        }
        held = held + held_since.map_or(TimeDelta::ZERO, |since| to - since);
        let held_share = held.ratio_to(to - from);
        mean_held_share += held_share / LEASES.len() as f64;
        report.held_share_worst_lease = report.held_share_worst_lease.min(held_share);
    }
    report.held_share = report.held_share.min(mean_held_share);
    add_counters(&simulation, report);
}

/// Measures bytes and holder changes in a minute without faults. No holder may change.
fn measure_without_faults(seed: u64, gateways: usize, report: &mut Report) {
    let mut simulation = LeaseSimulation::new(seed, gateways, electorate_size(seed, gateways));
    simulation.run(timestamp(START_SECONDS + 26.0));
    let changes_before = simulation.holder_changes.len();
    (simulation.lease_bytes, simulation.sent_bytes) = (0, vec![0; gateways]);
    simulation.run(timestamp(START_SECONDS + 86.0));
    report.holder_changes_without_faults += simulation.holder_changes[changes_before..]
        .iter()
        .filter(|change| change.is_acquired)
        .count() as u64;
    let lease_electors = (LEASES.len() * simulation.electors().len()) as f64;
    let bytes = simulation.lease_bytes as f64 / 60.0 / lease_electors;
    report.bytes_per_lease_elector_second = report.bytes_per_lease_elector_second.max(bytes);
    if std::env::var("DBG").is_ok() {
        eprintln!("{} {bytes}", electorate_size(seed, gateways));
    }
    let bytes = simulation.sent_bytes.iter().sum::<u64>() as f64 / 60.0 / gateways as f64;
    report.bytes_per_gateway_second = report.bytes_per_gateway_second.max(bytes);
    add_counters(&simulation, report);
}

fn holder_gaps(gaps_ms: &Histogram<u64>) -> HolderGaps {
    let quantile = |quantile| gaps_ms.value_at_quantile(quantile);
    HolderGaps {
        count: gaps_ms.len(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        max_ms: gaps_ms.max(),
    }
}

/// Simulates `seeds` seeds from `first_seed` on. `progress` is called after each seed. The fleet has at least five gateways.
pub fn run_seeds(
    first_seed: u64,
    seeds: u64,
    gateways: usize,
    mut progress: impl FnMut(),
) -> Report {
    let gateways = gateways.max(5);
    let mut report = Report {
        seed: first_seed,
        seeds,
        gateways,
        held_share: 1.0,
        held_share_worst_lease: 1.0,
        ..Report::default()
    };
    let histogram =
        || Histogram::<u64>::new_with_bounds(1, 60_000, 3).expect("the bounds are valid");
    let (mut take_over_ms, mut hand_over_ms) = (histogram(), histogram());
    for seed in first_seed..first_seed.saturating_add(seeds) {
        simulate_faults(seed, gateways, &mut report);
        // The runs without random faults need fewer seeds.
        if seed % 4 == first_seed % 4 {
            measure_holder_gap(seed, gateways, true, &mut report, &mut take_over_ms);
            measure_holder_gap(seed, gateways, false, &mut report, &mut hand_over_ms);
        }
        if seed % 20 == first_seed % 20 {
            measure_held_share(seed, gateways, &mut report);
        }
        progress();
    }
    for seed in first_seed..first_seed + 3 {
        measure_without_faults(seed, gateways, &mut report);
    }
    (report.take_over, report.hand_over) = (holder_gaps(&take_over_ms), holder_gaps(&hand_over_ms));
    let is_safe = report.two_holders
        + report.guard_contradictions
        + report.epoch_regressions
        + report.unheld_leases
        == 0;
    let is_fast = report.take_over.max_ms <= 3000 && report.hand_over.max_ms <= 200;
    let is_cheap =
        report.bytes_per_lease_elector_second < 100.0 && report.longest_message_bytes <= 256;
    report.ok = is_safe
        && is_fast
        && is_cheap
        && report.held_share > 0.95
        && report.holder_changes_without_faults == 0;
    report
}
