//! Handles the electors' replies to this gateway's proposals.

use std::collections::{BTreeSet, VecDeque};

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::elector::MAX_CANDIDATES;
use crate::lease_state::{HeldLease, Phase, Round, FIRST_ROUND};
use crate::message_handling::{ms_to_duration, requester_tag};
use crate::{Action, Epoch, KnownHolder, LeaseManager, LeaseName, MessageBody, ProposalId};

/// An elector's reply to a proposal of this process.
struct Reply {
    from: PeerId,
    lease: LeaseName,
    epoch: Epoch,
}

impl LeaseManager {
    pub(crate) fn handle_reply(&mut self, now: Timestamp, from: PeerId, body: MessageBody) {
        match body {
            MessageBody::Promised { lease, proposal } => {
                if let Some(reply) = self.reply_to_own_proposal(from, lease, proposal) {
                    self.handle_promise(now, &reply);
                }
            }
            MessageBody::Granted {
                lease,
                proposal,
                round,
                next_candidate_hash,
            } => {
                if let Some(reply) = self.reply_to_own_proposal(from, lease, proposal) {
                    self.record_successor(&reply, round, next_candidate_hash);
                    self.handle_grant(now, &reply, round);
                }
            }
            MessageBody::Rejected {
                lease,
                proposal,
                epoch,
                remaining_ms,
                candidates_before,
                holder_hash,
            } => {
                let remaining = ms_to_duration(remaining_ms);
                self.learn_from_rejection(now, lease, epoch, remaining, holder_hash);
                if let Some(reply) = self.reply_to_own_proposal(from, lease, proposal) {
                    self.handle_rejection(now, &reply, remaining, usize::from(candidates_before));
                }
            }
            _ => {}
        }
    }

    /// Returns the reply if an elector sent it and it answers a proposal of this process.
    fn reply_to_own_proposal(
        &self,
        from: PeerId,
        lease: LeaseName,
        proposal: ProposalId,
    ) -> Option<Reply> {
        let is_own = proposal.requester_tag == requester_tag(self.incarnation);
        (is_own && self.quorum.is_elector(from)).then_some(Reply {
            from,
            lease,
            epoch: proposal.epoch,
        })
    }

    fn handle_promise(&mut self, now: Timestamp, reply: &Reply) {
        let lease = reply.lease;
        let deadline = self.reply_deadline(now);
        let Some(state) = self.states.get_mut(&lease) else {
            return;
        };
        match &mut state.phase {
            Phase::Probing { epoch, elector, .. }
                if *epoch == reply.epoch && *elector == reply.from =>
            {
                self.prepare(now, lease, None);
            }
            Phase::Preparing {
                epoch, promises, ..
            } if *epoch == reply.epoch => {
                promises.insert(reply.from);
                if self.quorum.is_reached(promises) {
                    state.phase = Phase::Acquiring {
                        epoch: reply.epoch,
                        round: Round::new(FIRST_ROUND, now),
                        deadline,
                        rejections: BTreeSet::new(),
                    };
                    state.successors.clear();
                    self.send_acquire(lease, reply.epoch, FIRST_ROUND);
                }
            }
            _ => {}
        }
    }

    /// Records the next candidate that an elector reports with a grant.
    fn record_successor(&mut self, reply: &Reply, number: u16, candidate_hash: Option<u32>) {
        let candidate = candidate_hash
            .and_then(|hash| self.parameters.peer_by_name_hash(hash))
            .filter(|peer| *peer != self.parameters.local_peer);
        let Some(state) = self.states.get_mut(&reply.lease) else {
            return;
        };
        let is_current = match &state.phase {
            Phase::Acquiring { epoch, round, .. } => {
                *epoch == reply.epoch && round.number == number
            }
            Phase::Held(held) => held.epoch == reply.epoch,
            _ => false,
        };
        if is_current {
            state.successors.extend(candidate);
        }
    }

