//! Log lines about rollout commands and votes.

use harrierdock_rollout_controller::{Decision, Notice, Vote};

/// Describes a command for log lines.
pub(super) fn describe(vote: Vote) -> String {
    let stage = vote.stage;
    format!(
        "{} build {} in stage {}",
        match vote.decision {
            Decision::Promote => "promote",
            Decision::RollBack => "roll back",
        },
        stage.build,
        stage.stage
    )
}

/// Logs that a command was not sent because this gateway lost the rollout lease.
pub(super) fn command_dropped(vote: Vote) {
    tracing::info!(
        "fleet: rollout controller: dropped the command to {}: the lease was lost",
        describe(vote)
    );
}

/// Logs why a command has no result; it is retried.
pub(super) fn command_failed(vote: Vote, reason: &str) {
    tracing::warn!(
        "fleet: rollout controller: the command to {} has no result: {reason}",
        describe(vote)
    );
}

/// Logs a notice of the rollout controller.
pub(super) fn log_notice(notice: &Notice) {
    match *notice {
        Notice::Done { vote, votes } => {
            tracing::info!(
                "fleet: rollout controller: completed the command to {} with {votes} votes",
                describe(vote)
            );
        }
        Notice::EpochRejected { vote, epoch } => {
            tracing::warn!(
                "fleet: rollout controller: the command to {} was rejected: epoch {epoch} is outdated",
                describe(vote)
            );
        }
        Notice::Overdue {
            stage,
            promote_votes,
            roll_back_votes,
            needed_votes,
            holds_lease,
        } => {
            let holder = if holds_lease {
                "this gateway holds the lease"
            } else {
                "this gateway does not hold the lease"
            };
            tracing::warn!(
                "fleet: rollout controller: no decision in time for build {} in stage {}: {promote_votes} votes to promote, \
                {roll_back_votes} to roll back, {needed_votes} needed to promote; {holder}",
                stage.build,
                stage.stage
            );
        }
    }
}
