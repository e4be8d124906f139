//! Log lines on rollout commands and votes.

use harrierdock_rollout_controller::{Ballot, Said};

use super::deployment_messages::way_name;

/// A command in words.
pub(super) fn describe(vote: Ballot) -> String {
    let wave = vote.wave;
    format!(
        "build {} stage {} {}",
        wave.build,
        wave.stage,
        way_name(vote.way)
    )
}

/// This gateway has lost the lease before a command went out.
pub(super) fn command_dropped(vote: Ballot) {
    tracing::info!(
        "fleet: steward: {} is left: not steward any more",
        describe(vote)
    );
}

/// What the rollout controller reports to operators.
pub(super) fn report(report: &Said) {
    match *report {
        Said::Done { ballot, votes } => {
            tracing::info!(
                "fleet: steward: {} is done, on {votes} votes",
                describe(ballot)
            );
        }
        Said::Barred { ballot, epoch } => {
            tracing::warn!(
                "fleet: steward: {} refused, epoch {epoch} is over",
                describe(ballot)
            );
        }
        Said::Overdue {
            wave,
            on,
            back,
            needs,
            holds,
        } => {
            let holder = if holds {
                "this gateway is steward"
            } else {
                "another is steward, or nobody"
            };
            tracing::warn!(
                "fleet: steward: build {} stage {} has no decision in its time: {on} votes on, {back} back, \
                 {needs} needed; {holder}",
                wave.build,
                wave.stage
            );
        }
    }
}
