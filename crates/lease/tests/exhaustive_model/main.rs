//! All that can happen in a small model: three electors as the program has them, two candidates for one lease, messages lost, late and
//! out of order, an elector that restarts, a clock in steps.
//!
//! Never may two act at one time, and never does a holder begin with an older epoch than one before it. Two planted faults show that
//! the model would find a violation.

mod world;

use std::collections::BTreeSet;

use harrierdock_lease::elector::Elector;
use harrierdock_lease::Epoch;
use harrierdock_types::{TimeDelta, Timestamp};
use stateright::{Checker, HasDiscoveries, Model, Property};
use world::{Gateway, Message, Phase, PlantedFault, World, LEASE, LEASE_DURATION};

/// Steps of the clock, proposals of each gateway, and restarts of electors, at the most.
const STEPS: i64 = 3;
const TRIES: [u8; 2] = [1, 1];
const STARTS: u8 = 1;
/// The electors whose messages come through at all, by try: two of three, since with one nothing is held. By
/// what they are called, all other choices are the same as one of these.
const FIRST: [&[usize]; 1] = [&[0, 1]];
const LATER: [&[usize]; 2] = [&[0, 1], &[1, 2]];

#[derive(Clone, Debug, PartialEq)]
enum Step {
    TimePasses,
    ElectorRestarts(usize),
    Prepares(usize, &'static [usize]),
    Acquires(usize),
    Renews(usize),
    Arrives(Message),
}

struct LeaseModel(PlantedFault);

impl LeaseModel {
    fn choices(&self, world: &World) -> &'static [&'static [usize]] {
        let first = world.starts == 0 && world.gateways.iter().all(|g| g.tries == 0);
        if first {
            &FIRST
        } else {
            &LATER
        }
    }
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let elector = Elector::new(&[LEASE], Timestamp(0), Epoch(0), TimeDelta(LEASE_DURATION));
        let gateway = |epoch| Gateway {
            phase: Phase::Waiting,
            epoch,
            tries: 0,
            electors: &[],
        };
        vec![World {
            now: 0,
            electors: vec![elector; 3],
            gateways: vec![gateway(0), gateway(1)],
            messages: BTreeSet::new(),
            starts: 0,
            newest: 0,
            older_epoch: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < STEPS {
            steps.push(Step::TimePasses);
        }
        if world.starts < STARTS {
            steps.extend((0..3).map(Step::ElectorRestarts));
        }
        for (who, gateway) in world.gateways.iter().enumerate() {
            match gateway.phase {
                Phase::Held {
                    until, round: 1, ..
                } if world.now < until => steps.push(Step::Renews(who)),
                Phase::Waiting if gateway.tries < TRIES[who] => {
                    steps.extend(
                        self.choices(world)
                            .iter()
                            .map(|electors| Step::Prepares(who, electors)),
                    );
                }
                Phase::Preparing => steps.push(Step::Acquires(who)),
                _ => {}
            }
        }
        // What does not come in a step may come in a later one, or never.
        steps.extend(world.messages.iter().map(|message| Step::Arrives(*message)));
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::TimePasses => next.now += 1,
            Step::ElectorRestarts(elector) => {
                let lease = if self.0 == PlantedFault::NoSilenceAfterAStart {
                    0
                } else {
                    LEASE_DURATION
                };
                let until = next.now + lease;
                // Unix time stands at a hundred times the clock: an epoch counts tries since.
                let floor = Epoch(100 * until as u64);
                next.electors[elector] =
                    Elector::new(&[LEASE], Timestamp(until), floor, TimeDelta(LEASE_DURATION));
                next.starts += 1;
            }
            Step::Prepares(who, electors) => next.prepare(who, electors),
            Step::Acquires(who) => {
                let (now, epoch) = (next.now, next.gateways[who].epoch);
                next.gateways[who].phase = Phase::Acquiring {
                    sent: now,
                    votes: 0,
                };
                let electors = next.gateways[who].electors.iter();
                next.messages.extend(electors.map(|to| Message::Acquire {
                    by: who,
                    to: *to,
                    epoch,
                    round: 1,
                }));
            }
            Step::Renews(who) => {
                let (now, epoch) = (next.now, next.gateways[who].epoch);
                if let Phase::Held {
                    round, sent, votes, ..
                } = &mut next.gateways[who].phase
                {
                    (*round, *sent, *votes) = (*round + 1, now, 0);
                }
                let electors = next.gateways[who].electors.iter();
                next.messages.extend(electors.map(|to| Message::Acquire {
                    by: who,
                    to: *to,
                    epoch,
                    round: 2,
                }));
            }
            Step::Arrives(message) => {
                next.messages.remove(&message);
                next.deliver(message);
            }
        }
        next.drop_stale_messages();
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two gateways may act at one time",
                |model: &LeaseModel, world: &World| {
                    world
                        .gateways
                        .iter()
                        .filter(|g| world.may_act(g, model.0))
                        .count()
                        < 2
                },
            ),
            Property::always(
                "no holding begins with an older epoch",
                |_, world: &World| !world.older_epoch,
            ),
            Property::sometimes(
                "one holds, and then the other",
                |model: &LeaseModel, world: &World| {
                    world.gateways.iter().all(|g| g.tries > 0)
                        && world.newest > 1
                        && world.gateways.iter().any(|g| world.may_act(g, model.0))
                },
            ),
        ]
    }
}

#[test]
fn no_two_gateways_may_act_at_one_time_in_any_order_of_events() {
    let begun = std::time::Instant::now();
    let checker = LeaseModel(PlantedFault::Nothing)
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} unlike, {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        begun.elapsed()
    );
    checker.assert_properties();
}

fn found(fault: PlantedFault) -> bool {
    let checker = LeaseModel(fault).checker().threads(4);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!("{fault:?}: {} states", checker.state_count());
    checker
        .discovery("no two gateways may act at one time")
        .is_some()
}

#[test]
fn the_model_finds_an_act_without_a_check() {
    assert!(found(PlantedFault::NoCheckBeforeTheAct));
}

#[test]
fn the_model_finds_an_elector_that_grants_right_after_its_restart() {
    assert!(found(PlantedFault::NoSilenceAfterAStart));
}
