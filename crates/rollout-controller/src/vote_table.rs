//! The votes of this gateway and of others, and when this gateway's vote is sent.

use std::collections::BTreeMap;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::{RolloutControllerParameters, RolloutStage, Vote, VoteMessage};

struct OwnVote {
    vote: Vote,
    cast_at: Timestamp,
}

/// Datagrams may be lost, so a vote is sent again, each time after twice as long.
struct ScheduledSend {
    at: Timestamp,
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

    /// Records this gateway's vote. A changed one is sent at once.
    pub(crate) fn cast(&mut self, now: Timestamp, vote: Option<Vote>) {
        let is_changed = self.own_vote() != vote;
        self.own = vote.map(|vote| OwnVote { vote, cast_at: now });
        if is_changed {
            self.scheduled_send = Some(ScheduledSend {
                at: now,
                next_interval: self.first_resend_interval,
            });
        }
    }

    /// Records another gateway's vote. Messages that are duplicated, late, out of order or from before a restart change nothing. A gateway
    /// whose clock was set back by more than it was down is not counted until it is past its earlier start.
    pub(crate) fn receive(&mut self, now: Timestamp, from: PeerId, message: VoteMessage) {
        if from >= PeerId(self.gateway_count) || from == self.local_peer {
            return;
        }
        let is_newer = self.received.get(&from).is_none_or(|last| {
            (message.incarnation, message.number) > (last.message.incarnation, last.message.number)
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

    /// Drops this gateway's vote if it was not renewed in time, or is on a stage before the current one.
    pub(crate) fn expire_own(&mut self, now: Timestamp, current: Option<RolloutStage>) {
        let is_over = self.own.as_ref().is_some_and(|own| {
            own.cast_at + self.vote_ttl <= now
                || current.is_some_and(|current| own.vote.stage < current)
        });
        if is_over {
            self.own = None;
            self.scheduled_send = None;
        }
    }

    /// The message that is to be sent now, if any.
    pub(crate) fn message_to_send(&mut self, now: Timestamp) -> Option<VoteMessage> {
        let interval = self
            .scheduled_send
            .as_ref()
            .filter(|send| send.at <= now)?
            .next_interval;
        let vote = self.own_vote();
        self.sent_messages += 1;
        // A withdrawal is sent once. A vote that stands for long costs little.
        self.scheduled_send = vote.map(|_| ScheduledSend {
            at: now + interval,
            next_interval: (interval * 2.0).min(self.vote_ttl / 2.0),
        });
        Some(VoteMessage {
            incarnation: self.incarnation,
            number: self.sent_messages,
            vote,
        })
    }

    /// When a message is to be sent.
    pub(crate) fn next_send(&self) -> Option<Timestamp> {
        self.scheduled_send.as_ref().map(|send| send.at)
    }

    /// How many gateways vote so, this one included.
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
