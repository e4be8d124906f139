//! The rollout controller of one gateway: the current stage, the lease, and the calls of the deployment controller.

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::vote_table::VoteTable;
use crate::{Action, CallOutcome, Decision, Event, Notice, RolloutStage, StagePhase, Vote};

/// The shortest time asked for.
const SHORTEST_TIMER: TimeDelta = TimeDelta(1);

/// How the controller is configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutControllerParameters {
    /// This gateway.
    pub local_peer: PeerId,
    /// The gateways of the fleet.
    pub gateway_count: usize,
    /// More than this share of all gateways promotes a stage.
    pub promote_votes_ratio: f64,
    /// More than this share of all gateways rolls a build back.
    pub roll_back_votes_ratio: f64,
    /// A canary stage without a decision for so long is reported.
    pub decision_timeout: TimeDelta,
    /// A vote that is not renewed for so long counts no more.
    pub vote_ttl: TimeDelta,
    /// After how long a vote is sent again at first; then after twice as long each time, up to half of `vote_ttl`.
    pub resend_interval: TimeDelta,
    /// The delay after a call that failed or was not answered.
    pub retry_delay: TimeDelta,
    /// This gateway's start.
    pub incarnation: u64,
}

#[derive(Clone, Copy, PartialEq)]
struct CurrentStage {
    stage: RolloutStage,
    phase: StagePhase,
}

/// The calls of the deployment controller.
struct Calls {
    /// The call under way.
    pending: Option<Vote>,
    /// A call that may have been done.
    unknown: Option<Vote>,
    /// The latest vote that was carried out.
    done: Option<Vote>,
    /// No call before this point.
    not_before: Timestamp,
}

/// Turns the gateways' votes into calls while this gateway holds the lease.
pub struct RolloutController {
    now: Timestamp,
    parameters: RolloutControllerParameters,
    votes: VoteTable,
    current: Option<CurrentStage>,
    /// When the current stage is to have a decision.
    decision_deadline: Option<Timestamp>,
    /// The lease's epoch while this gateway holds it.
    lease_epoch: Option<u64>,
    /// The epoch under which the deployment controller has reported a later one.
    rejected_epoch: Option<u64>,
    calls: Calls,
    notices: Vec<Notice>,
    timer: Option<Timestamp>,
}

impl RolloutController {
    /// A controller that knows no vote and no stage, and holds no lease.
    pub fn new(now: Timestamp, parameters: RolloutControllerParameters) -> RolloutController {
        RolloutController {
            now,
            votes: VoteTable::new(&parameters),
            parameters,
            current: None,
            decision_deadline: None,
            lease_epoch: None,
            rejected_epoch: None,
            calls: Calls {
                pending: None,
                unknown: None,
                done: None,
                not_before: now,
            },
            notices: Vec::new(),
            timer: None,
        }
    }

