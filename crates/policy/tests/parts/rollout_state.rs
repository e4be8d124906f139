//! How the newest rollout stands.

use harrierdock_policy::rollout_state::{RolloutState, StageChange};
use harrierdock_types::{
    BuildId, PlatformStatus, RolloutParameters, RolloutPhase, RolloutUpdate, TimeDelta,
};

use crate::at;

fn update(build: u32, stage: usize, phase: RolloutPhase) -> RolloutUpdate {
    RolloutUpdate {
        build: BuildId(build),
        stage,
        phase,
        exposure_limit: 0.1 * (stage as f64 + 1.0),
        status: PlatformStatus::Valid,
        answers_vote: false,
        age: TimeDelta::ZERO,
    }
}

#[test]
fn an_update_that_is_out_of_date_takes_no_stage_back() {
    let mut rollout = RolloutState::default();
    let canary = RolloutPhase::Canary;
    assert_eq!(
        rollout.apply(at(0), update(2, 0, canary)),
        StageChange::NewBuild
    );
    assert_eq!(
        rollout.apply(at(1), update(2, 1, canary)),
        StageChange::NextStage
    );
    assert_eq!(
        rollout.apply(at(2), update(2, 0, canary)),
        StageChange::None
    );
    assert_eq!(rollout.stage().index, 1);
}

#[test]
fn only_builds_that_are_not_released_have_an_exposure_limit() {
    let mut rollout = RolloutState::default();
    let parameters = RolloutParameters {
        exposure_limits: vec![0.3],
        ..RolloutParameters::default()
    };
    let limits = |rollout: &RolloutState| {
        [1, 2, 3].map(|build| rollout.exposure_limit(BuildId(build), &parameters))
    };
    rollout.apply(at(0), update(2, 1, RolloutPhase::Canary));
    assert_eq!(limits(&rollout), [1.0, 0.2, 0.3]);
    rollout.apply(at(1), update(2, 1, RolloutPhase::Released));
    assert_eq!(limits(&rollout), [1.0, 1.0, 0.3]);
}

#[test]
fn a_build_is_rolled_back_until_another_update() {
    let mut rollout = RolloutState::default();
    assert_eq!(rollout.rolled_back_build(), None);
    rollout.apply(at(0), update(2, 0, RolloutPhase::RollingBack));
    assert_eq!(rollout.rolled_back_build(), Some(BuildId(2)));
    rollout.apply(at(1), update(3, 0, RolloutPhase::Canary));
    assert_eq!(rollout.rolled_back_build(), None);
}
