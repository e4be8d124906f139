//! The state of the newest rollout. Owns the last update from the rollout platform.

use harrierdock_types::{Arm, BuildId, RolloutParameters, RolloutPhase, RolloutUpdate, Timestamp};

use crate::context::{Context, FALLBACK_WAIT};
use crate::endpoint_table::EndpointTable;
use crate::per_arm::arm_if_canary;

/// After its release a build stays under evaluation for this many slow start windows, and the fallback wait.
const EVALUATION_SLOW_START_WINDOWS: f64 = 3.0;

/// One stage of a rollout.
#[derive(Clone, Copy, Debug, Default)]
pub struct RolloutStage {
    /// The build that is rolled out.
    pub build: BuildId,
    /// The stage, counted from 0.
    pub index: usize,
    /// When the stage began.
    pub since: Timestamp,
    /// Whether an update has reported the build in the canary phase during this stage.
    pub was_canary: bool,
}

/// The change of stage that a valid update brings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageChange {
    /// The stage stays the same.
    None,
    /// A later stage of the same build.
    NextStage,
    /// A newer build's rollout.
    NewBuild,
}

/// The newest rollout.
#[derive(Debug, Default)]
pub struct RolloutState {
    update: Option<RolloutUpdate>,
    stage: RolloutStage,
    phase_since: Timestamp,
}

impl RolloutState {
    /// The last update from the platform; `None` before the first one.
    pub fn update(&self) -> Option<&RolloutUpdate> {
        self.update.as_ref()
    }

    /// The latest stage. An update about an earlier stage does not change it.
    pub fn stage(&self) -> &RolloutStage {
        &self.stage
    }

    /// Applies a valid update. An outdated update changes the exposure limit but does not return to an earlier stage.
    pub fn apply(&mut self, now: Timestamp, update: RolloutUpdate) -> StageChange {
        let mut change = StageChange::None;
        if (update.build, update.stage) > (self.stage.build, self.stage.index) {
            change = if update.build == self.stage.build {
                StageChange::NextStage
            } else {
                StageChange::NewBuild
            };
            self.stage = RolloutStage {
                build: update.build,
                index: update.stage,
                since: now - update.age,
                was_canary: false,
            };
        }
        if self.phase() != Some(update.phase) {
            self.phase_since = now - update.age;
        }
        self.stage.was_canary |= update.phase == RolloutPhase::Canary;
        self.update = Some(update);
        change
    }

    fn phase(&self) -> Option<RolloutPhase> {
        self.update.as_ref().map(|update| update.phase)
    }

    /// Whether a build is unreleased: it is being rolled out or back, or no update has named it yet.
    pub(crate) fn is_canary(&self, build: BuildId, endpoints: &EndpointTable) -> bool {
        match &self.update {
            Some(update) => {
                build > update.build
                    || (build == update.build && update.phase != RolloutPhase::Released)
            }
            None => endpoints
                .iter()
                .any(|endpoint| endpoint.record.build < build),
        }
    }

    /// The arm of a build that is not newer than the stage's.
    pub fn arm_of(&self, build: BuildId) -> Arm {
        arm_if_canary(build == self.stage.build)
    }

    /// Whether outcomes of a build belong to one of the two arms.
    pub fn is_compared(&self, build: BuildId) -> bool {
        self.update.is_some() && build <= self.stage.build
    }

    /// The stage that a build is in; 0 if the last update is about another build.
    pub fn stage_index_of(&self, build: BuildId) -> usize {
        self.update
            .as_ref()
            .filter(|update| update.build == build)
            .map_or(0, |update| update.stage)
    }

    /// The build of the last update if it is being, or was, rolled back.
    pub fn rolled_back_build(&self) -> Option<BuildId> {
        self.update
            .as_ref()
            .filter(|update| is_rollback(update.phase))
            .map(|update| update.build)
    }

    /// Whether a build is at least as new as the one of the last update.
    pub fn is_newest(&self, build: BuildId) -> bool {
        self.update
            .as_ref()
            .is_none_or(|update| build >= update.build)
    }

    /// The exposure limit of a build; 1 for a released one. A build that no update has named has the limit of the first stage.
    pub fn exposure_limit(&self, build: BuildId, parameters: &RolloutParameters) -> f64 {
        match &self.update {
            Some(update) if build == update.build && update.phase != RolloutPhase::Released => {
                update.exposure_limit
            }
            Some(update) if build <= update.build => 1.0,
            _ => parameters.exposure_limits.first().copied().unwrap_or(0.0),
        }
    }

    /// Whether a build is the canary, or was until so recently that its full load has only just arrived.
    pub fn is_under_evaluation(&self, context: &Context) -> bool {
        let since = context.now - self.phase_since;
        let slow_start_window = context.parameters.safety.slow_start_window;
        match self.phase() {
            None => false,
            Some(RolloutPhase::Canary) => true,
            Some(RolloutPhase::Released) => {
                self.stage.was_canary
                    && since < slow_start_window * EVALUATION_SLOW_START_WINDOWS + FALLBACK_WAIT
            }
            Some(RolloutPhase::RollingBack | RolloutPhase::RolledBack) => {
                self.stage.was_canary && since < slow_start_window
            }
        }
    }
}

/// Whether a build in this phase is being, or was, rolled back.
pub(crate) fn is_rollback(phase: RolloutPhase) -> bool {
    matches!(phase, RolloutPhase::RollingBack | RolloutPhase::RolledBack)
}
