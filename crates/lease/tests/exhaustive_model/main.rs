//! Checks all states of a small model with three real electors, two candidates for one lease, and a clock that advances in steps. Messages
//! may be lost, late or out of order, and one elector may restart.
//!
//! Two gateways may never act at the same time, and no holder may start with an epoch that isn't newer than those before it. Two
//! planted faults show that the model finds violations.

mod state;

use std::collections::BTreeSet;

use harrierdock_lease::elector::Elector;
use harrierdock_lease::Epoch;
use harrierdock_types::{TimeDelta, Timestamp};
use state::{Gateway, Message, ModelState, Phase, PlantedFault, LEASE, LEASE_DURATION};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// The maximum number of clock steps.
const MAX_CLOCK_STEPS: i64 = 3;
/// The maximum number of proposals of each gateway.
const MAX_TRIES: [u8; 2] = [1, 1];
/// The maximum number of elector restarts.
const MAX_RESTARTS: u8 = 1;
/// The electors that the first proposal of a run reaches: two of three, since one is no majority. By symmetry, any other pair is
/// equivalent to one of those listed.
const FIRST_ELECTORS: [&[usize]; 1] = [&[0, 1]];
/// The electors that a proposal reaches after another proposal or a restart.
const LATER_ELECTORS: [&[usize]; 2] = [&[0, 1], &[1, 2]];

#[derive(Clone, Debug, PartialEq)]
enum Step {
    TimePasses,
    ElectorRestarts(usize),
    Prepares(usize, &'static [usize]),
    Acquires(usize),
    Renews(usize),
    Arrives(Message),
}

/// The model with one planted fault, or with none.
struct LeaseModel(PlantedFault);

impl LeaseModel {
    fn reachable_electors(&self, state: &ModelState) -> &'static [&'static [usize]] {
        let is_first = state.restarts == 0 && state.gateways.iter().all(|g| g.tries == 0);
        if is_first {
            &FIRST_ELECTORS
        } else {
            &LATER_ELECTORS
        }
    }
}

impl Model for LeaseModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let elector = Elector::new(&[LEASE], Timestamp(0), Epoch(0), TimeDelta(LEASE_DURATION));
        let gateway = |epoch| Gateway {
            phase: Phase::Waiting,
            epoch,
            tries: 0,
            electors: &[],
        };
        vec![ModelState {
            now: 0,
            electors: vec![elector; 3],
            gateways: vec![gateway(0), gateway(1)],
            messages: BTreeSet::new(),
            restarts: 0,
            newest_epoch: 0,
            has_epoch_decreased: false,
        }]
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        if state.now < MAX_CLOCK_STEPS {
            steps.push(Step::TimePasses);
        }
        if state.restarts < MAX_RESTARTS {
            steps.extend((0..3).map(Step::ElectorRestarts));
        }
        for (index, gateway) in state.gateways.iter().enumerate() {
            match gateway.phase {
                Phase::Held {
                    expires_at,
                    round: 1,
                    ..
                } if state.now < expires_at => steps.push(Step::Renews(index)),
                Phase::Waiting if gateway.tries < MAX_TRIES[index] => {
                    steps.extend(
                        self.reachable_electors(state)
                            .iter()
                            .map(|electors| Step::Prepares(index, electors)),
                    );
                }
                Phase::Preparing => steps.push(Step::Acquires(index)),
                _ => {}
            }
        }
        // A message that doesn't arrive in this step may arrive in a later one, or never.
        steps.extend(state.messages.iter().map(|message| Step::Arrives(*message)));
    }

    fn next_state(&self, state: &ModelState, step: Step) -> Option<ModelState> {
        let mut next = state.clone();
        match step {
            Step::TimePasses => next.now += 1,
            Step::ElectorRestarts(elector) => {
                let startup_wait = if self.0 == PlantedFault::NoWaitAfterRestart {
                    0
                } else {
                    LEASE_DURATION
                };
                let no_grants_until = next.now + startup_wait;
                // In the model, Unix time is 100 times the clock, and each try raises the epoch by one.
                let epoch_floor = Epoch(100 * no_grants_until as u64);
                next.electors[elector] = Elector::new(
                    &[LEASE],
                    Timestamp(no_grants_until),
                    epoch_floor,
                    TimeDelta(LEASE_DURATION),
                );
                next.restarts += 1;
            }
            Step::Prepares(index, electors) => next.prepare(index, electors),
            Step::Acquires(index) => {
                let (now, epoch) = (next.now, next.gateways[index].epoch);
                next.gateways[index].phase = Phase::Acquiring {
                    sent_at: now,
                    grants: 0,
                };
                let electors = next.gateways[index].electors.iter();
                next.messages.extend(electors.map(|to| Message::Acquire {
                    from: index,
                    to: *to,
                    epoch,
                    round: 1,
                }));
            }
            Step::Renews(index) => {
                let (now, epoch) = (next.now, next.gateways[index].epoch);
                if let Phase::Held {
                    round,
                    sent_at,
                    grants,
                    ..
                } = &mut next.gateways[index].phase
                {
                    (*round, *sent_at, *grants) = (*round + 1, now, 0);
                }
                let electors = next.gateways[index].electors.iter();
                next.messages.extend(electors.map(|to| Message::Acquire {
                    from: index,
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
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two gateways may act at the same time",
                |model: &LeaseModel, state: &ModelState| {
                    state
                        .gateways
                        .iter()
                        .filter(|g| state.may_act(g, model.0))
                        .count()
                        < 2
                },
            ),
            Property::always(
                "no gateway acquires with an older epoch",
                |_, state: &ModelState| !state.has_epoch_decreased,
            ),
            Property::sometimes(
                "one gateway holds the lease, and then the other",
                |model: &LeaseModel, state: &ModelState| {
                    state.gateways.iter().all(|g| g.tries > 0)
                        && state.newest_epoch > 1
                        && state.gateways.iter().any(|g| state.may_act(g, model.0))
                },
            ),
        ]
    }
}

#[test]
fn no_two_gateways_may_act_at_the_same_time_in_any_order_of_events() {
    let started = std::time::Instant::now();
    let checker = LeaseModel(PlantedFault::None)
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} of them unique, {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        started.elapsed()
    );
    checker.assert_properties();
}

/// Whether the checker finds two gateways that act at the same time.
fn finds_violation(fault: PlantedFault) -> bool {
    let checker = LeaseModel(fault).checker().threads(4);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!("{fault:?}: {} states", checker.state_count());
    checker
        .discovery("no two gateways may act at the same time")
        .is_some()
}

#[test]
fn the_model_finds_a_gateway_that_acts_without_a_check() {
    assert!(finds_violation(PlantedFault::NoCheckBeforeActing));
}

#[test]
fn the_model_finds_an_elector_that_grants_right_after_its_restart() {
    assert!(finds_violation(PlantedFault::NoWaitAfterRestart));
}
