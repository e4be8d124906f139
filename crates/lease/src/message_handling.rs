//! What a message changes. One that is of an earlier process, of a gateway not told, or under an electorate
//! that cannot be counted with, changes nothing.

use std::collections::BTreeSet;

use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::Rng;

use crate::elector::{Answer, Asker};
use crate::codec::HEARSAY;
use crate::lease_state::{Round, State};
use crate::{Action, Ballot, Body, Duty, Epoch, Fleet, Holding, Known, Message, NodeIx};

/// How far ahead an epoch or a start may be, in milliseconds: a year. Guards against one garbled or insane
/// number that would use up all epochs there are; it harms a fleet whose own clock is a year behind: it holds
/// nothing.
const ABSURD: u64 = 366 * 86_400_000;

fn ms(span: TimeDelta) -> u16 {
    (span.0 / 1000).clamp(0, i64::from(u16::MAX)) as u16
}

/// In whole milliseconds, and one more: a wait told too short would be asked in vain.
fn ms_up(span: TimeDelta) -> u16 {
    ms(span).saturating_add(1)
}

fn span(ms: u16) -> TimeDelta {
    TimeDelta(i64::from(ms) * 1000)
}

/// A process' start in few bits, for answers. Two starts of one gateway are told apart by their epochs as
/// well: a later process asks for newer ones only.
pub(crate) fn asker(incarnation: u64) -> u16 {
    (incarnation ^ (incarnation >> 16) ^ (incarnation >> 32)) as u16
}

impl Fleet {
    pub(crate) fn hear(&mut self, now: Timestamp, from: NodeIx, message: Message) {
        let Message {
            incarnation,
            electorate,
            digest,
            body,
        } = message;
        let latest = self.incarnation.saturating_add(ABSURD);
        match self.peers.get_mut(from) {
            Some(peer)
                if from != self.terms.own && incarnation >= *peer && incarnation <= latest =>
            {
                *peer = incarnation;
            }
            // Guards against votes of a process that is no more: what it promised went with it.
            _ => return self.counts.outdated += 1,
        }
        let highest = body.epochs().max().unwrap_or(Epoch(0));
        if highest.0 > latest {
            return self.counts.absurd += 1;
        }
        // Hearsay counts no votes: an electorate is told by it even where votes do not fit any more.
        if !self.voters.near(electorate) && !matches!(body, Body::KnownLeases { .. }) {
            return self.counts.unlike += 1;
        }
        // Guards against votes counted together by two that were told unlike lists under one number.
        if electorate == self.voters.told().number && digest != self.digest {
            return self.counts.unlike += 1;
        }
        self.voters.heard(now, from, electorate);
        self.read(now, from, incarnation, body);
    }

    /// A message that counts, or one of this gateway to itself.
    pub(crate) fn read(&mut self, now: Timestamp, from: NodeIx, incarnation: u64, body: Body) {
        let by = Asker {
            node: from,
            incarnation,
        };
        match body {
            Body::Ask { duty, epoch, after } => {
                let answer = self.elector.ask(now, duty, by, epoch, after);
                let ballot = Ballot {
                    epoch,
                    asker: asker(incarnation),
                };
                if answer == Answer::Yes {
                    return self.tell(from, Body::Open { duty, ballot });
                }
                self.refuse(now, duty, by, ballot, answer);
            }
            Body::Take {
                duty,
                epoch,
                round,
                lease_ms,
            } => {
                let answer = self
                    .elector
                    .take(now, duty, by, epoch, span(lease_ms), round > 1);
                let ballot = Ballot {
                    epoch,
                    asker: asker(incarnation),
                };
                if answer == Answer::Yes {
                    // Said every other time: it changes seldom.
                    let said = from == self.terms.own || round % 2 == 1;
                    let waiting = if said {
                        self.first_waiting(now, duty, from)
                    } else {
                        None
                    };
                    return self.tell(
                        from,
                        Body::Granted {
                            duty,
                            ballot,
                            round,
                            waiting,
                        },
                    );
                }
                self.refuse(now, duty, by, ballot, answer);
            }
            Body::Release { duty, epoch } => {
                if self.elector.release(duty, by, epoch) {
                    self.gave_up(now, duty, epoch);
                }
            }
            Body::Pass { duty, epoch } => self.passed(now, duty, epoch),
            Body::Open { duty, ballot } => self.opened(now, from, duty, ballot),
            Body::Granted {
                duty,
                ballot,
                round,
                waiting,
            } => {
                self.granted(now, from, duty, ballot, round, waiting);
            }
            Body::Held {
                duty,
                ballot,
                epoch,
                left_ms,
                place,
                holder,
            } => {
                // It may be no epoch of any holding, but what that elector will not begin below after its
                // start: so it binds this gateway's next try, and not its own vote.
                if let Some(seat) = self.seats.get_mut(&duty) {
                    seat.above = seat.above.max(epoch);
                }
                if let Some(holder) = self.terms.place(holder).filter(|_| left_ms > 0) {
                    self.know(
                        duty,
                        Known {
                            holder,
                            epoch,
                            until: now + span(left_ms),
                        },
                    );
                }
                if ballot.asker == asker(self.incarnation) {
                    self.refused_by(now, from, duty, ballot.epoch, span(left_ms), place);
                }
            }
            Body::KnownLeases { holdings } => {
                for told in holdings {
                    self.elector.learn(told.duty, told.epoch);
                    if let Some(holder) = self.terms.place(told.holder) {
                        let until = now + span(told.left_ms);
                        self.know(
                            told.duty,
                            Known {
                                holder,
                                epoch: told.epoch,
                                until,
                            },
                        );
                    }
                }
            }
        }
    }

