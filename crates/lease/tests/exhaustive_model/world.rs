//! The state of the model: electors, candidates, messages under way, and what each message changes.

use std::collections::BTreeSet;

use harrierdock_lease::elector::{AcquireRequest, Elector, ElectorReply, Rejection, Requester};
use harrierdock_lease::{Epoch, LeaseName};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};

pub const LEASE_DURATION: i64 = 2;
pub const LEASE: LeaseName = LeaseName::RolloutController;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
    Nothing,
    NoCheckBeforeTheAct,
    NoSilenceAfterAStart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
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
pub enum Phase {
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
pub struct Gateway {
    pub phase: Phase,
    pub epoch: u64,
    pub tries: u8,
    pub electors: &'static [usize],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub now: i64,
    pub electors: Vec<Elector>,
    pub gateways: Vec<Gateway>,
    pub messages: BTreeSet<Message>,
    pub starts: u8,
    pub newest: u64,
    pub older_epoch: bool,
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
    pub fn may_act(&self, gateway: &Gateway, fault: PlantedFault) -> bool {
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
    pub fn drop_stale_messages(&mut self) {
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
    pub fn prepare(&mut self, who: usize, electors: &'static [usize]) {
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
                ElectorReply::NoReply => {}
            }
        }
        match open {
            2.. => gateway.phase = Phase::Preparing,
            _ => gateway.epoch = above.0,
        }
    }

    pub fn deliver(&mut self, message: Message) {
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
