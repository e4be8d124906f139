//! Decides what this gateway votes for at the rollout platform, and when it casts the vote. Owns the desired vote and the
//! scheduled one.

use harrierdock_types::{
    Action, Arm, BuildId, PlatformStatus, RolloutDecision, RolloutPhase, StageControl, TimeDelta,
    Timestamp,
};
use nanorand::{Rng, WyRand};

use crate::context::{Context, FALLBACK_WAIT};
use crate::elimination_votes::EliminationVotes;
use crate::endpoint_table::EndpointTable;
use crate::rollout_state::RolloutState;

/// Share of the required elimination weight from which a rollout under clock control is held.
const HOLD_WEIGHT_RATIO: f64 = 0.5;
/// Share of a stage's endpoints that must run the build; below it the fallback wait is longer.
const STAGE_COVERAGE_RATIO: f64 = 0.5;
/// Factor of the fallback wait while fewer endpoints run the build than [`STAGE_COVERAGE_RATIO`] requires.
const PARTIAL_STAGE_WAIT_FACTOR: f64 = 3.0;
/// Number of calls that the platform accepts at once after an idle time, in seconds of its call rate.
const PLATFORM_BURST_SECONDS: f64 = 1.0;
/// The shortest wait before a refused vote is cast again is the vote timeout divided by this.
const MIN_RECAST_DIVISOR: f64 = 8.0;

/// A vote on one stage (counted from 0) of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RolloutVote {
    build: BuildId,
    stage: usize,
    decision: RolloutDecision,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum VoteState {
    /// Not cast yet, without a response yet, or refused.
    Pending,
    /// Counted by the platform.
    Counted,
}

/// The vote that was scheduled last, cast or not.
#[derive(Clone, Copy, Debug)]
struct ScheduledVote {
    vote: RolloutVote,
    /// When the vote is cast next.
    next_cast_at: Timestamp,
    state: VoteState,
}

/// What the gateway knows when it decides its vote.
pub(crate) struct RolloutEvidence<'a> {
    pub(crate) context: &'a Context,
    pub(crate) rollout: &'a RolloutState,
    pub(crate) elimination_votes: &'a EliminationVotes,
    pub(crate) endpoints: &'a EndpointTable,
}

impl RolloutEvidence<'_> {
    fn is_eliminated(&self, arm: Arm, ratio: f64) -> bool {
        self.elimination_votes
            .is_eliminated(self.context, arm, ratio)
    }

    /// Whether the fallback wait is over. It begins with the stage, or with the start of the canary's newest endpoint if later.
    fn fallback_wait_is_over(&self) -> bool {
        let stage = self.rollout.stage();
        let canary = self.endpoints.canary();
        let stage_ratio = self
            .context
            .parameters
            .rollout
            .stage_ratios
            .get(stage.index)
            .copied()
            .unwrap_or(1.0);
        let stage_endpoints = (stage_ratio * self.endpoints.fleet_size() as f64)
            .floor()
            .max(1.0);
        let is_covered = canary.endpoints as f64 >= stage_endpoints * STAGE_COVERAGE_RATIO;
        let since = canary.newest_start.unwrap_or_default().max(stage.since);
        let factor = if is_covered {
            1.0
        } else {
            PARTIAL_STAGE_WAIT_FACTOR
        };
        self.context.now - since >= FALLBACK_WAIT * factor
    }
}

/// Decides on a rollout and casts the vote.
#[derive(Debug, Default)]
pub(crate) struct RolloutVoter {
    desired: Option<RolloutVote>,
    scheduled: Option<ScheduledVote>,
    /// Since when the current stage is held; `None` while it is not held.
    held_since: Option<Timestamp>,
}

impl RolloutVoter {
    /// Ends any hold when a new stage starts.
    pub(crate) fn change_stage(&mut self) {
        self.held_since = None;
    }

    /// Decides what to vote for. An eliminated canary is rolled back. Under vote control, the canary is promoted once the
    /// baseline is eliminated or the fallback wait is over. Under clock control, half of the elimination weight holds the rollout.
    pub(crate) fn decide(&mut self, evidence: &RolloutEvidence<'_>) {
        let stage = evidence.rollout.stage();
        let decision = self.decision(evidence);
        self.desired = decision.map(|decision| RolloutVote {
            build: stage.build,
            stage: stage.index,
            decision,
        });
    }

