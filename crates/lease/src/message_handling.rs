//! Checks and handles received messages. Messages from an earlier process, from an unknown gateway, or under an incompatible electorate
//! are dropped.

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::elector::{AcquireRequest, CandidateRank, ElectorReply, Rejection, Requester};
use crate::lease_state::{Phase, FIRST_ROUND};
use crate::{Epoch, KnownHolder, LeaseManager, LeaseName, Message, MessageBody, ProposalId};

/// How far an epoch or an incarnation may be ahead of this gateway's incarnation: a year. Without this bound, one corrupt number could use
/// up all epochs. A gateway whose clock is more than a year behind therefore drops all messages.
const MAX_AHEAD_MS: u64 = 366 * 86_400_000;

/// Converts to whole milliseconds, clamped to the range of `u16`.
pub(crate) fn duration_to_ms(span: TimeDelta) -> u16 {
    (span.0 / 1000).clamp(0, i64::from(u16::MAX)) as u16
}

/// Converts a wait to milliseconds, rounded up so that the receiver doesn't retry too early. 0 without a wait.
fn wait_to_ms(span: TimeDelta) -> u16 {
    if span > TimeDelta::ZERO {
        duration_to_ms(span).saturating_add(1)
    } else {
        0
    }
}

pub(crate) fn ms_to_duration(ms: u16) -> TimeDelta {
    TimeDelta(i64::from(ms) * 1000)
}

/// Folds an incarnation into 16 bits, for replies. A collision between two processes of one gateway is harmless, since the later process
/// proposes only newer epochs.
pub(crate) fn requester_tag(incarnation: u64) -> u16 {
    (incarnation ^ (incarnation >> 16) ^ (incarnation >> 32)) as u16
}

impl LeaseManager {
    /// Checks a message from another gateway, and handles it if it is valid.
    pub(crate) fn receive(&mut self, now: Timestamp, from: PeerId, message: Message) {
        let latest = self.incarnation.saturating_add(MAX_AHEAD_MS);
        if !self.record_incarnation(from, message.incarnation, latest) {
            self.counters.outdated_messages += 1;
            return;
        }
        if message.body.highest_epoch().0 > latest {
            self.counters.implausible_messages += 1;
            return;
        }
        if !self.has_compatible_electorate(&message) {
            self.counters.incompatible_messages += 1;
            return;
        }
        self.quorum
            .record_number(now, from, message.electorate_number);
        self.handle_body(now, from, message.incarnation, message.body);
    }

    /// Returns whether the sender's incarnation is plausible and no older than the newest one known. The state of an earlier process was
    /// lost with that process, so its messages don't count.
    fn record_incarnation(&mut self, from: PeerId, incarnation: u64, latest: u64) -> bool {
        match self.peer_incarnations.get_mut(from.0) {
            Some(newest)
                if from != self.parameters.local_peer
                    && incarnation >= *newest
                    && incarnation <= latest =>
            {
                *newest = incarnation;
                true
            }
            _ => false,
        }
    }

    /// Whether grants under the sender's electorate count together with grants under this gateway's.
    fn has_compatible_electorate(&self, message: &Message) -> bool {
        // Gossip contains no grants. It has to pass so that gateways learn each other's electorate number across several changes.
        let is_gossip = matches!(message.body, MessageBody::KnownLeases { .. });
        if !self.quorum.is_compatible(message.electorate_number) && !is_gossip {
            return false;
        }
        // By mistake, two gateways may be configured with different electorates under the same number.
        message.electorate_number != self.quorum.electorate().number
            || message.electorate_digest == self.electorate_digest
    }

