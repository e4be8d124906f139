//! Log lines on rollout commands and votes.

use harrierdock_rollout_controller::{Notice, RolloutStage, Vote};

use super::deployment_messages::decision_name;

/// A command in words.
pub(super) fn describe(vote: Vote) -> String {
    let RolloutStage { build, stage } = vote.stage;
    format!(
        "build {build} stage {stage} {}",
        decision_name(vote.decision)
    )
}

/// This gateway has lost the lease before a command went out.
pub(super) fn command_dropped(vote: Vote) {
    tracing::info!(
        "fleet: steward: {} is left: not steward any more",
        describe(vote)
    );
}

/// What the rollout controller reports to operators.
pub(super) fn report(report: &Notice) {
    match *report {
        Notice::Done { vote, votes } => {
            tracing::info!(
                "fleet: steward: {} is done, on {votes} votes",
                describe(vote)
            );
        }
        Notice::EpochRejected { vote, epoch } => {
            tracing::warn!(
                "fleet: steward: {} refused, epoch {epoch} is over",
                describe(vote)
            );
        }
        Notice::Overdue {
            stage: RolloutStage { build, stage },
            promote_votes,
            roll_back_votes,
            needed_votes,
            holds_lease,
        } => {
            let holder = if holds_lease {
                "this gateway is steward"
            } else {
                "another is steward, or nobody"
            };
            tracing::warn!(
                "fleet: steward: build {build} stage {stage} has no decision in its time: {promote_votes} votes on, {roll_back_votes} back, \
                 {needed_votes} needed; {holder}"
            );
        }
    }
}
