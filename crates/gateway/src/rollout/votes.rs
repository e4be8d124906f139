//! The policy's votes and the platform's updates, as the rollout controller sees them.

use harrierdock_rollout_controller::{Ballot, Event, Standing, Wave, Way};
use harrierdock_types::{BuildId, PlatformStatus, RolloutDecision, RolloutPhase, RolloutUpdate};

/// The vote that a decision amounts to. A hold, or a vote taken back, moves nothing.
pub fn vote(build: BuildId, stage: usize, decision: RolloutDecision) -> Option<Ballot> {
    let way = match decision {
        RolloutDecision::Promote => Way::On,
        RolloutDecision::RollBack => Way::Back,
        RolloutDecision::Hold | RolloutDecision::Withdraw => return None,
    };
    Some(Ballot {
        wave: Wave { build, stage },
        way,
    })
}

/// What an update says of a stage. `None` if it brings no state.
pub fn stage_event(update: &RolloutUpdate) -> Option<Event> {
    if update.status != PlatformStatus::Valid {
        return None;
    }
    let standing = match update.phase {
        RolloutPhase::Canary => Standing::Trial,
        RolloutPhase::Released => Standing::Released,
        RolloutPhase::RollingBack | RolloutPhase::RolledBack => Standing::Over,
    };
    let wave = Wave {
        build: update.build,
        stage: update.stage,
    };
    Some(Event::Stage { wave, standing })
}
