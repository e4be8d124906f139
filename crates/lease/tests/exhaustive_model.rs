//! All that can happen, in the small: three electors as the program has them, two gateways that would hold
//! one duty, messages lost, late and out of order, an elector that starts anew, a clock in steps.
//!
//! Never may two act at one time, and never does a holding begin with an older epoch than one before it. That
//! this would be found out is shown by two planted mistakes.

use std::collections::BTreeSet;

use harrierdock_lease::elector::{Answer, Asker, Elector};
use harrierdock_lease::{Duty, Epoch};
use harrierdock_types::{TimeDelta, Timestamp};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE: i64 = 2;
/// Steps of the clock, holdings tried by each gateway, and starts of electors, at the most.
const STEPS: i64 = 3;
const TRIES: [u8; 2] = [1, 1];
const STARTS: u8 = 1;
/// The electors whose messages come through at all, by try: two of three, since with one nothing is held. By
/// what they are called, all other choices are the same as one of these.
const FIRST: [&[usize]; 1] = [&[0, 1]];
const LATER: [&[usize]; 2] = [&[0, 1], &[1, 2]];
const DUTY: Duty = Duty::Steward;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    Nothing,
    NoCheckBeforeTheAct,
    NoSilenceAfterAStart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Mail {
    Take {
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
enum Stand {
    Waits,
    /// Two of the three have said that it may begin.
    Asks,
    Takes {
        sent: i64,
        votes: u8,
    },
    Holds {
        until: i64,
        round: u8,
        sent: i64,
        votes: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    stand: Stand,
    epoch: u64,
    tries: u8,
    electors: &'static [usize],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct All {
    now: i64,
    electors: Vec<Elector>,
    gateways: Vec<Gateway>,
    mail: BTreeSet<Mail>,
    starts: u8,
    newest: u64,
    back: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Passes,
    Starts(usize),
    Asks(usize, &'static [usize]),
    Begins(usize),
    Renews(usize),
    Comes(Mail),
}

struct Small(Planted);

impl Small {
    fn choices(&self, all: &All) -> &'static [&'static [usize]] {
        let first = all.starts == 0 && all.gateways.iter().all(|g| g.tries == 0);
        if first {
            &FIRST
        } else {
            &LATER
        }
    }
}

fn asker(who: usize) -> Asker {
    Asker {
        node: 3 + who,
        incarnation: 0,
    }
}

fn most(votes: u8) -> bool {
    votes.count_ones() >= 2
}

impl All {
    fn may_act(&self, gateway: &Gateway, planted: Planted) -> bool {
        match gateway.stand {
            Stand::Holds { until, .. } => {
                self.now < until || planted == Planted::NoCheckBeforeTheAct
            }
            _ => false,
        }
    }

    /// What lapsed has ended before anything is heard, like `Fleet::take` has it.
    fn wakes(&mut self, who: usize) {
        if matches!(self.gateways[who].stand, Stand::Holds { until, .. } if self.now >= until) {
            self.gateways[who].stand = Stand::Waits;
        }
    }

    /// An answer that its asker waits for no more changes nothing: it need not be followed.
    fn forget(&mut self) {
        let gateways = &self.gateways;
        self.mail.retain(|mail| match *mail {
            Mail::Granted {
                to,
                epoch,
                round: no,
                ..
            } => {
                let waits = match gateways[to].stand {
                    Stand::Takes { .. } => no == 1,
                    Stand::Holds { round, .. } => no > 1 && no == round,
                    _ => false,
                };
                waits && gateways[to].epoch == epoch
            }
            Mail::Take { .. } => true,
        });
    }

    /// Asks these electors; each answers at once, and what it answers comes at once. Answers that are lost or
    /// late are those of electors that are not asked; time may pass before the holding is begun.
    fn asks(&mut self, who: usize, electors: &'static [usize]) {
        let (now, by) = (Timestamp(self.now), asker(who));
        let gateway = &mut self.gateways[who];
        (gateway.tries, gateway.epoch) = (gateway.tries + 1, gateway.epoch + 1);
        gateway.electors = electors;
        let asked = Epoch(gateway.epoch);
        let answers = electors
            .iter()
            .map(|e| self.electors[*e].ask(now, DUTY, by, asked, None));
        let (mut open, mut above) = (0, asked);
        for answer in answers.collect::<Vec<_>>() {
            match answer {
                Answer::Yes => open += 1,
                Answer::No { newest, .. } => above = above.max(newest),
                Answer::Silent => {}
            }
        }
        match open {
            2.. => gateway.stand = Stand::Asks,
            _ => gateway.epoch = above.0,
        }
    }

    fn hears(&mut self, mail: Mail) {
        let now = Timestamp(self.now);
        match mail {
            Mail::Take {
                by,
                to,
                epoch,
                round,
            } => {
                let (asker, lease) = (asker(by), TimeDelta(LEASE));
                let answer =
                    self.electors[to].take(now, DUTY, asker, Epoch(epoch), lease, round > 1);
                if answer == Answer::Yes {
                    self.mail.insert(Mail::Granted {
                        by: to,
                        to: by,
                        epoch,
                        round,
                    });
                }
            }
            Mail::Granted {
                by,
                to,
                epoch,
                round: no,
            } => {
                self.wakes(to);
                let gateway = &mut self.gateways[to];
                if gateway.epoch != epoch {
                    return;
                }
                match &mut gateway.stand {
                    Stand::Takes { sent, votes } if no == 1 => {
                        *votes |= 1 << by;
                        let until = *sent + LEASE;
                        if most(*votes) && self.now < until {
                            gateway.stand = Stand::Holds {
                                until,
                                round: 1,
                                sent: *sent,
                                votes: 0,
                            };
                            self.back |= epoch <= self.newest;
                            self.newest = epoch.max(self.newest);
                        }
                    }
                    Stand::Holds {
                        until,
                        round,
                        sent,
                        votes,
                    } if *round == no && no > 1 => {
                        *votes |= 1 << by;
                        if most(*votes) {
                            *until = *sent + LEASE;
                        }
                    }
                    _ => {}
                }
            }
        }
    }
}

impl Model for Small {
    type State = All;
    type Action = Step;

    fn init_states(&self) -> Vec<All> {
        let elector = Elector::new(&[DUTY], Timestamp(0), Epoch(0), TimeDelta(LEASE));
        let gateway = |epoch| Gateway {
            stand: Stand::Waits,
            epoch,
            tries: 0,
            electors: &[],
        };
        vec![All {
            now: 0,
            electors: vec![elector; 3],
            gateways: vec![gateway(0), gateway(1)],
            mail: BTreeSet::new(),
            starts: 0,
            newest: 0,
            back: false,
        }]
    }

    fn actions(&self, all: &All, steps: &mut Vec<Step>) {
        if all.now < STEPS {
            steps.push(Step::Passes);
        }
        if all.starts < STARTS {
            steps.extend((0..3).map(Step::Starts));
        }
        for (who, gateway) in all.gateways.iter().enumerate() {
            match gateway.stand {
                Stand::Holds {
                    until, round: 1, ..
                } if all.now < until => steps.push(Step::Renews(who)),
                Stand::Waits if gateway.tries < TRIES[who] => {
                    steps.extend(
                        self.choices(all)
                            .iter()
                            .map(|electors| Step::Asks(who, electors)),
                    );
                }
                Stand::Asks => steps.push(Step::Begins(who)),
                _ => {}
            }
        }
        // What does not come in a step may come in a later one, or never.
        steps.extend(all.mail.iter().map(|mail| Step::Comes(*mail)));
    }

    fn next_state(&self, all: &All, step: Step) -> Option<All> {
        let mut next = all.clone();
        match step {
            Step::Passes => next.now += 1,
            Step::Starts(elector) => {
                let lease = if self.0 == Planted::NoSilenceAfterAStart {
                    0
                } else {
                    LEASE
                };
                let until = next.now + lease;
                // Unix time stands at a hundred times the clock: an epoch counts tries since.
                let floor = Epoch(100 * until as u64);
                next.electors[elector] =
                    Elector::new(&[DUTY], Timestamp(until), floor, TimeDelta(LEASE));
                next.starts += 1;
            }
            Step::Asks(who, electors) => next.asks(who, electors),
            Step::Begins(who) => {
                let (now, epoch) = (next.now, next.gateways[who].epoch);
                next.gateways[who].stand = Stand::Takes {
                    sent: now,
                    votes: 0,
                };
                let electors = next.gateways[who].electors.iter();
                next.mail.extend(electors.map(|to| Mail::Take {
                    by: who,
                    to: *to,
                    epoch,
                    round: 1,
                }));
            }
            Step::Renews(who) => {
                let (now, epoch) = (next.now, next.gateways[who].epoch);
                if let Stand::Holds {
                    round, sent, votes, ..
                } = &mut next.gateways[who].stand
                {
                    (*round, *sent, *votes) = (*round + 1, now, 0);
                }
                let electors = next.gateways[who].electors.iter();
                next.mail.extend(electors.map(|to| Mail::Take {
                    by: who,
                    to: *to,
                    epoch,
                    round: 2,
                }));
            }
            Step::Comes(mail) => {
                next.mail.remove(&mail);
                next.hears(mail);
            }
        }
        next.forget();
        (next != *all).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two gateways may act at one time",
                |small: &Small, all: &All| {
                    all.gateways
                        .iter()
                        .filter(|g| all.may_act(g, small.0))
                        .count()
                        < 2
                },
            ),
            Property::always("no holding begins with an older epoch", |_, all: &All| {
                !all.back
            }),
            Property::sometimes(
                "one holds, and then the other",
                |small: &Small, all: &All| {
                    all.gateways.iter().all(|g| g.tries > 0)
                        && all.newest > 1
                        && all.gateways.iter().any(|g| all.may_act(g, small.0))
                },
            ),
        ]
    }
}

#[test]
fn never_two_in_all_that_can_happen() {
    let begun = std::time::Instant::now();
    let checker = Small(Planted::Nothing)
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

fn found(planted: Planted) -> bool {
    let checker = Small(planted).checker().threads(4);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!("{planted:?}: {} states", checker.state_count());
    checker
        .discovery("no two gateways may act at one time")
        .is_some()
}

#[test]
fn an_act_without_a_check_is_found() {
    assert!(found(Planted::NoCheckBeforeTheAct));
}

#[test]
fn an_elector_that_speaks_right_after_its_start_is_found() {
    assert!(found(Planted::NoSilenceAfterAStart));
}
