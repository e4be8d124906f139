//! Duties of one fleet in simulated time: faults that overlap, drawn by the seed, and then what they did.

mod simulation;

use std::collections::BTreeSet;

use harrierdock_types::{TimeDelta, Timestamp};
use hdrhistogram::Histogram;
use nanorand::{Rng, WyRand};
use serde::Serialize;
use simulation::{
    GatewayIndex, HoldingChange, LeaseSimulation, NetworkConditions, Partition, LEASES,
};

/// Seconds of a day of faults: none before, then trouble, then quiet in which all duties must be held again.
const CALM: f64 = 4.0;
const TROUBLE: f64 = 14.0;
const QUIET: f64 = 8.0;

#[derive(Debug, Default, Serialize)]
pub struct Gaps {
    pub n: u64,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub max_ms: u64,
}

/// What came of it, over all seeds played.
#[derive(Debug, Default, Serialize)]
pub struct Found {
    pub seed: u64,
    pub seeds: u64,
    pub gateways: usize,
    pub two_holders: u64,
    pub guard_saw_two: u64,
    pub epochs_back: u64,
    /// Duties that nobody held at the end of the quiet.
    pub left_unheld: u64,
    pub acts: u64,
    pub acts_refused: u64,
    pub messages_unread: u64,
    pub longest_message: usize,
    /// From a holder's death, with no other fault, until the next one holds.
    pub take_over: Gaps,
    /// From a holder's end in order until the next one holds.
    pub hand_over: Gaps,
    /// The part held by somebody of a run in which half the electors are killed one after another, over all
    /// duties: that of the worst run, and of the worst single duty.
    pub held_share: f64,
    pub held_share_worst_duty: f64,
    /// Changes of holder a minute while all are well, of all duties.
    pub moves_while_well: u64,
    /// Bytes of messages a second with nothing amiss: of leases, asked and answered, by duty and elector; and
    /// all that a gateway sends.
    pub bytes_duty_elector_s: f64,
    pub bytes_a_gateway_s: f64,
    pub first_bad_seed: Option<u64>,
    pub ok: bool,
}

fn at(seconds: f64) -> Timestamp {
    Timestamp(0) + TimeDelta::from_seconds(seconds)
}

fn electors(seed: u64, gateways: usize) -> usize {
    [3, 5, 7][seed as usize % 3].min(gateways)
}

fn some(rng: &mut WyRand, n: usize, part: f64) -> BTreeSet<GatewayIndex> {
    (0..n).filter(|_| rng.generate::<f64>() < part).collect()
}

/// One fault begins, and lasts so many seconds.
fn fault(simulation: &mut LeaseSimulation, until: f64) {
    let n = simulation.gateways.len();
    let mut rng = WyRand::new_seed(simulation.rng.generate());
    let duty = LEASES[rng.generate_range(0..LEASES.len())];
    // Those that matter are hit more often than chance would have it.
    let one = match rng.generate_range(0..3) {
        0 => rng.generate_range(0..n),
        1 => simulation.electors()[rng.generate_range(0..simulation.electors().len())],
        _ => simulation.holder(duty).unwrap_or(0),
    };
    let back = TimeDelta::from_seconds(0.05 + 3.0 * rng.generate::<f64>());
    let lasts = TimeDelta::from_seconds((until - simulation.now.as_seconds()).max(0.1));
    let fault_number = rng.generate_range(0..10);
    match fault_number {
        0 => simulation.kill(one, Some(back)),
        1 => {
            let part = 0.4 + 0.6 * rng.generate::<f64>();
            for node in some(&mut rng, n, part) {
                simulation.kill(
                    node,
                    Some(TimeDelta::from_seconds(0.02 + rng.generate::<f64>())),
                );
            }
        }
        2 | 3 => {
            simulation.gateways[one].stalled_until = simulation.now + lasts * rng.generate::<f64>()
        }
        4 | 5 => {
            let inside = some(&mut rng, n, 0.5);
            let is_one_way = fault_number == 5;
            simulation.network.partition = Some(Partition { inside, is_one_way });
        }
        6 => {
            let inside = [one].into();
            let is_one_way = rng.generate();
            simulation.network.partition = Some(Partition { inside, is_one_way });
        }
        7 => simulation.network.longest_delay_seconds = 0.6 * rng.generate::<f64>(),
        8 => {
            let mut part = |most: f64| most * rng.generate::<f64>();
            (
                simulation.network.loss_ratio,
                simulation.network.repeat_ratio,
            ) = (part(0.3), part(0.3));
            (
                simulation.network.corruption_ratio,
                simulation.network.reordering_ratio,
            ) = (part(0.1), part(0.2));
        }
        _ => {
            for node in some(&mut rng, n, 0.1).into_iter().chain([one]) {
                simulation.restart(node, Some(back));
            }
        }
    }
}

