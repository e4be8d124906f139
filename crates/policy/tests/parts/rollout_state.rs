//! Unit tests of the state of the newest rollout.

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
        is_vote_response: false,
        age: TimeDelta::ZERO,
    }
}

#[test]
fn an_outdated_update_does_not_return_to_an_earlier_stage() {
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
fn only_unreleased_builds_have_an_exposure_limit_below_one() {
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
fn the_rolled_back_build_is_known_until_an_update_names_another_build() {
    let mut rollout = RolloutState::default();
    assert_eq!(rollout.rolled_back_build(), None);
    rollout.apply(at(0), update(2, 0, RolloutPhase::RollingBack));
    assert_eq!(rollout.rolled_back_build(), Some(BuildId(2)));
    rollout.apply(at(1), update(3, 0, RolloutPhase::Canary));
    assert_eq!(rollout.rolled_back_build(), None);
}
