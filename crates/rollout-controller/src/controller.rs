//! The rollout controller of one gateway: the current stage, the lease, and the calls to the deployment controller.

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::vote_table::VoteTable;
use crate::{Action, CallOutcome, Decision, Event, Notice, RolloutStage, StagePhase, Vote};

/// Minimum delay of a timer.
const MIN_TIMER_DELAY: TimeDelta = TimeDelta(1);

/// Parameters of the rollout controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutControllerParameters {
    /// This gateway's index in the fleet.
    pub local_peer: PeerId,
    /// Number of gateways in the fleet, this one included.
    pub gateway_count: usize,
    /// A stage is promoted by the votes of more than this share (0 to 1) of all gateways.
    pub promote_votes_ratio: f64,
    /// A build is rolled back by the votes of more than this share (0 to 1) of all gateways.
    pub roll_back_votes_ratio: f64,
    /// Time without a decision after which a canary stage is reported.
    pub decision_timeout: TimeDelta,
    /// Time after which a vote that is not renewed expires.
    pub vote_ttl: TimeDelta,
    /// Delay before a vote is first sent again. The delay doubles each time, up to half of `vote_ttl`.
    pub resend_interval: TimeDelta,
    /// Delay before a call is retried that failed or had no response.
    pub retry_delay: TimeDelta,
    /// Number of this gateway's current run; must increase with every restart.
    pub incarnation: u64,
}

#[derive(Clone, Copy, PartialEq)]
struct CurrentStage {
    stage: RolloutStage,
    phase: StagePhase,
}

/// The calls to the deployment controller.
struct Calls {
    /// The vote of the call in progress; `None` if no call is in progress.
    pending: Option<Vote>,
    /// The vote of the last call whose result is unknown.
    unknown_result: Option<Vote>,
    /// The latest vote that the deployment controller has executed.
    last_executed: Option<Vote>,
    /// Earliest time of the next call.
    not_before: Timestamp,
}

/// Counts the gateways' votes, and calls the deployment controller while this gateway holds the lease.
pub struct RolloutController {
    now: Timestamp,
    parameters: RolloutControllerParameters,
    votes: VoteTable,
    current: Option<CurrentStage>,
    /// If the current stage has no decision at this time, it is reported as overdue; `None` if no decision is expected.
    decision_deadline: Option<Timestamp>,
    /// Epoch of the lease; `None` while this gateway does not hold the lease.
    lease_epoch: Option<u64>,
    /// The epoch that the deployment controller rejected because it has seen a later one.
    rejected_epoch: Option<u64>,
    calls: Calls,
    notices: Vec<Notice>,
    /// When the timer set last fires; `None` before the first one.
    timer: Option<Timestamp>,
}

