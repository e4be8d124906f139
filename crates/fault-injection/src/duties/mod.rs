//! Duties of one fleet in simulated time: faults that overlap, drawn by the seed, and then what they did.

mod world;

use std::collections::BTreeSet;

use harrierdock_types::{TimeDelta, Timestamp};
use hdrhistogram::Histogram;
use nanorand::{Rng, WyRand};
use serde::Serialize;
use world::{NodeIx, Roads, Turn, World, DUTIES};

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

fn some(chance: &mut WyRand, n: usize, part: f64) -> BTreeSet<NodeIx> {
    (0..n).filter(|_| chance.generate::<f64>() < part).collect()
}

/// One fault begins, and lasts so many seconds.
fn fault(world: &mut World, until: f64) {
    let n = world.nodes.len();
    let mut chance = WyRand::new_seed(world.chance.generate());
    let duty = DUTIES[chance.generate_range(0..DUTIES.len())];
    // Those that matter are hit more often than chance would have it.
    let one = match chance.generate_range(0..3) {
        0 => chance.generate_range(0..n),
        1 => world.electors()[chance.generate_range(0..world.electors().len())],
        _ => world.holder(duty).unwrap_or(0),
    };
    let back = TimeDelta::from_seconds(0.05 + 3.0 * chance.generate::<f64>());
    let lasts = TimeDelta::from_seconds((until - world.now.as_seconds()).max(0.1));
    match chance.generate_range(0..10) {
        0 => world.kill(one, Some(back)),
        1 => {
            let part = 0.4 + 0.6 * chance.generate::<f64>();
            for node in some(&mut chance, n, part) {
                world.kill(
                    node,
                    Some(TimeDelta::from_seconds(0.02 + chance.generate::<f64>())),
                );
            }
        }
        2 | 3 => world.nodes[one].still_until = world.now + lasts * chance.generate::<f64>(),
        4 => world.roads.cut = Some((some(&mut chance, n, 0.5), false)),
        5 => world.roads.cut = Some((some(&mut chance, n, 0.5), true)),
        6 => world.roads.cut = Some(([one].into(), chance.generate())),
        7 => world.roads.delay = 0.6 * chance.generate::<f64>(),
        8 => {
            let mut part = |most: f64| most * chance.generate::<f64>();
            (world.roads.loss, world.roads.doubled) = (part(0.3), part(0.3));
            (world.roads.garbled, world.roads.late) = (part(0.1), part(0.2));
        }
        _ => {
            for node in some(&mut chance, n, 0.1).into_iter().chain([one]) {
                world.restart(node, Some(back));
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
    let mut world = World::new(seed, gateways, electors(seed, gateways));
    world.run(at(CALM));
    let mut chance = WyRand::new_seed(!seed);
    let mut last = CALM;
    // Faults begin at any moment and last into each other; what roads suffer ends now and then.
    while last < CALM + TROUBLE {
        let until = last + 0.3 + 5.0 * chance.generate::<f64>();
        for _ in 0..chance.generate_range(1..4) {
            fault(&mut world, until);
        }
        last += 0.1 + 2.0 * chance.generate::<f64>();
        world.run(at(last));
        if chance.generate::<f64>() < 0.4 {
            world.roads = Roads {
                delay: 0.002,
                ..Roads::default()
            };
        }
    }
    world.roads = Roads {
        delay: 0.002,
        ..Roads::default()
    };
    world.run(at(last + QUIET));
    let unheld = DUTIES
        .iter()
        .filter(|duty| world.holder(**duty).is_none())
        .count() as u64;
    let bad = world.two_holders + world.epochs_back + world.guard_saw_two + unheld;
    if bad > 0 && found.first_bad_seed.is_none() {
        found.first_bad_seed = Some(seed);
    }
    found.left_unheld += unheld;
    collect(&world, found);
}

fn collect(world: &World, found: &mut Found) {
    found.two_holders += world.two_holders;
    found.guard_saw_two += world.guard_saw_two;
    found.epochs_back += world.epochs_back;
    found.acts += world.acts;
    found.acts_refused += world.refused;
    found.messages_unread += world.unread;
    found.longest_message = found.longest_message.max(world.longest);
}

/// One holder dies, or ends in order, and nothing else is amiss: how long nobody holds its duty.
fn handed(seed: u64, gateways: usize, dies: bool, found: &mut Found, gaps: &mut Histogram<u64>) {
    let mut world = World::new(seed, gateways, electors(seed, gateways));
    world.run(at(CALM + 8.0 + (seed % 97) as f64 / 50.0));
    let duty = DUTIES[seed as usize % DUTIES.len()];
    let Some(holder) = world.holder(duty) else {
        found.left_unheld += 1;
        return;
    };
    let (from, turns) = (world.now, world.turns.len());
    if dies {
        world.kill(holder, None);
    } else {
        world.restart(holder, None);
    }
    world.run(from + TimeDelta::from_seconds(10.0));
    let next = |t: &&Turn| t.duty == duty && t.held && t.node != holder;
    let next = world.turns[turns..].iter().find(next);
    let gap = next.map_or(TimeDelta::from_seconds(10.0), |t| t.at - from);
    gaps.saturating_record((gap.0 / 1000) as u64);
    collect(&world, found);
}

/// Half the electors are killed one after another, and stay away; how much of the time each duty was held.
fn halved(seed: u64, gateways: usize, found: &mut Found) {
    let mut world = World::new(
        seed,
        gateways,
        electors(seed, gateways).max(5).min(gateways),
    );
    world.run(at(CALM));
    let from = world.now;
    let electors = world.electors();
    for (i, elector) in electors.iter().take((electors.len() - 1) / 2).enumerate() {
        world.run(at(CALM + 20.0 * (i + 1) as f64));
        world.kill(*elector, None);
    }
    let to = at(CALM + 80.0);
    world.run(to);
    let mut shares = 0.0;
    for duty in DUTIES {
        let (mut held, mut since): (TimeDelta, Option<Timestamp>) = (TimeDelta::ZERO, None);
        for turn in world.turns.iter().filter(|t| t.duty == duty) {
            match (turn.held, since.take()) {
                (true, before) => since = before.or(Some(turn.at.max(from))),
                (false, Some(before)) => held = held + (turn.at.max(from) - before),
                (false, None) => {}
            }
        }
        held = held + since.map_or(TimeDelta::ZERO, |since| to - since);
        shares += held.ratio_to(to - from) / DUTIES.len() as f64;
        found.held_share_worst_duty = found.held_share_worst_duty.min(held.ratio_to(to - from));
    }
    found.held_share = found.held_share.min(shares);
    collect(&world, found);
}

/// Nothing is amiss for a minute: bytes, and moves of duties, of which there are to be none.
fn calm(seed: u64, gateways: usize, found: &mut Found) {
    let mut world = World::new(seed, gateways, electors(seed, gateways));
    world.run(at(CALM + 26.0));
    let turns = world.turns.len();
    (world.lease_bytes, world.sent_bytes) = (0, vec![0; gateways]);
    world.run(at(CALM + 86.0));
    found.moves_while_well += world.turns[turns..].iter().filter(|t| t.held).count() as u64;
    let parts = (DUTIES.len() * world.electors().len()) as f64;
    // The most of three sizes of electorate.
    let bytes = world.lease_bytes as f64 / 60.0 / parts;
    found.bytes_duty_elector_s = found.bytes_duty_elector_s.max(bytes);
    if std::env::var("DBG").is_ok() {
        eprintln!("{} {bytes}", electors(seed, gateways));
    }
    let bytes = world.sent_bytes.iter().sum::<u64>() as f64 / 60.0 / gateways as f64;
    found.bytes_a_gateway_s = found.bytes_a_gateway_s.max(bytes);
    collect(&world, found);
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
