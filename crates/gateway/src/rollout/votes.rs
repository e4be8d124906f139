//! Conversion of the policy's votes and the platform's updates to the types of the rollout controller.

use harrierdock_rollout_controller::{Decision, Event, RolloutStage, StagePhase, Vote};
use harrierdock_types::{BuildId, PlatformStatus, RolloutDecision, RolloutPhase, RolloutUpdate};

/// Converts a decision of the policy to a vote. `None` for a hold or a withdrawn vote.
pub(crate) fn vote_from_decision(
    build: BuildId,
    stage: usize,
    decision: RolloutDecision,
) -> Option<Vote> {
    let decision = match decision {
        RolloutDecision::Promote => Decision::Promote,
        RolloutDecision::RollBack => Decision::RollBack,
        RolloutDecision::Hold | RolloutDecision::Withdraw => return None,
    };
    Some(Vote {
        stage: RolloutStage { build, stage },
        decision,
    })
}

/// Converts an update of the platform to an event. `None` if the update carries no state of the stage.
pub(crate) fn event_from_update(update: &RolloutUpdate) -> Option<Event> {
    if update.status != PlatformStatus::Valid {
        return None;
    }
    let phase = match update.phase {
        RolloutPhase::Canary => StagePhase::Canary,
        RolloutPhase::Released => StagePhase::Released,
        RolloutPhase::RollingBack | RolloutPhase::RolledBack => StagePhase::RolledBack,
    };
    let stage = RolloutStage {
        build: update.build,
        stage: update.stage,
    };
    Some(Event::StageUpdated { stage, phase })
}