    /// Takes an event, and returns what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        // Callers may read the clock out of order: time never goes back here.
        self.now = self.now.max(now);
        match event {
            Event::VoteChanged(vote) => self.votes.cast(self.now, vote),
            Event::VoteReceived { from, message } => self.votes.receive(self.now, from, message),
            Event::StageUpdated { stage, phase } => self.update_stage(stage, phase),
            Event::LeaseAcquired { epoch } => self.lease_epoch = Some(epoch),
            Event::LeaseLost => self.lease_epoch = None,
            Event::CallFinished { vote, outcome } => self.finish_call(vote, outcome),
            Event::TimerFired => {}
        }
        self.emit()
    }

    /// How many gateways vote so, this one included.
    pub fn votes(&self, vote: Vote) -> usize {
        self.votes.count(self.now, vote)
    }

    /// How many votes are more than this share.
    fn votes_needed(&self, ratio: f64) -> usize {
        (ratio * self.parameters.gateway_count as f64).floor() as usize + 1
    }

    fn update_stage(&mut self, stage: RolloutStage, phase: StagePhase) {
        let updated = CurrentStage { stage, phase };
        // Updates may come out of order: a stage that was left behind does not come back.
        let is_behind = self.current.is_some_and(|current| stage < current.stage);
        if is_behind || self.current == Some(updated) {
            return;
        }
        self.decision_deadline = match phase {
            StagePhase::Canary => Some(self.now + self.parameters.decision_timeout),
            StagePhase::Released | StagePhase::Over => None,
        };
        self.current = Some(updated);
    }

    fn finish_call(&mut self, vote: Vote, outcome: CallOutcome) {
        if self.calls.pending != Some(vote) {
            return;
        }
        self.calls.pending = None;
        match outcome {
            CallOutcome::Done => {
                self.calls.done = self.calls.done.max(Some(vote));
                self.decision_deadline = None;
                let votes = self.votes(vote);
                self.notices.push(Notice::Done { vote, votes });
            }
            CallOutcome::StaleEpoch => {
                // A deposed holder stops calling, and waits for another epoch of its own.
                self.rejected_epoch = self.lease_epoch;
                let epoch = self.lease_epoch.unwrap_or(0);
                self.notices.push(Notice::EpochRejected { vote, epoch });
            }
            CallOutcome::NotSent => self.delay_calls(),
            CallOutcome::Unknown => {
                self.calls.unknown = Some(vote);
                self.delay_calls();
            }
        }
    }

    fn delay_calls(&mut self) {
        self.calls.not_before = self.now + self.parameters.retry_delay;
    }

    /// The vote that enough gateways share, a roll-back first.
    fn agreed_vote(&self) -> Option<Vote> {
        let CurrentStage { stage, phase } = self.current?;
        let agreed = |decision: Decision, ratio: f64| {
            let vote = Vote { stage, decision };
            (self.votes(vote) >= self.votes_needed(ratio)).then_some(vote)
        };
        let roll_back = || agreed(Decision::RollBack, self.parameters.roll_back_votes_ratio);
        let promote = || agreed(Decision::Promote, self.parameters.promote_votes_ratio);
        let vote = match phase {
            StagePhase::Canary => roll_back().or_else(promote),
            StagePhase::Released => roll_back(),
            StagePhase::Over => None,
        };
        // No stage is moved twice: what was done is over, whatever old votes say.
        vote.filter(|vote| self.calls.done.is_none_or(|done| *vote > done))
    }

    /// The agreed vote, if this gateway may carry it out.
    fn vote_to_call(&self) -> Option<Vote> {
        let may_call = self.lease_epoch.is_some() && self.lease_epoch != self.rejected_epoch;
        self.agreed_vote().filter(|_| may_call)
    }

    /// The difference between what is wanted and what is under way already.
    fn emit(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let stage = self.current.map(|current| current.stage);
        self.votes.expire_own(self.now, stage);
        let message = self.votes.message_to_send(self.now);
        actions.extend(message.map(Action::SendVote));
        let vote_to_call = self.vote_to_call();
        actions.extend(vote_to_call.and_then(|vote| self.begin_call(vote)));
        self.report_overdue_stage();
        actions.extend(self.notices.drain(..).map(Action::Notify));
        actions.extend(self.set_timer(vote_to_call));
        actions
    }

    fn begin_call(&mut self, vote: Vote) -> Option<Action> {
        if self.calls.pending.is_some() || self.now < self.calls.not_before {
            return None;
        }
        self.calls.pending = Some(vote);
        Some(Action::Call {
            vote,
            is_retry: self.calls.unknown == Some(vote),
        })
    }

    fn report_overdue_stage(&mut self) {
        let is_overdue = self.decision_deadline.is_some_and(|at| at <= self.now);
        let Some(CurrentStage { stage, .. }) = self.current.filter(|_| is_overdue) else {
            return;
        };
        let count = |decision| self.votes(Vote { stage, decision });
        self.notices.push(Notice::Overdue {
            stage,
            promote_votes: count(Decision::Promote),
            roll_back_votes: count(Decision::RollBack),
            needed_votes: self.votes_needed(self.parameters.promote_votes_ratio),
            holds_lease: self.lease_epoch.is_some(),
        });
        self.decision_deadline = Some(self.now + self.parameters.decision_timeout);
    }

    /// Timers set before still fire; only an earlier one is asked for anew.
    fn set_timer(&mut self, vote_to_call: Option<Vote>) -> Option<Action> {
        let next_call = vote_to_call
            .filter(|_| self.calls.pending.is_none())
            .map(|_| self.calls.not_before);
        let next = [self.votes.next_send(), self.decision_deadline, next_call]
            .into_iter()
            .flatten()
            .min()?;
        let is_set = self
            .timer
            .is_some_and(|timer| timer > self.now && timer <= next);
        if is_set {
            return None;
        }
        self.timer = Some(next);
        Some(Action::SetTimer {
            after: (next - self.now).max(SHORTEST_TIMER),
        })
    }
}