    fn handle_grant(&mut self, now: Timestamp, reply: &Reply, number: u16) {
        let lease_duration = self.parameters.holder_lease_duration();
        let Some(state) = self.states.get_mut(&reply.lease) else {
            return;
        };
        match &mut state.phase {
            Phase::Acquiring { epoch, round, .. }
                if *epoch == reply.epoch && round.number == number =>
            {
                round.grants.insert(reply.from);
                // The lease may have expired while the grant that completes the quorum was in transit.
                let is_in_time = now < round.sent_at + lease_duration;
                if self.quorum.is_reached(&round.grants) && is_in_time {
                    let round = round.clone();
                    self.start_holding(reply, round);
                }
            }
            Phase::Held(held) if held.epoch == reply.epoch => {
                let Some(round) = held.rounds.iter_mut().find(|r| r.number == number) else {
                    return;
                };
                round.grants.insert(reply.from);
                if self.quorum.is_reached(&round.grants) {
                    held.expires_at = held.expires_at.max(round.sent_at + lease_duration);
                    let expires_at = held.expires_at;
                    self.record_own_lease(reply, expires_at);
                }
            }
            _ => {}
        }
    }

    fn start_holding(&mut self, reply: &Reply, round: Round) {
        let expires_at = round.sent_at + self.parameters.holder_lease_duration();
        let renew_at = round.sent_at + self.parameters.heartbeat_interval;
        let Some(state) = self.states.get_mut(&reply.lease) else {
            return;
        };
        state.phase = Phase::Held(HeldLease {
            epoch: reply.epoch,
            expires_at,
            renew_at,
            last_round_number: round.number,
            rounds: VecDeque::from([round]),
        });
        state.failures = 0;
        self.counters.acquired += 1;
        self.record_own_lease(reply, expires_at);
        self.actions.push(Action::Acquired {
            lease: reply.lease,
            epoch: reply.epoch,
        });
    }

    fn record_own_lease(&mut self, reply: &Reply, expires_at: Timestamp) {
        let known = KnownHolder {
            holder: self.parameters.local_peer,
            epoch: reply.epoch,
            expires_at,
        };
        self.record_holder(reply.lease, known);
    }

    /// Learns the epoch and holder from a rejection. The epoch may be the elector's floor after its start, which belongs to no holder. So
    /// it raises the epoch of this gateway's next try, but not the epoch that this gateway's own elector requires.
    fn learn_from_rejection(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        epoch: Epoch,
        remaining: TimeDelta,
        holder_hash: u32,
    ) {
        if let Some(state) = self.states.get_mut(&lease) {
            state.epoch_floor = state.epoch_floor.max(epoch);
        }
        let holder = self.parameters.peer_by_name_hash(holder_hash);
        if let Some(holder) = holder.filter(|_| remaining > TimeDelta::ZERO) {
            let known = KnownHolder {
                holder,
                epoch,
                expires_at: now + remaining,
            };
            self.record_holder(lease, known);
        }
    }

    fn handle_rejection(
        &mut self,
        now: Timestamp,
        reply: &Reply,
        remaining: TimeDelta,
        candidates_before: usize,
    ) {
        let lease = reply.lease;
        let elector_count = self.quorum.electors().len();
        let Some(state) = self.states.get_mut(&lease) else {
            return;
        };
        state.candidates_before = candidates_before.min(MAX_CANDIDATES);
        match &mut state.phase {
            Phase::Probing { epoch, elector, .. }
                if *epoch == reply.epoch && *elector == reply.from =>
            {
                if remaining == TimeDelta::ZERO {
                    self.prepare(now, lease, None);
                } else {
                    self.return_to_waiting(now, lease, remaining);
                }
            }
            Phase::Preparing {
                epoch,
                promises,
                rejections,
                ..
            } if *epoch == reply.epoch => {
                rejections.insert(reply.from);
                state.remaining = state.remaining.max(remaining);
                if rejections.len() + promises.len() >= elector_count {
                    let remaining = state.remaining;
                    self.return_to_waiting(now, lease, remaining);
                }
            }
            Phase::Acquiring {
                epoch,
                round,
                rejections,
                ..
            } if *epoch == reply.epoch => {
                rejections.insert(reply.from);
                state.remaining = state.remaining.max(remaining);
                if rejections.len() + round.grants.len() >= elector_count {
                    let remaining = state.remaining;
                    self.abandon_acquisition(now, lease, reply.epoch, remaining);
                }
            }
            _ => {}
        }
    }
}
