//! The policy's votes and the platform's updates, as the rollout controller sees them.

use harrierdock_rollout_controller::{Decision, Event, RolloutStage, StagePhase, Vote};
use harrierdock_types::{BuildId, PlatformStatus, RolloutDecision, RolloutPhase, RolloutUpdate};

/// The vote that a decision amounts to. A hold, or a vote taken back, moves nothing.
pub(crate) fn vote(build: BuildId, stage: usize, decision: RolloutDecision) -> Option<Vote> {
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

/// What an update says of a stage. `None` if it brings no state.
pub(crate) fn stage_event(update: &RolloutUpdate) -> Option<Event> {
    if update.status != PlatformStatus::Valid {
        return None;
    }
    let phase = match update.phase {
        RolloutPhase::Canary => StagePhase::Canary,
        RolloutPhase::Released => StagePhase::Released,
        RolloutPhase::RollingBack | RolloutPhase::RolledBack => StagePhase::Over,
    };
    let stage = RolloutStage {
        build: update.build,
        stage: update.stage,
    };
    Some(Event::StageUpdated { stage, phase })
}