trait Seconds {
    fn as_seconds(&self) -> f64;
}

impl Seconds for Timestamp {
    fn as_seconds(&self) -> f64 {
        (*self - Timestamp(0)).as_seconds()
    }
}

fn day(seed: u64, gateways: usize, found: &mut Found) {
    let mut simulation = LeaseSimulation::new(seed, gateways, electors(seed, gateways));
    simulation.run(at(CALM));
    let mut rng = WyRand::new_seed(!seed);
    let mut last = CALM;
    // Faults begin at any moment and last into each other; what roads suffer ends now and then.
    while last < CALM + TROUBLE {
        let until = last + 0.3 + 5.0 * rng.generate::<f64>();
        for _ in 0..rng.generate_range(1..4) {
            fault(&mut simulation, until);
        }
        last += 0.1 + 2.0 * rng.generate::<f64>();
        simulation.run(at(last));
        if rng.generate::<f64>() < 0.4 {
            simulation.network = NetworkConditions::default();
        }
    }
    simulation.network = NetworkConditions::default();
    simulation.run(at(last + QUIET));
    let unheld = LEASES
        .iter()
        .filter(|duty| simulation.holder(**duty).is_none())
        .count() as u64;
    let bad =
        simulation.two_holders + simulation.epochs_back + simulation.guard_admitted_two + unheld;
    if bad > 0 && found.first_bad_seed.is_none() {
        found.first_bad_seed = Some(seed);
    }
    found.left_unheld += unheld;
    collect(&simulation, found);
}

fn collect(simulation: &LeaseSimulation, found: &mut Found) {
    found.two_holders += simulation.two_holders;
    found.guard_saw_two += simulation.guard_admitted_two;
    found.epochs_back += simulation.epochs_back;
    found.acts += simulation.acts;
    found.acts_refused += simulation.acts_refused;
    found.messages_unread += simulation.messages_unread;
    found.longest_message = found.longest_message.max(simulation.longest_message);
}

/// One holder dies, or ends in order, and nothing else is amiss: how long nobody holds its duty.
fn handed(seed: u64, gateways: usize, dies: bool, found: &mut Found, gaps: &mut Histogram<u64>) {
    let mut simulation = LeaseSimulation::new(seed, gateways, electors(seed, gateways));
    simulation.run(at(CALM + 8.0 + (seed % 97) as f64 / 50.0));
    let duty = LEASES[seed as usize % LEASES.len()];
    let Some(holder) = simulation.holder(duty) else {
        found.left_unheld += 1;
        return;
    };
    let (from, turns) = (simulation.now, simulation.holding_changes.len());
    if dies {
        simulation.kill(holder, None);
    } else {
        simulation.restart(holder, None);
    }
    simulation.run(from + TimeDelta::from_seconds(10.0));
    let next = |t: &&HoldingChange| t.lease == duty && t.is_held && t.gateway != holder;
    let next = simulation.holding_changes[turns..].iter().find(next);
    let gap = next.map_or(TimeDelta::from_seconds(10.0), |t| t.at - from);
    gaps.saturating_record((gap.0 / 1000) as u64);
    collect(&simulation, found);
}

