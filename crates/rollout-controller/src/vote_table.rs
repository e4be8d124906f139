//! The votes of all gateways, and the schedule for sending this gateway's vote.

use std::collections::BTreeMap;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::{RolloutControllerParameters, RolloutStage, Vote, VoteMessage};

struct OwnVote {
    vote: Vote,
    cast_at: Timestamp,
}

/// When this gateway's vote is sent next. Datagrams may be lost, so the vote is sent repeatedly, with a delay that doubles.
struct ScheduledSend {
    at: Timestamp,
    /// Time from this send to the next send.
    next_interval: TimeDelta,
}

struct ReceivedVote {
    message: VoteMessage,
    received_at: Timestamp,
}

/// The latest vote of each gateway.
pub(crate) struct VoteTable {
    local_peer: PeerId,
    gateway_count: usize,
    incarnation: u64,
    vote_ttl: TimeDelta,
    first_resend_interval: TimeDelta,
    sent_messages: u32,
    own: Option<OwnVote>,
    scheduled_send: Option<ScheduledSend>,
    received: BTreeMap<PeerId, ReceivedVote>,
}

impl VoteTable {
    pub(crate) fn new(parameters: &RolloutControllerParameters) -> VoteTable {
        VoteTable {
            local_peer: parameters.local_peer,
            gateway_count: parameters.gateway_count,
            incarnation: parameters.incarnation,
            vote_ttl: parameters.vote_ttl,
            first_resend_interval: parameters.resend_interval,
            sent_messages: 0,
            own: None,
            scheduled_send: None,
            received: BTreeMap::new(),
        }
    }

    fn own_vote(&self) -> Option<Vote> {
        self.own.as_ref().map(|own| own.vote)
    }

    /// Records or renews this gateway's vote. A changed vote is sent at once.
    pub(crate) fn set_own(&mut self, now: Timestamp, vote: Option<Vote>) {
        let is_changed = self.own_vote() != vote;
        self.own = vote.map(|vote| OwnVote { vote, cast_at: now });
        if is_changed {
            self.scheduled_send = Some(ScheduledSend {
                at: now,
                next_interval: self.first_resend_interval,
            });
        }
    }

    /// Records another gateway's vote. Messages that are duplicated, late, out of order or from before the sender's restart are ignored.
    ///
    /// A gateway uses its start time, by its own clock, as its incarnation. If the clock of the sender was set back across a restart
    /// by more than the downtime, the new incarnation is smaller than the previous one. The sender's votes are then ignored until
    /// the sender restarts with a larger incarnation.
    pub(crate) fn receive(&mut self, now: Timestamp, from: PeerId, message: VoteMessage) {
        if from >= PeerId(self.gateway_count) || from == self.local_peer {
            return;
        }
        let is_newer = self.received.get(&from).is_none_or(|last| {
            (message.incarnation, message.sequence)
                > (last.message.incarnation, last.message.sequence)
        });
        if is_newer {
            self.received.insert(
                from,
                ReceivedVote {
                    message,
                    received_at: now,
                },
            );
        }
    }

    /// Removes this gateway's vote if it was not renewed in time or is about a stage before the current one.
    pub(crate) fn expire_own(&mut self, now: Timestamp, current: Option<RolloutStage>) {
        let is_expired = self.own.as_ref().is_some_and(|own| {
            own.cast_at + self.vote_ttl <= now
                || current.is_some_and(|current| own.vote.stage < current)
        });
        if is_expired {
            self.own = None;
            self.scheduled_send = None;
        }
    }

    /// Returns this gateway's vote message if its send time has come, and schedules the next send.
    pub(crate) fn take_message(&mut self, now: Timestamp) -> Option<VoteMessage> {
        let interval = self
            .scheduled_send
            .as_ref()
            .filter(|send| send.at <= now)?
            .next_interval;
        let vote = self.own_vote();
        self.sent_messages += 1;
        // A withdrawal is sent only once. The growing interval keeps the traffic of a long-standing vote low.
        self.scheduled_send = vote.map(|_| ScheduledSend {
            at: now + interval,
            next_interval: (interval * 2.0).min(self.vote_ttl / 2.0),
        });
        Some(VoteMessage {
            incarnation: self.incarnation,
            sequence: self.sent_messages,
            vote,
        })
    }

    /// When the next message is sent; `None` if no message is scheduled.
    pub(crate) fn next_send_at(&self) -> Option<Timestamp> {
        self.scheduled_send.as_ref().map(|send| send.at)
    }

    /// Counts the unexpired votes equal to `vote`, including this gateway's own.
    pub(crate) fn count(&self, now: Timestamp, vote: Vote) -> usize {
        let is_live = |at: Timestamp| now - at < self.vote_ttl;
        let own = self
            .own
            .as_ref()
            .is_some_and(|own| own.vote == vote && is_live(own.cast_at));
        let others = self
            .received
            .values()
            .filter(|received| received.message.vote == Some(vote) && is_live(received.received_at))
            .count();
        others + usize::from(own)
    }
}