    fn decision(&mut self, evidence: &RolloutEvidence<'_>) -> Option<RolloutDecision> {
        let is_canary = match evidence.rollout.update()?.phase {
            RolloutPhase::Canary => true,
            RolloutPhase::Released => false,
            RolloutPhase::RollingBack | RolloutPhase::RolledBack => return None,
        };
        if evidence.is_eliminated(Arm::Canary, 1.0) {
            return Some(RolloutDecision::RollBack);
        }
        if !is_canary {
            return None;
        }
        match evidence.context.parameters.rollout.stage_control {
            StageControl::Clock => self.hold_decision(evidence),
            StageControl::Votes => {
                let promote =
                    evidence.is_eliminated(Arm::Baseline, 1.0) || evidence.fallback_wait_is_over();
                promote.then_some(RolloutDecision::Promote)
            }
        }
    }

    /// Holds a stage for at most the fallback wait.
    fn hold_decision(&mut self, evidence: &RolloutEvidence<'_>) -> Option<RolloutDecision> {
        if !evidence.is_eliminated(Arm::Canary, HOLD_WEIGHT_RATIO) {
            self.held_since = None;
            return None;
        }
        let now = evidence.context.now;
        let since = *self.held_since.get_or_insert(now);
        (now - since < FALLBACK_WAIT).then_some(RolloutDecision::Hold)
    }

    /// Schedules the next cast after the platform has responded to a vote.
    pub(crate) fn handle_vote_response(
        &mut self,
        context: &Context,
        status: PlatformStatus,
        rng: &mut WyRand,
    ) {
        let Some(scheduled) = &mut self.scheduled else {
            return;
        };
        let rollout = &context.parameters.rollout;
        let fleet_time = fleet_call_time(context);
        let (wait, state) = match status {
            // The platform accepts a limited rate of calls. Gateways of larger fleets cast a counted vote again later, so that these
            // renewals leave calls for gateways that have not voted yet.
            PlatformStatus::Valid | PlatformStatus::Superseded => (
                fleet_time.clamp(rollout.vote_ttl / 2.0, rollout.vote_ttl),
                VoteState::Counted,
            ),
            PlatformStatus::Overloaded | PlatformStatus::ServerError | PlatformStatus::TimedOut => {
                let delay = fleet_time * (rng.generate::<f64>() / 2.0);
                (
                    delay.max(rollout.vote_timeout / MIN_RECAST_DIVISOR),
                    VoteState::Pending,
                )
            }
        };
        scheduled.next_cast_at = context.now + wait;
        scheduled.state = state;
    }

    /// Casts the desired vote once its delay is over.
    ///
    /// Each gateway draws a random delay. Together, gateways first cast as many votes as the platform accepts at once after an idle
    /// time, and then twice its call rate. If hundreds voted at once, the gateways accepted first would use up the call rate with
    /// renewals of their votes. About half of the calls of a large fleet are refused while it votes.
    pub(crate) fn emit(&mut self, context: &Context, rng: &mut WyRand, actions: &mut Vec<Action>) {
        let Some(vote) = self.vote_to_cast() else {
            return;
        };
        let scheduled = match &mut self.scheduled {
            Some(scheduled) if scheduled.vote == vote => scheduled,
            other => {
                let delay = fleet_call_time(context) * (rng.generate::<f64>() / 2.0)
                    - TimeDelta::from_seconds(PLATFORM_BURST_SECONDS);
                other.insert(ScheduledVote {
                    vote,
                    next_cast_at: context.now + delay.max(TimeDelta::ZERO),
                    state: VoteState::Pending,
                })
            }
        };
        let is_withdrawal_counted =
            scheduled.state == VoteState::Counted && vote.decision == RolloutDecision::Withdraw;
        if context.now < scheduled.next_cast_at || is_withdrawal_counted {
            return;
        }
        let parameters = &context.parameters;
        scheduled.next_cast_at =
            context.now + parameters.rollout.vote_timeout + parameters.clock_resolution;
        scheduled.state = VoteState::Pending;
        actions.push(Action::Vote {
            build: vote.build,
            stage: vote.stage,
            decision: vote.decision,
        });
    }

    /// The desired vote, or the withdrawal of a hold that is over. Other votes lapse with their stage.
    fn vote_to_cast(&self) -> Option<RolloutVote> {
        if self.desired.is_some() {
            return self.desired;
        }
        let scheduled = self.scheduled.as_ref()?;
        (scheduled.vote.decision == RolloutDecision::Hold).then_some(RolloutVote {
            decision: RolloutDecision::Withdraw,
            ..scheduled.vote
        })
    }
}

/// Time in which the platform accepts one call from every gateway, at its call rate.
fn fleet_call_time(context: &Context) -> TimeDelta {
    let calls = context.parameters.gateway_count as f64;
    TimeDelta::from_seconds(calls / context.parameters.rollout.votes_per_second.max(1.0))
}