/// Half the electors are killed one after another, and stay away; how much of the time each duty was held.
fn halved(seed: u64, gateways: usize, found: &mut Found) {
    let mut simulation = LeaseSimulation::new(
        seed,
        gateways,
        electors(seed, gateways).max(5).min(gateways),
    );
    simulation.run(at(CALM));
    let from = simulation.now;
    let electors = simulation.electors();
    for (i, elector) in electors.iter().take((electors.len() - 1) / 2).enumerate() {
        simulation.run(at(CALM + 20.0 * (i + 1) as f64));
        simulation.kill(*elector, None);
    }
    let to = at(CALM + 80.0);
    simulation.run(to);
    let mut shares = 0.0;
    for duty in LEASES {
        let (mut held, mut since): (TimeDelta, Option<Timestamp>) = (TimeDelta::ZERO, None);
        for turn in simulation
            .holding_changes
            .iter()
            .filter(|t| t.lease == duty)
        {
            match (turn.is_held, since.take()) {
                (true, before) => since = before.or(Some(turn.at.max(from))),
                (false, Some(before)) => held = held + (turn.at.max(from) - before),
                (false, None) => {}
            }
        }
        held = held + since.map_or(TimeDelta::ZERO, |since| to - since);
        shares += held.ratio_to(to - from) / LEASES.len() as f64;
        found.held_share_worst_duty = found.held_share_worst_duty.min(held.ratio_to(to - from));
    }
    found.held_share = found.held_share.min(shares);
    collect(&simulation, found);
}

/// Nothing is amiss for a minute: bytes, and moves of duties, of which there are to be none.
fn calm(seed: u64, gateways: usize, found: &mut Found) {
    let mut simulation = LeaseSimulation::new(seed, gateways, electors(seed, gateways));
    simulation.run(at(CALM + 26.0));
    let turns = simulation.holding_changes.len();
    (simulation.lease_bytes, simulation.sent_bytes) = (0, vec![0; gateways]);
    simulation.run(at(CALM + 86.0));
    found.moves_while_well += simulation.holding_changes[turns..]
        .iter()
        .filter(|t| t.is_held)
        .count() as u64;
    let parts = (LEASES.len() * simulation.electors().len()) as f64;
    // The most of three sizes of electorate.
    let bytes = simulation.lease_bytes as f64 / 60.0 / parts;
    found.bytes_duty_elector_s = found.bytes_duty_elector_s.max(bytes);
    if std::env::var("DBG").is_ok() {
        eprintln!("{} {bytes}", electors(seed, gateways));
    }
    let bytes = simulation.sent_bytes.iter().sum::<u64>() as f64 / 60.0 / gateways as f64;
    found.bytes_a_gateway_s = found.bytes_a_gateway_s.max(bytes);
    collect(&simulation, found);
}

fn gaps(of: &Histogram<u64>) -> Gaps {
    let quantile = |q| of.value_at_quantile(q);
    Gaps {
        n: of.len(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        max_ms: of.max(),
    }
}

pub fn play(seed: u64, seeds: u64, gateways: usize, mut done: impl FnMut()) -> Found {
    let gateways = gateways.max(5);
    let mut found = Found {
        seed,
        seeds,
        gateways,
        held_share: 1.0,
        held_share_worst_duty: 1.0,
        ..Found::default()
    };
    let histogram = || Histogram::<u64>::new_with_bounds(1, 60_000, 3).expect("bounds that fit");
    let (mut deaths, mut ends) = (histogram(), histogram());
    for s in seed..seed.saturating_add(seeds) {
        day(s, gateways, &mut found);
        // The undisturbed runs need fewer seeds.
        if s % 4 == seed % 4 {
            handed(s, gateways, true, &mut found, &mut deaths);
            handed(s, gateways, false, &mut found, &mut ends);
        }
        if s % 20 == seed % 20 {
            halved(s, gateways, &mut found);
        }
        done();
    }
    for s in seed..seed + 3 {
        calm(s, gateways, &mut found);
    }
    (found.take_over, found.hand_over) = (gaps(&deaths), gaps(&ends));
    let safe = found.two_holders + found.guard_saw_two + found.epochs_back + found.left_unheld == 0;
    let swift = found.take_over.max_ms <= 3000 && found.hand_over.max_ms <= 200;
    let cheap = found.bytes_duty_elector_s < 100.0 && found.longest_message <= 256;
    found.ok = safe && swift && cheap && found.held_share > 0.95 && found.moves_while_well == 0;
    found
}