    fn refuse(&mut self, now: Timestamp, duty: Duty, by: Asker, ballot: Ballot, answer: Answer) {
        let Answer::No {
            newest,
            left,
            holder,
        } = answer
        else {
            return;
        };
        let (rank, lasts) = (self.rank(duty, by.node), self.waiting_lasts());
        let place = self.elector.place(now, duty, rank, by.node, lasts) as u8;
        let holder = holder
            .and_then(|h| self.terms.ids.get(h).copied())
            .unwrap_or(0);
        let left_ms = if left > TimeDelta::ZERO {
            ms_up(left)
        } else {
            0
        };
        self.tell(
            by.node,
            Body::Held {
                duty,
                ballot,
                epoch: newest,
                left_ms,
                place,
                holder,
            },
        );
    }

    /// Who comes next by this elector: itself if it waits, or whom it has heard to wait.
    fn first_waiting(&self, now: Timestamp, duty: Duty, but: NodeIx) -> Option<u32> {
        let own = self.terms.own;
        let waits = self
            .seats
            .get(&duty)
            .is_some_and(|s| s.wants && matches!(s.state, State::Waits { .. }));
        let first = if waits && own != but {
            Some(own)
        } else {
            self.elector
                .first(now, duty, but, self.waiting_lasts().near)
        };
        first.and_then(|ix| self.terms.ids.get(ix).copied())
    }

    fn opened(&mut self, now: Timestamp, from: NodeIx, duty: Duty, ballot: Ballot) {
        if ballot.asker != asker(self.incarnation) || !self.voters.votes(from) {
            return;
        }
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        match &mut seat.state {
            State::Looks { epoch, at, .. } if *epoch == ballot.epoch && *at == from => {
                self.ask_all(now, duty, None);
            }
            State::Asks { epoch, open, .. } if *epoch == ballot.epoch => {
                open.insert(from);
                if self.voters.most(open) {
                    let epoch = *epoch;
                    let until = now + self.terms.heartbeat * crate::candidate::PATIENCE;
                    let round = Round {
                        no: 1,
                        sent: now,
                        votes: BTreeSet::new(),
                    };
                    seat.state = State::Takes {
                        epoch,
                        round,
                        until,
                        no: BTreeSet::new(),
                    };
                    seat.heirs.clear();
                    self.tell_all(Body::Take {
                        duty,
                        epoch,
                        round: 1,
                        lease_ms: ms(self.terms.lease),
                    });
                }
            }
            _ => {}
        }
    }

