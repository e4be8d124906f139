//! How a gateway that would hold a duty comes by it, keeps it, and gives it up.

use std::collections::BTreeSet;

use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::Rng;

use crate::elector::{Lasts, NEAR, WAITING};
use crate::lease_state::State;
use crate::{Action, Body, Duty, Epoch, Fleet, NodeIx, Why};

/// Heartbeats for which answers are waited for.
pub const PATIENCE: f64 = 0.5;
/// Heartbeats between the tries of two that wait. Guards against two that take the votes from each other: it
/// is longer than a round on the roads of one site. It harms a take-over by its length for each that is gone.
const APART: f64 = 1.0 / 16.0;
/// Leases between the looks of those that wait behind the first.
const LATER: f64 = 12.0;
/// One look in so many goes to the first elector again, after it said nothing.
const BACK: u32 = 8;
/// Doublings of the wait after tries that came to nothing.
const DOUBLINGS: u32 = 4;
/// Heartbeats after which what was given up is told once more.
const AGAIN: f64 = 1.0 / 8.0;

impl Fleet {
    /// A number by which this elector, and any other, ranks a gateway that waits: another order for each
    /// duty.
    pub(crate) fn rank(&self, duty: Duty, node: NodeIx) -> u64 {
        let id = self.terms.ids.get(node).copied().unwrap_or(0);
        let kind = match duty {
            Duty::Steward => 1 << 16,
            Duty::Heir => 1 << 17,
            Duty::Speaker(circle) => u64::from(circle),
        };
        let mixed = (u64::from(id) << 20 ^ kind).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    }

    pub(crate) fn waiting_lasts(&self) -> Lasts {
        Lasts {
            near: self.terms.lease * 4.0,
            later: self.terms.lease * (2.0 * LATER),
        }
    }

    pub(crate) fn tell_all(&mut self, body: Body) {
        for to in self.voters.all() {
            self.tell(to, body.clone());
        }
    }

    /// What has run out by this gateway's own clock has ended.
    pub(crate) fn lapse(&mut self, now: Timestamp) {
        for duty in self.terms.duties.clone() {
            let held = self.seats.get(&duty).and_then(|s| s.held());
            if let Some((epoch, _)) = held.filter(|(_, until)| now >= *until) {
                self.counts.lapsed += 1;
                self.give_up(now, duty, epoch, Why::Lapsed);
            }
        }
    }

    fn give_up(&mut self, now: Timestamp, duty: Duty, epoch: Epoch, why: Why) {
        self.actions.push(Action::Ended { duty, epoch, why });
        let heir = match why {
            Why::HandedOn => self.heir(duty),
            Why::Lapsed | Why::Refused => None,
        };
        self.tell_all(Body::Release { duty, epoch });
        if let Some(heir) = heir {
            self.tell(heir, Body::Pass { duty, epoch });
        }
        let again = now + self.terms.heartbeat * AGAIN;
        self.wait(now, duty, TimeDelta::ZERO);
        if let Some(seat) = self.seats.get_mut(&duty) {
            seat.again = Some((again, epoch, heir));
        }
        if let Some(known) = self.known.get_mut(&duty).filter(|k| k.epoch == epoch) {
            known.until = known.until.min(now);
        }
    }

    /// Who is to have it next: an elector that waits, or the first of those that electors know to wait.
    fn heir(&self, duty: Duty) -> Option<NodeIx> {
        let heirs = self
            .seats
            .get(&duty)?
            .heirs
            .iter()
            .filter(|h| **h != self.terms.own);
        heirs
            .min_by_key(|h| (!self.voters.votes(**h), self.rank(duty, **h)))
            .copied()
    }

    pub(crate) fn want(&mut self, now: Timestamp, duty: Duty, wants: bool) {
        let wants = wants && !self.ending;
        let first = self.elector.silent_until();
        let votes = self.voters.votes(self.terms.own);
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        if std::mem::replace(&mut seat.wants, wants) == wants {
            return;
        }
        if wants {
            // Guards against a whole fleet that asks at once after a start: electors are near, others by
            // chance.
            let near = votes || seat.place < NEAR;
            let next = first.max(now)
                + if near {
                    self.spread(duty)
                } else {
                    self.early()
                };
            if let Some(seat) = self.seats.get_mut(&duty) {
                seat.state = State::Waits { next };
            }
            return;
        }
        match seat.state {
            State::Holds { epoch, .. } => {
                self.counts.handed_on += 1;
                self.give_up(now, duty, epoch, Why::HandedOn);
            }
            State::Takes { epoch, .. } => {
                self.tell_all(Body::Release { duty, epoch });
                self.wait(now, duty, TimeDelta::ZERO);
            }
            _ => self.wait(now, duty, TimeDelta::ZERO),
        }
    }

