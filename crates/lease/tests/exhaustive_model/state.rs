//! The state of the model: electors, candidates, messages in transit, and the effect of each message.

use std::collections::BTreeSet;

use harrierdock_lease::elector::{AcquireRequest, Elector, ElectorReply, Rejection, Requester};
use harrierdock_lease::{Epoch, LeaseName};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};

/// The duration of the lease in clock steps.
pub const LEASE_DURATION: i64 = 2;
pub const LEASE: LeaseName = LeaseName::RolloutController;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
    None,
    NoCheckBeforeActing,
    NoWaitAfterRestart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Acquire {
        from: usize,
        to: usize,
        epoch: u64,
        round: u8,
    },
    Granted {
        from: usize,
        to: usize,
        epoch: u64,
        round: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Waiting,
    /// Two of the three electors have promised the lease.
    Preparing,
    Acquiring {
        sent_at: i64,
        /// The electors that granted, as a bit set.
        grants: u8,
    },
    Held {
        expires_at: i64,
        round: u8,
        sent_at: i64,
        /// The electors that granted this renewal, as a bit set.
        grants: u8,
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
pub struct ModelState {
    pub now: i64,
    pub electors: Vec<Elector>,
    pub gateways: Vec<Gateway>,
    pub messages: BTreeSet<Message>,
    pub restarts: u8,
    pub newest_epoch: u64,
    /// Whether a holder started with an epoch that was not newer than those before it.
    pub has_epoch_decreased: bool,
}

fn requester(index: usize) -> Requester {
    Requester {
        peer: PeerId(3 + index),
        incarnation: 0,
    }
}

fn is_majority(grants: u8) -> bool {
    grants.count_ones() >= 2
}

impl ModelState {
    pub fn may_act(&self, gateway: &Gateway, fault: PlantedFault) -> bool {
        match gateway.phase {
            Phase::Held { expires_at, .. } => {
                self.now < expires_at || fault == PlantedFault::NoCheckBeforeActing
            }
            _ => false,
        }
    }

    /// Ends an expired lease before a message is handled, as `LeaseManager::handle` does.
    fn expire(&mut self, index: usize) {
        if matches!(self.gateways[index].phase, Phase::Held { expires_at, .. } if self.now >= expires_at)
        {
            self.gateways[index].phase = Phase::Waiting;
        }
    }

    /// Drops grants that their requester no longer waits for. They change nothing, so this reduces the number of states.
    pub fn drop_stale_messages(&mut self) {
        let gateways = &self.gateways;
        self.messages.retain(|message| match *message {
            Message::Granted {
                to,
                epoch,
                round: granted_round,
                ..
            } => {
                let is_awaited = match gateways[to].phase {
                    Phase::Acquiring { .. } => granted_round == 1,
                    Phase::Held { round, .. } => granted_round > 1 && granted_round == round,
                    _ => false,
                };
                is_awaited && gateways[to].epoch == epoch
            }
            Message::Acquire { .. } => true,
        });
    }

    /// Sends a proposal to these electors, whose replies arrive at once. Leaving an elector out stands for a lost or late reply, and time may
    /// pass before the grants are requested.
    pub fn prepare(&mut self, index: usize, electors: &'static [usize]) {
        let (now, requester) = (Timestamp(self.now), requester(index));
        let gateway = &mut self.gateways[index];
        (gateway.tries, gateway.epoch) = (gateway.tries + 1, gateway.epoch + 1);
        gateway.electors = electors;
        let proposed = Epoch(gateway.epoch);
        let replies = electors
            .iter()
            .map(|e| self.electors[*e].prepare(now, LEASE, requester, proposed, None));
        let (mut promise_count, mut newest_epoch) = (0, proposed);
        for reply in replies.collect::<Vec<_>>() {
            match reply {
                ElectorReply::Accepted => promise_count += 1,
                ElectorReply::Rejected(Rejection { newest, .. }) => {
                    newest_epoch = newest_epoch.max(newest)
                }
                ElectorReply::NoReply => {}
            }
        }
        match promise_count {
            2.. => gateway.phase = Phase::Preparing,
            _ => gateway.epoch = newest_epoch.0,
        }
    }

    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Acquire {
                from,
                to,
                epoch,
                round,
            } => self.deliver_acquire(from, to, epoch, round),
            Message::Granted {
                from,
                to,
                epoch,
                round,
            } => self.deliver_granted(from, to, epoch, round),
        }
    }

    fn deliver_acquire(&mut self, from: usize, to: usize, epoch: u64, round: u8) {
        let request = AcquireRequest {
            requester: requester(from),
            epoch: Epoch(epoch),
            lease_duration: TimeDelta(LEASE_DURATION),
            is_renewal: round > 1,
        };
        let reply = self.electors[to].acquire(Timestamp(self.now), LEASE, request);
        if reply == ElectorReply::Accepted {
            self.messages.insert(Message::Granted {
                from: to,
                to: from,
                epoch,
                round,
            });
        }
    }

    fn deliver_granted(&mut self, from: usize, to: usize, epoch: u64, granted_round: u8) {
        self.expire(to);
        let gateway = &mut self.gateways[to];
        if gateway.epoch != epoch {
            return;
        }
        match &mut gateway.phase {
            Phase::Acquiring { sent_at, grants } if granted_round == 1 => {
                *grants |= 1 << from;
                let expires_at = *sent_at + LEASE_DURATION;
                if is_majority(*grants) && self.now < expires_at {
                    gateway.phase = Phase::Held {
                        expires_at,
                        round: 1,
                        sent_at: *sent_at,
                        grants: 0,
                    };
                    self.has_epoch_decreased |= epoch <= self.newest_epoch;
                    self.newest_epoch = epoch.max(self.newest_epoch);
                }
            }
            Phase::Held {
                expires_at,
                round,
                sent_at,
                grants,
            } if *round == granted_round && granted_round > 1 => {
                *grants |= 1 << from;
                if is_majority(*grants) {
                    *expires_at = *sent_at + LEASE_DURATION;
                }
            }
            _ => {}
        }
    }
}