    fn granted(
        &mut self,
        now: Timestamp,
        from: NodeIx,
        duty: Duty,
        ballot: Ballot,
        no: u16,
        waiting: Option<u32>,
    ) {
        if ballot.asker != asker(self.incarnation) || !self.voters.votes(from) {
            return;
        }
        let waiting = waiting
            .and_then(|id| self.terms.place(id))
            .filter(|ix| *ix != self.terms.own);
        let (lease, heartbeat) = (self.terms.own_lease(), self.terms.heartbeat);
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        match &mut seat.state {
            State::Takes { epoch, round, .. } if *epoch == ballot.epoch && round.no == no => {
                round.votes.insert(from);
                seat.heirs.extend(waiting);
                let (epoch, sent) = (*epoch, round.sent);
                // Guards against a lease that ran out while its last vote was under way.
                if !self.voters.most(&round.votes) || now >= sent + lease {
                    return;
                }
                let (until, renew) = (sent + lease, sent + heartbeat);
                let rounds = [round.clone()].into();
                seat.state = State::Holds {
                    epoch,
                    until,
                    renew,
                    rounds,
                    last: no,
                };
                seat.fails = 0;
                self.counts.taken += 1;
                self.know(
                    duty,
                    Known {
                        holder: self.terms.own,
                        epoch,
                        until,
                    },
                );
                self.actions.push(Action::Holds { duty, epoch });
            }
            State::Holds {
                epoch,
                until,
                rounds,
                ..
            } if *epoch == ballot.epoch => {
                seat.heirs.extend(waiting);
                let Some(round) = rounds.iter_mut().find(|r| r.no == no) else {
                    return;
                };
                round.votes.insert(from);
                if self.voters.most(&round.votes) {
                    *until = (*until).max(round.sent + lease);
                    let known = Known {
                        holder: self.terms.own,
                        epoch: *epoch,
                        until: *until,
                    };
                    self.know(duty, known);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn know(&mut self, duty: Duty, told: Known) {
        if !self.seats.contains_key(&duty) {
            return;
        }
        let known = self.known.entry(duty).or_insert(told);
        if (told.epoch, told.until) > (known.epoch, known.until) {
            *known = told;
        }
    }

    /// Tells one other gateway, drawn by chance, who holds what: the same bytes whatever the size of the
    /// fleet.
    pub(crate) fn hearsay(&mut self, now: Timestamp) {
        if now < self.next_hearsay {
            return;
        }
        self.next_hearsay =
            now + self.terms.heartbeat * (0.75 + 0.5 * self.chance.generate::<f64>());
        let own = self.terms.own;
        for (duty, seat) in &self.seats {
            if let (Some((epoch, until)), Some(known)) = (seat.held(), self.known.get_mut(duty)) {
                *known = Known {
                    holder: own,
                    epoch,
                    until,
                };
            }
        }
        let n = self.known.len();
        let later = self
            .known
            .iter()
            .cycle()
            .skip(self.told % n.max(1))
            .take(n.min(HEARSAY));
        let holdings: Vec<Holding> = later
            .map(|(duty, k)| {
                let holder = self.terms.ids.get(k.holder).copied().unwrap_or(0);
                Holding {
                    duty: *duty,
                    epoch: k.epoch,
                    holder,
                    left_ms: ms(k.until - now),
                }
            })
            .collect();
        self.told = self.told.wrapping_add(HEARSAY);
        if let Some(to) = self.somebody() {
            self.tell(to, Body::KnownLeases { holdings });
        }
    }

    /// Another gateway by chance; an elector every other time while an electorate is not in force, since its
    /// members have to hear of each other.
    fn somebody(&mut self) -> Option<NodeIx> {
        let own = self.terms.own;
        let electors: Vec<NodeIx> = self
            .voters
            .all()
            .into_iter()
            .filter(|e| *e != own)
            .collect();
        if self.voters.votes(own) && !self.voters.in_force() && self.chance.generate::<bool>() {
            return electors
                .get(self.chance.generate_range(0..electors.len().max(1)))
                .copied();
        }
        let others = self
            .terms
            .ids
            .len()
            .checked_sub(1)
            .filter(|others| *others > 0)?;
        let to = self.chance.generate_range(0..others);
        Some(if to >= own { to + 1 } else { to })
    }
}

impl Body {
    pub(crate) fn epochs(&self) -> impl Iterator<Item = Epoch> + '_ {
        let (one, other, many): (Epoch, Option<Epoch>, &[Holding]) = match self {
            Body::Ask { epoch, after, .. } => (*epoch, *after, &[]),
            Body::Take { epoch, .. } | Body::Release { epoch, .. } | Body::Pass { epoch, .. } => {
                (*epoch, None, &[])
            }
            Body::Open { ballot, .. } | Body::Granted { ballot, .. } => (ballot.epoch, None, &[]),
            Body::Held { ballot, epoch, .. } => (ballot.epoch, Some(*epoch), &[]),
            Body::KnownLeases { holdings } => (Epoch(0), None, holdings),
        };
        [one]
            .into_iter()
            .chain(other)
            .chain(many.iter().map(|h| h.epoch))
    }
}