    pub(crate) fn refused(&mut self, now: Timestamp, duty: Duty, newest: Epoch) {
        self.elector.learn(duty, newest);
        let held = self.seats.get(&duty).and_then(|s| s.held());
        if let Some((epoch, _)) = held.filter(|(epoch, _)| *epoch < newest) {
            self.give_up(now, duty, epoch, Why::Refused);
        }
    }

    /// An elector's vote has become free in order: it tries soon if it waits itself, should the heir not.
    pub(crate) fn gave_up(&mut self, now: Timestamp, duty: Duty, epoch: Epoch) {
        if let Some(known) = self.known.get_mut(&duty).filter(|k| k.epoch == epoch) {
            known.until = known.until.min(now);
        }
        let soon = now + self.terms.heartbeat * APART + self.spread(duty);
        if let Some(seat) = self.seats.get_mut(&duty).filter(|s| s.wants) {
            if let State::Waits { next } = &mut seat.state {
                *next = soon.min(*next);
            }
        }
    }

    /// The holder has passed it to this gateway.
    pub(crate) fn passed(&mut self, now: Timestamp, duty: Duty, after: Epoch) {
        let Some(seat) = self.seats.get(&duty).filter(|s| s.wants) else {
            return;
        };
        let waits = match seat.state {
            State::Waits { .. } | State::Looks { .. } => true,
            // It had asked before it was passed on, or the message has come twice.
            State::Asks { after: known, .. } => known != Some(after),
            State::Takes { .. } | State::Holds { .. } => false,
        };
        // Guards against an old copy: whoever passed on an epoch that others have left behind has passed
        // nothing.
        let newer = self
            .known
            .get(&duty)
            .is_some_and(|known| known.epoch > after);
        if waits && !newer {
            self.elector.learn(duty, after);
            self.ask_all(now, duty, Some(after));
        }
    }

    /// How long this one waits more than others that would hold the duty.
    fn spread(&mut self, duty: Duty) -> TimeDelta {
        let own = self.terms.own;
        let electors = self.voters.all();
        let rank = self.rank(duty, own);
        let before = if self.voters.votes(own) {
            electors
                .iter()
                .filter(|e| self.rank(duty, **e) < rank)
                .count()
        } else {
            electors.len() + self.seats.get(&duty).map_or(0, |s| s.place)
        };
        self.terms.heartbeat * (APART * (before as f64 + 0.5 * self.chance.generate::<f64>()))
    }

    /// How long one waits that is not among the first: all such together look about once a lease.
    fn seldom(&mut self) -> TimeDelta {
        self.terms.lease
            * (2.0 * self.terms.ids.len() as f64 * self.chance.generate::<f64>()).max(0.5)
    }

    /// How long one waits that no elector has told its place. If all of a large fleet would hold the duty,
    /// they look 64 times a lease in sum, each once: nobody knows yet how many they are, and few must not
    /// wait long.
    fn early(&mut self) -> TimeDelta {
        self.terms.lease
            * ((self.terms.ids.len() as f64 / 64.0).max(1.0) * self.chance.generate::<f64>())
    }

    /// Nothing is under way any more; `left` is how long another holds it yet.
    fn wait(&mut self, now: Timestamp, duty: Duty, left: TimeDelta) {
        let own = self.terms.own;
        let (spread, seldom) = (self.spread(duty), self.seldom());
        let chance = self.chance.generate::<f64>();
        let votes = self.voters.votes(own);
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        let apart = self.terms.heartbeat * APART;
        let next = if left > TimeDelta::ZERO {
            seat.fails = 0;
            match seat.place {
                place if votes || place == 0 => now + left + spread,
                place if place < NEAR => now + left + self.terms.lease * place as f64 + spread,
                place if place < WAITING => {
                    now + left + self.terms.lease * (LATER * (0.5 + chance))
                }
                _ => now + left + seldom,
            }
        } else {
            seat.fails = (seat.fails + 1).min(DOUBLINGS);
            now + spread + apart * (chance * f64::from(1u32 << seat.fails))
        };
        seat.state = State::Waits { next };
    }

    /// Above all that this gateway knows of, and above its own start.
    /// Guards against a try that counts votes of an earlier one: no number is used twice by a process.
    fn next_epoch(&mut self, duty: Duty) -> Epoch {
        let newest = self.elector.newest(duty).max(Epoch(self.incarnation));
        let Some(seat) = self.seats.get_mut(&duty) else {
            return newest;
        };
        seat.above = Epoch(newest.max(seat.above).0.saturating_add(1));
        seat.above
    }

