//! What this gateway votes for at the rollout platform, and when it casts the vote. Owns the vote that is wanted and the one cast.

use harrierdock_types::{
    Action, Arm, BuildId, PlatformStatus, RolloutDecision, RolloutPhase, StageControl, TimeDelta,
    Timestamp,
};
use nanorand::{Rng, WyRand};

use crate::context::{Context, FALLBACK_WAIT};
use crate::elimination_votes::EliminationVotes;
use crate::endpoint_table::EndpointTable;
use crate::rollout_state::RolloutState;

/// The ratio of the needed elimination weight from which on a rollout that the platform's clock moves is held.
const HOLD_WEIGHT_RATIO: f64 = 0.5;
/// Share of a stage's endpoints that must run the build for the fallback wait to be the short one.
const STAGE_COVERAGE_RATIO: f64 = 0.5;
/// How much longer the fallback wait is while fewer endpoints run the build.
const PARTIAL_STAGE_WAIT_FACTOR: f64 = 3.0;
/// What the platform accepts at once after a rest, in seconds of its rate.
const PLATFORM_BURST_SECONDS: f64 = 1.0;
/// The least wait before a refused vote is cast again, as a divisor of the vote's timeout.
const MIN_RECAST_DIVISOR: f64 = 8.0;

/// A vote at the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RolloutVote {
    build: BuildId,
    stage: usize,
    decision: RolloutDecision,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum VoteState {
    /// To be cast, or to be cast again.
    Pending,
    /// Counted by the platform.
    Counted,
}

/// The vote that was last wanted.
#[derive(Clone, Copy, Debug)]
struct CastVote {
    vote: RolloutVote,
    /// When it is cast next.
    next_at: Timestamp,
    state: VoteState,
}

/// What the decision rests on.
pub(crate) struct RolloutEvidence<'a> {
    pub(crate) context: &'a Context,
    pub(crate) rollout: &'a RolloutState,
    pub(crate) eliminations: &'a EliminationVotes,
    pub(crate) endpoints: &'a EndpointTable,
}

impl RolloutEvidence<'_> {
    fn eliminates(&self, arm: Arm, ratio: f64) -> bool {
        self.eliminations.eliminate(self.context, arm, ratio)
    }

    /// Whether the fallback wait after the start of the stage's newest endpoint is over.
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
    wanted: Option<RolloutVote>,
    cast: Option<CastVote>,
    /// Since when this stage is held.
    held_since: Option<Timestamp>,
}

impl RolloutVoter {
    /// A new stage has begun.
    pub(crate) fn change_stage(&mut self) {
        self.held_since = None;
    }

    /// Decides what to vote for: enough eliminations of the canary roll back, enough of the baseline promote. Where votes move the
    /// rollout it is promoted after the fallback wait; where the platform's clock does, half of the eliminations hold it.
    pub(crate) fn decide(&mut self, evidence: &RolloutEvidence<'_>) {
        let stage = evidence.rollout.stage();
        let decision = self.decision(evidence);
        self.wanted = decision.map(|decision| RolloutVote {
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
        if evidence.eliminates(Arm::Canary, 1.0) {
            return Some(RolloutDecision::RollBack);
        }
        if !is_canary {
            return None;
        }
        match evidence.context.parameters.rollout.stage_control {
            StageControl::Clock => self.hold_decision(evidence),
            StageControl::Votes => {
                let promote =
                    evidence.eliminates(Arm::Baseline, 1.0) || evidence.fallback_wait_is_over();
                promote.then_some(RolloutDecision::Promote)
            }
        }
    }

    /// Holds a stage for the fallback wait at the most.
    fn hold_decision(&mut self, evidence: &RolloutEvidence<'_>) -> Option<RolloutDecision> {
        if !evidence.eliminates(Arm::Canary, HOLD_WEIGHT_RATIO) {
            self.held_since = None;
            return None;
        }
        let now = evidence.context.now;
        let since = *self.held_since.get_or_insert(now);
        (now - since < FALLBACK_WAIT).then_some(RolloutDecision::Hold)
    }

    /// The platform has answered a vote.
    pub(crate) fn vote_answered(
        &mut self,
        context: &Context,
        status: PlatformStatus,
        rng: &mut WyRand,
    ) {
        let Some(cast) = &mut self.cast else {
            return;
        };
        let rollout = &context.parameters.rollout;
        let fleet_time = fleet_call_time(context);
        let (wait, state) = match status {
            // Renewed the later the more gateways there are, so that renewals leave calls for first votes.
            PlatformStatus::Valid | PlatformStatus::Superseded => (
                fleet_time.clamp(rollout.vote_ttl / 2.0, rollout.vote_ttl),
                VoteState::Counted,
            ),
            PlatformStatus::Overloaded | PlatformStatus::ServerError | PlatformStatus::TimedOut => {
                let turn = fleet_time * (rng.generate::<f64>() / 2.0);
                (
                    turn.max(rollout.vote_timeout / MIN_RECAST_DIVISOR),
                    VoteState::Pending,
                )
            }
        };
        cast.next_at = context.now + wait;
        cast.state = state;
    }

    /// Casts the vote that is wanted when its time has come.
    ///
    /// Each gateway takes its turn by chance. All together they cast at once what the platform accepts after a rest, and twice
    /// what it accepts from then on: if hundreds cast at once, those let in first would take up all that it accepts by renewing
    /// their votes. About half of the calls of a large fleet are refused while it wants to vote.
    pub(crate) fn emit(&mut self, context: &Context, rng: &mut WyRand, actions: &mut Vec<Action>) {
        let Some(vote) = self.vote_to_cast() else {
            return;
        };
        let cast = match &mut self.cast {
            Some(cast) if cast.vote == vote => cast,
            other => {
                let turn = fleet_call_time(context) * (rng.generate::<f64>() / 2.0)
                    - TimeDelta::from_seconds(PLATFORM_BURST_SECONDS);
                other.insert(CastVote {
                    vote,
                    next_at: context.now + turn.max(TimeDelta::ZERO),
                    state: VoteState::Pending,
                })
            }
        };
        let is_withdrawn =
            cast.state == VoteState::Counted && vote.decision == RolloutDecision::Withdraw;
        if context.now < cast.next_at || is_withdrawn {
            return;
        }
        let parameters = &context.parameters;
        cast.next_at = context.now + parameters.rollout.vote_timeout + parameters.tick;
        cast.state = VoteState::Pending;
        actions.push(Action::Vote {
            build: vote.build,
            stage: vote.stage,
            decision: vote.decision,
        });
    }

    /// The vote that is wanted. A hold that is over is withdrawn; other votes lapse with their stage.
    fn vote_to_cast(&self) -> Option<RolloutVote> {
        if self.wanted.is_some() {
            return self.wanted;
        }
        let cast = self.cast.as_ref()?;
        (cast.vote.decision == RolloutDecision::Hold).then_some(RolloutVote {
            decision: RolloutDecision::Withdraw,
            ..cast.vote
        })
    }
}

/// How long the platform takes to accept a call from every gateway.
fn fleet_call_time(context: &Context) -> TimeDelta {
    let calls = context.parameters.gateway_count as f64;
    TimeDelta::from_seconds(calls / context.parameters.rollout.votes_per_second.max(1.0))
}