    /// Handles a checked message, or a message of this gateway to itself.
    pub(crate) fn handle_body(
        &mut self,
        now: Timestamp,
        from: PeerId,
        incarnation: u64,
        body: MessageBody,
    ) {
        let requester = Requester {
            peer: from,
            incarnation,
        };
        match body {
            MessageBody::Prepare {
                lease,
                epoch,
                transferred_epoch,
            } => self.handle_prepare(now, lease, requester, epoch, transferred_epoch),
            MessageBody::Acquire {
                lease,
                epoch,
                round,
                lease_ms,
            } => {
                let request = AcquireRequest {
                    requester,
                    epoch,
                    lease_duration: ms_to_duration(lease_ms),
                    is_renewal: round > FIRST_ROUND,
                };
                self.handle_acquire(now, lease, request, round);
            }
            MessageBody::Release { lease, epoch } => {
                if self.elector.release(lease, requester, epoch) {
                    self.handle_release(now, lease, epoch);
                }
            }
            MessageBody::Transfer { lease, epoch } => self.handle_transfer(now, lease, epoch),
            MessageBody::KnownLeases { records } => {
                for record in records {
                    self.elector.learn_epoch(record.lease, record.epoch);
                    if let Some(holder) = self.parameters.peer_by_name_hash(record.holder_hash) {
                        let reported = KnownHolder {
                            holder,
                            epoch: record.epoch,
                            expires_at: now + ms_to_duration(record.remaining_ms),
                        };
                        self.record_holder(record.lease, reported);
                    }
                }
            }
            reply => self.handle_reply(now, from, reply),
        }
    }

    fn handle_prepare(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        requester: Requester,
        epoch: Epoch,
        transferred_epoch: Option<Epoch>,
    ) {
        let proposal = ProposalId {
            epoch,
            requester_tag: requester_tag(requester.incarnation),
        };
        match self
            .elector
            .prepare(now, lease, requester, epoch, transferred_epoch)
        {
            ElectorReply::NoReply => {}
            ElectorReply::Accepted => {
                self.send(requester.peer, MessageBody::Promised { lease, proposal });
            }
            ElectorReply::Rejected(rejection) => {
                self.send_rejection(now, lease, requester.peer, proposal, rejection);
            }
        }
    }

    fn handle_acquire(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        request: AcquireRequest,
        round: u16,
    ) {
        let requester = request.requester;
        let proposal = ProposalId {
            epoch: request.epoch,
            requester_tag: requester_tag(requester.incarnation),
        };
        match self.elector.acquire(now, lease, request) {
            ElectorReply::NoReply => {}
            ElectorReply::Accepted => {
                // The next candidate changes rarely, so only every second round reports it to another gateway.
                let reports_candidate =
                    requester.peer == self.parameters.local_peer || round % 2 == 1;
                let next_candidate_hash = reports_candidate
                    .then(|| self.next_candidate_hash(now, lease, requester.peer))
                    .flatten();
                self.send(
                    requester.peer,
                    MessageBody::Granted {
                        lease,
                        proposal,
                        round,
                        next_candidate_hash,
                    },
                );
            }
            ElectorReply::Rejected(rejection) => {
                self.send_rejection(now, lease, requester.peer, proposal, rejection);
            }
        }
    }

    fn send_rejection(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        to: PeerId,
        proposal: ProposalId,
        rejection: Rejection,
    ) {
        let candidate = CandidateRank {
            rank: self.candidate_rank(lease, to),
            peer: to,
        };
        let timeouts = self.candidate_timeouts();
        let candidates_before = self
            .elector
            .record_candidate(now, lease, candidate, timeouts);
        let holder = rejection.holder;
        let holder_hash = holder.and_then(|holder| self.parameters.name_hash(holder));
        self.send(
            to,
            MessageBody::Rejected {
                lease,
                proposal,
                epoch: rejection.newest,
                remaining_ms: wait_to_ms(rejection.remaining),
                candidates_before: candidates_before as u8,
                holder_hash: holder_hash.unwrap_or(0),
            },
        );
    }

    /// The name hash of the next candidate: this gateway if it waits for the lease, else the lowest-ranked candidate known to this elector.
    fn next_candidate_hash(&self, now: Timestamp, lease: LeaseName, except: PeerId) -> Option<u32> {
        let local_peer = self.parameters.local_peer;
        let is_waiting = self
            .states
            .get(&lease)
            .is_some_and(|s| s.is_candidate && matches!(s.phase, Phase::Waiting { .. }));
        let next = if is_waiting && local_peer != except {
            local_peer
        } else {
            let timeout = self.candidate_timeouts().next;
            self.elector.first_candidate(now, lease, except, timeout)?
        };
        self.parameters.name_hash(next)
    }
}
