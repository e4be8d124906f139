//! All that can happen in a small model: three electors as the program has them, two candidates for one lease, messages lost, late and
//! out of order, an elector that restarts, a clock in steps.
//!
//! Never may two act at one time, and never does a holder begin with an older epoch than one before it. Two planted faults show that
//! the model would find a violation.

use std::collections::BTreeSet;

use harrierdock_lease::elector::{AcquireRequest, Elector, ElectorReply, Rejection, Requester};
use harrierdock_lease::{Epoch, LeaseName};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE_DURATION: i64 = 2;
/// Steps of the clock, proposals of each gateway, and restarts of electors, at the most.
const STEPS: i64 = 3;
const TRIES: [u8; 2] = [1, 1];
const STARTS: u8 = 1;
/// The electors whose messages come through at all, by try: two of three, since with one nothing is held. By
/// what they are called, all other choices are the same as one of these.
const FIRST: [&[usize]; 1] = [&[0, 1]];
const LATER: [&[usize]; 2] = [&[0, 1], &[1, 2]];
const LEASE: LeaseName = LeaseName::RolloutController;

#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedFault {
    Nothing,
    NoCheckBeforeTheAct,
    NoSilenceAfterAStart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Acquire {
        by: usize,
        to: usize,
        epoch: u64,
        round: u8,
    },
    Granted {
        by: usize,
        to: usize,
        epoch: u64,
        round: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Waiting,
    /// Two of the three have said that it may begin.
    Preparing,
    Acquiring {
        sent: i64,
        votes: u8,
    },
    Held {
        until: i64,
        round: u8,
        sent: i64,
        votes: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    phase: Phase,
    epoch: u64,
    tries: u8,
    electors: &'static [usize],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    electors: Vec<Elector>,
    gateways: Vec<Gateway>,
    messages: BTreeSet<Message>,
    starts: u8,
    newest: u64,
    older_epoch: bool,
}

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

fn requester(who: usize) -> Requester {
    Requester {
        peer: PeerId(3 + who),
        incarnation: 0,
    }
}

fn is_majority(votes: u8) -> bool {
    votes.count_ones() >= 2
}

impl World {
    fn may_act(&self, gateway: &Gateway, fault: PlantedFault) -> bool {
        match gateway.phase {
            Phase::Held { until, .. } => {
                self.now < until || fault == PlantedFault::NoCheckBeforeTheAct
            }
            _ => false,
        }
    }

    /// What has expired ends before anything else counts, as in `LeaseManager::handle`.
    fn expire(&mut self, who: usize) {
        if matches!(self.gateways[who].phase, Phase::Held { until, .. } if self.now >= until) {
            self.gateways[who].phase = Phase::Waiting;
        }
    }

    /// An answer that its requester waits for no more changes nothing: it need not be followed.
    fn drop_stale_messages(&mut self) {
        let gateways = &self.gateways;
        self.messages.retain(|message| match *message {
            Message::Granted {
                to,
                epoch,
                round: no,
                ..
            } => {
                let waits = match gateways[to].phase {
                    Phase::Acquiring { .. } => no == 1,
                    Phase::Held { round, .. } => no > 1 && no == round,
                    _ => false,
                };
                waits && gateways[to].epoch == epoch
            }
            Message::Acquire { .. } => true,
        });
    }

    /// Asks these electors; each answers at once, and what it answers comes at once. Answers that are lost or
    /// late are those of electors that are not asked; time may pass before the grants are requested.
    fn prepare(&mut self, who: usize, electors: &'static [usize]) {
        let (now, by) = (Timestamp(self.now), requester(who));
        let gateway = &mut self.gateways[who];
        (gateway.tries, gateway.epoch) = (gateway.tries + 1, gateway.epoch + 1);
        gateway.electors = electors;
        let asked = Epoch(gateway.epoch);
        let answers = electors
            .iter()
            .map(|e| self.electors[*e].prepare(now, LEASE, by, asked, None));
        let (mut open, mut above) = (0, asked);
        for answer in answers.collect::<Vec<_>>() {
            match answer {
                ElectorReply::Accepted => open += 1,
                ElectorReply::Rejected(Rejection { newest, .. }) => above = above.max(newest),
                ElectorReply::Silent => {}
            }
        }
        match open {
            2.. => gateway.phase = Phase::Preparing,
            _ => gateway.epoch = above.0,
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Acquire {
                by,
                to,
                epoch,
                round,
            } => self.deliver_acquire(by, to, epoch, round),
            Message::Granted {
                by,
                to,
                epoch,
                round,
            } => self.deliver_granted(by, to, epoch, round),
        }
    }

    fn deliver_acquire(&mut self, by: usize, to: usize, epoch: u64, round: u8) {
        let request = AcquireRequest {
            requester: requester(by),
            epoch: Epoch(epoch),
            lease_duration: TimeDelta(LEASE_DURATION),
            is_renewal: round > 1,
        };
        let answer = self.electors[to].acquire(Timestamp(self.now), LEASE, request);
        if answer == ElectorReply::Accepted {
            self.messages.insert(Message::Granted {
                by: to,
                to: by,
                epoch,
                round,
            });
        }
    }

    fn deliver_granted(&mut self, by: usize, to: usize, epoch: u64, no: u8) {
        self.expire(to);
        let gateway = &mut self.gateways[to];
        if gateway.epoch != epoch {
            return;
        }
        match &mut gateway.phase {
            Phase::Acquiring { sent, votes } if no == 1 => {
                *votes |= 1 << by;
                let until = *sent + LEASE_DURATION;
                if is_majority(*votes) && self.now < until {
                    gateway.phase = Phase::Held {
                        until,
                        round: 1,
                        sent: *sent,
                        votes: 0,
                    };
                    self.older_epoch |= epoch <= self.newest;
                    self.newest = epoch.max(self.newest);
                }
            }
            Phase::Held {
                until,
                round,
                sent,
                votes,
            } if *round == no && no > 1 => {
                *votes |= 1 << by;
                if is_majority(*votes) {
                    *until = *sent + LEASE_DURATION;
                }
            }
            _ => {}
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