    /// Asks all electors whether this gateway may begin a holding.
    pub(crate) fn ask_all(&mut self, now: Timestamp, duty: Duty, after: Option<Epoch>) {
        let epoch = self.next_epoch(duty);
        let until = now + self.terms.heartbeat * PATIENCE;
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        seat.left = TimeDelta::ZERO;
        seat.state = State::Asks {
            epoch,
            after,
            until,
            open: BTreeSet::new(),
            no: BTreeSet::new(),
        };
        self.tell_all(Body::Ask { duty, epoch, after });
    }

    /// An elector has said no.
    pub(crate) fn refused_by(
        &mut self,
        now: Timestamp,
        from: NodeIx,
        duty: Duty,
        to: Epoch,
        left: TimeDelta,
        place: u8,
    ) {
        if !self.voters.votes(from) {
            return;
        }
        let all = self.voters.all().len();
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        seat.place = usize::from(place).min(WAITING);
        match &mut seat.state {
            State::Looks { epoch, at, .. } if *epoch == to && *at == from => match left {
                TimeDelta::ZERO => self.ask_all(now, duty, None),
                left => self.wait(now, duty, left),
            },
            State::Asks {
                epoch, open, no, ..
            } if *epoch == to => {
                no.insert(from);
                seat.left = seat.left.max(left);
                if no.len() + open.len() >= all {
                    let left = seat.left;
                    self.wait(now, duty, left);
                }
            }
            State::Takes {
                epoch, round, no, ..
            } if *epoch == to => {
                no.insert(from);
                seat.left = seat.left.max(left);
                if no.len() + round.votes.len() >= all {
                    let (epoch, left) = (*epoch, seat.left);
                    self.tell_all(Body::Release { duty, epoch });
                    self.wait(now, duty, left);
                }
            }
            _ => {}
        }
    }

    /// Does what is due for a duty.
    pub(crate) fn seek(&mut self, now: Timestamp, duty: Duty) {
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        if let Some((_, epoch, heir)) = seat.again.take_if(|(at, ..)| *at <= now) {
            self.tell_all(Body::Release { duty, epoch });
            if let Some(heir) = heir {
                self.tell(heir, Body::Pass { duty, epoch });
            }
        }
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        let wants = seat.wants;
        match &seat.state {
            State::Waits { next } if wants && *next <= now => self.look(now, duty),
            State::Looks { until, .. } if *until <= now => {
                // An elector that is gone says nothing: one of the first asks them all, others the next.
                seat.turn = seat.turn.wrapping_add(1);
                let near = seat.place < NEAR;
                let next = now + self.early();
                match self.seats.get_mut(&duty) {
                    Some(seat) if !near => seat.state = State::Waits { next },
                    _ => self.ask_all(now, duty, None),
                }
            }
            State::Asks { until, .. } if *until <= now => {
                let left = seat.left;
                self.wait(now, duty, left);
            }
            State::Takes { epoch, until, .. } if *until <= now => {
                let (epoch, left) = (*epoch, seat.left);
                self.tell_all(Body::Release { duty, epoch });
                self.wait(now, duty, left);
            }
            State::Holds { renew, .. } if *renew <= now => {
                let heartbeat = self.terms.heartbeat;
                if let Some((epoch, round)) = seat.renew(now, heartbeat) {
                    let lease_ms = (self.terms.lease.0 / 1000) as u16;
                    self.tell_all(Body::Take {
                        duty,
                        epoch,
                        round,
                        lease_ms,
                    });
                }
            }
            _ => {}
        }
    }

    /// Looks whether the duty is free: an elector by its own vote, which costs nothing, others at one
    /// elector.
    fn look(&mut self, now: Timestamp, duty: Duty) {
        let own = self.terms.own;
        if self.voters.votes(own) {
            return match self.elector.granted(now, duty).filter(|(to, _)| *to != own) {
                Some((_, until)) => self.wait(now, duty, until - now),
                None if now < self.elector.silent_until() => {
                    let left = self.elector.silent_until() - now;
                    self.wait(now, duty, left);
                }
                None => self.ask_all(now, duty, None),
            };
        }
        // All look at one, the same for all, so that it knows who waits before whom; another duty has
        // another.
        let mut electors = self.voters.told().electors.clone();
        electors.sort_by_key(|e| self.rank(duty, *e));
        let back = self.chance.generate_range(0..BACK) == 0;
        let epoch = self.next_epoch(duty);
        let until = now + self.terms.heartbeat * PATIENCE;
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        if back {
            seat.turn = 0;
        }
        let Some(at) = electors.get(seat.turn % electors.len().max(1)).copied() else {
            return;
        };
        seat.state = State::Looks { epoch, at, until };
        self.tell(
            at,
            Body::Ask {
                duty,
                epoch,
                after: None,
            },
        );
    }
}