impl RolloutController {
    /// Creates a controller without votes, stage or lease.
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
                unknown_result: None,
                last_executed: None,
                not_before: now,
            },
            notices: Vec::new(),
            timer: None,
        }
    }

    /// Handles an event and returns the resulting actions, in the order in which to execute them.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        // Callers may pass times out of order. The controller's time never goes backwards.
        self.now = self.now.max(now);
        match event {
            Event::VoteChanged(vote) => self.votes.set_own(self.now, vote),
            Event::VoteReceived { from, message } => self.votes.receive(self.now, from, message),
            Event::StageUpdated { stage, phase } => self.update_stage(stage, phase),
            Event::LeaseAcquired { epoch } => self.lease_epoch = Some(epoch),
            Event::LeaseLost => self.lease_epoch = None,
            Event::CallFinished { vote, outcome } => self.finish_call(vote, outcome),
            Event::TimerFired => {}
        }
        self.emit()
    }

    /// Counts the unexpired votes equal to `vote`, including this gateway's own.
    pub fn count_votes(&self, vote: Vote) -> usize {
        self.votes.count(self.now, vote)
    }

    /// The smallest number of votes that is more than `ratio` (0 to 1) of all gateways.
    fn votes_needed(&self, ratio: f64) -> usize {
        (ratio * self.parameters.gateway_count as f64).floor() as usize + 1
    }

    fn update_stage(&mut self, stage: RolloutStage, phase: StagePhase) {
        let updated = CurrentStage { stage, phase };
        // Updates may arrive out of order, so updates of earlier stages are ignored.
        let is_outdated = self.current.is_some_and(|current| stage < current.stage);
        if is_outdated || self.current == Some(updated) {
            return;
        }
        self.decision_deadline = match phase {
            StagePhase::Canary => Some(self.now + self.parameters.decision_timeout),
            StagePhase::Released | StagePhase::RolledBack => None,
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
                self.calls.last_executed = self.calls.last_executed.max(Some(vote));
                self.decision_deadline = None;
                let votes = self.count_votes(vote);
                self.notices.push(Notice::Done { vote, votes });
            }
            CallOutcome::StaleEpoch => {
                // Another gateway holds the lease, so no calls are made until this gateway acquires it with a new epoch.
                self.rejected_epoch = self.lease_epoch;
                let epoch = self.lease_epoch.unwrap_or(0);
                self.notices.push(Notice::EpochRejected { vote, epoch });
            }
            CallOutcome::NotSent => self.delay_calls(),
            CallOutcome::Unknown => {
                self.calls.unknown_result = Some(vote);
                self.delay_calls();
            }
        }
    }

    fn delay_calls(&mut self) {
        self.calls.not_before = self.now + self.parameters.retry_delay;
    }

    /// The vote that enough gateways agree on. Rolling back takes precedence over promoting.
    fn agreed_vote(&self) -> Option<Vote> {
        let CurrentStage { stage, phase } = self.current?;
        let agreed = |decision: Decision, ratio: f64| {
            let vote = Vote { stage, decision };
            (self.count_votes(vote) >= self.votes_needed(ratio)).then_some(vote)
        };
        let roll_back = || agreed(Decision::RollBack, self.parameters.roll_back_votes_ratio);
        let promote = || agreed(Decision::Promote, self.parameters.promote_votes_ratio);
        let vote = match phase {
            StagePhase::Canary => roll_back().or_else(promote),
            StagePhase::Released => roll_back(),
            StagePhase::RolledBack => None,
        };
        // Votes up to the last executed one are ignored, so that old votes cause no second call.
        vote.filter(|vote| {
            self.calls
                .last_executed
                .is_none_or(|executed| *vote > executed)
        })
    }

    /// The agreed vote, if this gateway may call the deployment controller.
    fn vote_to_call(&self) -> Option<Vote> {
        let may_call = self.lease_epoch.is_some() && self.lease_epoch != self.rejected_epoch;
        self.agreed_vote().filter(|_| may_call)
    }

    /// Returns the actions that are due and not yet in progress.
    fn emit(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let stage = self.current.map(|current| current.stage);
        self.votes.expire_own(self.now, stage);
        let message = self.votes.take_message(self.now);
        actions.extend(message.map(Action::SendVote));
        let vote_to_call = self.vote_to_call();
        actions.extend(vote_to_call.and_then(|vote| self.start_call(vote)));
        self.report_overdue_stage();
        actions.extend(self.notices.drain(..).map(Action::Notify));
        actions.extend(self.set_timer(vote_to_call));
        actions
    }

    fn start_call(&mut self, vote: Vote) -> Option<Action> {
        if self.calls.pending.is_some() || self.now < self.calls.not_before {
            return None;
        }
        self.calls.pending = Some(vote);
        Some(Action::Call {
            vote,
            is_retry: self.calls.unknown_result == Some(vote),
        })
    }

    fn report_overdue_stage(&mut self) {
        let is_overdue = self
            .decision_deadline
            .is_some_and(|deadline| deadline <= self.now);
        let Some(CurrentStage { stage, .. }) = self.current.filter(|_| is_overdue) else {
            return;
        };
        let count = |decision| self.count_votes(Vote { stage, decision });
        self.notices.push(Notice::Overdue {
            stage,
            promote_votes: count(Decision::Promote),
            roll_back_votes: count(Decision::RollBack),
            needed_votes: self.votes_needed(self.parameters.promote_votes_ratio),
            holds_lease: self.lease_epoch.is_some(),
        });
        self.decision_deadline = Some(self.now + self.parameters.decision_timeout);
    }

    /// Sets a timer for the next deadline. Timers set before still fire, so only an earlier one needs a new timer.
    fn set_timer(&mut self, vote_to_call: Option<Vote>) -> Option<Action> {
        let next_call = vote_to_call
            .filter(|_| self.calls.pending.is_none())
            .map(|_| self.calls.not_before);
        let next = [self.votes.next_send_at(), self.decision_deadline, next_call]
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
            after: (next - self.now).max(MIN_TIMER_DELAY),
        })
    }
}
